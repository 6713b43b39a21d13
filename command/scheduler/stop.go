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

// unwantedReason returns why the state no longer wants a run, empty if it does. The reason follows from the journal
// alone, so that a new scheduler stops the runs that its predecessor had to stop.
func (assignment *assignment) unwantedReason() stopReason {
	stage := assignment.stage
	switch {
	case assignment.job.state.Final():
		return stopJobFinal
	case stage.spec.Gang() && stage.remainingTasks > 0 && stage.activeTasks < stage.tasks.len():
		return stopGangBroken
	default:
		return ""
	}
}

// requestStop marks a run as no longer wanted. The sweep sends the stop order, and repeats it, until the run has ended.
func (machine *Machine) requestStop(worker *worker, assignment *assignment, reason stopReason) {
	assignment.stopReason = reason
	machine.config.Log.Record("stop_requested", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Text("reason", string(reason)))
	if assignment.stopDue(machine.now) && worker.managed {
		machine.sendStop(worker, assignment)
	}
}

// sendStop sends a stop order once the journal holds the reason for it.
func (machine *Machine) sendStop(worker *worker, assignment *assignment) {
	assignment.nextStopAt, assignment.stopSentAt = machine.now.Add(stopRetryDelay), machine.now
	machine.afterCommit(func() {
		if worker.assignments[assignment.task] != assignment {
			return
		}
		machine.config.Metrics.StopSent(string(assignment.stopReason))
		machine.emit(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
			Worker: worker.info, Incarnation: worker.incarnation, Task: assignment.task, Run: assignment.run, Fence: worker.fence,
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
		worker.noteUnanswered(answer.Order().Fence())
	}
}

// stopStage stops the runs of a stage that are no longer wanted. The sweep would find them too, up to sweepInterval later.
func (machine *Machine) stopStage(stage *stage) {
	for index, record := range stage.tasks.known() {
		if !record.Active() {
			continue
		}
		worker := machine.leader.workers[record.Worker()]
		if worker == nil {
			continue
		}
		if run := worker.assignments[almondcross.JobTask{Stage: stage.id, Index: index}]; run != nil {
			machine.stopUnwanted(worker, run)
		}
	}
}

// stopJobRuns stops the remaining runs of a final job.
func (machine *Machine) stopJobRuns(job *job) {
	for _, stage := range job.stages {
		if stage != nil {
			machine.stopStage(stage)
		}
	}
}

// stopUnwanted requests the stop of a run that is no longer wanted, and reports whether it is not.
func (machine *Machine) stopUnwanted(worker *worker, assignment *assignment) bool {
	if assignment.stopReason != "" {
		return true
	}
	reason := assignment.unwantedReason()
	if reason == "" {
		return false
	}
	machine.requestStop(worker, assignment, reason)
	return true
}

// stopDue reports whether the stop order of a run must be sent again. A pending order is not repeated, because
// many repeats would delay the other orders to a distant worker.
func (assignment *assignment) stopDue(now time.Time) bool {
	pending := !assignment.stopSentAt.IsZero() && now.Sub(assignment.stopSentAt) < stopTimeout
	return assignment.stopReason != "" && assignment.phase != phaseCommitting && !now.Before(assignment.nextStopAt) && !pending
}

// stopStalled stops a run that makes no progress, so that it is restarted on another worker.
func (machine *Machine) stopStalled(worker *worker, assignment *assignment) {
	machine.config.Log.Record("run_stalled", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Number("progress", assignment.progress),
		almondcross.Millis("unchanged_ms", machine.now.Sub(assignment.progressAt)))
	worker.avoidUntil = machine.now.Add(stallBackoff)
	machine.requestStop(worker, assignment, stopStalled)
}
