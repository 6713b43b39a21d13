package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// addWorkers adds workers with a capacity, of which a part is in use.
func (harness *harness) addWorkers(count int, capacity, used almondcross.Resources) {
	for index := range count {
		worker := harness.machine.ensureWorker(fmt.Sprintf("i-%03d", index))
		worker.info = poolWorker.WithID(worker.id).WithCapacity(capacity)
		worker.announced, worker.lastAnswerAt, worker.used = true, harness.now.Add(time.Second), used
	}
}

// requireAdvice makes the queue one whose calls for advice take half a second and 7 ms a worker.
func (harness *harness) requireAdvice() {
	harness.machine.queues["q"] = harness.machine.queues["q"].WithAdviceSettings(almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
		Required: true, Base: 500 * time.Millisecond, PerWorker: 7 * time.Millisecond, Validity: time.Minute,
	}))
}

// Guards against placement that costs more the longer the backlog is: with gangs that wait for room on a full fleet, each
// pass once looked at every worker for each of them, until the scheduler's processor did nothing else and the backlog
// grew. Looking at each worker once, and twice at those that advice allows for a gang (to place and to reserve), suffices.
func TestPlacementUnderBacklogLooksAtAllowedWorkers(t *testing.T) {
	const workers, gangs, allowedWorkers = 540, 60, 40
	harness := newHarness(t)
	harness.becomeScheduler()
	machine := harness.machine
	full := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 32_000})
	harness.addWorkers(workers, full, full)
	harness.requireAdvice()
	machine.linkedHosts[machine.config.Host].calls = []adviceCall{{long: true, deadline: harness.now.Add(time.Minute)}}
	for index := range gangs {
		id := almondcross.JobID(fmt.Sprintf("%016x", index))
		harness.submitJob(id, almondcross.StepConfig{Count: 16, Gang: true})
		var tickets []almondcross.Ticket
		for allowed := range allowedWorkers {
			tickets = append(tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: fmt.Sprintf("i-%03d", (index*7+allowed*13)%workers)}))
		}
		stage := almondcross.StageID{Job: id}
		machine.ensureAdvice(stage)
		harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
			Query:    almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: stage}),
			Result:   almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: stage, Tickets: tickets, Validity: time.Minute}),
			Received: harness.now,
		}))
	}
	harness.advance(leaderTick)
	require.Len(t, machine.leader.waitingStages, gangs)
	require.LessOrEqual(t, machine.leader.examinedWorkers, workers+1+2*gangs*allowedWorkers)
	require.Greater(t, machine.leader.examinedWorkers, workers+gangs*allowedWorkers, "the gangs were looked at")
}

// Guards against passes that take the scheduler's processor while many tasks wait for workers of their own, in the largest
// cell: looking at each worker twice for each of 500 tasks took a quarter of a second a pass.
func TestPlacementOfIsolatedTasksLooksAtEmptyWorkers(t *testing.T) {
	const workers, tasks = 1300, 500
	harness := newHarness(t)
	harness.becomeScheduler()
	capacity := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 32_000})
	harness.addWorkers(workers, capacity, almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 8000, MemoryMB: 1000}))
	for _, worker := range harness.machine.leader.workers {
		worker.assignments[taskOf("other", 0, 0)] = &assignment{
			task: taskOf("other", 0, 0), phase: phaseUnknown, job: &job{state: almondcross.JobRunning}, stage: &stage{},
		}
	}
	harness.machine.leader.queueScores["q"] = queueScore{score: maxQueueScore, updatedAt: harness.now}
	for index := range tasks {
		id := almondcross.JobID(fmt.Sprintf("%016x", index))
		harness.machine.admitJob(almondcross.NewJob(almondcross.JobConfig{ID: id, Queue: "q", Submitted: harness.now, Steps: []almondcross.Step{
			almondcross.NewStep(almondcross.StepConfig{Count: 1, Resources: poolWorker.Capacity()}),
		}}), almondcross.QueueSettings{})
	}
	harness.advance(leaderTick)
	require.Len(t, harness.machine.leader.waitingStages, tasks)
	require.LessOrEqual(t, harness.machine.leader.examinedWorkers, 2*(workers+1))
}

// Guards against a wide gang that waits for one long call for advice while most hosts are idle, and against divided
// calls that take the hosts from other gangs when few are idle.
func TestCallForAWideGangIsDividedOverIdleHosts(t *testing.T) {
	const hosts, workers, width = 97, 540, 40
	for name, test := range map[string]struct{ busy, calls int }{
		"idle hosts": {busy: 0, calls: 4}, "half of the hosts busy": {busy: 48, calls: 2}, "most hosts busy": {busy: 60, calls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.addWorkers(workers, poolWorker.Capacity(), almondcross.Resources{})
			harness.requireAdvice()
			for index := range hosts - 1 {
				host := &linkedHost{name: fmt.Sprintf("host-%02d", index)}
				if index < test.busy {
					host.calls = []adviceCall{{long: true, deadline: harness.now.Add(time.Minute)}}
				}
				harness.machine.linkedHosts[host.name] = host
			}
			harness.submitJob("j", almondcross.StepConfig{Count: width, Gang: true})
			asked := map[string]bool{}
			var calls []SendAdviceQuery
			for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
				calls = append(calls, call)
				for _, worker := range call.Query.Workers() {
					require.False(t, asked[worker], "a worker is named once")
					asked[worker] = true
				}
			}
			require.Len(t, calls, test.calls)
			for position, call := range calls {
				_, again := takeEffect[SendAdviceQuery](harness)
				require.False(t, again, "the next call follows the answers to all parts")
				require.Equal(t, len(calls)-position, harness.machine.leader.advice[call.Query.Stage()].pendingCalls)
				harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
					Adviser: call.Adviser, Query: call.Query, Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: call.Query.Stage()}),
					Received: harness.now,
				}))
			}
		})
	}
}

// Guards against a start order that follows a decision of before: while the append waited for the store, the worker has
// announced less capacity (LIMIT), that it leaves (DRAIN), or its announcement has ended.
func TestStartIsDroppedIfTheWorkerHasChangedBeforeTheCommit(t *testing.T) {
	small := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 500, MemoryMB: 4000})
	for name, change := range map[string]almondcross.WorkerChangeConfig{
		"shrunk":   {ID: workerID, Present: true, Worker: poolWorker.WithCapacity(small)},
		"draining": {ID: workerID, Present: true, Worker: poolWorker.WithDraining(true)},
		"unlisted": {ID: workerID},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.answerCommits()
			harness.submitJob("j", almondcross.StepConfig{Count: 1})
			harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{almondcross.NewWorkerChange(change)}}))
			harness.answerCommits()
			_, started := takeEffect[SendStart](harness)
			require.False(t, started)
			require.False(t, harness.machine.state.jobs["j"].stages[0].tasks.at(0).Active(), "the task waits again")
		})
	}
}

// passCounter counts the placement passes.
type passCounter struct {
	noopRecorder
	passes *int
}

func (passcounter passCounter) Examined(int) { *passcounter.passes++ }

// Guards against a scheduler that only places: with tens of thousands of waiting stages each pass takes milliseconds.
func TestPassesLeaveTimeBetweenThem(t *testing.T) {
	const stages = 10_000
	harness, passes := newHarness(t), 0
	harness.machine.config.Metrics = passCounter{passes: &passes}
	harness.becomeScheduler()
	for index := range stages / 100 {
		steps := make([]almondcross.StepConfig, 100)
		for step := range steps {
			steps[step] = almondcross.StepConfig{Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1 << 40})}
		}
		job := newJob(almondcross.JobID(fmt.Sprint(index)), steps...)
		harness.machine.Apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Host: "h-1", Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Settings: settings(1, "q")}),
		}), harness.now)
	}
	require.Len(t, harness.machine.leader.waitingStages, stages)
	passes = 0
	for range int(time.Second / minPlacementInterval) {
		harness.advance(minPlacementInterval)
		harness.effects = nil
	}
	require.Positive(t, passes)
	require.LessOrEqual(t, passes, int(time.Second/(stages*stagePlacementInterval))+1)
}
