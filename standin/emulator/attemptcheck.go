package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// attempts holds the failed runs of a task and the starts that came after too many of them.
type attempts struct {
	failures   []*failedRun
	lateStarts []lateStart
}

// notingTime is how long after a worker has listed an end it counts as noted, if no disturbance is near by then.
const notingTime = 100 * time.Millisecond

// failedRun is a run that ended as failed. It counts once the scheduler has taken note of it: with the
// acknowledgement, or after notingTime if there was no disturbance near. A scheduler that never heard of it, because the
// worker crashed first, cannot count it.
type failedRun struct {
	run     int
	endedAt time.Duration
	noted   bool
}

// lateStart is a start after as many failures as are allowed, of which not all were taken note of yet.
type lateStart struct {
	run      int
	failures int // failures is the number of failures before the start.
	allowed  int
}

// noted returns how many of the first failures were taken note of.
func (attempts *attempts) noted(first int) int {
	count := 0
	for _, failure := range attempts.failures[:first] {
		if failure.noted {
			count++
		}
	}
	return count
}

// checkAttempts checks a start of a task against the allowed number of failed runs. If some failures have not been
// taken note of, the check is repeated when they are.
func (checker *checker) checkAttempts(task almondcross.JobTask, run int, history *taskHistory, allowed int) {
	failures := len(history.attempts.failures)
	switch {
	case failures < allowed:
	case history.attempts.noted(failures) >= allowed:
		checker.addViolation("BUDGET", "%s run %d after %d failures", task, run, failures)
	default:
		history.attempts.lateStarts = append(history.attempts.lateStarts, lateStart{run: run, failures: failures, allowed: allowed})
	}
}

// noteFailure records that the scheduler acknowledged a failed run, unless the worker's lease expired between the end
// and the acknowledgement.
func (checker *checker) noteFailure(worker *modelWorker, end almondcross.EndedTask, history *taskHistory) {
	for _, failure := range history.attempts.failures {
		if failure.run == end.Run() && worker.leaseExpiredAt <= failure.endedAt {
			failure.noted = true
		}
	}
	checker.recheckLateStarts(end.Task(), history)
}

// addFailure records a run that ended as failed.
func (checker *checker) addFailure(now time.Duration, run *modelRun, history *taskHistory) {
	failure := &failedRun{run: run.number, endedAt: now}
	history.attempts.failures = append(history.attempts.failures, failure)
	checker.simulation.schedule(notingTime, func() {
		if checker.simulation.now >= checker.simulation.disturbances.calmSince() {
			failure.noted = true
			checker.recheckLateStarts(run.task, history)
		}
	})
}

// recheckLateStarts checks the late starts of a task once more, since a further failure has been taken note of.
func (checker *checker) recheckLateStarts(task almondcross.JobTask, history *taskHistory) {
	remaining := history.attempts.lateStarts[:0]
	for _, start := range history.attempts.lateStarts {
		if history.attempts.noted(start.failures) < start.allowed {
			remaining = append(remaining, start)
			continue
		}
		checker.addViolation("BUDGET", "%s run %d after %d failures", task, start.run, start.failures)
	}
	history.attempts.lateStarts = remaining
}
