package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// listWorker announces a further worker, which has reported that it runs nothing.
func (harness *harness) listWorker(worker almondcross.Worker) {
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: worker.ID(), Present: true, Worker: worker}),
	}}))
	harness.hearFromWorkers()
}

// allowOnly answers the pending calls for advice: one worker is allowed, all others that were asked about are not.
func (harness *harness) allowOnly(worker string) {
	for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
		harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
			Adviser: call.Adviser, Query: call.Query, Received: harness.now,
			Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{
				Stage: call.Query.Stage(), Validity: 2 * time.Second,
				Tickets: []almondcross.Ticket{almondcross.NewTicket(almondcross.TicketConfig{Worker: worker})},
			}),
		}))
	}
}

// Guards against a stage that waits for good (LOST): its task failed on the only worker that may run it, which was left out
// although no other one was left (the emulator's random days 7, 35, 79, 125 and 194).
func TestFailedTaskRestartsOnTheOnlyWorkerThatMayRunIt(t *testing.T) {
	small := poolWorker.WithID("w-2").WithCapacity(almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100, MemoryMB: 100}))
	for name, test := range map[string]struct {
		other  almondcross.Worker
		advice bool
	}{
		"the other one is too small":       {other: small},
		"the other one is in another pool": {other: poolWorker.WithID("w-2").WithPool("other")},
		"advice refuses the other one":     {other: poolWorker.WithID("w-2"), advice: true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.listWorker(test.other)
			if test.advice {
				harness.requireAdvice()
			}
			harness.submitJob("j", almondcross.StepConfig{Count: 1})
			for run := 1; run <= 2; run++ {
				for since := harness.now; harness.now.Sub(since) < time.Second; harness.hearFromWorkers() {
					harness.advance(leaderTick)
					harness.allowOnly(workerID)
					harness.answerCommits()
				}
				order := requireEffect[SendStart](harness).Order
				require.Equal(t, workerID, order.Worker().ID())
				require.Equal(t, run, order.Run())
				harness.answerStartOrder(order, almondcross.OrderDone)
				worker := harness.machine.leader.workers[workerID]
				harness.machine.endRun(worker, worker.assignments[taskOf("j", 0, 0)], almondcross.EndFailed, "")
			}
		})
	}
}

// Guards against gangs that no allowed workers can hold and that go on to call for advice: they held the few places for long
// calls, so that no other gang was placed for two minutes (the emulator's random day 24).
func TestGangWithoutRoomMakesNoFurtherCalls(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.listWorker(poolWorker.WithID("w-2"))
	harness.requireAdvice()
	harness.submitJob("g", almondcross.StepConfig{Count: 5, Gang: true}) // One worker holds four of the tasks.
	calls := 0
	for since := harness.now; harness.now.Sub(since) < 10*time.Second; harness.hearFromWorkers() {
		harness.advance(leaderTick)
		for _, effect := range harness.effects {
			if _, call := effect.(SendAdviceQuery); call {
				calls++
			}
		}
		harness.allowOnly(workerID)
		harness.answerCommits()
	}
	require.Equal(t, 1, calls)
	harness.listWorker(poolWorker.WithID("w-3"))
	harness.advance(2 * adviceRetryDelay)
	require.Contains(t, requireEffect[SendAdviceQuery](harness).Query.Workers(), "w-3", "a further worker may be allowed")
}
