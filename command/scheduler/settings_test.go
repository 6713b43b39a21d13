package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// routes returns a message with a version of the configuration.
func routes(version int64, queues ...almondcross.QueueConfig) almondcross.RoutesRead {
	config := almondcross.RouteTableConfig{Version: version}
	for _, queue := range queues {
		config.Queues = append(config.Queues, almondcross.NewQueue(queue))
	}
	return almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: almondcross.NewRouteTable(config)})
}

// commitAll answers all pending appends.
func (harness *harness) commitAll() {
	harness.t.Helper()
	for range 5 {
		if _, found := harness.pendingCommit(); found {
			harness.answerCommit()
		}
	}
}

// failRuns lets each run of a task fail, at most limit of them, and returns the number of starts.
func (harness *harness) failRuns(task almondcross.JobTask, limit int) int {
	harness.t.Helper()
	for starts := range limit {
		harness.advance(minPlacementInterval)
		harness.commitAll()
		started, found := takeEffect[SendStart](harness)
		if !found {
			return starts
		}
		worker := harness.machine.leader.workers[started.Order.Worker().ID()]
		worker.failures = 0
		harness.machine.endRun(worker, worker.assignments[task], almondcross.EndFailed, "")
	}
	return limit
}

// Guards against a job that an older host accepted by a version that the scheduler does not have: admitted with a queue that
// is only a name, its tasks were never placed (LOST) or, once the scheduler had the version, started again without end
// (BUDGET).
func TestJobOfAnUnknownQueueWaitsForItsSettings(t *testing.T) {
	const unknown = almondcross.JobID("u")
	harness := newHarness(t)
	harness.becomeScheduler()
	submitted := newJob(unknown, almondcross.StepConfig{Count: 1}).WithQueue("new")
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
		Host: "h-2", Number: 1, Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted}),
	}))
	harness.commitAll()
	requireEffect[ConfirmIntake](harness)
	_, started := takeEffect[SendStart](harness)
	require.False(t, started)
	require.False(t, harness.machine.state.jobs[unknown].settings.Known())
	harness.apply(routes(2, almondcross.QueueConfig{Name: "new", Pool: "pool", MaxAttempts: 2}))
	require.Equal(t, 2, harness.failRuns(taskOf(unknown, 0, 0), 6), "starts of a task that always fails")
	require.Equal(t, almondcross.JobFailed, harness.machine.state.jobs[unknown].state)
	replayed := newState(time.Minute)
	for _, batch := range harness.batches {
		replayed.applyBatch(batch, harness.now)
	}
	require.Equal(t, almondcross.JobFailed, replayed.jobs[unknown].state, "a successor knows the settings")
}

// Guards against a successor that goes on without the settings of a job that it finds in the state of an older host, whose
// task has failed as often as the settings allow.
func TestSuccessorSettlesJobsOfAnOlderHost(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	for failures, expected := range []almondcross.JobState{almondcross.JobQueued, almondcross.JobQueued, almondcross.JobFailed} {
		harness := newHarness(t)
		harness.becomeScheduler()
		state := harness.machine.state
		state.admitJob(newJob("o", almondcross.StepConfig{Count: 1}), almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
			Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q"}),
		}))
		state.jobs["o"].stages[0].tasks[0] = almondcross.TaskRecord{}.WithFailures(failures).WithRun(failures)
		parts, err := codec.EncodeSnapshot(state.snapshot(0, harness.now), 1<<20)
		require.NoError(t, err)
		restored, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: parts[0]})})
		require.NoError(t, err)
		require.True(t, found)
		harness.machine.state = restore(restored, time.Minute, harness.now, nil)
		harness.machine.settleJobs()
		require.Equal(t, expected, harness.machine.state.jobs["o"].state, "%d failures", failures)
	}
}
