package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// maxCrashes is the number of workers that may crash under a task before its job fails. A bystander of the task
	// that crashes them rarely gets that far, because a task with a crash gets no second chance beside another one.
	maxCrashes = 3
	// crashAttribution is how long a run may have been on its worker for a crash to count against its task. A task
	// that crashes its workers does so on each of them, so a run that worked for longer was a bystander.
	crashAttribution = time.Minute
)

// countCrash counts a crash of the worker under the last run of a task.
func (state *state) countCrash(record almondcross.TaskRecord) almondcross.TaskRecord {
	if state.batchTime.Sub(record.Since()) > crashAttribution {
		return record.WithCrashes(0)
	}
	return record.WithCrashes(record.Crashes() + 1)
}

// updateMaxCrashes computes the highest number of crashes of a task anew.
func (stage *stage) updateMaxCrashes() {
	stage.maxCrashes = 0
	for _, record := range stage.tasks {
		stage.maxCrashes = max(stage.maxCrashes, record.Crashes())
	}
}

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

// endRunsOfReplaced ends the runs of a worker at whose address another one answers: its process, and all that ran on it,
// has ended, whatever is left of the lease.
func (machine *Machine) endRunsOfReplaced(worker *worker) {
	kind := almondcross.EndWorkerCrashed
	if worker.drained {
		kind = almondcross.EndVoid
	}
	for _, assignment := range slices.Collect(maps.Values(worker.assignments)) {
		if assignment.phase != phaseCommitting {
			machine.endRun(worker, assignment, kind, assignment.checkpoint)
		}
	}
}

// logGivenUp tells that a job has failed because workers crashed under a task.
func (machine *Machine) logGivenUp(assignment *assignment, kind almondcross.EndKind) {
	if kind != almondcross.EndWorkerCrashed {
		return
	}
	machine.config.Log.Record("task_given_up", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Number("crashes", assignment.stage.tasks[assignment.task.Index].Crashes()))
}
