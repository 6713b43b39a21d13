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
			tasks: []almondcross.TaskRecord{almondcross.TaskRecord{}.WithActive(true)}, remainingTasks: 1, activeTasks: 1,
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

// room returns the reservation of the first waiting stage.
func (harness *harness) room() *gangRoom { return harness.machine.leader.waitingStages[0].room }

func (harness *harness) reservedWorkers() map[string]int {
	workers := map[string]int{}
	if room := harness.room(); room != nil {
		for _, share := range room.shares {
			workers[share.worker.id] = share.tasks
		}
	}
	return workers
}

// Guards against a reservation that moves between the passes or is on workers that become free late, against work behind the
// gang that takes what becomes free for it, and against room that stays idle although short work would be done in time.
func TestReservationIsKeptAndBackfilled(t *testing.T) {
	harness := newOccupiedCell(t, 1000)
	harness.submitJob("g", almondcross.StepConfig{Count: 8, Gang: true})
	kept := harness.reservedWorkers()
	require.Equal(t, map[string]int{"i-000": 3, "i-001": 1, "i-002": 1, "i-003": 1, "i-004": 1, "i-005": 1}, kept)
	require.InDelta(t, 1, harness.room().startAt.Sub(harness.now).Seconds(), 0.1)
	harness.submitJob("long", almondcross.StepConfig{Count: 3, Estimate: 2 * time.Second})
	harness.submitJob("short", almondcross.StepConfig{Count: 3, Estimate: 500 * time.Millisecond})
	require.Zero(t, harness.machine.state.jobs["long"].activeTasks)
	require.Equal(t, 3, harness.machine.state.jobs["short"].activeTasks)
	for range 10 {
		harness.advance(leaderTick)
		require.Equal(t, kept, harness.reservedWorkers())
	}
	require.Zero(t, harness.machine.state.jobs["long"].activeTasks)
}

// Guards against a gang that waits for a worker that is lost to it, and against room that is kept for a gang that no longer
// waits.
func TestReservationFollowsItsWorkersAndItsGang(t *testing.T) {
	for name, change := range map[string]func(worker *worker){
		"drains":      func(worker *worker) { worker.info = worker.info.WithDraining(true) },
		"unreachable": func(worker *worker) { worker.unreachable = true },
		"restarted":   func(worker *worker) { worker.incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newOccupiedCell(t, 500)
			harness.submitJob("g", almondcross.StepConfig{Count: 4, Gang: true, PerWorker: 1})
			require.Equal(t, map[string]int{"i-000": 1, "i-001": 1, "i-002": 1, "i-003": 1}, harness.reservedWorkers())
			first := harness.machine.leader.workers["i-000"]
			change(first)
			harness.advance(leaderTick)
			harness.advance(leaderTick)
			if name != "restarted" {
				require.NotContains(t, harness.reservedWorkers(), "i-000")
			}
			sum := 0
			for _, tasks := range harness.reservedWorkers() {
				sum += tasks
			}
			require.Equal(t, 4, sum)
			harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
				Host: "h-2", Number: 2, Intake: almondcross.NewIntake(almondcross.IntakeConfig{
					Job: almondcross.NewJob(almondcross.JobConfig{ID: "g", Queue: "q"}), Cancel: true,
				}),
			}))
			harness.advance(leaderTick)
			require.Empty(t, harness.machine.leader.waitingStages)
			require.Zero(t, harness.machine.leader.reservedCPU)
		})
	}
}

// Guards against gangs that together hold off all work behind them.
func TestReservationsAreBounded(t *testing.T) {
	harness := newOccupiedCell(t, 500)
	for index := range 4 {
		harness.submitJob(almondcross.JobID(fmt.Sprint("g", index)), almondcross.StepConfig{Count: 7, Gang: true})
	}
	harness.advance(leaderTick)
	require.LessOrEqual(t, float64(harness.machine.leader.reservedCPU), maxReservedShare*float64(harness.machine.leader.usableCPU))
	require.NotNil(t, harness.room())
	require.Nil(t, harness.machine.leader.waitingStages[3].room)
}

// Guards against calls for advice about all allowed workers, or long before the room of a gang is free, when the tickets
// would expire.
func TestTicketsAreRequestedShortlyBeforeTheRoomIsComplete(t *testing.T) {
	harness := newOccupiedCell(t, 500)
	harness.requireAdvice()
	harness.submitJob("g", almondcross.StepConfig{Count: 2, Gang: true, PerWorker: 1})
	stage := almondcross.StageID{Job: "g"}
	for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
		var tickets []almondcross.Ticket
		for _, worker := range call.Query.Workers()[3:] {
			tickets = append(tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: worker}))
		}
		harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
			Adviser: call.Adviser, Query: call.Query, Received: harness.now,
			Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: stage, Tickets: tickets, Validity: ticketMargin}),
		}))
	}
	harness.advance(leaderTick)
	require.Equal(t, map[string]int{"i-003": 1, "i-004": 1}, harness.reservedWorkers())
	startAt, asked := harness.room().startAt, time.Time{}
	for harness.now.Before(startAt) && asked.IsZero() {
		harness.advance(leaderTick)
		for _, worker := range harness.machine.leader.workers {
			worker.lastAnswerAt = harness.now
		}
		if call, found := takeEffect[SendAdviceQuery](harness); found {
			asked = harness.now
			require.Equal(t, []string{"i-003", "i-004", "i-005"}, call.Query.Workers(), "with one spare worker")
		}
	}
	require.InDelta(t, (500*time.Millisecond + maxRoundTrip + ticketLead).Seconds(), startAt.Sub(asked).Seconds(), 0.2)
}

// Guards against memory that grows with the number of tiny tasks of a gang, times the number of workers.
func TestSlotsDoNotGrowWithTheTasksOfAGang(t *testing.T) {
	harness := newOccupiedCell(t, 500)
	worker := harness.machine.leader.workers["i-000"]
	slots := harness.machine.appendSlots(nil, worker, almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1}), 10_000, 100)
	require.Len(t, slots, 3, "within the present reservation, free now, and free after the run")
	require.Equal(t, []int{100, 400, 3500}, []int{slots[0].tasks, slots[1].tasks, slots[2].tasks})
}
