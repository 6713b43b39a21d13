package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// occupy gives a worker a run that takes all but some CPU and is expected to end after a time.
func (harness *harness) occupy(id string, free int64, after time.Duration) *assignment {
	worker := harness.machine.leader.workers[id]
	run := &assignment{
		task: taskOf("other", 0, len(worker.assignments)), run: 1, phase: phaseConfirmed, confirmedAt: harness.now, placedAt: harness.now, progressAt: harness.now.Add(time.Hour),
		job: &job{state: almondcross.JobRunning}, resources: worker.info.Capacity().Sub(almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: free, MemoryMB: free})),
		stage: &stage{
			spec:  almondcross.NewStep(almondcross.StepConfig{Count: 1, Estimate: after}),
			tasks: newTaskTable(1, []almondcross.TaskRecord{almondcross.TaskRecord{}.WithActive(true)}), remainingTasks: 1, activeTasks: 1,
		},
	}
	worker.assign(run)
	return run
}

// newOccupiedCell returns a cell with six workers of four cores, of which a part is free and the rest becomes free after
// a second on the first one and each a second later on the next ones.
func newOccupiedCell(t *testing.T, free int64) *harness {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.machine.leader.workers[workerID].announced = false
	harness.addWorkers(6, poolWorker.Capacity(), almondcross.Resources{})
	for index := range 6 {
		harness.occupy(fmt.Sprintf("i-%03d", index), free, time.Duration(index+1)*time.Second)
	}
	return harness
}

// Guards against work behind a waiting gang that takes the room that becomes free for it, so that the gang never starts.
func TestFreeRoomIsKeptForAWaitingGang(t *testing.T) {
	harness := newOccupiedCell(t, 1000)
	harness.submitJob("g", almondcross.StepConfig{Count: 8, Gang: true})
	harness.submitJob("behind", almondcross.StepConfig{Count: 3})
	for range 10 {
		harness.advance(leaderTick)
	}
	require.Zero(t, harness.machine.state.jobs["g"].activeTasks)
	require.Zero(t, harness.machine.state.jobs["behind"].activeTasks)
	first := harness.machine.leader.workers["i-000"]
	for _, run := range first.assignments {
		first.release(run)
	}
	harness.advance(leaderTick)
	require.Equal(t, 8, harness.machine.state.jobs["g"].activeTasks, "the gang starts in the first pass with room")
	harness.advance(leaderTick)
	require.Positive(t, harness.machine.state.jobs["behind"].activeTasks)
}

// Guards against room that is kept for a gang that no longer waits.
func TestRoomIsNotKeptForACancelledGang(t *testing.T) {
	harness := newOccupiedCell(t, 1000)
	harness.submitJob("g", almondcross.StepConfig{Count: 8, Gang: true})
	harness.submitJob("behind", almondcross.StepConfig{Count: 3})
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
		Host: "h-2", Number: 2, Intake: almondcross.NewIntake(almondcross.IntakeConfig{
			Job: almondcross.NewJob(almondcross.JobConfig{ID: "g", Queue: "q"}), Cancel: true,
		}),
	}))
	harness.advance(leaderTick)
	require.Equal(t, 3, harness.machine.state.jobs["behind"].activeTasks)
}

// Guards against gangs that together hold off all work behind them.
func TestKeptRoomIsBounded(t *testing.T) {
	harness := newOccupiedCell(t, 1500)
	for index := range 4 {
		harness.submitJob(almondcross.JobID(fmt.Sprint("g", index)), almondcross.StepConfig{Count: 7, Gang: true})
	}
	harness.advance(leaderTick)
	require.Positive(t, harness.machine.leader.reservedCPU)
	require.LessOrEqual(t, float64(harness.machine.leader.reservedCPU), maxReservedShare*float64(harness.machine.leader.usableCPU))
}

// Guards against work of a lower priority that takes all room before a gang, and against such work that waits without end while gangs
// keep arriving. Guards as well against holding workers for a gang that only waits for its tickets.
func TestWorkersAreHeldForAGangWithoutRoom(t *testing.T) {
	harness := newOccupiedCell(t, 1000)
	machine := harness.machine
	urgent := almondcross.NewQueue(almondcross.QueueConfig{Pool: poolWorker.Pool(), Priority: 1})
	lower := urgent.WithPriority(2)
	batch := &stage{readyAt: harness.now}
	hold := func(tasks int) []*worker {
		machine.startPass()
		gang := &stage{spec: almondcross.NewStep(almondcross.StepConfig{Count: tasks, Gang: true, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000})}), remainingTasks: tasks}
		machine.reserveRoom(urgent, &waitingStage{job: &job{}, stage: gang}, nil)
		var held []*worker
		for _, worker := range machine.leader.usableWorkers {
			if worker.held {
				held = append(held, worker)
			}
		}
		return held
	}
	require.Empty(t, hold(4), "there is free room for the gang")
	held := hold(8)
	require.NotEmpty(t, held)
	require.LessOrEqual(t, float64(len(held)), maxHeldShare*float64(len(machine.leader.usableWorkers)))
	require.Zero(t, machine.unreserved(held[0], lower, batch))
	batch.readyAt = harness.now.Add(-maxHold)
	require.Equal(t, held[0].free().Sub(held[0].reserved), machine.unreserved(held[0], lower, batch))
	require.Equal(t, held[0].free().Sub(held[0].reserved), machine.unreserved(held[0], urgent.WithPriority(0), &stage{readyAt: harness.now}))
}

// newLabelledCell returns a cell with six workers of four cores, of which the first two have the label that labelled tasks need.
func newLabelledCell(t *testing.T) *harness {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.machine.leader.workers[workerID].announced = false
	harness.addWorkers(6, poolWorker.Capacity(), almondcross.Resources{})
	for _, id := range []string{"i-000", "i-001"} {
		worker := harness.machine.leader.workers[id]
		worker.info = worker.info.WithLabels([]string{"l"})
	}
	return harness
}

// placeFor lets the scheduler place stages for a time in which all workers answer.
func (harness *harness) placeFor(span time.Duration) {
	for end := harness.now.Add(span); harness.now.Before(end); {
		for _, worker := range harness.machine.leader.workers {
			worker.lastAnswerAt = harness.now
		}
		harness.advance(leaderTick)
	}
}

// Guards against a worker that stays idle for good (LOST): it was kept for a gang that may have one task on each worker, after the
// other worker for it had been lost.
func TestRoomIsNotKeptForAGangThatItsLimitPerWorkerKeepsWaiting(t *testing.T) {
	harness := newLabelledCell(t)
	harness.machine.leader.workers["i-001"].announced = false
	harness.submitJob("g", almondcross.StepConfig{Count: 4, Gang: true, PerWorker: 2, Label: "l"})
	harness.submitJob("single", almondcross.StepConfig{Count: 1, Label: "l"})
	harness.placeFor(leaderTick)
	require.Zero(t, harness.machine.state.jobs["g"].activeTasks)
	require.Equal(t, 1, harness.machine.state.jobs["single"].activeTasks)
}

// Guards against room that is kept on a worker for more tasks of a gang than may run there.
func TestRoomIsKeptWithinTheLimitPerWorker(t *testing.T) {
	harness := newLabelledCell(t)
	harness.occupy("i-001", 0, time.Hour)
	harness.submitJob("g", almondcross.StepConfig{Count: 4, Gang: true, PerWorker: 2, Label: "l"})
	harness.submitJob("single", almondcross.StepConfig{Count: 3, Label: "l"})
	harness.placeFor(leaderTick)
	require.Zero(t, harness.machine.state.jobs["g"].activeTasks)
	require.Equal(t, 2, harness.machine.state.jobs["single"].activeTasks, "two tasks of the gang fit beside them")
}

// Guards against room that is kept without an end (LOST) for a gang whose other worker is not released, while most of the pool is
// idle, and against a service that waits for it for longer, however full the pool is.
func TestRoomKeptForAGangIsReleased(t *testing.T) {
	for name, test := range map[string]struct {
		crowded, service, released bool
	}{
		"an idle pool":                {released: true},
		"a full pool":                 {crowded: true},
		"a service in an idle pool":   {service: true, released: true},
		"a service in a crowded pool": {service: true, crowded: true, released: true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLabelledCell(t)
			harness.occupy("i-001", 0, time.Hour)
			if test.crowded {
				for _, id := range []string{"i-002", "i-003", "i-004", "i-005"} {
					harness.occupy(id, 0, time.Hour)
				}
			}
			harness.submitJob("g", almondcross.StepConfig{Count: 8, Gang: true, Label: "l"})
			harness.submitJob("single", almondcross.StepConfig{Count: 1, Label: "l", Service: test.service})
			harness.placeFor(1800 * time.Millisecond)
			require.Zero(t, harness.machine.state.jobs["single"].activeTasks)
			harness.placeFor(400 * time.Millisecond)
			require.Equal(t, test.released, harness.machine.state.jobs["single"].activeTasks > 0)
			harness.placeFor(maxHold)
			require.Equal(t, test.released, harness.machine.state.jobs["single"].activeTasks > 0)
		})
	}
}

// Guards against a stage of a lower priority that waits for 5 s beside idle workers (LOST from 3 s on), which are held for a gang,
// while most of the pool is idle.
func TestWorkersAreHeldForLessTimeInAnIdlePool(t *testing.T) {
	harness := newLabelledCell(t)
	harness.occupy("i-001", 0, time.Hour)
	machine := harness.machine
	urgent := almondcross.NewQueue(almondcross.QueueConfig{Pool: poolWorker.Pool(), Priority: 1})
	gang := &stage{spec: almondcross.NewStep(almondcross.StepConfig{Count: 8, Gang: true, Label: "l", Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000})}), remainingTasks: 8}
	waits := func(since time.Duration) bool {
		machine.startPass()
		machine.reserveRoom(urgent, &waitingStage{job: &job{}, stage: gang}, nil)
		require.True(t, machine.leader.workers["i-000"].held)
		return machine.unreserved(machine.leader.workers["i-000"], urgent.WithPriority(2), &stage{readyAt: harness.now.Add(-since)}).IsZero()
	}
	require.True(t, waits(1900*time.Millisecond))
	require.False(t, waits(2*time.Second))
}
