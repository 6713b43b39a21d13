package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a start whose outcome is never known: the duties of a worker end with its old address, and with them the
// answer to a pending start order. The run held its resources and its task never ran.
func TestStartToAnOldAddressIsSettled(t *testing.T) {
	for name, repeated := range map[string]bool{"first order": false, "repeated order": true} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			start := harness.sentStart()
			if repeated {
				harness.answerStartOrder(start, almondcross.OrderUnknown)
				requireEffect[SendStart](harness)
			}
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
				almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithAddress("10.0.0.2:1")}),
			}}))
			for end := harness.now.Add(20 * time.Second); harness.now.Before(end); {
				for _, effect := range harness.effects {
					if _, pending := effect.(SendLease); pending {
						harness.answerLease(almondcross.WorkerReportConfig{})
						break
					}
				}
				harness.advance(leaderTick)
				harness.answerCommits()
			}
			next, found := takeEffect[SendStart](harness)
			require.True(t, found, "the task is started again")
			require.Equal(t, 2, next.Order.Run())
		})
	}
}

// Guards against two chains of lease orders to one worker: one begins with a new address while the other waits for a commit.
func TestNewAddressStartsNoSecondChainOfLeaseOrders(t *testing.T) {
	harness := newHarnessWithRun(t)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("j", 0, 0), Run: 1, Kind: almondcross.EndDone})
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{ended}})
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithAddress("10.0.0.2:1")}),
	}}))
	harness.answerCommits()
	orders := 0
	for _, found := takeEffect[SendLease](harness); found; _, found = takeEffect[SendLease](harness) {
		orders++
	}
	require.Equal(t, 1, orders)
}
