package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// snapshot returns the state as a value; next is the journal offset after its last batch and now the current time.
func (state *state) snapshot(next int64, now time.Time) almondcross.StateSnapshot {
	records := make([]almondcross.JobRecord, 0, len(state.jobs))
	for _, id := range slices.SortedFunc(maps.Keys(state.jobs), func(a, b almondcross.JobID) int { return strings.Compare(string(a), string(b)) }) {
		records = append(records, state.jobs[id].record())
	}
	silent := make([]almondcross.SilentWorker, 0, len(state.silentWorkers))
	for _, worker := range slices.Sorted(maps.Keys(state.silentWorkers)) {
		silence := state.silentWorkers[worker]
		silent = append(silent, almondcross.NewSilentWorker(almondcross.SilentWorkerConfig{
			Worker: worker, Epoch: silence.epoch, RecordedAt: silence.recordedAt, LeaseRemaining: max(0, silence.leaseExpiredAt.Sub(now)),
		}))
	}
	unlisted := make([]almondcross.UnlistedWorker, 0, len(state.unlistedWorkers))
	for _, worker := range slices.Sorted(maps.Keys(state.unlistedWorkers)) {
		unlisted = append(unlisted, state.unlistedWorkers[worker])
	}
	return almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
		Next: next, Epoch: state.highestEpoch, SchedulerEpoch: state.schedulerEpoch, Resigned: state.resigned, At: state.batchTime, Host: state.schedulerHost, Address: state.schedulerAddress,
		Intake: maps.Clone(state.intakeOffsets), Jobs: records, Usage: state.sortedUsage(), Silent: silent, Unlisted: unlisted, Crashed: slices.Clone(state.crashes),
	})
}

func (job *job) record() almondcross.JobRecord {
	stages := make([]almondcross.StageRecord, len(job.stages))
	steps := job.spec.Steps()
	done := map[int][]almondcross.TaskRecord{} // done holds what all stages of a step share whose occurrences were dropped.
	for index, stage := range job.stages {
		if stage == nil {
			step := index % len(steps)
			if done[step] == nil {
				done[step] = doneTasks(steps[step].Count())
			}
			stages[index] = almondcross.NewStageRecord(almondcross.StageRecordConfig{Occurrence: index / len(steps), Step: step, Run: 1, Tasks: done[step]})
			continue
		}
		stages[index] = almondcross.NewStageRecord(almondcross.StageRecordConfig{
			Occurrence: stage.id.Occurrence, Step: stage.id.Step, Run: stage.gangRun, Failures: stage.gangFailures,
			FailedRun: stage.failedGangRun, Checkpoint: stage.gangCheckpoint, Tasks: slices.Clone(stage.tasks.known()),
		})
	}
	return almondcross.NewJobRecord(almondcross.JobRecordConfig{
		Job: job.spec, Settings: job.settings.value(), State: job.state, Finished: job.finishedAt, StartedOccurrences: job.startedOccurrences, Stages: stages,
	})
}

// restore returns the state held in a snapshot; now is the time at which this host loads it, and known holds the
// silences that it knew before.
func restore(snapshot almondcross.StateSnapshot, retention time.Duration, now time.Time, known map[string]silence) *state {
	restored := newState(retention)
	restored.knownSilences = known
	for _, silent := range snapshot.Silent() {
		restored.addSilence(silent.Worker(), silence{
			epoch: silent.Epoch(), recordedAt: silent.RecordedAt(), leaseExpiredAt: now.Add(silent.LeaseRemaining()),
		})
	}
	for _, unlisted := range snapshot.Unlisted() {
		restored.unlistedWorkers[unlisted.Worker()] = unlisted
	}
	restored.highestEpoch, restored.batchTime, restored.snapshotAt = snapshot.Epoch(), snapshot.At(), snapshot.At()
	restored.schedulerHost, restored.schedulerAddress = snapshot.Host(), snapshot.Address()
	restored.schedulerEpoch, restored.resigned = snapshot.SchedulerEpoch(), snapshot.Resigned()
	restored.restoreLeaderships(now)
	if snapshot.Intake() != nil {
		restored.intakeOffsets = maps.Clone(snapshot.Intake())
	}
	restored.crashes = slices.Clone(snapshot.Crashed())
	for _, record := range snapshot.Jobs() {
		restored.restoreJob(record)
	}
	for _, usage := range snapshot.Usage() {
		key := almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}
		restored.usage[key], restored.unstoredUsage[key] = usage, struct{}{}
	}
	slices.SortStableFunc(restored.finishedJobs, func(a, b almondcross.JobID) int {
		return restored.jobs[a].finishedAt.Compare(restored.jobs[b].finishedAt)
	})
	return restored
}

func (state *state) restoreJob(record almondcross.JobRecord) {
	restored := &job{
		spec: record.Job(), state: record.State(), finishedAt: record.Finished(), startedOccurrences: record.StartedOccurrences(),
	}
	state.setSettings(restored, record.Settings())
	id := record.Job().ID()
	steps := record.Job().Steps()
	for _, saved := range record.Stages() {
		if saved.Step() >= len(steps) {
			continue
		}
		stage := &stage{
			id:   almondcross.StageID{Job: id, Occurrence: saved.Occurrence(), Step: saved.Step()},
			spec: steps[saved.Step()], tasks: newTaskTable(steps[saved.Step()].Count(), saved.Tasks()), gangRun: saved.Run(), gangFailures: saved.Failures(),
			failedGangRun: saved.FailedRun(), gangCheckpoint: saved.Checkpoint(),
		}
		stage.remainingTasks = stage.tasks.len()
		for _, task := range stage.tasks.known() {
			if task.Done() {
				stage.remainingTasks--
			}
			if task.Active() {
				stage.activeTasks++
				state.busyWorkers[task.Worker()]++
				state.hold(restored, stage)
			}
		}
		stage.updateMaxCrashes()
		restored.activeTasks += stage.activeTasks
		restored.stages = append(restored.stages, stage)
		if saved.Step() == len(steps)-1 {
			state.forgetOccurrence(restored, saved.Occurrence())
		}
	}
	if record.Job().Workspace() != "" {
		state.format = max(state.format, workspaceFormat)
	}
	state.jobs[id] = restored
	state.recharge(restored)
	state.changedJobs[id] = struct{}{}
	if restored.state.Final() {
		state.finishedJobs = append(state.finishedJobs, id)
	}
}
