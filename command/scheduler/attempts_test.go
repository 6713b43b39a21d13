package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a task that is started after max_attempts of its runs have failed (BUDGET): a run was presumed lost while its
// worker did not answer, its failure was reported later and acknowledged, and counted in no state. A failure that is reported
// after the start that it forbids must not be acknowledged.
func TestLateFailureCountsAsAnAttempt(t *testing.T) {
	task := taskOf("j", 0, 0)
	assign := func(run int) almondcross.ChangeConfig {
		return almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: run, Worker: "w-2"}
	}
	end := func(run int, kind almondcross.EndKind) almondcross.ChangeConfig {
		return almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: run, End: kind, Worker: "w-2"}
	}
	for name, test := range map[string]struct {
		changes      []almondcross.ChangeConfig
		acknowledged int64
		failures     int
		state        almondcross.JobState
	}{
		"not started again":             {nil, 1, 1, almondcross.JobRunning},
		"started again":                 {[]almondcross.ChangeConfig{assign(2)}, 1, 1, almondcross.JobRunning},
		"last attempt has failed":       {[]almondcross.ChangeConfig{assign(2), end(2, almondcross.EndFailed)}, 1, 2, almondcross.JobFailed},
		"started with the last attempt": {[]almondcross.ChangeConfig{assign(2), end(2, almondcross.EndFailed), assign(3)}, 0, 1, almondcross.JobRunning},
		"completed by the last attempt": {[]almondcross.ChangeConfig{assign(2), end(2, almondcross.EndFailed), assign(3), end(3, almondcross.EndDone)}, 0, 1, almondcross.JobCompleted},
		"given up meanwhile":            {[]almondcross.ChangeConfig{assign(2), end(2, almondcross.EndFailed), assign(3), end(3, almondcross.EndFailed)}, 0, 2, almondcross.JobFailed},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			lost := almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: 1, End: almondcross.EndVoid, Silent: 6 * time.Second, Worker: workerID}
			for _, change := range slices.Concat([]almondcross.ChangeConfig{lost}, test.changes) {
				harness.machine.recordChange(change)
			}
			harness.advance(0)
			harness.answerCommits()
			harness = harness.electStandby()
			harness.announceWorker()
			failure := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: task, Run: 1, Kind: almondcross.EndFailed})
			for range 2 { // The end is listed until it is acknowledged.
				harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{failure}})
				harness.answerCommits()
				harness.advance(leaseAnswerWait)
				harness.answerCommits()
			}
			require.Equal(t, test.acknowledged, harness.machine.leader.workers[workerID].acknowledgedEnd)
			require.Equal(t, test.acknowledged == 0, harness.machine.leader.workers[workerID].ackLimit > 0)
			job := harness.machine.state.jobs["j"]
			require.Equal(t, test.failures, job.stages[0].tasks.at(0).Failures())
			require.Equal(t, test.state, job.state)
		})
	}
}

// Guards against a worker that gets no new work for the rest of its life after a cut, because a run that it had ended was
// started again meanwhile. An end that is acknowledged after the expiry of the lease does not count as noted.
func TestEndsBeforeALapseAreAcknowledged(t *testing.T) {
	task := taskOf("j", 0, 0)
	for _, kind := range []almondcross.EndKind{almondcross.EndDone, almondcross.EndFailed} {
		harness := newHarnessWithRun(t)
		harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(task, 1)})
		harness.dropLeaseAnswers(14 * time.Second)
		for _, change := range []almondcross.ChangeConfig{
			{Kind: almondcross.ChangeAssign, Run: 2}, {Kind: almondcross.ChangeEnd, Run: 2, End: almondcross.EndFailed}, {Kind: almondcross.ChangeAssign, Run: 3},
		} {
			change.Task, change.Worker = task, "w-2"
			harness.machine.recordChange(change)
		}
		worker := harness.machine.leader.workers[workerID]
		ends := []almondcross.EndedTask{
			almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: task, Run: 1, Kind: kind}),
			almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 2, Task: taskOf("other", 0, 0), Run: 1, Kind: almondcross.EndLeaseExpired}),
		}
		for reported, acknowledged := range []int64{0, 0, 2} {
			harness.answerLease(almondcross.WorkerReportConfig{Ended: ends[:reported], Clock: worker.maxLeaseEnd})
			harness.answerCommits()
			harness.advance(leaseAnswerWait)
			require.Equal(t, acknowledged, worker.acknowledgedEnd, "%s, %d ends reported", kind, reported)
			require.Equal(t, reported == 1, worker.ackLimit > 0, "%s, %d ends reported", kind, reported)
		}
		require.Equal(t, almondcross.JobRunning, harness.machine.state.jobs["j"].state, "the run under way decides")
	}
}

// Guards against a worker that gets no new work after a takeover because of an end before the expiry of its lease: the successor
// has sent it no lease, but the journal tells when the last one expired.
func TestSuccessorAcknowledgesEndsBeforeALapse(t *testing.T) {
	task := taskOf("j", 0, 0)
	for name, restarted := range map[string][]almondcross.ChangeConfig{
		"lost": nil, "started again": {{Kind: almondcross.ChangeAssign, Task: task, Run: 2, Worker: "w-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithRun(t)
			harness.answerLease(almondcross.WorkerReportConfig{Running: runningTask(task, 1)})
			harness.dropLeaseAnswers(14 * time.Second)
			require.Equal(t, almondcross.EndVoid, harness.recordedEnd())
			for _, change := range restarted {
				harness.machine.recordChange(change)
			}
			harness.advance(0)
			harness.answerCommits()
			harness = harness.electStandby()
			harness.announceWorker()
			success := almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: task, Run: 1, Kind: almondcross.EndDone})
			harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{success}})
			harness.answerCommits()
			harness.advance(leaseAnswerWait)
			worker := harness.machine.leader.workers[workerID]
			require.Equal(t, int64(1), worker.acknowledgedEnd)
			require.Zero(t, worker.ackLimit)
			require.Equal(t, restarted == nil, harness.machine.state.jobs["j"].state == almondcross.JobCompleted)
		})
	}
}

// Guards against a late failure of a gang that counts once for each lost member, or again after a failure of the same run, and
// against lost runs that a loaded state lacks.
func TestLateFailureOfAGangCountsOnce(t *testing.T) {
	state := newState(time.Minute)
	step := almondcross.NewStep(almondcross.StepConfig{Count: 2, Gang: true})
	state.admitJob(almondcross.NewJob(almondcross.JobConfig{ID: "g", Queue: "q", Steps: []almondcross.Step{step}}), settings(1, "q"))
	end := func(run, index int, kind almondcross.EndKind, silent time.Duration) {
		state.apply(almondcross.NewChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeEnd, Task: taskOf("g", 0, index), Run: run, End: kind, Silent: silent,
		}))
	}
	for run, first := range []almondcross.EndKind{almondcross.EndFailed, almondcross.EndVoid} {
		for index := range 2 {
			state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("g", 0, index), Run: run + 1, Worker: workerID}))
		}
		end(run+1, 0, first, time.Second)
		end(run+1, 1, almondcross.EndVoid, time.Second)
	}
	require.Equal(t, 1, state.jobs["g"].stages[0].gangFailures)
	end(1, 1, almondcross.EndFailed, 0)
	require.Equal(t, 1, state.jobs["g"].stages[0].gangFailures, "the failure of the first run has been counted")
	state = restore(state.snapshot(0, time.Time{}), time.Minute, time.Time{}, nil)
	end(2, 1, almondcross.EndFailed, 0)
	require.Equal(t, 2, state.jobs["g"].stages[0].gangFailures)
	require.Equal(t, almondcross.JobFailed, state.jobs["g"].state)
	end(2, 0, almondcross.EndFailed, 0)
	require.Equal(t, 2, state.jobs["g"].stages[0].gangFailures)
}

// Guards against a member of a gang that counts as running for good, so that the gang is never placed again (LOST): it was
// assigned again under the run that was presumed lost, and its failure was taken for that of the lost run.
func TestFailureOfAReassignedGangMemberEndsItsRun(t *testing.T) {
	state := newState(time.Minute)
	step := almondcross.NewStep(almondcross.StepConfig{Count: 1, Gang: true})
	state.admitJob(almondcross.NewJob(almondcross.JobConfig{ID: "g", Queue: "q", Steps: []almondcross.Step{step}}), settings(1, "q"))
	for _, change := range []almondcross.ChangeConfig{
		{Kind: almondcross.ChangeAssign, Worker: workerID},
		{Kind: almondcross.ChangeEnd, Worker: workerID, End: almondcross.EndVoid, Silent: time.Second},
		{Kind: almondcross.ChangeAssign, Worker: "w-2"},
		{Kind: almondcross.ChangeEnd, Worker: "w-2", End: almondcross.EndFailed},
	} {
		change.Task, change.Run = taskOf("g", 0, 0), 1
		state.apply(almondcross.NewChange(change))
	}
	require.Zero(t, state.jobs["g"].activeTasks)
	require.Equal(t, 1, state.jobs["g"].stages[0].gangFailures)
	require.True(t, state.jobs["g"].ready(state.jobs["g"].stages[0]))
}

// Guards against a task of a queue without a limit of attempts that is started again without end (BUDGET): the absence of the
// limit was read as no limit.
func TestQueueWithoutALimitAllowsOneFailure(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	accepted := almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
		Version: 1, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool"}),
	})
	harness.submitTo("a", "q", accepted)
	require.Equal(t, 1, harness.failRuns(taskOf("a", 0, 0), 6), "starts of a task that always fails")
	require.Equal(t, almondcross.JobFailed, harness.machine.state.jobs["a"].state)
}
