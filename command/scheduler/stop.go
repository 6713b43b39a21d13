package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// stopReason is why a run is no longer wanted.
type stopReason string

const (
	stopJobFinal   stopReason = "job_final"   // stopJobFinal means that the job was cancelled, has failed or is complete.
	stopGangBroken stopReason = "gang_broken" // stopGangBroken means that another member of the gang has ended.
	stopStalled    stopReason = "stalled"     // stopStalled means that the run makes no progress.
)

// stopRun sends the order to stop a run that is no longer wanted.
func (machine *Machine) stopRun(worker *worker, assignment *assignment, reason stopReason) {
	if !assignment.stopRequested {
		machine.config.Log.Record("stop_requested", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
			almondcross.Text("worker", worker.id), almondcross.Text("reason", string(reason)))
	}
	assignment.stopRequested, assignment.stopReason = true, reason
	if assignment.phase == phaseCommitting {
		return
	}
	assignment.nextStopAt, assignment.stopSentAt = machine.now.Add(stopRetryDelay), machine.now
	machine.afterCommit(func() {
		if worker.assignments[assignment.task] != assignment || !worker.managed {
			return // A worker that is not announced yet gets the order in the next sweep.
		}
		machine.config.Metrics.StopSent(string(reason))
		machine.emit(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
			Worker: worker.info, Task: assignment.task, Run: assignment.run, Fence: worker.fence,
		})})
	})
}

func (machine *Machine) stopOrderAnswered(answer almondcross.StopOrderAnswered) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil {
		return
	}
	assigned := worker.assignments[answer.Order().Task()]
	if assigned == nil || assigned.run != answer.Order().Run() {
		return
	}
	if answer.Result() != almondcross.OrderDone {
		machine.config.Log.Record("stop_unanswered", almondcross.Text("task", assigned.task.String()), almondcross.Number("run", assigned.run),
			almondcross.Text("worker", worker.id), almondcross.Text("result", string(answer.Result())),
			almondcross.Millis("age_ms", machine.now.Sub(assigned.stopSentAt)))
	}
	assigned.nextStopAt, assigned.stopSentAt = machine.now.Add(stopRetryDelay), time.Time{}
	if answer.Result() == almondcross.OrderUnknown {
		worker.raiseFence = true
	}
}

// stopStage stops the active runs of a stage: of a final job, or of a gang whose run can no longer succeed.
func (machine *Machine) stopStage(stage *stage, reason stopReason) {
	for index, record := range stage.tasks {
		if !record.Active() {
			continue
		}
		worker := machine.leader.workers[record.Worker()]
		if worker == nil {
			continue
		}
		if member := worker.assignments[almondcross.JobTask{Stage: stage.id, Index: index}]; member != nil && !member.stopRequested {
			machine.stopRun(worker, member, reason)
		}
	}
}

// stopJobRuns stops the remaining runs of a final job.
func (machine *Machine) stopJobRuns(job *job) {
	for _, stage := range job.stages {
		machine.stopStage(stage, stopJobFinal)
	}
}

// stopDue reports whether the stop order of a run must be sent again. A pending order is not repeated, because
// many repeats would delay the other orders to a distant worker.
func (assignment *assignment) stopDue(now time.Time) bool {
	pending := !assignment.stopSentAt.IsZero() && now.Sub(assignment.stopSentAt) < stopTimeout
	return assignment.stopRequested && assignment.phase != phaseCommitting && !now.Before(assignment.nextStopAt) && !pending
}

// stopStalled stops a run that makes no progress, so that it is restarted on another worker.
func (machine *Machine) stopStalled(worker *worker, assignment *assignment) {
	machine.config.Log.Record("run_stalled", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Number("progress", assignment.progress),
		almondcross.Millis("unchanged_ms", machine.now.Sub(assignment.progressAt)))
	worker.avoidUntil = machine.now.Add(stallBackoff)
	machine.stopRun(worker, assignment, stopStalled)
}
