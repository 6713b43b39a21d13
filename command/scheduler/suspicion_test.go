package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// newHarnessWithWorkers returns a scheduler that as many workers have answered, w-1 and so on.
func newHarnessWithWorkers(t *testing.T, count int) *harness {
	t.Helper()
	harness := newHarness(t)
	harness.becomeScheduler()
	for index := 2; index <= count; index++ {
		id := "w-" + strconv.Itoa(index)
		harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
			almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id, Present: true, Worker: poolWorker.WithID(id)}),
		}}))
	}
	harness.hearFromWorkers()
	return harness
}

// hearFromWorkers answers the pending lease orders with reports of all runs that the workers should have.
func (harness *harness) hearFromWorkers() {
	for sent, found := takeEffect[SendLease](harness); found; sent, found = takeEffect[SendLease](harness) {
		var running []almondcross.RunningTask
		for _, assigned := range harness.machine.leader.workers[sent.Order.Worker().ID()].assignments {
			running = append(running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: assigned.task, Run: assigned.run}))
		}
		harness.machine.Apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: sent.Order, Result: almondcross.OrderDone, Sent: harness.now, Received: harness.now,
			Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{Incarnation: 1, Clock: time.Second, Running: running}),
		}), harness.now)
	}
}

// crashUnder records crashes under the last runs of tasks and places them again.
func (harness *harness) crashUnder(tasks ...almondcross.JobTask) {
	harness.t.Helper()
	for _, task := range tasks {
		worker := harness.machine.leader.workers[harness.record(task).Worker()]
		harness.machine.endRun(worker, worker.assignments[task], almondcross.EndWorkerCrashed, "")
	}
	harness.placeWaiting()
}

// placeWaiting lets the scheduler place what waits.
func (harness *harness) placeWaiting() {
	harness.hearFromWorkers()
	harness.advance(leaderTick)
	harness.answerCommits()
}

// record returns the state of a task.
func (harness *harness) record(task almondcross.JobTask) almondcross.TaskRecord {
	return harness.machine.state.jobs[task.Stage.Job].stage(task.Stage).tasks.at(task.Index)
}

// Guards against tasks that have seen a crash and share a worker again: the next crash would not tell them apart, and
// innocent ones would be given up with the one that crashes its workers.
func TestSuspectedTasksGetDifferentWorkers(t *testing.T) {
	harness := newHarnessWithWorkers(t, 3)
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	first, second := taskOf("j", 0, 0), taskOf("k", 0, 0)
	require.Equal(t, harness.record(first).Worker(), harness.record(second).Worker(), "tasks share a worker as long as there is no crash")
	harness.crashUnder(first, second)
	require.True(t, harness.record(first).Active())
	require.True(t, harness.record(second).Active())
	require.NotEqual(t, harness.record(first).Worker(), harness.record(second).Worker())
}

// Guards against a task that takes the runs of others with it each time it crashes a worker: after the second crash it
// runs alone, and nothing is placed beside it.
func TestTaskWithSeveralCrashesRunsAlone(t *testing.T) {
	harness := newHarnessWithWorkers(t, 2)
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	crashing := taskOf("j", 0, 0)
	harness.submitJob("k", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	other := harness.record(taskOf("k", 0, 0)).Worker()
	require.Equal(t, other, harness.record(crashing).Worker())
	harness.crashUnder(crashing)
	harness.crashUnder(crashing)
	alone := harness.record(crashing).Worker()
	require.True(t, harness.record(crashing).Active())
	require.NotEqual(t, other, alone)
	harness.submitJob("l", almondcross.StepConfig{Count: 4})
	harness.answerCommits()
	for index := range 4 {
		require.NotEqual(t, alone, harness.record(taskOf("l", 0, index)).Worker())
	}
}

// Guards against an innocent task that waits without end for a worker of its own on a cluster whose workers are never
// empty.
func TestTaskWithSeveralCrashesWaitsForABoundedTime(t *testing.T) {
	harness := newHarnessWithWorkers(t, 2)
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.submitJob("long", almondcross.StepConfig{Count: 5})
	harness.answerCommits()
	crashing := taskOf("j", 0, 0)
	harness.crashUnder(crashing)
	harness.crashUnder(crashing)
	require.False(t, harness.record(crashing).Active(), "no worker is empty")
	waitingSince := harness.now
	for !harness.record(crashing).Active() && harness.now.Sub(waitingSince) < time.Minute {
		harness.placeWaiting()
	}
	require.InDelta(t, isolationTimeout.Seconds(), harness.now.Sub(waitingSince).Seconds(), 0.1)
}

// Guards against one kind of task that takes most of the workers, and everyone's work with them: once workers have
// crashed right after starts of a queue, further jobs of the queue share no worker with others, and occupy a part of
// the workers only.
func TestJobsOfACrashingQueueAreIsolated(t *testing.T) {
	const workers = 16
	harness := newHarnessWithWorkers(t, workers)
	harness.submitJob("other", almondcross.StepConfig{Count: 34})
	harness.answerCommits()
	for _, id := range []string{"w-1", "w-10", "w-11"} {
		worker := harness.machine.leader.workers[id]
		worker.unreachableSince = harness.now
		harness.machine.blameQueue(worker)
	}
	for index := range 10 {
		harness.submitJob(almondcross.JobID("j"+strconv.Itoa(index)), almondcross.StepConfig{Count: 1})
	}
	harness.answerCommits()
	occupied := 0
	for _, worker := range harness.machine.leader.sortedWorkers {
		jobs := map[almondcross.JobID]bool{}
		for task := range worker.assignments {
			jobs[task.Stage.Job] = true
		}
		if worker.isolatedRuns > 0 {
			occupied++
			require.Len(t, jobs, 1)
		}
	}
	require.Equal(t, 4, occupied, "34 of 64 cores are in use, and may become 34/0.75 of them")
}

// Guards against a queue whose tasks wait without end once it is blamed: lasting tasks keep every worker occupied, so that
// none is ever empty, and without starts nothing clears the queue (LOST).
func TestTasksOfACrashingQueueStartOnOccupiedWorkers(t *testing.T) {
	harness := newHarnessWithWorkers(t, 4)
	for index := range 4 {
		harness.submitJob(almondcross.JobID("service"+strconv.Itoa(index)), almondcross.StepConfig{Count: 3, Service: true})
	}
	harness.answerCommits()
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		worker := harness.machine.leader.workers[id]
		worker.unreachableSince = harness.now
		harness.machine.blameQueue(worker)
	}
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	require.True(t, harness.machine.queueCrashing(harness.machine.state.jobs["j"]))
	submitted := harness.now
	for !harness.record(taskOf("j", 0, 0)).Active() && harness.now.Sub(submitted) < time.Minute {
		harness.placeWaiting()
	}
	require.Less(t, harness.now.Sub(submitted), blamedIsolationTimeout+time.Second)
	for harness.machine.queueCrashing(harness.machine.state.jobs["j"]) && harness.now.Sub(submitted) < time.Minute {
		harness.placeWaiting()
	}
	require.Less(t, harness.now.Sub(submitted), 2*queueScoreHalfLife, "the blame fades without starts")
}

// Guards against a queue that is blamed for runs that the scheduler before had started: a new scheduler finds crashed
// workers at once, and has just restored their runs.
func TestSuccessorBlamesNoQueueForRestoredRuns(t *testing.T) {
	harness := newHarnessWithRun(t).electStandby()
	harness.announceWorker()
	order := requireEffect[SendLease](harness).Order
	harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: order, Result: almondcross.OrderRefused, Sent: harness.now, Received: harness.now,
	}))
	require.Empty(t, harness.machine.leader.queueScores)
}

// fillWorker places a lasting task of another job on a worker.
func (harness *harness) fillWorker(id string) {
	harness.t.Helper()
	for _, worker := range harness.machine.leader.workers {
		worker.avoidUntil = harness.now.Add(time.Hour)
	}
	harness.machine.leader.workers[id].avoidUntil = time.Time{}
	harness.submitJob(almondcross.JobID("on-"+id), almondcross.StepConfig{Count: 1, Service: true})
	harness.answerCommits()
	for _, worker := range harness.machine.leader.workers {
		worker.avoidUntil = time.Time{}
	}
	require.Equal(harness.t, id, harness.record(taskOf(almondcross.JobID("on-"+id), 0, 0)).Worker())
}

// Guards against a gang that waits without end after a crash although there is room for it: some workers are empty, but
// not enough for all members.
func TestGangThatHasSeenACrashIsPlacedOnSharedWorkers(t *testing.T) {
	for crashes := 1; crashes <= isolationCrashes; crashes++ {
		harness := newHarnessWithWorkers(t, 3)
		harness.fillWorker("w-2")
		harness.fillWorker("w-3")
		harness.submitJob("g", almondcross.StepConfig{Count: 6, Gang: true})
		harness.schedule(time.Second, nil)
		for range crashes {
			for index := range 6 {
				task := taskOf("g", 0, index)
				require.True(t, harness.record(task).Active())
				kind := almondcross.EndVoid
				if index == 0 {
					kind = almondcross.EndWorkerCrashed
				}
				worker := harness.machine.leader.workers[harness.record(task).Worker()]
				harness.machine.endRun(worker, worker.assignments[task], kind, "")
			}
			harness.schedule(isolationTimeout+500*time.Millisecond, nil) // Less than stallTimeout.
		}
		require.True(t, harness.record(taskOf("g", 0, 0)).Active(), "after %d crashes", crashes)
	}
}

// grantAdvice answers the pending calls for advice with a ticket for each worker.
func (harness *harness) grantAdvice() {
	for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
		var tickets []almondcross.Ticket
		for _, id := range call.Query.Workers() {
			tickets = append(tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: id}))
		}
		harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
			Adviser: call.Adviser, Query: call.Query, Received: harness.now,
			Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: call.Query.Stage(), Tickets: tickets, Validity: 2 * time.Second}),
		}))
	}
}

// Guards against tasks of a queue with advice that wait without end after two crashes: advice was requested for empty
// workers only, and the wait for one is bounded from the first attempt to place the task, which needs a ticket.
func TestIsolatedTasksGetTicketsForSharedWorkers(t *testing.T) {
	for _, step := range []almondcross.StepConfig{{Count: 1}, {Count: 6, Gang: true}} {
		harness := newHarnessWithWorkers(t, 2)
		harness.fillWorker("w-1")
		harness.fillWorker("w-2")
		harness.requireAdvice()
		harness.submitJob("j", step)
		for crashes := 0; crashes <= isolationCrashes; crashes++ {
			for since := harness.now; harness.now.Sub(since) < isolationTimeout+time.Second; harness.grantAdvice() {
				harness.schedule(leaderTick, nil)
			}
			for index := range step.Count {
				task := taskOf("j", 0, index)
				require.True(t, harness.record(task).Active(), "%d tasks, after %d crashes", step.Count, crashes)
				kind := almondcross.EndVoid
				if index == 0 {
					kind = almondcross.EndWorkerCrashed
				}
				worker := harness.machine.leader.workers[harness.record(task).Worker()]
				harness.machine.endRun(worker, worker.assignments[task], kind, "")
			}
		}
	}
}

// Guards against a job that waits without end because lasting tasks that once saw two crashes keep every worker for
// themselves.
func TestLastingTasksKeepNoWorkerForThemselves(t *testing.T) {
	harness := newHarnessWithWorkers(t, 2)
	first, second := taskOf("s", 0, 0), taskOf("t", 0, 0)
	harness.submitJob("s", almondcross.StepConfig{Count: 1, Service: true})
	harness.submitJob("t", almondcross.StepConfig{Count: 1, Service: true})
	harness.schedule(time.Second, nil)
	for range isolationCrashes {
		harness.crashUnder(first, second)
		for deadline := harness.now.Add(time.Minute); harness.now.Before(deadline) && (!harness.record(first).Active() || !harness.record(second).Active()); {
			harness.schedule(leaderTick, nil)
		}
	}
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.schedule(time.Second, nil)
	require.False(t, harness.record(taskOf("j", 0, 0)).Active(), "both workers have an isolated task")
	harness.schedule(probation, nil)
	require.True(t, harness.record(taskOf("j", 0, 0)).Active())
	for _, worker := range harness.machine.leader.sortedWorkers {
		require.Zero(t, worker.suspectRuns)
		require.Zero(t, worker.isolatedRuns)
	}
}

// Guards against tasks of a queue that stays blamed for good, since none of its tasks starts on a cluster with a lasting
// task on each worker, and against such tasks on more workers than isolated ones may occupy.
func TestTasksOfACrashingQueueWaitForABoundedTime(t *testing.T) {
	for _, test := range []struct {
		step    almondcross.StepConfig
		timeout time.Duration
	}{
		{almondcross.StepConfig{Count: 1}, blamedIsolationTimeout},
		{almondcross.StepConfig{Count: 2, Gang: true}, blamedIsolationTimeout},
		{almondcross.StepConfig{Count: 1, Service: true}, isolationTimeout},
	} {
		harness := newHarnessWithWorkers(t, 4)
		for _, worker := range []string{"w-1", "w-2", "w-3", "w-4"} {
			harness.fillWorker(worker)
		}
		blame := func() {
			harness.machine.leader.queueScores["q"] = queueScore{score: maxQueueScore, updatedAt: harness.now}
		}
		blame()
		jobs := []almondcross.JobID{"j0", "j1", "j2", "j3", "j4"}
		for _, id := range jobs {
			harness.submitJob(id, test.step)
		}
		started := func() (count int) {
			for _, id := range jobs {
				if harness.record(taskOf(id, 0, 0)).Active() {
					count++
				}
			}
			return count
		}
		for since := harness.now; harness.now.Sub(since) < test.timeout-time.Second; blame() {
			harness.schedule(500*time.Millisecond, nil)
		}
		require.Zero(t, started())
		harness.schedule(1500*time.Millisecond, nil)
		require.Positive(t, started())
		if !test.step.Gang {
			require.LessOrEqual(t, started(), harness.machine.leader.isolationLimit)
		}
	}
}

// Guards against jobs that crash workers and are let go together once their queue is trusted again: they had waited behind
// newer ones while it was blamed.
func TestStagesStayIsolatedAfterTheirQueueIsTrustedAgain(t *testing.T) {
	harness := newHarnessWithWorkers(t, 4)
	for _, id := range []string{"w-1", "w-2", "w-3", "w-4"} {
		harness.fillWorker(id)
	}
	harness.machine.leader.queueScores["q"] = queueScore{score: maxQueueScore, updatedAt: harness.now}
	harness.submitJob("waiting", almondcross.StepConfig{Count: 1})
	harness.placeWaiting()
	delete(harness.machine.leader.queueScores, "q")
	harness.submitJob("fresh", almondcross.StepConfig{Count: 1})
	harness.schedule(time.Second, nil)
	require.True(t, harness.record(taskOf("fresh", 0, 0)).Active())
	require.False(t, harness.record(taskOf("waiting", 0, 0)).Active(), "no worker is empty")
	harness.schedule(blamedIsolationTimeout, nil)
	require.True(t, harness.record(taskOf("waiting", 0, 0)).Active())
	require.Empty(t, harness.machine.leader.quarantined)
}

// Guards against innocent tasks that wait without end because their queue was blamed (LOST): short runs of others are spread
// over all workers, so that none is ever empty, or occupied by the same runs for long, and newer jobs of the queue go first.
func TestTasksOfABlamedQueueStartAmongSpreadRuns(t *testing.T) {
	for name, test := range map[string]struct{ blamed, gang bool }{
		"trusted again": {false, false}, "blamed for good": {true, false}, "gang, blamed for good": {true, true},
	} {
		harness := newHarnessWithWorkers(t, 4)
		var queues []almondcross.Queue
		for _, queue := range []string{"q", "other"} {
			queues = append(queues, almondcross.NewQueue(almondcross.QueueConfig{Name: queue, Pool: "pool", MaxAttempts: 2}))
		}
		harness.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{
			Table: almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 2, Queues: queues}),
		}))
		blame := func() {
			harness.machine.leader.queueScores["q"] = queueScore{score: maxQueueScore, updatedAt: harness.now}
		}
		spread := almondcross.StepConfig{Count: 4, PerWorker: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 500, MemoryMB: 100})}
		turn := func() {
			for _, worker := range harness.machine.leader.sortedWorkers {
				for _, assigned := range worker.sortedAssignments() {
					if harness.now.Sub(assigned.placedAt) > time.Second {
						harness.machine.endRun(worker, assigned, almondcross.EndDone, "")
					}
				}
			}
			harness.machine.admitJob(newJob(almondcross.JobID("short-"+harness.now.String()), spread).WithQueue("other").WithSubmitted(harness.now), harness.machine.routes.Settings("other"))
			if test.blamed {
				blame()
				harness.submitJob(almondcross.JobID("newer-"+harness.now.String()), almondcross.StepConfig{Count: 1})
			}
			harness.schedule(500*time.Millisecond, nil)
		}
		for range 4 {
			turn()
		}
		blame()
		harness.submitJob("j", almondcross.StepConfig{Count: 3, Gang: test.gang})
		harness.placeWaiting()
		delete(harness.machine.leader.queueScores, "q")
		submitted := harness.now
		for !harness.record(taskOf("j", 0, 0)).Active() && harness.now.Sub(submitted) < 2*maxQuarantine {
			turn()
		}
		require.Less(t, harness.now.Sub(submitted), maxQuarantine+2*time.Second, name)
	}
}
