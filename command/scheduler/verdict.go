package scheduler

import (
	"slices"

	"github.com/almondcross/almondcross"
)

// decide applies a change of this scheduler and returns it as it is recorded, with the verdict on its job. Replicas apply the
// verdict as it stands: their versions may have other rules. It is part of the change, so that no takeover comes between an end
// and what follows from it.
func (state *state) decide(change almondcross.Change) almondcross.Change {
	switch change.Kind() {
	case almondcross.ChangeEnd:
		return change.WithVerdict(state.endTask(change))
	case almondcross.ChangeSettings:
		return change.WithVerdict(state.settleJob(change))
	default:
		state.apply(change)
		return change
	}
}

// endTask applies the end of a run and returns the verdict on its job. A recorded verdict counts also if this state does not
// have the run.
func (state *state) endTask(change almondcross.Change) almondcross.Verdict {
	verdict := change.Verdict()
	if job, stage, found := state.find(change.Task()); found {
		verdict = state.countEnd(job, stage, change)
	}
	return state.applyVerdict(change.Task().Stage.Job, verdict)
}

// settleJob sets the settings of an open job that has none, and returns the verdict on the job: a task may have failed too often
// by them.
func (state *state) settleJob(change almondcross.Change) almondcross.Verdict {
	verdict, settings := change.Verdict(), change.Settings()
	job := state.jobs[change.Job().ID()]
	if job == nil || job.state.Final() || job.settings.Known() || !settings.Known() {
		return state.applyVerdict(change.Job().ID(), verdict)
	}
	if job.settings.Queue().Name() == "" { // A host of the version before has counted the job by the name of its queue.
		state.updateUsage(settings.Queue(), func(usage almondcross.QueueUsage) almondcross.QueueUsage {
			return usage.WithAdmitted(usage.Admitted() + 1)
		})
	}
	state.setSettings(job, settings)
	for _, stage := range job.stages {
		if stage == nil {
			continue
		}
		for index := range stage.tasks.known() {
			if stage.remainingTasks > 0 && verdict == almondcross.VerdictUnknown {
				verdict = state.deriveVerdict(job, stage, index, false)
			}
		}
	}
	return state.applyVerdict(change.Job().ID(), verdict)
}

// verdictOn returns the verdict on the job of a task whose run has ended: the recorded one, or for an end that an earlier version
// recorded without one, the one by the rules of this version. Only a loss gives a task up.
func (state *state) verdictOn(job *job, stage *stage, change almondcross.Change, isLoss bool) almondcross.Verdict {
	if change.Verdict() != almondcross.VerdictUnknown {
		return change.Verdict()
	}
	return state.deriveVerdict(job, stage, change.Task().Index, isLoss)
}

// deriveVerdict returns the verdict that ends the job of a task, VerdictUnknown if none does.
func (state *state) deriveVerdict(job *job, stage *stage, index int, isLoss bool) almondcross.Verdict {
	if job.state.Final() {
		return almondcross.VerdictUnknown
	}
	failures := stage.tasks.at(index).Failures()
	if stage.spec.Gang() {
		failures = stage.gangFailures
	}
	if limit, known := job.attemptLimit(); known && failures >= limit && stage.remainingTasks > 0 && !stage.spec.Service() {
		return almondcross.VerdictAttempts
	}
	if isLoss && state.givenUp(stage, index) {
		return almondcross.VerdictCrashes
	}
	if stage.remainingTasks > 0 || job.startedOccurrences < job.spec.Occurrences() {
		return almondcross.VerdictUnknown
	}
	if !slices.ContainsFunc(job.stages, hasRemainingTasks) {
		return almondcross.VerdictCompleted
	}
	return almondcross.VerdictUnknown
}

// applyVerdict gives a job the state that a verdict stands for, and returns the verdict to record. A final state stays.
func (state *state) applyVerdict(id almondcross.JobID, verdict almondcross.Verdict) almondcross.Verdict {
	job := state.jobs[id]
	if job == nil || job.state.Final() {
		return almondcross.VerdictStarted
	}
	switch verdict {
	case almondcross.VerdictCompleted:
		state.finishJob(job, almondcross.JobCompleted)
	case almondcross.VerdictAttempts, almondcross.VerdictCrashes:
		state.finishJob(job, almondcross.JobFailed)
	case almondcross.VerdictStarted:
		state.startJob(id, 0)
	default: // A verdict of a later version does not end a job here; see the journal's format.
	}
	if job.state.Final() {
		return verdict
	}
	if job.state == almondcross.JobQueued {
		return almondcross.VerdictQueued
	}
	return almondcross.VerdictStarted
}

// showsStart reports whether the end of a run shows that its job has started. A worker reports ends only of runs that it had.
func showsStart(change almondcross.Change) bool {
	switch change.Verdict() {
	case almondcross.VerdictQueued:
		return false
	case almondcross.VerdictStarted:
		return true
	default:
		return change.End() != almondcross.EndVoid && change.End() != almondcross.EndMaybeCrashed
	}
}
