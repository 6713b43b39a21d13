package cell_test

import (
	"fmt"

	"github.com/almondcross/almondcross"
)

// checks holds what the promises are checked against: the workers' own record of starts and stops.
type checks struct {
	violations []string
	running    map[almondcross.TaskID]map[string]bool
	starts     map[almondcross.Key]int
	notRun     map[almondcross.Key]bool // notRun holds keys whose callers were told not_run and did not ask again.
	done       map[almondcross.Key]bool
}

func newChecks() checks {
	return checks{
		running: map[almondcross.TaskID]map[string]bool{}, starts: map[almondcross.Key]int{},
		notRun: map[almondcross.Key]bool{}, done: map[almondcross.Key]bool{},
	}
}

func (checks *checks) fail(format string, arguments ...any) {
	checks.violations = append(checks.violations, fmt.Sprintf(format, arguments...))
}

func (checks *checks) started(world *world, worker *worker, task almondcross.Task) {
	id, key := task.ID(), task.ID().Key()
	if checks.running[id] == nil {
		checks.running[id] = map[string]bool{}
	}
	checks.running[id][worker.name] = true
	if len(checks.running[id]) > 1 {
		checks.fail("P2: %s runs on %v", id, checks.running[id])
	}
	checks.starts[key]++
	if !task.Repeatable() && checks.starts[key] > 1 {
		checks.fail("P5: %s was started %d times", key, checks.starts[key])
	}
	if checks.notRun[key] {
		checks.fail("P4: %s was started on %s after its caller was told not_run", key, worker.name)
	}
	_ = world
}

func (checks *checks) stopped(worker *worker, id almondcross.TaskID) {
	delete(checks.running[id], worker.name)
}

// told checks an outcome against its request.
func (checks *checks) told(key almondcross.Key, outcome almondcross.Outcome) {
	if outcome.Key() != key {
		checks.fail("P3: the caller of %s got the outcome of %s", key, outcome.Key())
	}
	switch outcome.Status() {
	case almondcross.StatusDone:
		checks.done[key] = true
		if string(outcome.Answer()) != string(answerOf(key)) {
			checks.fail("P3: the caller of %s got %q", key, outcome.Answer())
		}
	case almondcross.StatusNotRun:
		if outcome.Code() == almondcross.CodeKeyConflict {
			return
		}
		if checks.starts[key] > 0 && outcome.Code() != almondcross.CodeCancelled {
			checks.fail("P4: the caller of %s was told not_run (%s) after %d starts", key, outcome.Code(), checks.starts[key])
		}
	}
}
