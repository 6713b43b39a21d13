package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/placer"
)

// TestPlaceIsIdempotent guards against a repeated PlaceTask that starts a task twice, both while the task
// runs and after it ended.
func TestPlaceIsIdempotent(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1)
	cell.place(task)
	cell.place(task)
	require.Len(t, cell.started, 1)
	cell.finish(task.ID(), time.Second)
	cell.place(task)
	require.Len(t, cell.started, 1)
}

// TestRenewalFreesNoCapacity guards against overcommitment by a renewal that frees the capacity of a task
// before its end.
func TestRenewalFreesNoCapacity(t *testing.T) {
	cell := newCell(t, 1)
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{Target: "t0000", Term: cell.terms["t0000"]}))
	cell.place(cell.task("a", "batch", slots))
	require.Len(t, cell.started, slots)
	cell.finish(cell.task("a", "batch", 0).ID(), time.Second)
	require.Len(t, cell.started, slots+1)
}

// TestPlaceNeedsLinkLease guards against starting tasks for a coordinator that was replaced.
func TestPlaceNeedsLinkLease(t *testing.T) {
	cell := newCell(t, 1)
	stale := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h1", Incarnation: 7})
	cell.place(cell.task("a", "batch", 1).WithCoordinator(stale))
	cell.place(cell.task("a", "batch", 2).WithCoordinator(self.WithIncarnation(9)))
	require.Empty(t, cell.started)
}

// TestLostAfterLease guards against reporting a task lost while it may still run, and against never
// reporting it lost.
func TestLostAfterLease(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1)
	cell.place(task)
	cell.advance(5 * time.Second)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: "t0000", Term: cell.terms["t0000"], RenewedTasks: []almondcross.TaskID{task.ID()},
	}))
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(almondcross.LostAfter - time.Millisecond)
	require.Empty(t, reports[almondcross.TaskLost](cell))
	cell.advance(time.Millisecond)
	require.Len(t, reports[almondcross.TaskLost](cell), 1)
}

// TestLostAfterIsCountedFromLastLease guards against a timer set when an earlier lease was lost that reports
// a task lost although a later grant listed it, and against counting LostAfter of an unanswered start from
// the time it was sent.
func TestLostAfterIsCountedFromLastLease(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdStartAnswers = true
	task := cell.task("a", "batch", 1)
	cell.place(task)
	cell.advance(10 * time.Second)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{Target: "t0000", Term: cell.terms["t0000"]}))
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(10 * time.Second)
	cell.refuseLeases = false
	cell.running[task.ID()] = runningTask{task: task, target: "t0000"}
	cell.advance(time.Second)
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(almondcross.LostAfter - 2*time.Second)
	require.Empty(t, reports[almondcross.TaskLost](cell))
	cell.advance(2 * time.Second)
	require.Len(t, reports[almondcross.TaskLost](cell), 1)
}

// TestRefusedStart guards against a second start message for a task that may not be repeated, and against
// dropping a repeatable task after a refused start.
func TestRefusedStart(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdStartAnswers = true
	notRepeatable, repeatable := cell.task("a", "batch", 1).WithRepeatable(false), cell.task("a", "batch", 2)
	cell.place(notRepeatable)
	cell.place(repeatable)
	for index, answer := range cell.heldStartAnswers {
		delete(cell.running, cell.started[index].task.ID())
		cell.apply(answer.(almondcross.StartAnswered).WithAccepted(false).WithCode(almondcross.CodeTaskFailed))
	}
	require.Len(t, cell.started, 3)
	require.Equal(t, repeatable.ID(), cell.started[2].task.ID())
	refused := reports[almondcross.TaskRefused](cell)
	require.Len(t, refused, 1)
	require.Equal(t, notRepeatable.ID(), refused[0].ID())
}

// TestStaleGrant guards against an outdated inventory that replaces a newer one.
func TestStaleGrant(t *testing.T) {
	cell := newCell(t, 1)
	stale := almondcross.NewGrant(almondcross.GrantConfig{Target: "t0000", Term: cell.terms["t0000"], Capacity: capacity})
	cell.place(cell.task("a", "batch", 1))
	cell.apply(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: stale}))
	require.Empty(t, reports[almondcross.TaskLost](cell))
}

// TestNoOvercommit guards against exceeding the capacity of a worker and against running a task twice, for
// random sequences of arrivals, ends, lost leases and inventories.
func TestNoOvercommit(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		cell := newCell(t, 3)
		next := 0
		random.Repeat(map[string]func(*rapid.T){
			"place": func(random *rapid.T) {
				next++
				size := rapid.Int64Range(1, slots).Draw(random, "slots")
				cell.place(cell.task("a", "batch", next).WithResources(slot.Scale(size)).WithUrgent(size == 2))
			},
			"repeat": func(random *rapid.T) {
				cell.place(cell.task("a", "batch", rapid.IntRange(1, next+1).Draw(random, "index")).WithUrgent(true))
			},
			"finish": func(random *rapid.T) {
				cell.finish(cell.task("a", "batch", rapid.IntRange(1, next+1).Draw(random, "index")).ID(), time.Second)
			},
			"fail to renew": func(random *rapid.T) {
				target := cell.liveTargets[rapid.IntRange(0, 2).Draw(random, "target")].Name()
				cell.refuseLeases = rapid.Bool().Draw(random, "refuse")
				var kept []almondcross.Task
				for _, running := range cell.orderedRunning() {
					if running.target == target && rapid.Bool().Draw(random, "keep") {
						kept = append(kept, running.task)
					}
				}
				cell.release(target, kept...)
			},
			"wait": func(random *rapid.T) {
				cell.refuseLeases = false
				cell.advance(time.Duration(rapid.IntRange(1, 20000).Draw(random, "ms")) * time.Millisecond)
			},
			"": func(random *rapid.T) {
				used := map[string]almondcross.Resources{}
				for _, running := range cell.running {
					used[running.target] = used[running.target].Add(running.task.Resources())
				}
				for target, sum := range used {
					require.True(random, sum.Fits(capacity), "the tasks on %s use %v", target, sum)
				}
			},
		})
	})
}

// TestInventoryIsAuthoritative guards against keeping a task that the worker does not run, and against
// dropping one that it runs.
func TestInventoryIsAuthoritative(t *testing.T) {
	cell := newCell(t, 1)
	missing, kept := cell.task("a", "batch", 1), cell.task("a", "batch", 2)
	cell.place(missing)
	cell.place(kept)
	cell.release("t0000", kept)
	lost := reports[almondcross.TaskLost](cell)
	require.Len(t, lost, 1)
	require.Equal(t, missing.ID(), lost[0].ID())
	cell.finish(kept.ID(), time.Second)
	require.Len(t, reports[almondcross.TaskEnded](cell), 1)
}

// TestUnconfirmedTaskIsNotRenewed guards against extending the lease of a task whose coordinator left the
// view, and against not extending it once the new coordinator has confirmed the task.
func TestUnconfirmedTaskIsNotRenewed(t *testing.T) {
	cell := newCell(t, 1)
	lost := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h9", Incarnation: 1})
	task := cell.task("a", "batch", 1).WithCoordinator(lost)
	cell.release("t0000", task)
	require.NotContains(t, cell.renewLists["t0000"], task.ID())
	require.Len(t, reports[almondcross.AdoptTask](cell), 1)
	cell.advance(time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: task.ID(), Attempt: 1, Target: "t0000", Term: cell.terms["t0000"], Accepted: true, Coordinator: self,
	})
	cell.apply(answer)
	require.Contains(t, cell.renewLists["t0000"], task.ID())
	cell.advance(5 * time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
}

// TestRefusedAdoptionStopsTask guards against a task that keeps running, although its coordinator refused the
// adoption, beside the new attempt that replaced it.
func TestRefusedAdoptionStopsTask(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1).WithCoordinator(self.WithIncarnation(9))
	cell.release("t0000", task)
	cell.apply(almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: task.ID(), Attempt: 1, Target: "t0000", Term: cell.terms["t0000"], Coordinator: self,
	}))
	require.Contains(t, cell.halted, task.ID())
	require.NotContains(t, cell.renewLists["t0000"], task.ID())
}

// TestLeavingTargetGetsNoWork guards against starting tasks on a target that is leaving.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	cell := newCell(t, 2)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: "t0000", Term: cell.terms["t0000"],
		Renewal: almondcross.NewRenewal(almondcross.RenewalConfig{Leaving: true}),
	}))
	cell.liveTargets[1] = cell.liveTargets[1].WithState(almondcross.HostLeaving)
	cell.sendLiveList()
	cell.place(cell.task("a", "batch", 1))
	require.Empty(t, cell.started)
}

// TestRefusals guards against a task that waits for ever, because it fits no target or because its timeout
// passes in the queue.
func TestRefusals(t *testing.T) {
	cell := newCell(t, 1)
	cell.place(cell.task("a", "batch", 1).WithResources(slot.Scale(slots + 1)))
	cell.place(cell.task("a", "batch", 2).WithResources(slot.Scale(slots)))
	cell.place(cell.task("a", "batch", 3).WithTimeout(time.Second))
	cell.advance(time.Second)
	refused := reports[almondcross.TaskRefused](cell)
	require.Len(t, refused, 2)
	require.Equal(t, almondcross.CodeNeverFits, refused[0].Code())
	require.Equal(t, almondcross.CodeTimeout, refused[1].Code())
}

// TestTaskIsForwardedOnce guards against a task that is forwarded between holders in a loop.
func TestTaskIsForwardedOnce(t *testing.T) {
	cell := newCell(t, 1)
	cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot.Scale(4)}))
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	cell.place(cell.task("a", "batch", slots))
	require.Len(t, cell.forwarded, 1)
	cell.apply(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: cell.task("a", "batch", slots+1), Forwarded: true}))
	require.Len(t, cell.forwarded, 1)
}

// TestForwardedShortTasksLeaveTheDemand guards against a reserve that long tasks may not use, kept for short tasks that other
// hosts run: each one that was forwarded on arrival stayed in the demand for ever.
func TestForwardedShortTasksLeaveTheDemand(t *testing.T) {
	const targets = 4
	cell := newCell(t, targets)
	for index := range targets * slots {
		cell.place(cell.task("a", "batch", index))
	}
	for index := range targets * slots {
		cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot}))
		cell.place(cell.task("b", "short", index).WithExpectedRun(100 * time.Millisecond))
	}
	require.Len(t, cell.forwarded, targets*slots)
	cell.removePeers()
	for index := range targets * slots {
		cell.finish(cell.task("a", "batch", index).ID(), time.Second)
	}
	for second := range 40 {
		id := targets*slots + second
		cell.place(cell.task("b", "short", id).WithExpectedRun(100 * time.Millisecond))
		cell.advance(time.Second)
		cell.finish(cell.task("b", "short", id).ID(), time.Second)
	}
	for index := range targets * slots {
		cell.place(cell.task("a", "long", index))
	}
	require.GreaterOrEqual(t, cell.startedOf("long"), targets*slots*3/4)
}

// TestWaitingTaskKeepsItsPayload guards against a waiting task that is forwarded without its payload, runs
// without input and is reported as finished.
func TestWaitingTaskKeepsItsPayload(t *testing.T) {
	cell := newCell(t, 1)
	for index := range slots + 1 {
		cell.place(cell.task("a", "batch", index).WithPayload([]byte("in")))
	}
	require.Empty(t, cell.forwarded)
	cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot.Scale(4)}))
	require.Len(t, cell.forwarded, 1)
	require.Equal(t, "in", string(cell.forwarded[0].(almondcross.PlaceTask).Task().Payload()))
}

// TestEndOfForwardedTask guards against a lost answer. The holder to which a task was forwarded is lost, and
// this host acquires the target and receives the end of the task.
func TestEndOfForwardedTask(t *testing.T) {
	cell := newCell(t, 1)
	cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot.Scale(4)}))
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	forwarded := cell.task("a", "batch", slots)
	cell.place(forwarded)
	require.Len(t, cell.forwarded, 1)
	for range 2 {
		cell.running[forwarded.ID()] = runningTask{task: forwarded, target: "t0000", startedAt: cell.now}
		cell.finish(forwarded.ID(), time.Second)
	}
	ends := reports[almondcross.TaskEnded](cell)
	require.Len(t, ends, 1)
	require.Equal(t, forwarded.ID(), ends[0].Result().ID())
}

// TestHandoverToPreferredHolder guards against a target that stays with a holder that is no longer preferred,
// and against a handover while a start is unanswered.
func TestHandoverToPreferredHolder(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdStartAnswers = true
	cell.place(cell.task("a", "batch", 1))
	cell.addPeer(cell.preferredPeerName("t0000"), almondcross.Summary{})
	cell.advance(time.Minute)
	require.Empty(t, cell.releases)
	cell.holdStartAnswers = false
	cell.answerStarts()
	cell.advance(time.Second)
	require.Equal(t, []string{"t0000"}, cell.releases)
}

// TestNewPreferredHolderAcquiresSoon guards against a takeover that waits for the longer retry interval,
// which was set while the host was not yet the preferred holder.
func TestNewPreferredHolderAcquiresSoon(t *testing.T) {
	cell := newCell(t, 0)
	other := cell.preferredPeerName("t0000")
	cell.addPeer(other, almondcross.Summary{})
	cell.refuseLeases = true
	cell.liveTargets = []almondcross.Target{almondcross.NewTarget(almondcross.TargetConfig{
		Name: "t0000", DataCentre: "d", Rack: "r000", Address: "127.0.0.1:1", State: almondcross.HostLive,
	})}
	cell.sendLiveList()
	cell.advance(time.Second)
	cell.removePeers()
	before := cell.acquisitions
	cell.advance(time.Second)
	require.Greater(t, cell.acquisitions, before, "the new preferred holder tries to acquire the lease within a second of a refusal")
}

// TestTargetThatIsListedAgainIsKept guards against a host that ends while it places a task, because a timer of the earlier
// target removed the later one of the same name and left its capacity with the placement policy.
func TestTargetThatIsListedAgainIsKept(t *testing.T) {
	cell := newCell(t, 0)
	listed := []almondcross.Target{almondcross.NewTarget(almondcross.TargetConfig{
		Name: "t0000", DataCentre: "d", Rack: "r000", Address: "127.0.0.1:1", State: almondcross.HostLive,
	})}
	cell.refuseLeases = true // The timer for the next attempt outlives the target.
	cell.liveTargets = listed
	cell.sendLiveList()
	cell.liveTargets = nil
	cell.sendLiveList()
	cell.refuseLeases = false
	cell.liveTargets = listed
	cell.sendLiveList()
	cell.advance(time.Minute)
	cell.place(cell.task("a", "batch", 1))
	require.Len(t, cell.started, 1)
}

// TestEarlierEndInInventory guards against reporting a running attempt lost, so that the task is started
// twice, because the inventory of a new grant also lists the end of an earlier attempt.
func TestEarlierEndInInventory(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1).WithAttempt(3)
	cell.place(task)
	earlier := task.WithAttempt(1)
	running := almondcross.NewInventoryItem(almondcross.InventoryItemConfig{Task: task})
	ended := almondcross.NewInventoryItem(almondcross.InventoryItemConfig{
		Task: earlier, Finished: true, Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: task.ID(), Attempt: 1}),
	})
	for counter, inventory := range [][]almondcross.InventoryItem{{running, ended}, {ended, running}} {
		cell.apply(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: almondcross.NewGrant(almondcross.GrantConfig{
			Target: "t0000", Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 2, Counter: uint64(counter + 1)}),
			Capacity: cell.capacity, Inventory: inventory,
		})}))
		require.Empty(t, reports[almondcross.TaskLost](cell))
	}
	require.Len(t, cell.started, 1)
}

// TestFailedTargetIsAvoided guards against a retry on the target on which the previous attempt failed
// although another target, of this host or of a peer, has free capacity.
func TestFailedTargetIsAvoided(t *testing.T) {
	cell := newCell(t, 2)
	for index := range 2 * slots {
		for _, avoid := range []string{"t0000", "t0001"} {
			task := cell.task("a", "batch", 1).WithAttempt(2*index + 1).WithAvoid(avoid)
			if avoid == "t0001" {
				task = task.WithAttempt(2*index + 2)
			}
			cell.place(task)
			require.NotEqual(t, avoid, cell.running[task.ID()].target)
			cell.end(task.ID(), time.Millisecond, almondcross.CodeTaskFailed)
		}
	}
	single := newCell(t, 1)
	single.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{Free: slot.Scale(4), LargestFree: slot.Scale(4)}))
	single.place(single.task("a", "batch", 1).WithAvoid("t0000"))
	require.Len(t, single.forwarded, 1)
}

// TestRepeatedStop guards against a timer for each repetition of a stop, which would send ever more halts to the worker.
func TestRepeatedStop(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1)
	cell.place(task)
	for range 5 {
		cell.apply(almondcross.NewStopTask(almondcross.StopTaskConfig{
			ID: task.ID(), Attempt: task.Attempt(), Code: almondcross.CodeCancelled,
		}))
	}
	require.Len(t, cell.halted, 1)
	cell.advance(3 * time.Second)
	require.Len(t, cell.halted, 4)
}

// TestUnsentForwardIsCorrected guards against a coordinator that takes a peer for the holder of a task whose forwarding
// failed: when that peer is lost, it would place the task a second time beside the one that waits here.
func TestUnsentForwardIsCorrected(t *testing.T) {
	cell := newCell(t, 1)
	cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot.Scale(4)}))
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	task := cell.task("a", "batch", slots)
	cell.place(task)
	require.Len(t, cell.forwarded, 1)
	cell.handleEffects(cell.machine.HandleUnsent(placer.Effect{
		Kind: placer.EffectForward, Member: memberOf("h1"), Peer: cell.forwarded[0],
	}, cell.now))
	holders := reports[almondcross.TaskForwarded](cell)
	require.NotEmpty(t, holders)
	require.Equal(t, task.ID(), holders[len(holders)-1].ID())
	require.Equal(t, self, holders[len(holders)-1].Holder())
}

func memberOf(name string) almondcross.MemberID {
	return almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1})
}
