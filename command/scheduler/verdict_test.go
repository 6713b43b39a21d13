package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against a host that permanently shows callers another state of a job than the scheduler's: it derived the end of the job
// from its own rules and settings, which differ between versions.
func TestReplicaAppliesVerdictsAsTheyStand(t *testing.T) {
	task := taskOf("j", 0, 0)
	for name, test := range map[string]struct {
		settings almondcross.QueueSettings // settings are those with which the replica has admitted the job.
		change   almondcross.ChangeConfig
		state    almondcross.JobState
	}{
		"failed without known settings": {almondcross.QueueSettings{}, almondcross.ChangeConfig{End: almondcross.EndFailed, Verdict: almondcross.VerdictAttempts}, almondcross.JobFailed},
		"failed before the own limit":   {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndFailed, Verdict: almondcross.VerdictAttempts}, almondcross.JobFailed},
		"goes on beyond the own limit": {
			settings(1, "q").WithQueue(almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool"})),
			almondcross.ChangeConfig{End: almondcross.EndFailed, Verdict: almondcross.VerdictStarted},
			almondcross.JobRunning,
		},
		"given up after one crash":      {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndCrashedAlone, Verdict: almondcross.VerdictCrashes}, almondcross.JobFailed},
		"goes on after the last task":   {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndDone, Verdict: almondcross.VerdictStarted}, almondcross.JobRunning},
		"completed by an unknown end":   {settings(1, "q"), almondcross.ChangeConfig{End: "of a later version", Verdict: almondcross.VerdictCompleted}, almondcross.JobCompleted},
		"waits after an end":            {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndFailed, Verdict: almondcross.VerdictQueued}, almondcross.JobQueued},
		"started by a void end":         {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndVoid, Verdict: almondcross.VerdictStarted}, almondcross.JobRunning},
		"failed by a run that it lacks": {settings(1, "q"), almondcross.ChangeConfig{Run: 7, End: almondcross.EndFailed, Verdict: almondcross.VerdictAttempts}, almondcross.JobFailed},
		"failed by a task that it lacks": {
			settings(1, "q"), almondcross.ChangeConfig{Task: taskOf("j", 3, 0), End: almondcross.EndFailed, Verdict: almondcross.VerdictAttempts}, almondcross.JobFailed,
		},
		"a verdict of a later version": {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndFailed, Verdict: 23}, almondcross.JobRunning},
		"without a verdict":            {settings(1, "q"), almondcross.ChangeConfig{End: almondcross.EndDone}, almondcross.JobCompleted},
		"failed by its settings": {
			almondcross.QueueSettings{}, almondcross.ChangeConfig{
				Kind: almondcross.ChangeSettings, Job: newJob("j"), Settings: settings(1, "q"), Verdict: almondcross.VerdictAttempts,
			}, almondcross.JobFailed,
		},
		"failed by settings that it has": {
			settings(1, "q"), almondcross.ChangeConfig{
				Kind: almondcross.ChangeSettings, Job: newJob("j"), Settings: settings(2, "q"), Verdict: almondcross.VerdictAttempts,
			}, almondcross.JobFailed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := newState(time.Minute)
			state.admitJob(newJob("j", almondcross.StepConfig{Count: 1}), test.settings)
			state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: 1, Worker: workerID}))
			change := test.change
			if change.Kind == 0 {
				change.Kind = almondcross.ChangeEnd
				change.Run = max(change.Run, 1)
				if change.Task.Stage.Job == "" {
					change.Task = task
				}
			}
			state.apply(almondcross.NewChange(change))
			require.Equal(t, test.state, state.jobs["j"].state)
		})
	}
}

// Guards against a takeover between the last failure of a task and the decision that its job has failed: a successor that has
// other rules would start the task again.
func TestVerdictIsInTheRecordOfTheEnd(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitTo("j", "q", settings(1, "q"))
	require.Equal(t, 2, harness.failRuns(taskOf("j", 0, 0), 6))
	var verdicts []almondcross.Verdict
	for _, batch := range harness.batches {
		for _, change := range batch.Changes() {
			if change.Kind() == almondcross.ChangeEnd {
				verdicts = append(verdicts, change.Verdict())
			}
		}
	}
	require.Equal(t, []almondcross.Verdict{almondcross.VerdictStarted, almondcross.VerdictAttempts}, verdicts)
}

// drawChange draws a change of one of two jobs, often one that fits the present state.
func drawChange(t *rapid.T, state *state) almondcross.Change {
	id := rapid.SampledFrom([]almondcross.JobID{"a", "b"}).Draw(t, "job")
	job := state.jobs[id]
	if kind := rapid.IntRange(0, 20).Draw(t, "kind"); kind == 0 {
		return almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeSettings, Job: newJob(id).WithQueue("q"), Settings: settings(1, "q")})
	} else if kind == 1 || job.startedOccurrences == 0 {
		return almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeOccurrence, Job: job.spec})
	}
	task := taskOf(id, rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 1).Draw(t, "index"))
	stage := job.stage(task.Stage)
	run := rapid.IntRange(1, 6).Draw(t, "run")
	if stage != nil && task.Index < stage.tasks.len() && rapid.IntRange(0, 5).Draw(t, "fits") > 0 {
		record := stage.tasks.at(task.Index)
		if run = record.Run(); !record.Active() && !job.state.Final() {
			return almondcross.NewChange(almondcross.ChangeConfig{
				Kind: almondcross.ChangeAssign, Task: task, Run: run + 1, Worker: rapid.SampledFrom([]string{"w-1", "w-2", "w-3"}).Draw(t, "worker"),
			})
		}
	}
	return almondcross.NewChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: task, Run: run, Silent: rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "silent"),
		End: rapid.SampledFrom([]almondcross.EndKind{
			almondcross.EndDone, almondcross.EndFailed, almondcross.EndFailed, almondcross.EndVoid, almondcross.EndWorkerCrashed,
			almondcross.EndCrashedAlone, almondcross.EndMaybeCrashed,
		}).Draw(t, "end"),
	})
}

// Guards against a journal with verdicts from which a replica, or one of the version before, which skips the verdicts, derives
// another state than the scheduler's; and against another outcome of a journal of that version, which has no verdicts.
func TestVerdictsGiveTheOutcomeOfTheRules(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		epoch := time.UnixMilli(1767225600000) // The codec returns local times.
		scheduler, replica, withoutVerdicts := newState(time.Hour), newState(time.Hour), newState(time.Hour)
		for _, id := range []almondcross.JobID{"a", "b"} {
			job := newJob(id, almondcross.StepConfig{
				Count: 2, Gang: rapid.Bool().Draw(t, "gang"), Service: rapid.IntRange(0, 4).Draw(t, "service") == 0,
			}, almondcross.StepConfig{Count: 1, After: []int{0}}).WithRuns(rapid.IntRange(0, 2).Draw(t, "occurrences"))
			admitted := almondcross.NewChange(almondcross.ChangeConfig{
				Kind: almondcross.ChangeAdmit, Job: job, Settings: rapid.SampledFrom([]almondcross.QueueSettings{settings(1, "q"), {}}).Draw(t, "settings"),
			})
			for _, state := range []*state{scheduler, replica, withoutVerdicts} {
				state.apply(admitted)
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "changes") {
			at := epoch.Add(time.Duration(step) * time.Second)
			batch := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: at})
			scheduler.beginBatch(batch, at)
			change := scheduler.decide(drawChange(t, scheduler))
			record, err := codec.EncodeBatch(batch.WithChanges([]almondcross.Change{change}))
			require.NoError(t, err)
			decoded, err := codec.DecodeBatch(record)
			require.NoError(t, err)
			replica.applyBatch(decoded, at)
			withoutVerdicts.applyBatch(decoded.WithChanges([]almondcross.Change{decoded.Changes()[0].WithVerdict(almondcross.VerdictUnknown)}), at)
			require.Equal(t, scheduler.snapshot(0, at), replica.snapshot(0, at))
			require.Equal(t, scheduler.snapshot(0, at), withoutVerdicts.snapshot(0, at))
			// A host that loads the state counts the same memory as one that has followed the journal.
			require.Equal(t, scheduler.ledger.held, restore(scheduler.snapshot(0, at), time.Hour, at, nil).ledger.held)
		}
	})
}
