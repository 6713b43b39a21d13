package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Bounds on the runs of a cancelled job, from the acknowledgement of the cancellation.
const (
	cancelBound = 3 * time.Second // cancelBound is until when a host may start its tasks.
	// stopBound is how much later its tasks have ended: the time of a stop on the worker and one advance.
	stopBound = stopTime + advanceInterval
)

// checkCancelledStart checks that a host in touch does not start a task of a cancelled job. The time of a start that
// the worker carried out late says nothing about its host.
func (checker *checker) checkCancelledStart(now time.Duration, task almondcross.JobTask, job *modelJob, delivered delivery) {
	if job.cancelledAt == 0 || now-job.cancelledAt <= cancelBound || delivered.late || !checker.simulation.disturbances.inTouch(delivered.sender, now) {
		return
	}
	checker.addViolation("UNASKED", "%s started by %s %s after its cancellation was acknowledged", task, delivered.sender.name, now-job.cancelledAt)
}

// checkCancelledRuns checks that no run of a cancelled job goes on for longer than cancelBound and stopBound, counted
// from the acknowledgement, from the last disturbance and, for a run that began late, from its start.
func (checker *checker) checkCancelledRuns(now time.Duration, worker *modelWorker) {
	if !worker.runsCancelledJob() {
		return
	}
	for _, run := range worker.sortedRuns() {
		since := max(run.job.cancelledAt, checker.simulation.disturbances.calmSince())
		if run.late {
			since = max(since, run.startedAt+contactTime)
		}
		if run.job.cancelledAt > 0 && !run.reported && now > since+cancelBound+stopBound {
			run.reported = true
			checker.addViolation("UNASKED", "%s run %d runs on on %s, begun at %.3f s; its cancellation was acknowledged at %.3f s",
				run.task, run.number, worker.id, (run.startedAt - warmUp).Seconds(), (run.job.cancelledAt - warmUp).Seconds())
		}
	}
}

func (modelworker *modelWorker) runsCancelledJob() bool {
	for _, run := range modelworker.runs {
		if run.job.cancelledAt > 0 {
			return true
		}
	}
	return false
}
