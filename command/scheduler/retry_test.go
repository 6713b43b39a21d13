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

// failRun records that the run of a task has failed, and returns its worker.
func (harness *harness) failRun(task almondcross.JobTask) string {
	harness.t.Helper()
	worker := harness.machine.leader.workers[harness.record(task).Worker()]
	require.NotNil(harness.t, worker.assignments[task])
	harness.machine.endRun(worker, worker.assignments[task], almondcross.EndFailed, "")
	return worker.id
}

// Guards against a task that is never started again (LOST): its run failed on one of the two workers that may run it, and the
// other one had no room. Guards as well against a task that a faulty worker gets again at once: all its attempts would fail there.
func TestFailedTaskRestartsAlthoughItsOtherWorkerIsFull(t *testing.T) {
	for name, test := range map[string]struct {
		service, crowded bool // service is set if the other worker is full of a service.
		wait             time.Duration
	}{
		"a service":               {service: true},
		"a run":                   {wait: 2 * time.Second},
		"a run in a crowded pool": {crowded: true, wait: 10 * time.Second},
		"a service, crowded pool": {service: true, crowded: true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLabelledCell(t)
			harness.submitJob("j", almondcross.StepConfig{Count: 1, Label: "l"})
			task := taskOf("j", 0, 0)
			other := "i-000"
			if harness.record(task).Worker() == other {
				other = "i-001"
			}
			full := harness.occupy(other, 0, time.Hour)
			if test.service {
				harness.machine.leader.workers[other].usedByServices = full.resources
			}
			if test.crowded {
				for _, id := range []string{"i-002", "i-003", "i-004", "i-005"} {
					harness.occupy(id, 0, time.Hour)
				}
			}
			failed := harness.failRun(task)
			if test.wait > 0 {
				harness.placeFor(test.wait - time.Second)
				require.False(t, harness.record(task).Active(), "room on the other worker may be released")
			}
			harness.placeFor(time.Second + leaderTick)
			require.True(t, harness.record(task).Active())
			require.Equal(t, failed, harness.record(task).Worker())
		})
	}
}

// Guards against a gang that is never started again (LOST): a member failed on one of two workers, and the gang may have one
// task on each.
func TestFailedGangRestartsOnItsOnlyWorkers(t *testing.T) {
	harness := newLabelledCell(t)
	harness.submitJob("g", almondcross.StepConfig{Count: 2, Gang: true, PerWorker: 1, Label: "l"})
	require.Equal(t, 2, harness.machine.state.jobs["g"].activeTasks)
	harness.failRun(taskOf("g", 0, 0))
	other := harness.machine.leader.workers[harness.record(taskOf("g", 0, 1)).Worker()]
	harness.machine.endRun(other, other.assignments[taskOf("g", 0, 1)], almondcross.EndGangBroken, "")
	harness.placeFor(leaderTick)
	require.Equal(t, 2, harness.machine.state.jobs["g"].activeTasks)
}

// Guards against a service that waits for up to 20 s between its runs (LOST): it fails again and again on the only worker that may
// run it, which is avoided for longer with each failure.
func TestServiceRestartsSoonOnTheOnlyWorkerOfItsLabel(t *testing.T) {
	harness := newLabelledCell(t)
	harness.machine.leader.workers["i-001"].announced = false
	for _, id := range []string{"i-002", "i-003", "i-004"} {
		harness.machine.leader.workers[id].failures = workerFailures{ended: 1} // On the median worker no run fails.
	}
	harness.submitJob("s", almondcross.StepConfig{Count: 1, Label: "l", Service: true})
	for failures := range 2 * maxFailureBackoffs {
		require.True(t, harness.record(taskOf("s", 0, 0)).Active(), "after %d failures", failures)
		harness.failRun(taskOf("s", 0, 0))
		harness.placeFor(3 * time.Second)
	}
}

// Guards against a task that waits for up to 20 s beside an idle worker (LOST), since that worker appears to be faulty and the other
// one is full of a long run. Guards as well against tasks that a faulty worker gets although others have room.
func TestFaultyWorkerIsUsedAsALastResort(t *testing.T) {
	for name, test := range map[string]struct {
		full, crowded, used bool
	}{
		"the other one is full":                   {full: true, used: true},
		"the other one is full in a crowded pool": {full: true, crowded: true},
		"the other one has room":                  {},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLabelledCell(t)
			faulty := harness.machine.leader.workers["i-000"]
			faulty.avoidUntil = harness.now.Add(maxFailureBackoffs * failureBackoff)
			if test.full {
				harness.occupy("i-001", 0, time.Hour)
			}
			if test.crowded {
				for _, id := range []string{"i-002", "i-003", "i-004", "i-005"} {
					harness.occupy(id, 0, time.Hour)
				}
			}
			harness.submitJob("j", almondcross.StepConfig{Count: 1, Label: "l"})
			harness.placeFor(1900 * time.Millisecond)
			require.Empty(t, faulty.assignments)
			harness.placeFor(200 * time.Millisecond)
			require.Equal(t, test.used, len(faulty.assignments) == 1)
			require.Equal(t, !test.crowded, harness.record(taskOf("j", 0, 0)).Active())
		})
	}
}
