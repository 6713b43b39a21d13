package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// answerLeaseAs answers the pending lease order as an incarnation of the worker without runs.
func (harness *harness) answerLeaseAs(incarnation int64) {
	harness.t.Helper()
	order := requireEffect[SendLease](harness).Order
	sent := harness.now
	harness.advance(10 * time.Millisecond)
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderDone, Sent: sent, Received: harness.now,
		Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{ID: workerID, Incarnation: incarnation, Clock: time.Second}),
	}))
}

// Guards against a task that crashes each worker that starts it and is started again without bound, also by a scheduler
// that takes over in between (BUDGET), and against a job that is given up although only one worker is known to have
// crashed under it (LOST).
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		answered bool
		starts   int
	}{
		"started":       {true, minConfirmedCrashes},
		"maybe started": {false, maxLosses},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.addStandby().addStandby().addStandby()
			harness.becomeScheduler()
			harness.submitJob("j", almondcross.StepConfig{Count: 1})
			harness.answerCommits()
			starts := 0
			for incarnation := int64(2); incarnation < 10; incarnation++ {
				harness.advance(startRefusalBackoff)
				harness.answerCommits()
				start, found := takeEffect[SendStart](harness)
				if !found {
					break
				}
				starts++
				if test.answered {
					harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: start.Order, Incarnation: start.Order.Incarnation(), Result: almondcross.OrderDone, Received: harness.now}))
				}
				harness.answerLeaseAs(incarnation) // The worker has crashed and answers as another incarnation,
				harness.answerLeaseAs(incarnation) // the second time under a raised fencing token.
				harness.announceLife(incarnation)
				harness.answerCommits()
				if starts == 1 {
					harness = harness.electStandby()
					harness.announceWorker()
					harness.answerLeaseAs(incarnation)
				}
			}
			require.Equal(t, almondcross.JobFailed, harness.machine.state.jobs["j"].state)
			require.Equal(t, test.starts, starts)
		})
	}
}

// Guards against runs that wait for a lease of seconds although their worker is known to be gone: another worker answers
// at its address. All work of a crashed worker was restarted 6.7 s late, and was down for 3.2 s of them.
func TestRunsEndOnceAnotherWorkerAnswersAtTheAddress(t *testing.T) {
	harness := newHarnessWithRun(t)
	order := requireEffect[SendLease](harness).Order
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderReplaced, Sent: harness.now, Received: harness.now,
	}))
	harness.answerCommits()
	require.Equal(t, almondcross.EndCrashedAlone, harness.recordedEnd())
	require.False(t, harness.machine.leader.workers[workerID].usable(harness.now))
}

// Guards against a service that is given up because workers crash under it for other reasons, and against one that crashes
// each worker soon after its start and is started without bound.
func TestServiceIsGivenUpForCrashesSoonAfterItsStartOnly(t *testing.T) {
	for after, given := range map[time.Duration]bool{time.Second: true, time.Minute: false} {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		stage := &stage{spec: almondcross.NewStep(almondcross.StepConfig{Count: 1, Service: true}), tasks: newTaskTable(1, nil)}
		state, crashes := newState(time.Minute), 0
		for !state.givenUp(stage, 0) && crashes < 100 {
			stage.tasks.set(0, stage.tasks.at(0).WithSince(now))
			now = now.Add(after)
			state.countCrash(stage, 0, almondcross.EndWorkerCrashed, now)
			crashes++
		}
		require.Equal(t, given, state.givenUp(stage, 0))
		if given {
			require.Equal(t, maxLosses, crashes)
		}
	}
}

// answerWorkers answers the pending lease orders: those to some workers with a failure, the others with reports of all runs
// that the workers should have.
func (harness *harness) answerWorkers(failures map[string]almondcross.OrderResult) {
	var reachable []Effect
	for sent, found := takeEffect[SendLease](harness); found; sent, found = takeEffect[SendLease](harness) {
		failure, failing := failures[sent.Order.Worker().ID()]
		if !failing {
			reachable = append(reachable, sent)
			continue
		}
		harness.machine.Apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: sent.Order, Result: failure, Sent: harness.now, Received: harness.now,
		}), harness.now)
	}
	harness.effects = append(harness.effects, reachable...)
	harness.hearFromWorkers()
}

// schedule lets the scheduler work for a time while some workers do not answer.
func (harness *harness) schedule(span time.Duration, failures map[string]almondcross.OrderResult) {
	for end := harness.now.Add(span); harness.now.Before(end); {
		harness.advance(leaderTick)
		harness.answerCommits()
		harness.answerWorkers(failures)
	}
}

// Guards against a job that is shown as failed although no worker has crashed (LOST): a worker that is cut off from all
// hosts is no longer announced either, and its runs end with their lease. A worker whose process has ended refuses
// connections.
func TestOnlyWorkersThatRefuseConnectionsHaveCrashed(t *testing.T) {
	for result, state := range map[almondcross.OrderResult]almondcross.JobState{
		almondcross.OrderUnknown: almondcross.JobRunning, almondcross.OrderRefused: almondcross.JobFailed,
	} {
		harness := newHarnessWithWorkers(t, 4)
		harness.submitJob("j", almondcross.StepConfig{Count: 1})
		failures := map[string]almondcross.OrderResult{}
		for range minConfirmedCrashes {
			harness.schedule(5*leaderTick, failures) // A task that crashes its workers at once is given up at the second crash.
			lost, run := harness.record(taskOf("j", 0, 0)).Worker(), harness.record(taskOf("j", 0, 0)).Run()
			failures[lost] = result
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
				almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: lost}),
			}}))
			for end := harness.now.Add(7 * time.Second); harness.now.Before(end) && harness.record(taskOf("j", 0, 0)).Run() == run; {
				harness.schedule(leaderTick, failures)
			}
		}
		require.Equal(t, state, harness.machine.state.jobs["j"].state)
	}
}

// Guards against crashes that are never counted (BUDGET): a worker that had announced that it would leave, and answers as
// another incarnation before its new announcement is read, counted as leaving for the whole of that incarnation.
func TestNextIncarnationOfDrainedWorkerMayCrash(t *testing.T) {
	harness := newHarnessWithRun(t)
	announce := func(draining bool) {
		harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
			almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker.WithDraining(draining)}),
		}}))
	}
	announce(true)
	harness.answerLeaseAs(2)
	harness.answerLeaseAs(2)
	harness.answerCommits()
	require.Equal(t, almondcross.EndVoid, harness.recordedEnd(), "the first incarnation had announced that it would leave")
	announce(false)
	require.Equal(t, almondcross.EndCrashedAlone, harness.machine.leader.workers[workerID].crashEnd())
}

// Guards against a service that crashes each worker some seconds after its start and is started without bound: the wait for
// the lease of the crashed worker counted as a time in which the run was at work.
func TestLeaseOfACrashedWorkerIsNoWorkOfItsRuns(t *testing.T) {
	harness := newHarness(t)
	standby := harness.addStandby()
	harness.becomeScheduler()
	harness.submitJob("s", almondcross.StepConfig{Count: 1, Service: true})
	harness.answerCommits()
	harness.answerStart()
	for worked := harness.now.Add(serviceCrashAttribution / 2); harness.now.Before(worked); {
		harness.hearFromWorkers()
		harness.advance(leaderTick)
		harness.answerCommits()
	}
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true})) // The worker is not announced any more.
	for lostAt := harness.now; harness.recordedEnd() == "" && harness.now.Sub(lostAt) < time.Minute; {
		harness.dropLeaseAnswers(leaderTick)
	}
	require.Equal(t, almondcross.EndMaybeCrashed, harness.recordedEnd())
	require.Equal(t, 1, harness.record(taskOf("s", 0, 0)).Crashes())
	require.Equal(t, 1, standby.machine.state.jobs["s"].stages[0].tasks.at(0).Crashes(), "the standby counts the same")
}
