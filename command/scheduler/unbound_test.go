package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// newHarnessWithSentStart returns a scheduler followed by a standby, and its unanswered start order.
func newHarnessWithSentStart(t *testing.T) (*harness, almondcross.StartOrder) {
	t.Helper()
	harness := newHarness(t)
	harness.addStandby()
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	return harness, requireEffect[SendStart](harness).Order
}

// Guards against a run that is presumed lost before the lease of its repeated start order has ended (TWICE): the order is sent
// again long after the last one that extended the lease, and may reach an incarnation that has not reported.
func TestLongestLeaseCountsFromTheRepeatedStart(t *testing.T) {
	harness, order := newHarnessWithSentStart(t)
	harness.advance(1500 * time.Millisecond) // The silent relaying host is given up after a second or more.
	harness.answerStartOrder(order.WithIncarnation(0), almondcross.OrderUnknown)
	requireEffect[SendStart](harness)
	leaseEndsAt := harness.now.Add(harness.machine.config.MaxLease)
	harness.advance(400 * time.Millisecond) // The lease order takes longer: the worker may wait for an end.
	harness.answerStartOrder(order.WithIncarnation(0), almondcross.OrderUnknown)
	for harness.recordedEnd() == "" && harness.now.Before(leaseEndsAt.Add(time.Minute)) {
		harness.dropLeaseAnswers(leaderTick)
	}
	require.False(t, harness.now.Before(leaseEndsAt), "%s: presumed lost %s before the end of the lease", harness.recordedEnd(), leaseEndsAt.Sub(harness.now))
}

// Guards against a successor that presumes a run lost before its lease has ended (TWICE): only the scheduler before knew that the
// start order may have reached an incarnation that has not reported.
func TestSuccessorReckonsWithTheLongestLeaseOfAnUnboundStart(t *testing.T) {
	harness, order := newHarnessWithSentStart(t)
	leaseEndsAt := harness.now.Add(harness.machine.config.MaxLease)
	harness.answerStartOrder(order.WithIncarnation(0), almondcross.OrderUnknown)
	requireEffect[SendStart](harness)
	harness.answerStartOrder(order.WithIncarnation(0), almondcross.OrderUnknown)
	harness.apply(almondcross.StopScheduling{})
	harness.answerCommits()
	require.False(t, harness.machine.Leads())
	successor := harness.electStandby()
	for successor.recordedEnd() == "" && successor.now.Before(leaseEndsAt.Add(time.Minute)) {
		successor.dropLeaseAnswers(leaderTick)
	}
	require.False(t, successor.now.Before(leaseEndsAt), "%s: presumed lost %s before the end of the lease", successor.recordedEnd(), leaseEndsAt.Sub(successor.now))
}

// Guards against a wait for the longest lease, twice as long as needed, where the start order can have reached only the known
// incarnation, but the answer tells so after the silence of the worker has been recorded.
func TestSilenceIsNotLongerForAStartThatTurnsOutBound(t *testing.T) {
	harness, order := newHarnessWithSentStart(t)
	lastAnswerAt := harness.machine.leader.workers[workerID].lastAnswerAt
	harness.dropLeaseAnswers(maxExtensionAge + sweepInterval + leaderTick)
	harness.answerStartOrder(order, almondcross.OrderUnknown)
	for harness.recordedEnd() == "" && harness.now.Sub(lastAnswerAt) < time.Minute {
		harness.dropLeaseAnswers(leaderTick)
	}
	longest := withClockDrift(leaseDuration) + lastOrderMargin + maxExtensionAge
	require.LessOrEqual(t, harness.now.Sub(lastAnswerAt), longest+2*sweepInterval) // The announcement is too old for a grace period.
}

// Guards against an acknowledgement by the numbers of another incarnation: a report without an incarnation must not make the orders
// behind it reach any.
func TestReportWithoutIncarnationUnbindsNoOrders(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	order := requireEffect[SendLease](harness).Order
	sent := harness.now
	harness.advance(10 * time.Millisecond)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 3, Task: taskOf("other", 0, 0), Run: 1, Kind: almondcross.EndDone})
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Sent: sent, Received: harness.now,
		Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{ID: workerID, Clock: time.Second, Ended: []almondcross.EndedTask{ended}}),
	}))
	harness.answerCommits()
	for sent, found := takeEffect[SendLease](harness); found; sent, found = takeEffect[SendLease](harness) {
		if sent.Order.Incarnation() == 0 {
			require.Zero(t, sent.Order.Until())
			require.Zero(t, sent.Order.Acknowledged())
		}
	}
}

// Guards against stop orders that reach another incarnation than the one that has the run.
func TestStopsAreForTheKnownIncarnation(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.answerLease(almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{
		almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("j", 0, 0), Run: 1}),
		almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: taskOf("stray", 0, 0), Run: 1}),
	}})
	require.Equal(t, int64(1), requireEffect[SendStop](harness).Order.Incarnation(), "a run that nobody asked for")
	harness.cancelJob("j")
	harness.answerCommits()
	require.Equal(t, int64(1), requireEffect[SendStop](harness).Order.Incarnation(), "a run of a cancelled job")
}

// Guards against a restart that stays unnoticed because the clock of the worker was set back: the later incarnation has the earlier
// start time.
func TestRestartCountsAlsoIfTheClockWasSetBack(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.answerLeaseAs(9)
	worker := harness.machine.leader.workers[workerID]
	report := func(incarnation int64, sent time.Time, order almondcross.LeaseOrder) {
		harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: almondcross.OrderDone, Sent: sent, Received: harness.now,
			Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{ID: workerID, Incarnation: incarnation, Clock: time.Second}),
		}))
	}
	delayed, sent := requireEffect[SendLease](harness).Order, harness.now
	harness.advance(10 * time.Millisecond)
	report(5, harness.now, delayed.WithListOnly(true))
	require.Equal(t, int64(5), worker.incarnation)
	report(9, sent, delayed)
	require.Equal(t, int64(5), worker.incarnation, "the report of the earlier incarnation is ignored")
}

// Guards against a job that is given up for crashes of workers under a task that never started: the start order was for an earlier
// incarnation and was not sent, but the restart was reported before the answer to it arrived.
func TestStartThatFoundARestartIsNoCrash(t *testing.T) {
	harness, order := newHarnessWithSentStart(t)
	harness.answerLeaseAs(2)
	harness.answerStartOrder(order, almondcross.OrderRestarted)
	for harness.answerCommits(); harness.recordedEnd() == ""; harness.answerCommits() {
		harness.answerLeaseAs(2)
	}
	require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
}

// Guards against a success of a run that worked on unseen through a restart and a cut, and that is acknowledged although its task has
// been started again (TWICE).
func TestSuccessOnAnUnseenIncarnationIsNotAcknowledgedAfterRestart(t *testing.T) {
	harness := newHarnessWithRun(t)
	for harness.recordedEnd() == "" {
		harness.dropLeaseAnswers(leaderTick)
	}
	task := taskOf("j", 0, 0)
	harness.machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: 2, Worker: "w-2"})
	harness.advance(0)
	harness.answerCommits()
	if _, pending := takeEffect[SendLease](harness); !pending {
		harness.dropLeaseAnswers(leaderTick)
	}
	done := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: task, Run: 1, Kind: almondcross.EndDone})
	worker := harness.machine.leader.workers[workerID]
	order := almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker.info, Fence: worker.fence})
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Sent: harness.now, Received: harness.now,
		Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{ID: workerID, Incarnation: 2, Clock: time.Second, Ended: []almondcross.EndedTask{done}}),
	}))
	harness.answerCommits()
	require.Zero(t, worker.acknowledgedEnd)
	require.Equal(t, int64(1), worker.ackLimit)
}
