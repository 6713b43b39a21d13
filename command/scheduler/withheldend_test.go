package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// restartElsewhere records that the only run was started again on another worker.
func (harness *harness) restartElsewhere() {
	harness.machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("j", 0, 0), Run: 2, Worker: "w-2"})
	harness.advance(0)
	harness.answerCommits()
}

// reportSuccess has the worker list the success of the only run's first start, and answers the commits that follow.
func (harness *harness) reportSuccess() almondcross.LeaseOrder {
	success := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: taskOf("j", 0, 0), Run: 1, Kind: almondcross.EndDone})
	order := harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{success}})
	harness.answerCommits()
	harness.advance(leaseAnswerWait)
	harness.answerCommits()
	return order
}

// Guards against a worker that gets no work any more (LOST): it was cut off while a run ended on it, and was removed and announced
// again. What was known of its lease was removed with it, so that its end was withheld although the lease had expired.
func TestReturningWorkerGetsWorkAgain(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(taskOf("j", 0, 0), 1)})
	harness.unlistWorker()
	for harness.recordedEnd() == "" {
		harness.dropLeaseAnswers(leaderTick)
	}
	harness.restartElsewhere()
	for harness.machine.leader.workers[workerID] != nil {
		harness.dropLeaseAnswers(leaderTick)
	}
	harness.announceWorker()
	harness.reportSuccess()
	worker := harness.machine.leader.workers[workerID]
	require.Equal(t, int64(1), worker.acknowledgedEnd)
	require.True(t, worker.usable(harness.now))
}

// Guards against a removed worker whose lease goes on: its ends would be acknowledged when it returns although they count.
func TestWorkerIsKeptUntilItsLeaseHasExpired(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(taskOf("j", 0, 0), 1)})
	worker := harness.machine.leader.workers[workerID]
	worker.maxLeaseEnd = worker.clock + 30*time.Second
	machine := harness.machine
	machine.endRun(worker, worker.assignments[taskOf("j", 0, 0)], almondcross.EndVoid, "")
	harness.unlistWorker()
	harness.dropLeaseAnswers(29 * time.Second)
	require.NotNil(t, machine.leader.workers[workerID])
	harness.dropLeaseAnswers(5 * time.Second)
	require.Nil(t, machine.leader.workers[workerID])
}

// Guards against a worker that gets no work any more (LOST): a successor reads an end that it must not acknowledge, since it
// cannot know that the lease has expired, and then renews the lease, so that it never does.
func TestWithheldEndIsAcknowledgedAfterTheLeaseHasExpired(t *testing.T) {
	harness := newHarnessWithRun(t)
	harness.machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, 0), Run: 1, End: almondcross.EndVoid, Worker: workerID})
	harness.restartElsewhere()
	harness = harness.electStandby()
	harness.announceWorker()
	harness.reportSuccess()
	worker, withheldAt := harness.machine.leader.workers[workerID], harness.now
	require.False(t, worker.usable(harness.now), "the lease may go on")
	leaseEnd := worker.maxLeaseEnd
	for !worker.usable(harness.now) && harness.now.Sub(withheldAt) < time.Minute {
		order := harness.reportSuccess()
		if worker.ackLimit > 0 {
			require.Zero(t, order.Acknowledged())
			require.Equal(t, leaseEnd, worker.maxLeaseEnd, "the lease is not extended")
		}
	}
	require.Less(t, harness.now.Sub(withheldAt), leadershipTimeout+longestLease()+firstContactTimeout)
	require.Equal(t, int64(1), worker.acknowledgedEnd)
}
