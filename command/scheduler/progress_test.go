package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// queueNamed returns the identity of a queue of which only the name is known.
func queueNamed(name string) almondcross.QueueID {
	return almondcross.NewQueueID(almondcross.QueueIDConfig{Name: name})
}

// finder returns what callers of this host see.
func (harness *harness) finder() almondcross.JobFinder {
	return harness.machine.config.Publisher.(almondcross.JobFinder)
}

// publishedCount returns the pending count of the published views, whatever their age.
func (harness *harness) publishedCount() int {
	count, _ := harness.finder().Pending(queueNamed("q"), harness.now)
	return count
}

// shownState returns the state of job j that callers of this host see.
func (harness *harness) shownState() almondcross.JobState {
	harness.t.Helper()
	view, known := harness.finder().Find("j")
	require.True(harness.t, known)
	return view.State()
}

// awaitHeartbeat lets the scheduler write the batch that is due without other changes.
func (harness *harness) awaitHeartbeat() {
	harness.t.Helper()
	harness.advance(heartbeatInterval)
	harness.answerCommits()
}

// recordedStarts counts the recorded starts of jobs.
func (harness *harness) recordedStarts() int {
	count := 0
	for _, batch := range harness.batches {
		for _, change := range batch.Changes() {
			if change.Kind() == almondcross.ChangeJobStarted {
				count++
			}
		}
	}
	return count
}

// recordedWait returns how long jobs of the queue waited according to the account.
func (harness *harness) recordedWait() time.Duration {
	var waited time.Duration
	for _, usage := range harness.machine.state.usage {
		waited += usage.Waited()
	}
	return waited
}

// newHarnessWithOrder returns a scheduler that has sent the start order of the only task of job j.
func newHarnessWithOrder(t *testing.T) (*harness, almondcross.StartOrder) {
	t.Helper()
	harness := newHarness(t)
	harness.addStandby()
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	return harness, requireEffect[SendStart](harness).Order
}

// loseStart leaves a start order and its repetition without an answer. It returns the report request that follows.
func (harness *harness) loseStart(order almondcross.StartOrder) almondcross.LeaseOrder {
	harness.t.Helper()
	for _, found := takeEffect[SendLease](harness); found; _, found = takeEffect[SendLease](harness) {
	}
	harness.answerStartOrder(order, almondcross.OrderUnknown)
	harness.answerStartOrder(requireEffect[SendStart](harness).Order, almondcross.OrderUnknown)
	return requireEffect[SendLease](harness).Order
}

// answerReport answers a report request or a lease order.
func (harness *harness) answerReport(order almondcross.LeaseOrder, config almondcross.WorkerReportConfig) {
	config.ID, config.Incarnation, config.Clock = workerID, 1, harness.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Report: almondcross.NewWorkerReport(config), Sent: harness.now, Received: harness.now,
	}))
}

func runningTask(task almondcross.JobTask, run int) []almondcross.RunningTask {
	return []almondcross.RunningTask{almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: task, Run: run})}
}

// Guards against a queue that is said to have no waiting jobs while the start orders of its jobs get no answer
// (late-orders, seed 11: 0 jobs were said to wait, and 7 had waited for 5 s).
func TestJobIsPendingUntilItsStartIsKnown(t *testing.T) {
	harness, order := newHarnessWithOrder(t)
	require.Equal(t, 1, harness.publishedCount(), "the order may never arrive")
	request := harness.loseStart(order)
	harness.awaitHeartbeat()
	require.Equal(t, 1, harness.publishedCount(), "nothing is known of the order")
	harness.answerReport(request, almondcross.WorkerReportConfig{})
	harness.advance(minPlacementInterval)
	harness.answerCommits()
	require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
	require.Equal(t, 1, harness.publishedCount(), "the first run never started")
	order = requireEffect[SendStart](harness).Order
	require.Equal(t, 2, order.Run())
	require.Equal(t, almondcross.JobQueued, harness.shownState())
	harness.answerReport(harness.loseStart(order), almondcross.WorkerReportConfig{Running: runningTask(order.Task(), 2)})
	harness.awaitHeartbeat()
	require.Zero(t, harness.publishedCount(), "the report lists the second run")
	require.Equal(t, almondcross.JobRunning, harness.shownState())
	require.Equal(t, almondcross.JobRunning, harness.standby.machine.state.jobs["j"].state)
}

// Guards against an append for each start, since each append is billed, and against a record for each task of a
// job.
func TestStartsAreRecordedOncePerJobWithTheNextBatch(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 3})
	harness.answerCommits()
	appends := len(harness.batches)
	for range 3 {
		harness.answerStart()
	}
	_, sent := harness.pendingCommit()
	require.False(t, sent, "the starts wait for the next batch")
	require.Equal(t, 1, harness.publishedCount())
	harness.awaitHeartbeat()
	require.Len(t, harness.batches, appends+1)
	require.Equal(t, 1, harness.recordedStarts())
	require.Zero(t, harness.publishedCount())
}

// Guards against a job that counts as pending although a report shows that one of its runs has ended, and against
// an account in which the run time counts as waiting time.
func TestReportedEndShowsTheStart(t *testing.T) {
	for _, answered := range []bool{false, true} {
		harness, order := newHarnessWithOrder(t)
		ordered := harness.now
		harness.advance(30 * time.Millisecond)
		if answered {
			harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Incarnation: order.Incarnation(), Result: almondcross.OrderDone, Received: harness.now}))
		}
		started := harness.now
		harness.advance(100 * time.Millisecond)
		ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: order.Task(), Run: 1, Kind: almondcross.EndFailed})
		harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{ended}})
		harness.answerCommit()
		require.Zero(t, harness.publishedCount())
		require.Equal(t, almondcross.JobRunning, harness.shownState())
		submitted := harness.machine.state.jobs["j"].spec.Submitted()
		if answered {
			require.Equal(t, started.Sub(submitted), harness.recordedWait())
		} else {
			require.LessOrEqual(t, harness.recordedWait(), ordered.Sub(submitted), "the time of the assignment is the best that is known")
		}
		require.Equal(t, harness.recordedWait(), harness.standby.recordedWait())
	}
}

// Guards against a job that counts as pending forever since the run that was presumed lost is the only one that
// started.
func TestLateEndShowsTheStart(t *testing.T) {
	harness, order := newHarnessWithOrder(t)
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Incarnation: order.Incarnation(), Result: almondcross.OrderUnknown, Received: harness.now}))
	harness.dropLeaseAnswers(20 * time.Second)
	require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
	require.Equal(t, 1, harness.publishedCount())
	harness.advance(leaseRetryDelay)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: order.Task(), Run: 1, Kind: almondcross.EndLeaseExpired})
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{ended}})
	harness.awaitHeartbeat()
	require.Zero(t, harness.publishedCount())
}

// Guards against a start that is lost with its scheduler: the successor learns it from the worker's report.
func TestSuccessorLearnsStartsFromReports(t *testing.T) {
	harness, order := newHarnessWithOrder(t)
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Incarnation: order.Incarnation(), Result: almondcross.OrderDone, Received: harness.now}))
	require.Zero(t, harness.recordedStarts(), "the scheduler stops before its next batch")
	successor := harness.electStandby()
	require.Equal(t, almondcross.JobQueued, successor.shownState())
	successor.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker}),
	}}))
	successor.answerLease(almondcross.WorkerReportConfig{Running: runningTask(order.Task(), 1)})
	successor.awaitHeartbeat()
	require.Equal(t, almondcross.JobRunning, successor.shownState())
	require.Zero(t, successor.publishedCount())
	restored := restore(successor.machine.state.snapshot(0, successor.now), time.Minute, successor.now, nil)
	require.Equal(t, almondcross.JobRunning, restored.jobs["j"].state)
}

// Guards against an account in which a scheduled job waits before it is due.
func TestScheduledJobWaitsFromItsFirstDueTime(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	due := harness.now.Add(time.Second)
	step := almondcross.NewStep(almondcross.StepConfig{Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100})})
	job := almondcross.NewJob(almondcross.JobConfig{
		ID: "j", Queue: "q", Steps: []almondcross.Step{step}, Runs: 2, First: due, Period: time.Minute, Submitted: harness.now,
	})
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: job})}))
	harness.answerCommit()
	harness.advance(due.Sub(harness.now))
	harness.answerCommits()
	harness.answerStart()
	started := harness.now
	harness.awaitHeartbeat()
	require.Equal(t, almondcross.JobRunning, harness.shownState())
	require.Equal(t, started.Sub(due), harness.recordedWait())
}
