package soak_test

import "github.com/almondcross/almondcross/platform/standin"

// checkAcknowledgements finds acknowledged ends that no answer has listed, and tasks that start after an end "done" which is
// acknowledged by then or later.
func (checker *checker) checkAcknowledgements(event standin.Event) {
	history := checker.history[event.Task]
	switch event.Kind {
	case standin.KindAcknowledgedUnlisted:
		checker.addViolation("the end of %s run %d on %s is acknowledged before any answer lists it", event.Task, event.Run, event.Worker)
	case "start":
		for _, earlier := range history {
			if earlier.Kind == standin.KindAcknowledged {
				checker.addViolation("%s run %d starts on %s after the end of run %d on %s was acknowledged", event.Task, event.Run, event.Worker,
					earlier.Run, earlier.Worker)
			}
		}
	case standin.KindAcknowledged:
		done := false
		for _, earlier := range history {
			ofRun := earlier.Worker == event.Worker && earlier.Run == event.Run
			switch {
			case ofRun && earlier.Kind == "done":
				done = true
			case done && earlier.Kind == "start":
				checker.addViolation("the end of %s run %d on %s is acknowledged, but run %d has started on %s after it", event.Task, event.Run,
					event.Worker, earlier.Run, earlier.Worker)
			}
		}
	}
}
