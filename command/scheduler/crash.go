package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// minConfirmedCrashes is the number of workers that have to have crashed under started runs of a task for its job to
	// fail.
	minConfirmedCrashes = 2
	// minCrashes is the weighed count of crashes under a task from which its job may fail, given minConfirmedCrashes and
	// minEvidence: two workers, if the task was alone with others of its job on one of them, three otherwise.
	minCrashes = 3
	// maxLosses is the number of losses of a task at which its job fails whatever they are evidence of. A task that crashes its
	// workers may be started twice more after the third crash, however these runs end.
	maxLosses = 5
	// crashAttribution and serviceCrashAttribution are how long a run may have been on its worker for its end to be evidence
	// against its task. A task that crashes its workers does so on each of them, so a run that worked for longer was a
	// bystander, though its crash still counts towards maxLosses. A service runs for as long as its workers do and would
	// else be given up for crashes of theirs.
	crashAttribution        = time.Minute
	serviceCrashAttribution = 10 * time.Second
)

// isCrash reports whether a run ended because its worker crashed.
func isCrash(kind almondcross.EndKind) bool {
	return kind == almondcross.EndWorkerCrashed || kind == almondcross.EndCrashedAlone || kind == almondcross.EndMaybeCrashed
}

// countLoss counts the end of the last run of a task if it is a loss: the crash of its worker or, after minCrashes crashes, another end
// soon after the start. It reports whether it was one.
func (state *state) countLoss(stage *stage, change almondcross.Change) bool {
	index := change.Task().Index
	record := stage.tasks.at(index)
	endedAt := state.batchTime.Add(-change.Silent())
	switch {
	case isCrash(change.End()):
		state.countCrash(stage, index, change.End(), endedAt)
		return true
	case record.Done() || record.Crashes() < minCrashes || !mayHaveStarted(change):
		return false
	case endedAt.Sub(record.Since()) > stage.crashAttribution(): // The run was a bystander.
		return false
	default:
		stage.tasks.set(index, record.WithLosses(record.Losses()+1))
		return true
	}
}

// mayHaveStarted reports whether a run that has ended may have been at work. A start that the worker has refused was not.
func mayHaveStarted(change almondcross.Change) bool {
	return change.End() != almondcross.EndVoid || presumesLost(change)
}

// countCrash counts a crash of the worker under the last run of a task. Contact with the worker was lost at a time.
func (state *state) countCrash(stage *stage, index int, kind almondcross.EndKind, lostAt time.Time) {
	record := stage.tasks.at(index)
	worked := lostAt.Sub(record.Since())
	if kind != almondcross.EndMaybeCrashed {
		state.addWorkerCrash(record.Worker(), lostAt, worked <= crashOnset)
	}
	switch {
	case worked > stage.crashAttribution():
		record = record.WithCrashes(0).WithConfirmed(0).WithEvidence(0).WithLosses(record.Losses() + 1)
		if stage.spec.Service() {
			record = record.WithLosses(0) // A service outlives many workers.
		}
	case kind == almondcross.EndMaybeCrashed:
		record = record.WithCrashes(record.Crashes() + 1).WithLosses(record.Losses() + 1)
	case kind == almondcross.EndCrashedAlone:
		record = confirmCrash(record.WithCrashes(record.Crashes()+2), worked)
	default:
		record = confirmCrash(record.WithCrashes(record.Crashes()+1), worked)
	}
	stage.tasks.set(index, record)
	stage.updateMaxCrashes()
}

// crashAttribution returns how long a run may have been on its worker for a crash to count against its task.
func (stage *stage) crashAttribution() time.Duration {
	if stage.spec.Service() {
		return serviceCrashAttribution
	}
	return crashAttribution
}

// givenUp reports whether so many workers have crashed under a task that it is not started again: so many that hardly
// another cause than the task explains them, or as many as are allowed. A service, whose users need it, gets as many starts
// as are allowed.
func (state *state) givenUp(stage *stage, index int) bool {
	record := stage.tasks.at(index)
	enough := record.Crashes() >= minCrashes && record.Confirmed() >= minConfirmedCrashes && !stage.spec.Service() &&
		record.Evidence()+record.Confirmed()*state.crashRarity(record.Losses()) >= minEvidence
	return !record.Done() && (enough || record.Losses() >= maxLosses)
}

// updateMaxCrashes computes the highest count of crashes of a task anew.
func (stage *stage) updateMaxCrashes() {
	stage.maxCrashes = 0
	for _, record := range stage.tasks.known() {
		stage.maxCrashes = max(stage.maxCrashes, record.Crashes())
	}
}

// predates reports whether a run was assigned to its worker before an incarnation of that worker began. A scheduler
// that takes over has not seen the earlier incarnation.
func (assignment *assignment) predates(incarnation int64) bool {
	return time.UnixMilli(incarnation).After(assignment.stage.tasks.at(assignment.task.Index).Since())
}

// crashEnd returns how the started runs of a worker ended whose process has ended. A worker that has said that it leaves
// has not crashed.
func (worker *worker) crashEnd() almondcross.EndKind {
	if worker.drained {
		return almondcross.EndVoid
	}
	var only *job
	for _, assignment := range worker.assignments {
		switch {
		case assignment.phase == phaseCommitting:
		case only == nil:
			only = assignment.job
		case only != assignment.job:
			return almondcross.EndWorkerCrashed
		}
	}
	return almondcross.EndCrashedAlone
}

// crashEnd returns how a run ended, given the crashEnd of its worker.
func (assignment *assignment) crashEnd(worker almondcross.EndKind) almondcross.EndKind {
	if isCrash(worker) && assignment.confirmedAt.IsZero() {
		return almondcross.EndMaybeCrashed
	}
	return worker
}

// silentFor returns for how long contact with the worker of a crashed or lost run has been lost, at most since the election, so
// that the wait for its lease does not count as a time in which the run was at work. It is zero for other runs.
func (machine *Machine) silentFor(worker *worker, assignment *assignment, kind almondcross.EndKind) time.Duration {
	if !isCrash(kind) && !assignment.presumedLost {
		return 0
	}
	lostAt := assignment.lostAt
	if lostAt.IsZero() {
		lostAt = worker.lostAt()
	}
	if lostAt.IsZero() {
		lostAt = machine.leader.electedAt
	}
	// Followers count back from the time of the batch, which may have begun before the loss.
	machine.beginBatch()
	recordedAt := machine.now
	if machine.state.batchTime.Before(recordedAt) {
		recordedAt = machine.state.batchTime
	}
	return max(recordedAt.Sub(lostAt).Truncate(time.Millisecond), time.Millisecond)
}

// lostAt returns when contact with the worker was lost or last held, zero for a worker without contact.
func (worker *worker) lostAt() time.Time {
	if worker.unreachableSince.After(worker.lastAnswerAt) {
		return worker.unreachableSince
	}
	return worker.lastAnswerAt
}

// lostRunEnd returns how the started runs of an unreachable worker ended whose lease has expired. A worker that is still
// announced has not crashed. One that is not, or of which a new scheduler has not read that it is, and that does not refuse
// connections, may only be cut off.
func (worker *worker) lostRunEnd() almondcross.EndKind {
	if worker.announced {
		return almondcross.EndVoid
	}
	end := worker.crashEnd()
	if isCrash(end) && !worker.refused {
		return almondcross.EndMaybeCrashed
	}
	return end
}

// endRunsOfReplaced ends the runs of a worker at whose address another one answers: its process, and all that ran on it,
// has ended, whatever is left of the lease.
func (machine *Machine) endRunsOfReplaced(worker *worker) {
	kind := worker.crashEnd()
	for _, assignment := range worker.sortedAssignments() {
		if assignment.phase != phaseCommitting {
			machine.endRun(worker, assignment, assignment.crashEnd(kind), assignment.checkpoint)
		}
	}
}

// logGivenUp logs that a job has failed because workers crashed under a task.
func (machine *Machine) logGivenUp(assignment *assignment, kind almondcross.EndKind) {
	record := assignment.stage.tasks.at(assignment.task.Index)
	if !isCrash(kind) && record.Losses() < maxLosses {
		return
	}
	machine.config.Log.Record("task_given_up", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Number("losses", record.Losses()), almondcross.Number("evidence", record.Evidence()),
		almondcross.Number("rarity", machine.state.crashRarity(record.Losses())))
}
