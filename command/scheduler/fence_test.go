package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a fencing token that is raised for each of many unanswered orders: a worker that was cut off for fourteen
// minutes in one epoch had its token raised more than 1,024 times (review case 1).
func TestTokenIsRaisedOnceBetweenTwoReports(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 3})
	harness.answerCommits()
	reported := harness.machine.leader.workers[workerID].fence
	for {
		start, found := takeEffect[SendStart](harness)
		if !found {
			break
		}
		harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: start.Order, Incarnation: start.Order.Incarnation(), Result: almondcross.OrderUnknown, Received: harness.now}))
	}
	harness.dropLeaseAnswers(time.Minute)
	require.Equal(t, reported+1, harness.machine.leader.workers[workerID].fence)
}

// reportAfterLoss leaves one lease order of the worker unanswered and answers those that follow until the token is settled.
func (harness *harness) reportAfterLoss() {
	harness.t.Helper()
	harness.answerUnknown()
	for range 2 {
		harness.answerLease(almondcross.WorkerReportConfig{})
	}
}

// answerUnknown leaves the pending lease order without an answer.
func (harness *harness) answerUnknown() {
	harness.t.Helper()
	order := requireEffect[SendLease](harness).Order
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{Order: order, Result: almondcross.OrderUnknown, Sent: harness.now, Received: harness.now}))
}

// Guards against a counter that runs into the epoch: after 1,024 raises of a worker's token in one epoch, the scheduler
// dropped all its answers, and its runs never ended (review case 1).
func TestAnswersCountAfterManyRaises(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	first := harness.machine.leader.workers[workerID].fence
	for range 1100 {
		harness.reportAfterLoss()
	}
	require.GreaterOrEqual(t, harness.machine.leader.workers[workerID].fence, first+1100)
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	order := harness.answerStart()
	harness.advance(time.Millisecond)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: order.Task(), Run: 1, Kind: almondcross.EndDone})
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{ended}})
	require.Equal(t, almondcross.JobCompleted, harness.machine.state.jobs["j"].state)
}

// Guards against a token that leaves the range of its epoch, and against a scheduler that stays in office without a token
// for its worker: it hands over, to another host or to itself under a new epoch, and sends no token beyond the range, also
// while the store does not take its resignation.
func TestSchedulerHandsOverAtTheEndOfItsTokens(t *testing.T) {
	for name, own := range map[string]bool{"to a standby": false, "to itself": true} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			if !own {
				harness.addStandby()
			}
			harness.becomeScheduler()
			last := lastFence(harness.machine.leader.epoch)
			harness.machine.leader.workers[workerID].fence = last
			harness.answerLease(almondcross.WorkerReportConfig{})
			harness.answerLease(almondcross.WorkerReportConfig{})
			require.Equal(t, last, harness.machine.leader.workers[workerID].reportedFence)
			harness.answerUnknown()
			for range 5 {
				require.Equal(t, last, harness.answerLease(almondcross.WorkerReportConfig{}).Fence())
			}
			require.Greater(t, requireEffect[SendLease](harness).Order.Wait(), time.Duration(0), "orders to a worker that answers are not repeated at once")
			harness.answerCommits()
			require.False(t, harness.machine.Leads())
			successor := harness
			if own {
				harness.reelect()
			} else {
				successor = harness.electStandby()
			}
			successor.announceWorker()
			require.Greater(t, requireEffect[SendLease](successor).Order.Fence(), last)
		})
	}
}

// reelect elects the machine that has resigned.
func (harness *harness) reelect() {
	harness.t.Helper()
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	read := almondcross.NewJournalRead(almondcross.JournalReadConfig{Batches: harness.batches, Next: harness.journalEnd, End: harness.journalEnd})
	for range 60 {
		harness.apply(read)
		read = almondcross.NewJournalRead(almondcross.JournalReadConfig{From: harness.journalEnd, Next: harness.journalEnd, End: harness.journalEnd})
		if _, found := harness.pendingCommit(); found {
			break
		}
		harness.advance(20 * time.Millisecond)
	}
	harness.answerElection()
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{})) // The answer to the read of the earlier epoch leads to a read of all workers.
}

// Guards against a term that leaves the range of epochs: the host does not stand, and its tokens do not start again from 0.
func TestNoElectionBeyondTheLastTerm(t *testing.T) {
	harness := newHarness(t)
	for term, found := range map[int64]bool{maxTerm - 1: true, maxTerm: false} {
		harness.machine.state.highestEpoch = term << epochRandomBits
		epoch, offered := harness.machine.nextEpoch()
		require.Equal(t, found, offered)
		require.LessOrEqual(t, lastFence(epoch), int64(1<<53-1))
	}
	harness.machine.state.highestEpoch = almondcross.MaxEpoch
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.machine.state.highestEpoch = almondcross.MaxEpoch
	for range 100 {
		harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
		harness.advance(50 * time.Millisecond)
	}
	_, stands := takeEffect[Commit](harness)
	require.False(t, stands)
}

// Guards against an unanswered start that is settled up to maxLeaseAnswerWait late: the report that allows the raise of the
// token has an end, and the worker held back its answer to the order after it.
func TestRaisedTokenIsReportedAtOnceAfterAnEnd(t *testing.T) {
	harness := newHarnessWithRun(t)
	worker := harness.machine.leader.workers[workerID]
	worker.fence++ // The worker has not reported under the current token.
	harness.machine.requestReport(worker, worker.fence)
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("j", 0, 0), Run: 1, Kind: almondcross.EndDone})
	pending := requireEffect[SendLease](harness)
	harness.effects = append(harness.effects, SendLease{Order: pending.Order.WithFence(worker.fence)})
	harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{ended}})
	harness.answerCommits()
	order := requireEffect[SendLease](harness).Order
	require.Greater(t, order.Fence(), pending.Order.Fence()+1, "the token is raised")
	require.Zero(t, order.Wait())
}
