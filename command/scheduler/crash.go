package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// predates reports whether a run was assigned to its worker before an incarnation of that worker began. A scheduler
// that takes over has not seen the earlier incarnation.
func (assignment *assignment) predates(incarnation int64) bool {
	return time.UnixMilli(incarnation).After(assignment.stage.tasks[assignment.task.Index].Since())
}

// missingEnd returns how a run ended that its worker does not have.
func (assignment *assignment) missingEnd() almondcross.EndKind {
	if assignment.workerCrashed {
		return almondcross.EndWorkerCrashed
	}
	return almondcross.EndVoid
}

// lostRunEnd returns how the runs of an unreachable worker ended whose lease has expired. A worker that is still
// announced, or has said that it leaves, has not crashed.
func (machine *Machine) lostRunEnd(worker *worker) almondcross.EndKind {
	if worker.announced || worker.drained || !machine.leader.workersListed {
		return almondcross.EndVoid
	}
	return almondcross.EndWorkerCrashed
}
