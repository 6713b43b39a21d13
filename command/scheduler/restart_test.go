package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a run that is started on another worker while its own, which is cut off, still works on it: the worker restarted
// under its identity before anybody saw it, and carried out a start order whose lease ends at a time on the clock of its earlier
// incarnation. That clock is far ahead in general, so the worker shortens the lease to the longest it grants.
func TestRunMayUseTheLongestLeaseAfterAnUnseenRestart(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	order := requireEffect[SendStart](harness)
	sentAt := harness.now
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Received: harness.now, Order: order.Order, Result: almondcross.OrderUnknown}))
	leaseEndsAt := sentAt.Add(harness.machine.config.MaxLease)
	for harness.recordedEnd() == "" && harness.now.Sub(sentAt) < time.Minute {
		if sent, found := takeEffect[SendStart](harness); found {
			leaseEndsAt = harness.now.Add(harness.machine.config.MaxLease)
			harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Received: harness.now, Order: sent.Order, Result: almondcross.OrderUnknown}))
		}
		harness.dropLeaseAnswers(leaderTick)
	}
	require.False(t, harness.now.Before(leaseEndsAt), "%s: presumed lost %s before the end of the lease, %s after the order", harness.recordedEnd(), leaseEndsAt.Sub(harness.now), harness.now.Sub(sentAt))
}

// Guards against a wait for the longest lease, twice as long as needed, where the order cannot have reached another incarnation.
func TestRunOfAKnownIncarnationIsLostWithItsLease(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	lastAnswerAt := harness.machine.leader.workers[workerID].lastAnswerAt
	for harness.recordedEnd() == "" && harness.now.Sub(lastAnswerAt) < time.Minute {
		if sent, found := takeEffect[SendStart](harness); found {
			require.Equal(t, int64(1), sent.Order.Incarnation())
			harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{
				Received: harness.now, Order: sent.Order, Result: almondcross.OrderUnknown, Incarnation: sent.Order.Incarnation(),
			}))
		}
		harness.dropLeaseAnswers(leaderTick)
	}
	longest := withClockDrift(leaseDuration) + lastOrderMargin + maxExtensionAge
	require.LessOrEqual(t, harness.now.Sub(lastAnswerAt), longest+2*sweepInterval) // The announcement is too old for a grace period.
}

// Guards against a report that a worker sent before its restart and that is read after one of its next incarnation: the scheduler
// would take the earlier incarnation for the current one, and acknowledge ends by its numbers.
func TestReportOfTheEarlierIncarnationIsIgnored(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	report := func(incarnation int64, ended ...almondcross.EndedTask) almondcross.WorkerReport {
		return almondcross.NewWorkerReport(almondcross.WorkerReportConfig{ID: workerID, Incarnation: incarnation, Clock: time.Second, Ended: ended})
	}
	worker := harness.machine.leader.workers[workerID]
	delayed := requireEffect[SendLease](harness).Order
	sent := harness.now
	harness.advance(10 * time.Millisecond)
	listed := harness.now
	harness.advance(10 * time.Millisecond)
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: delayed.WithListOnly(true), Result: almondcross.OrderDone, Report: report(2), Sent: listed, Received: harness.now,
	}))
	require.Equal(t, int64(2), worker.incarnation)
	harness.advance(10 * time.Millisecond)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 35, Task: taskOf("j", 0, 0), Run: 1, Kind: almondcross.EndDone})
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: delayed, Result: almondcross.OrderDone, Report: report(1, ended), Sent: sent, Received: harness.now,
	}))
	harness.answerCommits()
	require.Equal(t, int64(2), worker.incarnation)
	require.Zero(t, worker.acknowledgedEnd)
	request, next := requireEffect[SendLease](harness).Order, requireEffect[SendLease](harness).Order
	require.True(t, request.ListOnly())
	require.False(t, next.ListOnly(), "the lease orders go on")
	require.Equal(t, int64(2), next.Incarnation())
}

// Guards against an order that extends the lease or acknowledges ends and may reach any incarnation, whatever the scheduler knows.
func TestOrdersWithoutIncarnationChangeNothing(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{
		almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 3, Task: taskOf("other", 0, 0), Run: 1, Kind: almondcross.EndDone}),
	}})
	harness.answerCommits()
	harness.answerStartOrder(requireEffect[SendStart](harness).Order, almondcross.OrderRestarted) // A report is requested.
	bound, unbound := 0, 0
	for began := harness.now; harness.now.Sub(began) < 10*time.Second; harness.advance(leaderTick) {
		harness.answerCommits()
		sent, found := takeEffect[SendLease](harness)
		if !found {
			continue
		}
		if order := sent.Order; order.Incarnation() == 0 {
			unbound++
			require.Zero(t, order.Until())
			require.Zero(t, order.Acknowledged())
		} else {
			bound++
		}
		harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: sent.Order, Result: almondcross.OrderUnknown, Sent: harness.now, Received: harness.now,
		}))
	}
	require.Positive(t, bound)
	require.Positive(t, unbound)
}

// Guards against a run that waits for its lease on a worker that has restarted, although its start order was not executed, and
// against a restart that stays unnoticed while the pending lease order waits for the earlier incarnation.
func TestStartForAnEarlierIncarnationIsPlacedAgain(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	start := harness.sentStart()
	harness.answerStartOrder(start, almondcross.OrderRestarted)
	require.Empty(t, harness.machine.leader.workers[workerID].assignments)
	request := requireEffect[SendLease](harness).Order
	require.True(t, request.ListOnly())
	require.Greater(t, request.Fence(), start.Fence())
}
