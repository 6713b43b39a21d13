package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// cancelJob applies the cancellation of a job that another host has received.
func (harness *harness) cancelJob(id almondcross.JobID) {
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 2, Intake: almondcross.NewIntake(
		almondcross.IntakeConfig{Cancel: true, Job: almondcross.NewJob(almondcross.JobConfig{ID: id, Queue: "q"})},
	)}))
}

// announceWorker tells a new scheduler of the worker.
func (harness *harness) announceWorker() {
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker}),
	}}))
}

// sentStops advances for a time, in which the worker reports its runs, and returns the stopped tasks.
func (harness *harness) sentStops(span time.Duration, running ...almondcross.JobTask) []almondcross.JobTask {
	harness.t.Helper()
	var report almondcross.WorkerReportConfig
	for _, task := range running {
		report.Running = append(report.Running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: task, Run: 1}))
	}
	var stopped []almondcross.JobTask
	for end := harness.now.Add(span); harness.now.Before(end); {
		harness.advance(leaderTick)
		harness.answerCommits()
		for _, effect := range harness.effects {
			if _, pending := effect.(SendLease); pending {
				harness.answerLease(report)
				break
			}
		}
		for stop, found := takeEffect[SendStop](harness); found; stop, found = takeEffect[SendStop](harness) {
			stopped = append(stopped, stop.Order.Task())
		}
	}
	return stopped
}

// Guards against runs of a cancelled job that go on after a takeover: the cancellation was acknowledged, the scheduler
// was lost before its stop orders were answered, and its successor did not send them again.
func TestSuccessorStopsRunsOfCancelledJob(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.cancelJob("j")
	harness.answerCommits()
	requireEffect[ConfirmIntake](harness)
	requireEffect[SendStop](harness) // This order is lost with the scheduler.
	harness = harness.electStandby()
	harness.announceWorker()
	require.Contains(t, harness.sentStops(time.Second, taskOf("j", 0, 0)), taskOf("j", 0, 0))
}

// Guards against members of a broken gang that hold their workers after a takeover, until they give up waiting for the
// member that ended: the stop orders were lost with the scheduler that had recorded the end.
func TestSuccessorStopsMembersOfBrokenGang(t *testing.T) {
	harness := newHarness(t)
	harness.addStandby()
	harness.becomeScheduler()
	harness.submitJob("g", almondcross.StepConfig{Count: 2, Gang: true})
	harness.answerCommits()
	harness.answerStart()
	harness.answerStart()
	failed := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("g", 0, 0), Run: 1, Kind: almondcross.EndFailed})
	harness.answerLease(almondcross.WorkerReportConfig{
		Ended:   []almondcross.EndedTask{failed},
		Running: []almondcross.RunningTask{almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("g", 0, 1), Run: 1})},
	})
	harness.answerCommits()
	requireEffect[SendStop](harness) // This order is lost with the scheduler.
	harness = harness.electStandby()
	harness.announceWorker()
	require.Equal(t, []almondcross.JobTask{taskOf("g", 0, 1)}, harness.sentStops(time.Second, taskOf("g", 0, 1)))
}

// Guards against a success that a successor acknowledges although its task has been started again (TWICE): the run was
// presumed lost by the scheduler before, and only that scheduler knew it. Without a further start the success counts.
func TestSuccessorDoesNotAcknowledgeSuccessOfRestartedTask(t *testing.T) {
	task := taskOf("j", 0, 0)
	lost := almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: 1, End: almondcross.EndVoid, Worker: workerID}
	restarted := almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: 2, Worker: "w-2"}
	succeeded := almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: 2, End: almondcross.EndDone, Worker: "w-2"}
	for name, test := range map[string]struct {
		changes      []almondcross.ChangeConfig
		acknowledged int64
		state        almondcross.JobState
	}{
		"not started again":   {[]almondcross.ChangeConfig{lost}, 1, almondcross.JobCompleted},
		"started again":       {[]almondcross.ChangeConfig{lost, restarted}, 0, almondcross.JobRunning},
		"completed meanwhile": {[]almondcross.ChangeConfig{lost, restarted, succeeded}, 0, almondcross.JobCompleted},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			for _, change := range test.changes {
				harness.machine.recordChange(change)
			}
			harness.advance(0)
			harness.answerCommits()
			harness = harness.electStandby()
			harness.announceWorker()
			success := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: task, Run: 1, Kind: almondcross.EndDone})
			harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{success}})
			for range 3 {
				harness.advance(leaseAnswerWait)
				harness.answerCommits()
			}
			require.Equal(t, test.acknowledged, requireEffect[SendLease](harness).Order.Acknowledged())
			require.Equal(t, test.acknowledged == 0, harness.machine.leader.workers[workerID].ackLimit > 0)
			require.Equal(t, test.state, harness.machine.state.jobs["j"].state)
		})
	}
}

// Guards against a scheduler that takes itself for fenced off: a worker that was cut off was removed from its tables, and
// was sent lower fencing tokens than before when it was announced again.
func TestReturningWorkerIsSentNoLowerFencingToken(t *testing.T) {
	harness := newHarnessWithRun(t)
	worker := harness.machine.leader.workers[workerID]
	first := worker.fence
	harness.machine.requestReport(worker, first)
	seen := worker.fence
	require.Greater(t, seen, first, "the token was raised")
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID}),
	}}))
	harness.dropLeaseAnswers(20 * time.Second)
	require.Empty(t, harness.machine.leader.workers, "the worker was removed")
	harness.effects = nil
	harness.announceWorker()
	require.GreaterOrEqual(t, requireEffect[SendLease](harness).Order.Fence(), seen)
}

// unlistWorker tells the scheduler that the announcement of the worker has lapsed.
func (harness *harness) unlistWorker() {
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID}),
	}}))
}

// Guards against runs of a cancelled job that go on after a takeover on a worker whose announcement has lapsed although it
// runs: its address was known only to the scheduler before, so that the successor sent it no stop orders, and no lease orders
// for its other runs.
func TestSuccessorStopsRunsOnUnlistedWorker(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.unlistWorker()
	harness.cancelJob("j")
	harness.answerCommits()
	requireEffect[SendStop](harness) // This order is lost with the scheduler.
	harness = harness.electStandby()
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true}))
	require.Contains(t, harness.sentStops(time.Second, taskOf("j", 0, 0)), taskOf("j", 0, 0))
}

// Guards against records of unlisted workers that a loaded state lacks, or that stay for good once the worker is announced
// again or was removed.
func TestUnlistedWorkersAreKeptUntilTheyReturn(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.unlistWorker()
	restored := restore(harness.machine.state.snapshot(0, harness.now), time.Minute, harness.now, nil)
	require.Equal(t, "10.0.0.1:1", restored.unlistedWorkers[workerID].Address())
	harness.announceWorker()
	require.Empty(t, harness.machine.state.unlistedWorkers)
	harness.unlistWorker()
	require.NotEmpty(t, harness.machine.state.unlistedWorkers)
	harness.dropLeaseAnswers(20 * time.Second)
	require.Empty(t, harness.machine.leader.workers, "the worker was removed")
	require.Empty(t, harness.machine.state.unlistedWorkers)
}

// Guards against a worker that has said that it leaves and counts as crashed after a takeover (LOST, BUDGET): the journal has
// it, and the first report to the new scheduler drops it.
func TestUnlistedWorkerThatLeavesIsNoCrashAfterATakeover(t *testing.T) {
	for name, answers := range map[string]int{"no report": 0, "one report": 1} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
				almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithDraining(true)}),
			}}))
			harness.unlistWorker()
			harness.answerCommits()
			harness = harness.electStandby()
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true}))
			for range answers {
				harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(taskOf("j", 0, 0), 1)})
			}
			for end := harness.now.Add(15 * time.Second); harness.now.Before(end); {
				if sent, found := takeEffect[SendLease](harness); found {
					harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
						Order: sent.Order, Result: almondcross.OrderRefused, Sent: harness.now, Received: harness.now,
					}))
				}
				harness.advance(leaderTick)
				harness.answerCommits()
			}
			require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
		})
	}
}

// Guards against a crash that counts against the tasks of a worker that has left as announced, while no scheduler was at work:
// only the lost scheduler knew of the announcement.
func TestLeavingWorkerIsNoCrashAfterATakeover(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithDraining(true)}),
	}}))
	harness.answerCommits()
	lostAt := harness.now
	harness = harness.electStandby()
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true}))
	harness.lostRunEndsAfter(lostAt)
	require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
}

// Guards against a record that stays, and against a worker that is never removed: two takeovers while it is unlisted, and the
// change that ends the record lost with its scheduler.
func TestUnlistedRecordEndsAfterALostChange(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.unlistWorker()
	harness.answerCommits()
	harness.announceWorker() // The change that it is listed is lost with the scheduler.
	harness = harness.electStandby()
	require.NotEmpty(t, harness.machine.state.unlistedWorkers)
	harness = harness.electStandby()
	harness.announceWorker()
	harness.answerCommits()
	require.Empty(t, harness.machine.state.unlistedWorkers)
	harness.unlistWorker()
	harness.dropLeaseAnswers(20 * time.Second)
	require.Empty(t, harness.machine.state.unlistedWorkers)
	require.Empty(t, harness.machine.leader.workers)
}

// Guards against runs of a cancelled job that go on after a takeover on a worker whose announcement lapses while no scheduler
// reads the list: the scheduler before has not recorded its address, since it saw the worker announced to the end.
func TestSuccessorStopsRunsOnWorkerThatLapsesDuringTheTakeover(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.cancelJob("j")
	harness.answerCommits()
	requireEffect[SendStop](harness) // This order is lost with the scheduler.
	harness = harness.electStandby()
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true}))
	require.Contains(t, harness.sentStops(time.Second, taskOf("j", 0, 0)), taskOf("j", 0, 0))
}

// Guards against a run of a cancelled job that goes on after a takeover by a host that has loaded a snapshot, if the worker's
// announcement has lapsed meanwhile: the snapshot has no addresses, and the journal behind it had only those of workers that
// got further runs.
func TestSuccessorWithASnapshotStopsRunsOnUnlistedWorker(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.SnapshotInterval = time.Second
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	harness.answerStart()
	harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(taskOf("j", 0, 0), 1)})
	snapshot := harness.leadFor(2 * time.Second)[0].Request.Snapshot()
	harness.cancelJob("j")
	harness.answerCommits()

	successor := newHarness(t)
	successor.now, successor.journalEnd = harness.now, harness.journalEnd
	successor.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	successor.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Snapshot: snapshot, Found: true}))
	successor.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		From: snapshot.Next(), Batches: harness.batches[snapshot.Next():], Next: harness.journalEnd, End: harness.journalEnd,
	}))
	harness.standby = successor
	successor = harness.electStandby()
	successor.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true}))
	require.Contains(t, successor.sentStops(time.Second, taskOf("j", 0, 0)), taskOf("j", 0, 0))
}
