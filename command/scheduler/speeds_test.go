package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/speedometer"
)

// learn makes the scheduler learn run times and speeds.
func (harness *harness) learn() {
	harness.machine.leader.runTimes, harness.machine.leader.speeds = estimator.New(), speedometer.New()
}

// Guards against a slow worker that is recognised only when its runs end, after several times their estimate, and against a sound one
// whose run waits for its gang or takes longer than its estimate.
func TestProgressReportsShowTheSpeedOfAWorker(t *testing.T) {
	for name, test := range map[string]struct {
		gang    bool
		percent func(elapsed time.Duration) int
		slow    bool
	}{
		"slow":             {percent: func(elapsed time.Duration) int { return int(elapsed / (150 * time.Millisecond)) }, slow: true},
		"sound":            {percent: func(elapsed time.Duration) int { return int(elapsed / (30 * time.Millisecond)) }},
		"long task":        {percent: func(elapsed time.Duration) int { return min(100, int(elapsed/(10*time.Millisecond))) }},
		"waits for gang":   {gang: true, percent: func(time.Duration) int { return 0 }},
		"stands still":     {percent: func(time.Duration) int { return 0 }, slow: true},
		"gang under way":   {gang: true, percent: func(elapsed time.Duration) int { return 1 + int(elapsed/(30*time.Millisecond)) }},
		"slow gang member": {gang: true, percent: func(elapsed time.Duration) int { return 1 + int(elapsed/(150*time.Millisecond)) }, slow: true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.learn()
			harness.submitJob("j", almondcross.StepConfig{Count: 1, Gang: test.gang, Estimate: 3 * time.Second})
			harness.answerCommits()
			order := harness.answerStart()
			startedAt := harness.now
			for harness.now.Sub(startedAt) < 1900*time.Millisecond {
				harness.advance(460 * time.Millisecond)
				harness.answerLease(almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{almondcross.NewRunningTask(almondcross.RunningTaskConfig{
					Task: order.Task(), Run: 1, Progress: test.percent(harness.now.Sub(startedAt)),
				})}})
			}
			require.Equal(t, test.slow, harness.machine.leader.workers[workerID].slow)
		})
	}
}

// Guards against tasks on slow workers while others have room or get it soon, and against tasks that never start because only slow
// workers have room, or only slow workers may run them.
func TestSlowWorkersAreUsedIfNothingElseIs(t *testing.T) {
	for name, test := range map[string]struct {
		sound, gang bool
		wait        time.Duration
	}{
		"others are full":            {sound: true, wait: maxSlowWait},
		"no others":                  {},
		"no others for a gang":       {gang: true},
		"others are full for a gang": {sound: true, gang: true, wait: maxGangSlowWait},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.learn()
			harness.machine.leader.workers[workerID].announced = false
			harness.addWorkers(4, poolWorker.Capacity(), almondcross.Resources{})
			for index := range 4 {
				worker := harness.machine.leader.workers[fmt.Sprintf("i-%03d", index)]
				if test.sound && index >= 2 {
					harness.occupy(worker.id, 0, time.Second).stage.runTime = stageRunTime{expected: time.Second, at: harness.now.Add(time.Hour)}
					continue
				}
				for range 10 {
					harness.machine.observeSpeed(worker, almondcross.SpeedSampleConfig{Expected: 100 * time.Millisecond, Taken: 500 * time.Millisecond})
				}
				require.True(t, worker.slow)
			}
			harness.submitJob("j", almondcross.StepConfig{Count: 2, Gang: test.gang, Estimate: 10 * time.Second})
			since := harness.now
			harness.machine.leader.trialAt = harness.now.Add(time.Hour)
			for harness.machine.state.jobs["j"].activeTasks == 0 && harness.now.Sub(since) < 6*time.Second {
				for _, worker := range harness.machine.leader.workers {
					worker.lastAnswerAt = harness.now
				}
				harness.advance(leaderTick)
				harness.machine.leader.lastSweepAt = harness.now // The run on the others goes on.
			}
			require.Equal(t, 2, harness.machine.state.jobs["j"].activeTasks)
			require.InDelta(t, test.wait.Seconds(), harness.now.Sub(since).Seconds(), 0.1)
		})
	}
}

// Guards against trials that take all tasks of a step, its last one, or those of a gang, and against more than one on a worker.
func TestTrialsTakeAFewTasks(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.learn()
	harness.addWorkers(8, poolWorker.Capacity(), almondcross.Resources{})
	slowTasks := func() (tasks int) {
		for _, worker := range harness.machine.leader.workers {
			if worker.slow {
				require.LessOrEqual(t, len(worker.assignments), 1)
				tasks += len(worker.assignments)
			}
		}
		return tasks
	}
	for index := range 3 {
		worker := harness.machine.leader.workers[fmt.Sprintf("i-%03d", index)]
		for range 10 {
			harness.machine.observeSpeed(worker, almondcross.SpeedSampleConfig{Expected: 100 * time.Millisecond, Taken: 500 * time.Millisecond})
		}
		harness.machine.leader.speeds.TrialPlaced(worker.id, harness.now.Add(-time.Minute))
	}
	harness.submitJob("gang", almondcross.StepConfig{Count: 4, Gang: true, Estimate: time.Second})
	harness.submitJob("one", almondcross.StepConfig{Count: 1, Estimate: time.Second})
	require.Zero(t, slowTasks())
	harness.submitJob("batch", almondcross.StepConfig{Count: 4, Estimate: time.Second})
	require.Equal(t, 2, slowTasks())
	harness.submitJob("next", almondcross.StepConfig{Count: 4, Estimate: time.Second})
	require.Equal(t, 2, slowTasks(), "not before the interval has passed")
}

// Guards against a task that is stopped and started again without end because it takes seven times its estimate or more, and
// against a run that is never stopped.
func TestOverdueLimitFollowsTheExpectedRunTime(t *testing.T) {
	newRun := func(estimate time.Duration, run int) *assignment {
		return &assignment{run: run, stage: &stage{spec: almondcross.NewStep(almondcross.StepConfig{Count: 1, Estimate: estimate})}}
	}
	require.Equal(t, overdueTimeout, newRun(time.Second, 1).overdueLimit())
	require.Equal(t, 2*overdueTimeout, newRun(time.Second, 2).overdueLimit())
	require.Equal(t, 40*time.Second, newRun(4*time.Second, 1).overdueLimit())
	require.Equal(t, maxOverdueRuns*overdueTimeout, newRun(time.Second, 100).overdueLimit())
	require.Equal(t, maxOverdueLimit, newRun(200*365*24*time.Hour, 1).overdueLimit())
	learned := newRun(time.Second, 1)
	learned.stage.runTime.expected = 5 * time.Second
	require.Equal(t, 50*time.Second, learned.overdueLimit())
}

// Guards against expected run times that stay those of the callers although runs of the queue have shown others, and that a slow
// worker lengthens.
func TestExpectedRunTimesAreLearned(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.learn()
	worker := harness.machine.leader.workers[workerID]
	step := almondcross.NewStep(almondcross.StepConfig{Count: 1, Estimate: 10 * time.Second, Image: "i"})
	require.Equal(t, 10*time.Second, harness.machine.Expected("q", step))
	for range 20 {
		worker.speed, worker.slow = 0.25, true
		run := &assignment{stage: &stage{id: almondcross.StageID{Job: "j"}, spec: step, remainingTasks: 1}, confirmedAt: harness.now.Add(-8 * time.Second)}
		harness.machine.state.jobs["j"] = &job{spec: almondcross.NewJob(almondcross.JobConfig{ID: "j", Queue: "q"})}
		harness.machine.noteFinished(worker, run, almondcross.EndDone)
		harness.machine.noteFinished(worker, run, almondcross.EndFailed)
	}
	require.InEpsilon(t, 2*time.Second, harness.machine.Expected("q", step), 0.2)
	require.Equal(t, 10*time.Second, harness.machine.Expected("other", step))
}

// Guards against a stage that never asks about slow workers although advice has denied all others (LOST on day 25 of the emulator), which
// have room that the stage cannot use.
func TestSlowWorkersAreAskedOnceTheOthersAreDenied(t *testing.T) {
	for _, gang := range []bool{false, true} {
		harness := newHarness(t)
		harness.becomeScheduler()
		harness.learn()
		harness.requireAdvice()
		harness.machine.leader.workers[workerID].announced = false
		harness.addWorkers(4, poolWorker.Capacity(), almondcross.Resources{})
		slow := harness.machine.leader.workers["i-003"]
		for range 10 {
			harness.machine.observeSpeed(slow, almondcross.SpeedSampleConfig{Expected: 100 * time.Millisecond, Taken: 500 * time.Millisecond})
		}
		harness.submitJob("j", almondcross.StepConfig{Count: 1, Gang: gang, Estimate: time.Second})
		asked := map[string]bool{}
		for range 100 {
			call, found := takeEffect[SendAdviceQuery](harness)
			for _, worker := range call.Query.Workers() {
				asked[worker] = true
			}
			if found {
				harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
					Adviser: call.Adviser, Query: call.Query, Received: harness.now, Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: call.Query.Stage()}),
				}))
			}
			for _, worker := range harness.machine.leader.workers {
				worker.lastAnswerAt = harness.now
			}
			harness.advance(leaderTick)
		}
		require.True(t, asked["i-000"] && asked["i-003"], "gang %t: %v", gang, asked)
	}
}

// Guards against a task that waits for 4 s beside idle slow workers (LOST from 3 s on), since the only other one that may run it is
// full of a long run.
func TestSlowWorkersAreUsedSoonInAnIdlePool(t *testing.T) {
	harness := newLabelledCell(t)
	harness.learn()
	harness.occupy("i-001", 0, time.Hour)
	slow := harness.machine.leader.workers["i-000"]
	for range 10 {
		harness.machine.observeSpeed(slow, almondcross.SpeedSampleConfig{Expected: 100 * time.Millisecond, Taken: 500 * time.Millisecond})
	}
	harness.submitJob("j", almondcross.StepConfig{Count: 1, Label: "l", Estimate: time.Minute})
	harness.placeFor(1900 * time.Millisecond)
	require.Empty(t, slow.assignments)
	harness.placeFor(200 * time.Millisecond)
	require.Len(t, slow.assignments, 1)
}
