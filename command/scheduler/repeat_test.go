package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// answerStartOrder answers a start order with a result.
func (harness *harness) answerStartOrder(order almondcross.StartOrder, result almondcross.OrderResult) {
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Incarnation: order.Incarnation(), Result: result, Received: harness.now}))
}

// sentStart submits a job and returns its start order, whose answer is pending.
func (harness *harness) sentStart() almondcross.StartOrder {
	harness.t.Helper()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	takeEffect[SendLease](harness)
	return requireEffect[SendStart](harness).Order
}

// Guards against a run that is started a second time elsewhere although it is at work: the first start order was carried out
// without an answer, and a refusal of the repeated order was taken for the outcome of both.
func TestRefusalOfARepeatedStartIsResolvedByReport(t *testing.T) {
	for _, result := range []almondcross.OrderResult{
		almondcross.OrderUnknown, almondcross.OrderNotSent, almondcross.OrderRefused, almondcross.OrderReplaced, almondcross.OrderUnavailable,
		almondcross.OrderTicketInvalid, almondcross.OrderNoCapacity, almondcross.OrderRunEnded, almondcross.OrderLeaseExpired, almondcross.OrderRestarted,
	} {
		t.Run(string(result), func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			start := harness.sentStart()
			harness.answerStartOrder(start, almondcross.OrderUnknown)
			require.Equal(t, start, requireEffect[SendStart](harness).Order)
			harness.answerStartOrder(start, result)
			request := requireEffect[SendLease](harness).Order
			require.True(t, request.ListOnly())
			require.Greater(t, request.Fence(), start.Fence())
			require.Len(t, harness.machine.leader.workers[workerID].assignments, 1, "the resources stay in use until the outcome is known")
			require.Equal(t, phaseUnknown, harness.machine.leader.workers[workerID].assignments[taskOf("j", 0, 0)].phase)
		})
	}
}

// Guards against a start that waits for a report although the worker has answered the repeated order.
func TestRepeatedStartConfirmsTheRun(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	start := harness.sentStart()
	harness.answerStartOrder(start, almondcross.OrderUnknown)
	harness.answerStartOrder(start, almondcross.OrderDone)
	_, requested := takeEffect[SendLease](harness)
	require.False(t, requested)
	require.Equal(t, phaseConfirmed, harness.machine.leader.workers[workerID].assignments[taskOf("j", 0, 0)].phase)
}

// Guards against a start order that is repeated on a permission that has run out meanwhile, or for a run that is no longer
// wanted: a worker that leaves, a job that was cancelled, a scheduler that the store has not answered for long.
func TestStartIsNotRepeatedAfterAChange(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"worker leaves": func(harness *harness) {
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
				almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithDraining(true)}),
			}}))
		},
		"worker unlisted": func(harness *harness) { harness.unlistWorker() },
		"job cancelled":   func(harness *harness) { harness.cancelJob("j") },
		"worker silent":   func(harness *harness) { harness.now = harness.now.Add(2 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			start := harness.sentStart()
			change(harness)
			harness.answerStartOrder(start, almondcross.OrderUnknown)
			_, repeated := takeEffect[SendStart](harness)
			require.False(t, repeated)
		})
	}
}

// Guards against a run that is placed again elsewhere, and a worker that is avoided, because one order did not reach the worker, and
// against an order that is sent without end. Nothing is known to have been sent, so no report is needed.
func TestStartThatWasNotSentIsSentOnceMore(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	start := harness.sentStart()
	harness.answerStartOrder(start, almondcross.OrderNotSent)
	require.Equal(t, start, requireEffect[SendStart](harness).Order)
	harness.answerStartOrder(start, almondcross.OrderNotSent)
	_, repeated := takeEffect[SendStart](harness)
	require.False(t, repeated)
	_, requested := takeEffect[SendLease](harness)
	require.False(t, requested)
	require.Empty(t, harness.machine.leader.workers[workerID].assignments)
}

// Guards against a wait for the longest lease because of an order that reached no worker.
func TestStartThatWasNotSentReachesNoIncarnation(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	start := harness.sentStart()
	harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: start, Result: almondcross.OrderNotSent, Received: harness.now}))
	harness.answerStartOrder(requireEffect[SendStart](harness).Order, almondcross.OrderDone)
	require.False(t, harness.machine.leader.workers[workerID].hasUnboundStarts())
}
