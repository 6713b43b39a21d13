package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

func newViewChange(id almondcross.JobID, state almondcross.JobState) almondcross.JobViewChange {
	return almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: id, Known: true, View: almondcross.NewJobView(almondcross.JobViewConfig{
		ID: id, Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: state, CountsAsPending: true,
	})})
}

// newAdmission returns a batch in which a scheduler that has read all intakes admits jobs.
func (harness *harness) newAdmission(ids ...almondcross.JobID) almondcross.JournalBatch {
	config := almondcross.JournalBatchConfig{Epoch: 1 << epochRandomBits, At: harness.now, Current: true}
	for _, id := range ids {
		config.Changes = append(config.Changes, almondcross.NewChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeAdmit, Settings: almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q"})}),
			Job: almondcross.NewJob(almondcross.JobConfig{
				ID: id, Queue: "q", Submitted: harness.now, Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1})},
			}),
		}))
	}
	return almondcross.NewJournalBatch(config)
}

// followScheduler links the machine to a scheduler h-2 as a viewer with some views.
func (harness *harness) followScheduler(changes ...almondcross.JobViewChange) {
	harness.t.Helper()
	harness.advance(0)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true, Stored: true}))
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: changes}))
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Complete: true}))
}

// run lets time pass as for a host that is not paused.
func (harness *harness) run(duration time.Duration) {
	for range int(duration / followerTick) {
		harness.advance(followerTick)
	}
}

// pendingCount returns the count that callers get, -1 if the host does not know it.
func (harness *harness) pendingCount() int {
	count, known := harness.finder().Pending(queueNamed("q"), harness.now)
	if !known {
		return -1
	}
	return count
}

// Guards against a new standby that answers from a snapshot that is seconds old, or from nothing, while it reads the
// journal. It answers from the views that it has, and that the scheduler goes on to push.
func TestNewStandbyAnswersFromViewsUntilItHasCaughtUp(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler(newViewChange("a", almondcross.JobQueued), newViewChange("b", almondcross.JobQueued))
	require.Equal(t, 2, harness.pendingCount())
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	require.Equal(t, 2, harness.pendingCount())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		Next: 1, End: 3, Batches: []almondcross.JournalBatch{harness.newAdmission("a")},
	}))
	require.Equal(t, 2, harness.pendingCount(), "the journal is not read to its end")
	harness.run(time.Second)
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Complete: true, Changes: []almondcross.JobViewChange{newViewChange("c", almondcross.JobQueued)},
	}))
	harness.run(1500 * time.Millisecond)
	require.Equal(t, 3, harness.pendingCount())
	harness.run(time.Second)
	require.Equal(t, -1, harness.pendingCount(), "views beyond their age are not answered as fresh")
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		From: 1, Next: 3, End: 3, Batches: []almondcross.JournalBatch{harness.newAdmission("b", "c"), harness.newAdmission("d")},
	}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 3, Next: 4, End: 4, Batches: []almondcross.JournalBatch{harness.newAdmission()}}))
	require.Equal(t, 4, harness.pendingCount())
}

// Guards against views that move backwards: the scheduler's views of a batch arrive before the store returns the batch to a
// standby that has just read the journal before it.
func TestViewsDoNotMoveBackwardsWhenAStandbyHasLoaded(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler(newViewChange("j", almondcross.JobQueued))
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	pushed := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1 << epochRandomBits, At: harness.now, Current: true, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeCancel, Job: almondcross.NewJob(almondcross.JobConfig{ID: "j", Queue: "q"})}),
	}})
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 1, Batches: []almondcross.JournalBatch{pushed}}))
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Complete: true, Changes: []almondcross.JobViewChange{newViewChange("j", almondcross.JobCancelled)},
	}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		Next: 1, End: 1, Batches: []almondcross.JournalBatch{harness.newAdmission("j")},
	}))
	require.Equal(t, almondcross.JobCancelled, harness.shownState())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2, Batches: []almondcross.JournalBatch{pushed}}))
	require.Equal(t, almondcross.JobCancelled, harness.shownState())
	require.True(t, harness.machine.follower.published)
}

// Guards against a job that this host has stored and that vanishes, so that the host calls it gone, when the host gets the
// views of a scheduler that has not read it yet, or loads a state without it.
func TestAcceptedJobStaysKnownUntilItIsAdmitted(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler()
	accepted := almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: almondcross.NewJob(almondcross.JobConfig{ID: "j", Queue: "q"})})
	harness.apply(accepted)
	require.Equal(t, 1, harness.pendingCount())
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true}))
	require.Equal(t, 1, harness.pendingCount())
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{harness.newAdmission()}}))
	require.Equal(t, almondcross.JobQueued, harness.shownState())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2, Batches: []almondcross.JournalBatch{harness.newAdmission("j")}}))
	require.Empty(t, harness.machine.acceptedJobs)
}

// Guards against views that waited in the link of a paused host and count as fresh when it goes on.
func TestViewsOfAPausedHostAreNotFresh(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler(newViewChange("j", almondcross.JobQueued))
	harness.now = harness.now.Add(5 * time.Second)
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Complete: true}))
	require.Equal(t, -1, harness.pendingCount())
	_, knowledge := harness.finder().Lookup("j", queueNamed("q"), "", harness.now)
	require.Equal(t, almondcross.JobNotKnown, knowledge)
	_, left := takeLastEffect[AnnounceScheduler](harness)
	require.True(t, left, "the host asks for all views anew")
}

// Guards against batches that waited in the link of a paused standby, and against the answers to its reads and appends of
// before: none of them tells what has happened since.
func TestBatchesOfAPausedStandbyAreNotFresh(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler()
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{harness.newAdmission("j")}}))
	require.Equal(t, 1, harness.pendingCount())
	waiting := harness.newAdmission("k")
	harness.now = harness.now.Add(5 * time.Second)
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 1, Batches: []almondcross.JournalBatch{waiting}}))
	require.Equal(t, -1, harness.pendingCount())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2, Batches: []almondcross.JournalBatch{waiting}}))
	require.Equal(t, -1, harness.pendingCount())
	harness.run(pushedReadInterval)
	requireEffect[ReadJournal](harness)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 2, Next: 3, End: 3, Batches: []almondcross.JournalBatch{harness.newAdmission("l")}}))
	require.Equal(t, 3, harness.pendingCount())
}

// Guards against a new standby that gets no views while it loads the state, and so cannot answer for that long.
func TestNewStandbyGetsViewsWhileItLoads(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 1})
	harness.answerCommits()
	harness.effects = nil
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-2", Present: true, Strength: 50}))
	require.True(t, requireEffect[AssignRole](harness).Assigned.Standby())
	harness.awaitHeartbeat()
	pushed := requireEffect[PushViews](harness)
	require.Equal(t, []string{"h-2"}, pushed.Hosts)
	require.True(t, pushed.Pushed.Reset())
	require.Len(t, pushed.Pushed.Changes(), 1)
	harness.effects = nil
	harness.awaitHeartbeat()
	require.Equal(t, []string{"h-2"}, requireEffect[PushBatches](harness).Hosts)
	require.Equal(t, []string{"h-2"}, requireEffect[PushViews](harness).Hosts)
	harness.advance(standbyLoadTime)
	harness.answerCommits()
	harness.effects = nil
	harness.awaitHeartbeat()
	require.Equal(t, []string{"h-2"}, requireEffect[PushBatches](harness).Hosts)
	require.Empty(t, requireEffect[PushViews](harness).Hosts, "a standby that follows the journal needs no views")
}

// Guards against a completed job that is shown as queued again by a viewer that was paused between the acceptance of the job
// and its own note of it, and against a second entry in the pending count.
func TestLateNoteOfAnAcceptedJobDoesNotReplaceItsView(t *testing.T) {
	for _, state := range []almondcross.JobState{almondcross.JobCompleted, almondcross.JobRunning, almondcross.JobQueued} {
		harness := newHarness(t)
		harness.followScheduler(newViewChange("j", state))
		before := harness.pendingCount()
		harness.apply(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: almondcross.NewJob(almondcross.JobConfig{ID: "j", Queue: "q"})}))
		require.Equal(t, state, harness.shownState())
		require.Equal(t, before, harness.pendingCount())
		require.Empty(t, harness.machine.acceptedJobs)
	}
}

// Guards against a standby that leaves the scheduler while it loads the state, for a read of the pointer from before it was
// linked: the state that it loads does not tell of that scheduler yet. It was of no use, and answered nothing, for seconds.
func TestLoadingStandbyStaysWithItsScheduler(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler(newViewChange("j", almondcross.JobQueued))
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.answerPointerRead("h-2", 9)
	require.Equal(t, roleFollower, harness.machine.role)
	harness.machine.readPointer(0)
	harness.advance(0)
	harness.answerPointerRead("h-3", 10)
	require.Equal(t, roleDiscovering, harness.machine.role, "there is a newer scheduler")
}
