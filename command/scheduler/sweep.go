package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// stalled reports whether a run makes no progress although its worker answers.
func (assignment *assignment) stalled(worker *worker, now time.Time) bool {
	limit := stallTimeout
	if assignment.progress >= fullProgress {
		limit = assignment.overdueLimit()
	}
	return assignment.phase == phaseConfirmed && assignment.stopReason == "" && !assignment.stage.spec.Service() && !worker.unreachable &&
		now.Sub(assignment.progressAt) > limit && worker.lastAnswerAt.Sub(assignment.progressAt) > limit
}

// overdueLimit returns how long a run may be at fullProgress. Tasks that take several times their estimate would be stopped before
// they end, so the limit follows the expected run time and grows with each run.
func (assignment *assignment) overdueLimit() time.Duration {
	expected := max(assignment.stage.spec.Estimate(), assignment.stage.runTime.expected)
	limit := max(float64(overdueTimeout), overdueFactor*float64(expected)) * float64(min(max(assignment.run, 1), maxOverdueRuns))
	return time.Duration(min(limit, float64(maxOverdueLimit)))
}

// sweepWorkers updates the failed share, records silent workers, ends the runs of lost ones, stops stalled runs, repeats
// unanswered stop orders and removes workers that have left.
func (machine *Machine) sweepWorkers() {
	machine.leader.updateFailedShare()
	machine.sweepQuotas()
	machine.balanceSpeeds()
	var left []*worker
	for _, worker := range machine.leader.sortedWorkers {
		if worker.outOfContact() {
			machine.recordSilence(worker)
		}
		machine.sweepRuns(worker, worker.outOfContact() && machine.now.After(machine.presumedLostAt(worker)))
		if machine.hasLeft(worker) {
			left = append(left, worker)
		}
	}
	for _, worker := range left {
		machine.config.Log.Record("worker_removed", almondcross.Text("worker", worker.id), almondcross.Millis("age_ms", machine.now.Sub(machine.lastContact(worker))))
		machine.endSilence(worker)
		machine.endUnlisted(worker)
		machine.emit(ReleaseWorker{Worker: worker.id})
		if machine.leader.speeds != nil {
			machine.leader.speeds.Forget(worker.id)
		}
		machine.leader.removedFence = max(machine.leader.removedFence, worker.fence)
		delete(machine.leader.workers, worker.id)
		machine.leader.sortedWorkers = slices.DeleteFunc(machine.leader.sortedWorkers, worker.equals)
	}
}

// hasLeft reports whether a worker may be removed: it has no runs, has not been heard of for workerRetention, and its lease has
// expired. What is known of the lease goes with it.
func (machine *Machine) hasLeft(worker *worker) bool {
	return !worker.announced && len(worker.assignments) == 0 && machine.now.Sub(machine.lastContact(worker)) > workerRetention &&
		machine.now.After(machine.leaseExpiredAt(worker))
}

// sweepRuns ends the runs of a lost worker, ends the suspicion of old ones, stops those that are no longer wanted or make no progress, and repeats
// unanswered stop orders.
func (machine *Machine) sweepRuns(worker *worker, lost bool) {
	lostEnd := worker.lostRunEnd()
	for _, assignment := range worker.sortedAssignments() {
		machine.endProbation(worker, assignment)
		switch {
		case lost && assignment.phase != phaseCommitting:
			assignment.presumedLost = true
			machine.endRun(worker, assignment, assignment.crashEnd(lostEnd), assignment.checkpoint)
		case !machine.stopUnwanted(worker, assignment) && assignment.stalled(worker, machine.now):
			machine.stopStalled(worker, assignment)
		case assignment.stopDue(machine.now) && worker.managed && !worker.unreachable:
			machine.sendStop(worker, assignment)
		}
	}
}

func (worker *worker) equals(other *worker) bool { return worker == other }
