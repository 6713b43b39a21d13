package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// depose reads the end of the only run, fails its append and ends the epoch. The harness then finds a scheduler of a later
// epoch and returns the ends that it passes on.
func (harness *harness) depose(kind almondcross.EndKind) []almondcross.Change {
	harness.t.Helper()
	end := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("j", 0, 0), Run: 1, Kind: kind})
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{end}})
	harness.pendingCommit()
	epoch := harness.machine.leader.epoch
	harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
		Commit: requireEffect[Commit](harness).Request, Err: almondcross.ErrStoreFenced,
	}))
	require.False(harness.t, harness.machine.Leads())
	harness.effects = nil
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{
		Stored: true, Found: true, Pointer: almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: epoch + 1, Host: "h-9", Address: "h-9:1"}),
	}))
	return requireEffect[AnnounceScheduler](harness).Ends
}

// Guards against a task that runs again although it has ended: a scheduler had read the end and was deposed before it was
// recorded, and the worker had left when its successor began. On the users' days, tasks of up to 29 s ran again, and the
// stages behind them did not start before the end of the day.
func TestEndReadByADeposedSchedulerIsRecordedByItsSuccessor(t *testing.T) {
	for kind, job := range map[almondcross.EndKind]almondcross.JobState{
		almondcross.EndDone: almondcross.JobCompleted, almondcross.EndFailed: almondcross.JobRunning,
	} {
		harness := newHarnessWithRun(t)
		ends := harness.depose(kind)
		require.Len(t, ends, 1)
		next := harness.electStandby()
		link := almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-1", Present: true, Ends: ends})
		next.apply(link)
		next.apply(link) // The host links again; the end counts once.
		next.answerCommits()
		require.Equal(t, kind, next.recordedEnd())
		require.Equal(t, job, next.machine.state.jobs["j"].state)
	}
}

// Guards against the same loss when the deposed scheduler is elected again itself.
func TestEndsAreKeptUntilTheNextElection(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.depose(almondcross.EndDone)
	harness.machine.discoverScheduler()
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Batches: harness.batches, Next: harness.journalEnd, End: harness.journalEnd}))
	harness.answerElection()
	harness.answerCommits()
	require.Equal(t, almondcross.EndDone, harness.recordedEnd())
}

// Guards against ends that are forwarded without end: the scheduler has settled their runs by another way long before.
func TestUnrecordedEndsExpire(t *testing.T) {
	harness := newHarnessWithRun(t)
	require.Len(t, harness.depose(almondcross.EndDone), 1)
	harness.now = harness.now.Add(2 * unrecordedEndsRetention)
	harness.advance(0)
	require.Empty(t, harness.machine.endsToForward())
}

// Guards against ends that another scheduler has only presumed, or of another run, which decide nothing.
func TestOnlyReportedEndsOfTheRunAreRecorded(t *testing.T) {
	end := almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, 0), Run: 1, End: almondcross.EndDone, Worker: workerID}
	presumed, otherRun, otherWorker, otherKind := end, end, end, end
	presumed.End, otherRun.Run, otherWorker.Worker, otherKind.Kind = almondcross.EndWorkerCrashed, 2, "w-2", almondcross.ChangeAssign
	harness := newHarnessWithRun(t).electStandby()
	for _, config := range []almondcross.ChangeConfig{presumed, otherRun, otherWorker, otherKind} {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
			Host: "h-1", Present: true, Ends: []almondcross.Change{almondcross.NewChange(config)},
		}))
	}
	harness.answerCommits()
	require.Empty(t, harness.recordedEnd())
}
