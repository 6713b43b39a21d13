package coordinator

import (
	"bytes"
	"time"

	"github.com/almondcross/almondcross"
)

// find returns the task of the current attempt that a report is about.
func (machine *Machine) find(id almondcross.TaskID, attempt int) (*record, *taskState) {
	record, ok := machine.keys[id.Key()]
	if !ok || !record.inProgress() || id.Index() >= len(record.tasks) || record.attempt != attempt {
		return nil, nil
	}
	return record, &record.tasks[id.Index()]
}

func (machine *Machine) taskForwarded(message almondcross.TaskForwarded, now time.Time) {
	record, task := machine.find(message.ID(), message.Attempt())
	if record == nil || task.started {
		return
	}
	task.holder = message.Holder()
	machine.watchHolders(record, now)
}

func (machine *Machine) taskStarted(message almondcross.TaskStarted, now time.Time) {
	record, task := machine.find(message.ID(), message.Attempt())
	if record == nil {
		machine.stopOrphan(message)
		return
	}
	if task.ended || (task.started && message.Target() == task.target && message.Term().Less(task.term)) {
		return
	}
	record.ran = true
	task.started, task.holder, task.target, task.term = true, message.Holder(), message.Target(), message.Term()
	machine.watchHolders(record, now)
	machine.tell(record, "started", almondcross.CodeNone, message.Target(), now)
	if record.allStarted() {
		record.phase = phaseRunning
	}
}

// stopOrphan stops a task that no key of this member accounts for.
func (machine *Machine) stopOrphan(message almondcross.TaskStarted) {
	stop := almondcross.NewStopTask(almondcross.StopTaskConfig{
		ID: message.ID(), Attempt: message.Attempt(), Code: almondcross.CodeTaskStopped,
	})
	if message.Holder().Name() == machine.self().Name() {
		machine.do(Place{Message: stop})
		return
	}
	machine.do(Send{Member: message.Holder().Name(), Message: stop})
}

func (machine *Machine) taskRefused(message almondcross.TaskRefused, now time.Time) {
	record, task := machine.find(message.ID(), message.Attempt())
	if record == nil || task.started {
		return
	}
	retryAfter := time.Duration(message.RetryAfter()) * time.Millisecond
	if record.standing {
		machine.backOff(record, message.Code(), now)
		return
	}
	if placerUnfit(message.Code()) && !record.anyStarted() {
		machine.stopTasks(record, message.Code())
		record.tasks = nil
		machine.hold(record, now.Add(heldRecheck), message.Code(), now)
		return
	}
	if len(record.tasks) > 1 {
		machine.stopTasks(record, message.Code())
		if record.anyStarted() {
			// The tasks that run are stopped and reported one by one.
			task.ended, task.result = true, failedResult(task.task, message.Code())
			return
		}
	}
	outcome := machine.notRun(record, message.Code(), now)
	machine.finish(record, outcome.WithRetryAfter(retryAfter), now)
}

// placerUnfit reports whether a refusal says nothing of the task: the holder had no link lease from
// this member, is stopping, or has no target.
func placerUnfit(code almondcross.Code) bool {
	return code == almondcross.CodeNoStanding || code == almondcross.CodeStopping || code == almondcross.CodeNotHere
}

func failedResult(task almondcross.Task, code almondcross.Code) almondcross.TaskResult {
	return almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: task.ID(), Attempt: task.Attempt(), Code: code})
}

func (machine *Machine) taskEnded(message almondcross.TaskEnded, now time.Time) {
	result := message.Result()
	record, task := machine.find(result.ID(), result.Attempt())
	if record == nil {
		machine.takeAnswer(message, now)
		return
	}
	if task.ended {
		return
	}
	record.ran = true
	task.started, task.ended, task.result, task.target = true, true, result, message.Target()
	machine.conclude(record, now)
}

// takeAnswer ends a key that was asked for here with the answer of a task that its lost coordinator
// placed: the worker reports an end once, and work that may not be repeated has no other answer. The
// answer of one task of a gang is not the whole answer.
func (machine *Machine) takeAnswer(message almondcross.TaskEnded, now time.Time) {
	result := message.Result()
	record, ok := machine.keys[result.ID().Key()]
	if !ok && result.Code() == almondcross.CodeNone && result.ID().Index() == 0 {
		record = machine.recordOfAnswer(result.ID().Key(), now)
	}
	if record == nil || record.standing || record.entry.Class() == almondcross.ClassGang || result.Code() != almondcross.CodeNone {
		return
	}
	switch record.phase {
	case phaseLooking, phaseHeld, phaseClaiming, phaseClaimedElsewhere:
	default:
		return
	}
	record.ran = true
	// The claimer settles only keys that were claimed.
	record.claimed = record.entry.Name() == "" || !record.entry.Repeatable()
	outcome := outcomeOf(result.ID().Key(), almondcross.StatusDone, almondcross.CodeNone)
	machine.finish(record, outcome.WithAnswer(result.Answer()).WithTarget(message.Target()), now)
}

// recordOfAnswer returns a record for an answer that nobody has asked for here yet.
func (machine *Machine) recordOfAnswer(key almondcross.Key, now time.Time) *record {
	if key.Caller() == serviceCaller {
		return nil
	}
	added := &record{phase: phaseHeld, submittedAt: now}
	added.request = almondcross.NewRequest(almondcross.RequestConfig{Key: key})
	machine.keys[key] = added
	return added
}

func (machine *Machine) taskLost(message almondcross.TaskLost, now time.Time) {
	record, task := machine.find(message.ID(), message.Attempt())
	if record == nil {
		return
	}
	// Another holder may have adopted the task under a newer term.
	if task.ended || (task.started && (message.Target() != task.target || message.Term().Less(task.term))) {
		return
	}
	record.ran = true
	task.started, task.ended, task.target = true, true, message.Target()
	task.result = failedResult(task.task, almondcross.CodeTargetLost)
	machine.conclude(record, now)
}

// conclude ends an attempt once all its tasks have ended.
func (machine *Machine) conclude(record *record, now time.Time) {
	failed, code := firstFailure(record)
	if failed && len(record.tasks) > 1 && !record.allEnded() {
		machine.stopTasks(record, code)
		return
	}
	if !record.allEnded() {
		return
	}
	switch {
	case record.standing:
		machine.backOff(record, code, now)
	case !failed:
		outcome := outcomeOf(record.request.Key(), almondcross.StatusDone, almondcross.CodeNone)
		outcome = outcome.WithAnswer(joinAnswers(record)).WithTarget(record.tasks[0].target)
		machine.finish(record, outcome, now)
	case machine.mayRepeat(record, code):
		machine.tell(record, "repeated", code, record.tasks[0].target, now)
		machine.advance(record, now)
	default:
		machine.finish(record, failedOutcome(record, code), now)
	}
}

// firstFailure returns the reason of the first task that ended without an answer.
func firstFailure(record *record) (bool, almondcross.Code) {
	for _, task := range record.tasks {
		if task.ended && task.result.Code() != almondcross.CodeNone {
			return true, task.result.Code()
		}
	}
	return false, almondcross.CodeNone
}

// joinAnswers returns the answers of all tasks in order, one to a line.
func joinAnswers(record *record) []byte {
	answers := make([][]byte, len(record.tasks))
	for index, task := range record.tasks {
		answers[index] = task.result.Answer()
	}
	return bytes.Join(answers, []byte("\n"))
}

// mayRepeat reports whether a failed attempt is followed by another one. Losses and preemptions are
// not the fault of the work; other failures count towards a limit.
func (machine *Machine) mayRepeat(record *record, code almondcross.Code) bool {
	if !record.entry.Repeatable() || record.cancelled {
		return false
	}
	if code == almondcross.CodeTargetLost || code == almondcross.CodePreemptedUrgent || code == almondcross.CodeLentShareReturned {
		return true
	}
	if code != almondcross.CodeTaskFailed {
		return false
	}
	record.failures++
	if record.failedOn == nil {
		record.failedOn = map[string]bool{}
	}
	for _, task := range record.tasks {
		record.failedOn[task.target] = true
		record.avoid = task.target
	}
	return len(record.failedOn) < mostFailures && record.failures < mostAttempts
}

func failedOutcome(record *record, code almondcross.Code) almondcross.Outcome {
	key := record.request.Key()
	if code == almondcross.CodeTargetLost {
		return outcomeOf(key, almondcross.StatusUnknown, code).WithTarget(record.tasks[0].target)
	}
	return outcomeOf(key, almondcross.StatusFailed, code).WithTarget(record.tasks[0].target)
}
