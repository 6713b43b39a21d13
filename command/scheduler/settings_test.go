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

// settings returns the settings of a queue in the pool of the test's worker.
func settings(version int64, queue string) almondcross.QueueSettings {
	return almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
		Version: version, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: queue, Pool: "pool", MaxAttempts: 2}),
	})
}

// submitTo forwards a job with one task from a host that accepted it with settings.
func (harness *harness) submitTo(id almondcross.JobID, queue string, accepted almondcross.QueueSettings) {
	harness.t.Helper()
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
		Host: "h-2", Number: 1, Intake: almondcross.NewIntake(almondcross.IntakeConfig{
			Job: newJob(id, almondcross.StepConfig{Count: 1}).WithQueue(queue), Settings: accepted,
		}),
	}))
}

// failRuns lets each run of a task fail, at most limit of them, and returns the number of starts.
func (harness *harness) failRuns(task almondcross.JobTask, limit int) int {
	harness.t.Helper()
	for starts := range limit {
		harness.advance(minPlacementInterval)
		harness.answerCommits()
		started, found := takeEffect[SendStart](harness)
		if !found {
			return starts
		}
		worker := harness.machine.leader.workers[started.Order.Worker().ID()]
		worker.failures = workerFailures{}
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
	harness.submitTo(unknown, "new", almondcross.QueueSettings{})
	harness.answerCommits()
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
		state.admitJob(newJob("o", almondcross.StepConfig{Count: 1}), settings(0, "q").WithQueue(almondcross.NewQueue(almondcross.QueueConfig{Name: "q"})))
		state.jobs["o"].stages[0].tasks.set(0, almondcross.TaskRecord{}.WithFailures(failures).WithRun(failures))
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

// Guards against a job that never runs (LOST) or is started without end (BUDGET) because the scheduler has another version of
// the configuration than the host that accepted the job: one in which the queue is removed, or none yet.
func TestJobRunsByTheSettingsOfItsAcceptance(t *testing.T) {
	for _, queue := range []string{"removed", "new"} {
		harness := newHarness(t)
		harness.becomeScheduler()
		harness.apply(routes(8))
		harness.submitTo("a", queue, settings(map[string]int64{"removed": 7, "new": 9}[queue], queue))
		require.Equal(t, 2, harness.failRuns(taskOf("a", 0, 0), 6), "starts of a failing task on the queue %s", queue)
		require.Equal(t, almondcross.JobFailed, harness.machine.state.jobs["a"].state)
	}
}

// Guards against a task that is placed by settings that an older version of the configuration has, and against one that is
// placed by old settings although the scheduler has newer ones.
func TestNewerSettingsDecideOnPlacement(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(routes(5, almondcross.QueueConfig{Name: "q", Pool: "other", MaxAttempts: 2}))
	harness.submitTo("newer", "q", settings(6, "q"))
	harness.submitTo("older", "q", settings(4, "q"))
	harness.advance(minPlacementInterval)
	harness.answerCommits()
	require.Equal(t, almondcross.JobID("newer"), requireEffect[SendStart](harness).Order.Task().Stage.Job)
	_, started := takeEffect[SendStart](harness)
	require.False(t, started, "the newer version has the queue in another pool")
	state := harness.machine.state.snapshot(0, harness.now)
	for _, record := range state.Jobs() {
		require.Equal(t, settings(record.Settings().Version(), "q"), record.Settings(), "the stored settings stay those of the acceptance")
	}
}

// Guards against a job that waits for its settings, and goes on doing so after a host that knows them has sent the job again,
// or is run although its cancellation came first.
func TestRepeatedSubmissionBringsTheSettings(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 2, Intake: almondcross.NewIntake(
		almondcross.IntakeConfig{Cancel: true, Job: almondcross.NewJob(almondcross.JobConfig{ID: "c", Queue: "new"})},
	)}))
	for _, accepted := range []almondcross.QueueSettings{{}, settings(9, "new"), settings(10, "new")} {
		harness.submitTo("c", "new", accepted)
		harness.submitTo("s", "new", accepted)
	}
	harness.advance(minPlacementInterval)
	harness.answerCommits()
	require.Equal(t, almondcross.JobID("s"), requireEffect[SendStart](harness).Order.Task().Stage.Job)
	_, started := takeEffect[SendStart](harness)
	require.False(t, started)
	require.Equal(t, int64(9), harness.machine.state.jobs["s"].settings.Version())
	require.Equal(t, almondcross.JobCancelled, harness.machine.state.jobs["c"].state)
}

// Guards against a submission on one queue that is confirmed although the identity is that of a job of another one, and
// against a cancellation that ends the job of another queue.
func TestIdentityOfAnotherQueueIsLeftAlone(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	accepted := func(queue string) almondcross.QueueSettings {
		settings := settings(1, queue)
		return settings.WithQueue(settings.Queue().WithPrefix("/" + queue))
	}
	cancel := func(accepted almondcross.QueueSettings) {
		harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 2, Intake: almondcross.NewIntake(
			almondcross.IntakeConfig{Cancel: true, Job: almondcross.NewJob(almondcross.JobConfig{ID: "i", Queue: accepted.Queue().Name()}), Settings: accepted},
		)}))
	}
	for _, queue := range []string{"first", "second", "first"} {
		harness.submitTo("i", queue, accepted(queue))
		harness.answerCommits()
		require.Equal(t, queue == "second", requireEffect[ConfirmIntake](harness).Stored.Taken(), queue)
	}
	cancel(accepted("second"))
	harness.answerCommits()
	require.False(t, requireEffect[ConfirmIntake](harness).Stored.Taken(), "the job of the other queue never runs, as its caller is told")
	require.False(t, harness.machine.state.jobs["i"].state.Final())
	cancel(accepted("first").WithQueue(accepted("first").Queue().WithName("renamed")))
	require.Equal(t, almondcross.JobCancelled, harness.machine.state.jobs["i"].state)
}

// Guards against a new version of the configuration that changes priorities and leaves the waiting stages in the order of the
// old ones: each later stage is then inserted anywhere, and urgent work waits behind other work.
func TestNewPrioritiesOrderTheWaitingStages(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	version := func(version int64, priorities map[string]int) almondcross.RoutesRead {
		var queues []almondcross.QueueConfig
		for _, name := range []string{"a", "b", "c"} {
			queues = append(queues, almondcross.QueueConfig{Name: name, Pool: "elsewhere", Priority: priorities[name]})
		}
		return routes(version, queues...)
	}
	harness.apply(version(2, map[string]int{"a": 1, "b": 2, "c": 3}))
	for index, queue := range []string{"a", "b", "c", "a", "b", "c"} {
		harness.submitTo(almondcross.JobID(queue+string(rune('0'+index))), queue, almondcross.QueueSettings{})
	}
	harness.apply(version(3, map[string]int{"a": 3, "b": 2, "c": 1}))
	harness.submitTo("c6", "c", almondcross.QueueSettings{})
	var order []almondcross.JobID
	for _, waiting := range harness.machine.leader.waitingStages {
		order = append(order, waiting.job.spec.ID())
	}
	require.Equal(t, []almondcross.JobID{"c2", "c5", "c6", "b1", "b4", "a0", "a3"}, order)
}

// Guards against usage that a new scheduler stores with the capacity of the workers that it knows so far, none: it replaces
// the capacity that the scheduler before it had stored, for good if the period is over.
func TestUsageIsStoredOnceTheWorkersAreKnown(t *testing.T) {
	harness := newHarness(t)
	harness.apply(routes(1, almondcross.QueueConfig{Name: "q", Pool: "pool"}))
	harness.awaitElection()
	harness.answerCommit()
	harness.answerCommit()
	harness.submitTo("j", "q", almondcross.QueueSettings{})
	harness.advance(usageInterval)
	_, stored := takeEffect[StoreUsage](harness)
	require.False(t, stored)
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker}),
	}}))
	usages := requireEffect[StoreUsage](harness).Request.Usages()
	require.Len(t, usages, 1)
	require.Equal(t, resourceSeconds(poolWorker.Capacity(), usagePeriod), usages[0].Capacity())
}

// Guards against a submission that is taken for cancelled because another queue cancelled an identity that it never had: the
// record of that cancellation has no settings, and their absence was read as "the same queue".
func TestCancellationOnOneQueueLeavesTheIdentityToAnother(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	other := almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
		Version: 1, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "other", Pool: "pool", Prefix: "/other", MaxAttempts: 2}),
	})
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: "h-2", Number: 2, Intake: almondcross.NewIntake(
		almondcross.IntakeConfig{Cancel: true, Settings: other, Job: almondcross.NewJob(almondcross.JobConfig{ID: "x", Queue: "other"})},
	)}))
	harness.answerCommits()
	requireEffect[ConfirmIntake](harness)
	harness.submitTo("x", "q", settings(1, "q"))
	harness.answerCommits()
	taken := requireEffect[ConfirmIntake](harness).Stored.Taken()
	_, started := takeEffect[SendStart](harness)
	require.True(t, taken || started, "the caller learns that the job does not run, or it runs")
}
