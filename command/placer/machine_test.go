package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	cell.finish(task.Id(), time.Second)
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
	cell.finish(cell.task("a", "batch", 0).Id(), time.Second)
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
		Target: "t0000", Term: cell.term["t0000"], Named: []almondcross.TaskID{task.Id()},
	}))
	cell.refuseLeases = true
	cell.release("t0000")
	cell.advance(almondcross.LostAfter - time.Millisecond)
	require.Empty(t, reports[almondcross.TaskLost](cell))
	cell.advance(time.Millisecond)
	require.Len(t, reports[almondcross.TaskLost](cell), 1)
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
	require.Equal(t, gone.Id(), lost[0].Id())
	cell.finish(kept.Id(), time.Second)
	require.Len(t, reports[almondcross.TaskEnded](cell), 1)
}

// TestUnadoptedIsNotNamed guards against extending the lease of a task whose coordinator is
// gone, and against losing it once the new coordinator confirmed it.
func TestUnadoptedIsNotNamed(t *testing.T) {
	cell := newCell(t, 1)
	lost := almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "h9", Incarnation: 1})
	task := cell.task("a", "batch", 1).WithCoordinator(lost)
	cell.release("t0000", task)
	require.NotContains(t, cell.named["t0000"], task.Id())
	require.Len(t, reports[almondcross.AdoptTask](cell), 1)
	cell.advance(time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		Id: task.Id(), Attempt: 1, Target: "t0000", Term: cell.term["t0000"], Accepted: true, Coordinator: self,
	})
	cell.apply(answer)
	require.Contains(t, cell.named["t0000"], task.Id())
	cell.advance(5 * time.Second)
	require.Len(t, reports[almondcross.AdoptTask](cell), 2)
}

// TestRefusedAdoptionStops guards against a second run beside a task that was declared lost.
func TestRefusedAdoptionStops(t *testing.T) {
	cell := newCell(t, 1)
	task := cell.task("a", "batch", 1).WithCoordinator(self.WithIncarnation(9))
	cell.release("t0000", task)
	cell.apply(almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		Id: task.Id(), Attempt: 1, Target: "t0000", Term: cell.term["t0000"], Coordinator: self,
	}))
	require.Contains(t, cell.halted, task.Id())
	require.NotContains(t, cell.named["t0000"], task.Id())
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
