package scheduler

import (
	"slices"

	"github.com/almondcross/almondcross"
)

const (
	// minAttempts is the number of attempts of a task whose queue has no limit. With no limit at all, a task that always
	// fails would use capacity forever.
	minAttempts = 1
	// maxLostRuns is how many of the last lost runs of a task are kept, so that a late failure of theirs counts. A run is lost
	// at most once in the duration of a lease.
	maxLostRuns = 16
)

// attemptLimit returns the number of failed runs of a task with which the job fails, and false if the settings of the job are
// not known. The tasks of a queue without a limit get minAttempts.
func (job *job) attemptLimit() (int, bool) {
	return max(job.settings.Queue().MaxAttempts(), minAttempts), job.settings.Known()
}

// presumesLost reports whether a change ends a run that its worker may have had and may still report, since it did not answer.
func presumesLost(change almondcross.Change) bool {
	return change.End() == almondcross.EndMaybeCrashed || change.End() == almondcross.EndVoid && change.Silent() > 0
}

// withLostRun returns the record of a task with a further lost run.
func withLostRun(record almondcross.TaskRecord, run int) almondcross.TaskRecord {
	runs := append(slices.Clone(record.LostRuns()), run)
	return record.WithLostRuns(runs[max(0, len(runs)-maxLostRuns):])
}

// withoutLostRun returns the record of a task with a lost run removed.
func withoutLostRun(record almondcross.TaskRecord, run int) almondcross.TaskRecord {
	if !slices.Contains(record.LostRuns(), run) {
		return record
	}
	runs := slices.Clone(record.LostRuns())
	return record.WithLostRuns(slices.DeleteFunc(runs, func(lost int) bool { return lost == run }))
}

// forgetLostRun removes a lost run of a gang, whose failure has been counted, from all members.
func (stage *stage) forgetLostRun(run int) {
	stage.tasks.change(func(record almondcross.TaskRecord) almondcross.TaskRecord { return withoutLostRun(record, run) })
}

// countLateFailure counts the failure of a lost run and returns the verdict on the job.
func (state *state) countLateFailure(job *job, stage *stage, index int, change almondcross.Change) almondcross.Verdict {
	run := change.Run()
	if stage.spec.Gang() {
		stage.gangFailures++
		stage.forgetLostRun(run)
	} else {
		record := withoutLostRun(stage.tasks.at(index), run)
		stage.tasks.set(index, record.WithFailures(record.Failures()+1))
	}
	verdict := state.verdictOn(job, stage, change, false)
	state.compactJob(job)
	return verdict
}

// startedBeyondLimit reports whether a task has been started after as many failed runs as are allowed, given that a lost run
// has failed as well.
func (job *job) startedBeyondLimit(stage *stage, index, lostRun int) bool {
	record := stage.tasks.at(index)
	limit, known := job.attemptLimit()
	if !known || record.Run() == lostRun {
		return false
	}
	failures, active := record.Failures(), record.Active()
	if stage.spec.Gang() {
		failures, active = stage.gangFailures, stage.activeTasks > 0
	}
	// A last run that has failed itself was started before its own failure.
	lastFailed := !active && !record.Done() && !slices.Contains(record.LostRuns(), record.Run())
	if lastFailed {
		return failures >= limit
	}
	return failures+1 >= limit
}

// recordLateFailure handles the reported failure of a run that was presumed lost, by this scheduler or one before it. It
// counts as a failed attempt. If the task has been started again although this failure was the last one allowed, it is not
// acknowledged (see supersede).
func (machine *Machine) recordLateFailure(worker *worker, end almondcross.EndedTask) {
	job, stage, found := machine.state.find(end.Task())
	if !found || end.Kind() != almondcross.EndFailed || stage.spec.Service() {
		return
	}
	index := end.Task().Index
	if !slices.Contains(stage.tasks.at(index).LostRuns(), end.Run()) {
		return
	}
	outcome := "counted"
	if job.startedBeyondLimit(stage, index, end.Run()) {
		outcome = worker.supersede(end)
	} else {
		machine.recordFailure(worker, job, end)
	}
	machine.config.Log.Record("late_failure", almondcross.Text("task", end.Task().String()), almondcross.Number("run", end.Run()),
		almondcross.Text("worker", worker.id), almondcross.Text("outcome", outcome))
}

// recordFailure records the failure of a lost run.
func (machine *Machine) recordFailure(worker *worker, job *job, end almondcross.EndedTask) {
	wasFinal := job.state.Final()
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: end.Task(), Run: end.Run(), End: almondcross.EndFailed, Worker: worker.id,
	})
	if job.state.Final() && !wasFinal {
		machine.jobFinished(job)
	}
}
