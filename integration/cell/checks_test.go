package cell_test

import (
	"fmt"

	"github.com/almondcross/almondcross"
)

// checker checks the guarantees P2 to P5 against the starts and stops that the workers record, and collects
// the violations.
type checker struct {
	violations []string
	running    map[almondcross.TaskID]map[string]bool
	starts     map[almondcross.Key]int
	notRun     map[almondcross.Key]bool // notRun holds the keys whose callers received not_run and have not sent the request again.
	completed  map[almondcross.Key]bool
}

func newChecker() checker {
	return checker{
		running: map[almondcross.TaskID]map[string]bool{}, starts: map[almondcross.Key]int{},
		notRun: map[almondcross.Key]bool{}, completed: map[almondcross.Key]bool{},
	}
}

func (checker *checker) fail(format string, arguments ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, arguments...))
}

func (checker *checker) recordStart(cell *cell, worker *worker, task almondcross.Task) {
	id, key := task.ID(), task.ID().Key()
	if checker.running[id] == nil {
		checker.running[id] = map[string]bool{}
	}
	checker.running[id][worker.name] = true
	if len(checker.running[id]) > 1 {
		checker.fail("P2: %s runs on %v", id, checker.running[id])
	}
	checker.starts[key]++
	if !task.Repeatable() && checker.starts[key] > 1 {
		checker.fail("P5: %s was started %d times", key, checker.starts[key])
	}
	if checker.notRun[key] {
		checker.fail("P4: %s was started on %s after its caller received not_run", key, worker.name)
	}
	_ = cell
}

func (checker *checker) recordStop(worker *worker, id almondcross.TaskID) {
	delete(checker.running[id], worker.name)
}

// checkAnswer checks an outcome that a caller received against its request and the recorded starts.
func (checker *checker) checkAnswer(key almondcross.Key, outcome almondcross.Outcome) {
	if outcome.Key() != key {
		checker.fail("P3: the caller of %s got the outcome of %s", key, outcome.Key())
	}
	switch outcome.Status() {
	case almondcross.StatusDone:
		checker.completed[key] = true
		if string(outcome.Answer()) != string(answerOf(key)) {
			checker.fail("P3: the caller of %s got %q", key, outcome.Answer())
		}
	case almondcross.StatusNotRun:
		if outcome.Code() == almondcross.CodeKeyConflict {
			return
		}
		if checker.starts[key] > 0 {
			checker.fail("P4: the caller of %s received not_run (%s) after %d starts", key, outcome.Code(), checker.starts[key])
		}
	}
}
