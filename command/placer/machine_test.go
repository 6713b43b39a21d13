package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// TestPlaceIsIdempotent guards against a repeated PlaceTask starting a task twice, both while
// the first attempt runs and after it ended.
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

// TestUsageNeverFreesCapacity guards against overcommitment when a worker measures less use
// than its tasks were promised.
func TestUsageNeverFreesCapacity(t *testing.T) {
	cell := newCell(t, 1)
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{Target: "t0000", Term: cell.term["t0000"]}))
	cell.place(cell.task("a", "batch", slots))
	require.Len(t, cell.started, slots)
	cell.finish(cell.task("a", "batch", 0).ID(), time.Second)
	require.Len(t, cell.started, slots+1)
}

// TestPlaceNeedsLinkLease guards against starting work for a coordinator that was replaced.
func TestPlaceNeedsLinkLease(t *testing.T) {
	cell := newCell(t, 1)
	stale := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h1", Incarnation: 7})
	cell.place(cell.task("a", "batch", 1).WithCoordinator(stale))
	cell.place(cell.task("a", "batch", 2).WithCoordinator(self.WithIncarnation(9)))
	require.Empty(t, cell.started)
}

// TestLostAfterLease guards against reporting a task lost while it may still run, and against
// never reporting it.
func TestLostAfterLease(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1)
	cell.place(task)
	cell.advance(5 * time.Second)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: "t0000", Term: cell.term["t0000"], Named: []almondcross.TaskID{task.ID()},
	}))
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(almondcross.LostAfter - time.Millisecond)
	require.Empty(t, reports[almondcross.TaskLost](cell))
	cell.advance(time.Millisecond)
	require.Len(t, reports[almondcross.TaskLost](cell), 1)
}

// TestLostCountsFromLastLease guards against a timer of an earlier loss that declares a task
// lost which a later grant listed, and against counting an unanswered start from its sending.
func TestLostCountsFromLastLease(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdAnswers = true
	task := cell.task("a", "batch", 1)
	cell.place(task)
	cell.advance(10 * time.Second)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{Target: "t0000", Term: cell.term["t0000"]}))
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(10 * time.Second)
	cell.refuseLeases = false
	cell.live[task.ID()] = running{task: task, target: "t0000"}
	cell.advance(time.Second)
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(almondcross.LostAfter - 2*time.Second)
	require.Empty(t, reports[almondcross.TaskLost](cell))
	cell.advance(2 * time.Second)
	require.Len(t, reports[almondcross.TaskLost](cell), 1)
}

// TestRefusedStart guards against a second start message for a task that may not be repeated, and
// against dropping one that may.
func TestRefusedStart(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdAnswers = true
	once, again := cell.task("a", "batch", 1).WithRepeatable(false), cell.task("a", "batch", 2)
	cell.place(once)
	cell.place(again)
	for index, answer := range cell.held {
		delete(cell.live, cell.started[index].task.ID())
		cell.apply(answer.(almondcross.StartAnswered).WithAccepted(false).WithCode(almondcross.CodeTaskFailed))
	}
	require.Len(t, cell.started, 3)
	require.Equal(t, again.ID(), cell.started[2].task.ID())
	refused := reports[almondcross.TaskRefused](cell)
	require.Len(t, refused, 1)
	require.Equal(t, once.ID(), refused[0].ID())
}

// TestStaleGrant guards against an old inventory that replaces a newer one.
func TestStaleGrant(t *testing.T) {
	cell := newCell(t, 1)
	stale := almondcross.NewGrant(almondcross.GrantConfig{Target: "t0000", Term: cell.term["t0000"], Capacity: capacity})
	cell.place(cell.task("a", "batch", 1))
	cell.apply(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: stale}))
	require.Empty(t, reports[almondcross.TaskLost](cell))
}

// TestNoOvercommit guards against a worker that is given more than its capacity or a task that
// runs twice, whatever the order of arrivals, ends, lost leases and inventories.
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
				target := cell.hosts[rapid.IntRange(0, 2).Draw(random, "target")].Name()
				cell.refuseLeases = rapid.Bool().Draw(random, "refuse")
				var kept []almondcross.Task
				for _, item := range cell.ordered() {
					if item.target == target && rapid.Bool().Draw(random, "keep") {
						kept = append(kept, item.task)
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
				for _, item := range cell.live {
					used[item.target] = used[item.target].Add(item.task.Resources())
				}
				for target, sum := range used {
					require.True(random, sum.Fits(capacity), "%s holds %v", target, sum)
				}
			},
		})
	})
}

// TestGrantIsAuthority guards against keeping a task that the worker does not have, and against
// forgetting one that it has.
func TestGrantIsAuthority(t *testing.T) {
	cell := newCell(t, 1)
	gone, kept := cell.task("a", "batch", 1), cell.task("a", "batch", 2)
	cell.place(gone)
	cell.place(kept)
	cell.release("t0000", kept)
	lost := reports[almondcross.TaskLost](cell)
	require.Len(t, lost, 1)
	require.Equal(t, gone.ID(), lost[0].ID())
	cell.finish(kept.ID(), time.Second)
	require.Len(t, reports[almondcross.TaskEnded](cell), 1)
}

// TestUnadoptedIsNotNamed guards against extending the lease of a task whose coordinator is
// gone, and against losing it once the new coordinator confirmed it.
func TestUnadoptedIsNotNamed(t *testing.T) {
	cell := newCell(t, 1)
	lost := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h9", Incarnation: 1})
	task := cell.task("a", "batch", 1).WithCoordinator(lost)
	cell.release("t0000", task)
	require.NotContains(t, cell.named["t0000"], task.ID())
	require.Len(t, reports[almondcross.AdoptTask](cell), 1)
	cell.advance(time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: task.ID(), Attempt: 1, Target: "t0000", Term: cell.term["t0000"], Accepted: true, Coordinator: self,
	})
	cell.apply(answer)
	require.Contains(t, cell.named["t0000"], task.ID())
	cell.advance(5 * time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
}

// TestRefusedAdoptionStops guards against a second run beside a task that was declared lost.
func TestRefusedAdoptionStops(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1).WithCoordinator(self.WithIncarnation(9))
	cell.release("t0000", task)
	cell.apply(almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: task.ID(), Attempt: 1, Target: "t0000", Term: cell.term["t0000"], Coordinator: self,
	}))
	require.Contains(t, cell.halted, task.ID())
	require.NotContains(t, cell.named["t0000"], task.ID())
}

// TestLeavingTargetGetsNoWork guards against starting work on a target that is being replaced.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	cell := newCell(t, 2)
	cell.apply(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
		Target: "t0000", Term: cell.term["t0000"],
		Renewal: almondcross.NewRenewal(almondcross.RenewalConfig{Leaving: true}),
	}))
	cell.hosts[1] = cell.hosts[1].WithState(almondcross.HostLeaving)
	cell.list()
	cell.place(cell.task("a", "batch", 1))
	require.Empty(t, cell.started)
}

// TestRefusals guards against a task that waits for ever: one that fits no target, and one whose
// time passes in the queue.
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

// TestForwardOnce guards against a task that circles between holders.
func TestForwardOnce(t *testing.T) {
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

// TestWaitingTaskKeepsItsPayload guards against a waiting task that reaches another holder without its
// payload, runs with no input and is reported as done.
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

// TestEndOfTaskPassedOn guards against a lost answer: the holder that a task was passed on to is
// lost, and this host acquires the target and finds the end of the task.
func TestEndOfTaskPassedOn(t *testing.T) {
	cell := newCell(t, 1)
	cell.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{LargestFree: slot.Scale(4)}))
	for index := range slots {
		cell.place(cell.task("a", "batch", index))
	}
	passedOn := cell.task("a", "batch", slots)
	cell.place(passedOn)
	require.Len(t, cell.forwarded, 1)
	for range 2 {
		cell.live[passedOn.ID()] = running{task: passedOn, target: "t0000", at: cell.now}
		cell.finish(passedOn.ID(), time.Second)
	}
	ends := reports[almondcross.TaskEnded](cell)
	require.Len(t, ends, 1)
	require.Equal(t, passedOn.ID(), ends[0].Result().ID())
}

// TestHandBack guards against a target that stays with a holder that is no longer preferred,
// and against a hand-back while a start is unanswered.
func TestHandBack(t *testing.T) {
	cell := newCell(t, 1)
	cell.holdAnswers = true
	cell.place(cell.task("a", "batch", 1))
	cell.addPeer(cell.preferredName("t0000"), almondcross.Summary{})
	cell.advance(time.Minute)
	require.Empty(t, cell.releases)
	cell.holdAnswers = false
	cell.answerStarts()
	cell.advance(time.Second)
	require.Equal(t, []string{"t0000"}, cell.releases)
}

// TestPreferredHolderAsksSoon guards against a takeover that waits for the longer interval of a host
// that was not the preferred holder when it last asked.
func TestPreferredHolderAsksSoon(t *testing.T) {
	cell := newCell(t, 0)
	other := cell.preferredName("t0000")
	cell.addPeer(other, almondcross.Summary{})
	cell.refuseLeases = true
	cell.hosts = []almondcross.Target{almondcross.NewTarget(almondcross.TargetConfig{
		Name: "t0000", DataCentre: "d", Rack: "r000", Address: "127.0.0.1:1", State: almondcross.HostLive,
	})}
	cell.list()
	cell.advance(time.Second)
	cell.removePeers()
	asked := cell.acquisitions
	cell.advance(time.Second)
	require.Greater(t, cell.acquisitions, asked, "the new preferred holder asks again within a second of a refusal")
}

// TestEarlierEndInInventory guards against declaring a running attempt lost, and so starting it
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

// TestFailedTargetIsAvoided guards against a repeated attempt that goes back to the target on which the
// last one failed although another target, here or at a peer, has room.
func TestFailedTargetIsAvoided(t *testing.T) {
	cell := newCell(t, 2)
	for index := range 2 * slots {
		for _, avoid := range []string{"t0000", "t0001"} {
			task := cell.task("a", "batch", 1).WithAttempt(2*index + 1).WithAvoid(avoid)
			if avoid == "t0001" {
				task = task.WithAttempt(2*index + 2)
			}
			cell.place(task)
			require.NotEqual(t, avoid, cell.live[task.ID()].target)
			cell.end(task.ID(), time.Millisecond, almondcross.CodeTaskFailed)
		}
	}
	alone := newCell(t, 1)
	alone.addPeer("h1", almondcross.NewSummary(almondcross.SummaryConfig{Free: slot.Scale(4), LargestFree: slot.Scale(4)}))
	alone.place(alone.task("a", "batch", 1).WithAvoid("t0000"))
	require.Len(t, alone.forwarded, 1)
}
