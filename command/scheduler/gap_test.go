package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// eventNames collects the names of logged events.
type eventNames struct{ names []string }

func (eventnames *eventNames) Record(event string, _ ...almondcross.LogField) {
	eventnames.names = append(eventnames.names, event)
}

func (eventnames *eventNames) count(event string) int {
	return len(eventnames.names) - len(slices.DeleteFunc(slices.Clone(eventnames.names), func(name string) bool { return name == event }))
}

// gapStore is a store whose journal begins behind its newest snapshot.
type gapStore struct {
	snapshot  almondcross.SnapshotReadConfig
	first     int64 // first is the oldest offset of the journal.
	batches   []almondcross.JournalBatch
	snapshots int // snapshots counts the reads of the snapshot.

	snapshotDueAt time.Time // snapshotDueAt is when the pending read of the snapshot is answered, zero for none.
}

// serve lets time pass and answers the reads of the machine.
func (gapstore *gapStore) serve(harness *harness, duration time.Duration) {
	for until := harness.now.Add(duration); harness.now.Before(until); {
		harness.advance(followerTick)
		if _, found := takeEffect[ReadPointer](harness); found {
			harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
		}
		if read, found := takeEffect[ReadSnapshot](harness); found {
			gapstore.snapshotDueAt = harness.now.Add(read.Query.Pause())
		}
		if !gapstore.snapshotDueAt.IsZero() && !harness.now.Before(gapstore.snapshotDueAt) {
			gapstore.snapshots, gapstore.snapshotDueAt = gapstore.snapshots+1, time.Time{}
			harness.apply(almondcross.NewSnapshotRead(gapstore.snapshot))
		}
		read, found := takeEffect[ReadJournal](harness)
		if !found {
			continue
		}
		from, end := read.Query.From(), gapstore.first+int64(len(gapstore.batches))
		if from < gapstore.first {
			harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: from, Next: gapstore.first, Err: almondcross.ErrStoreTrimmed}))
			continue
		}
		harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
			From: from, Next: end, End: end, Batches: gapstore.batches[from-gapstore.first:],
		}))
	}
}

func newGapHarness(t *testing.T) (*harness, *gapStore, *eventNames) {
	t.Helper()
	harness, events := newHarness(t), &eventNames{}
	harness.machine.config.Log = events
	batch := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1 << epochRandomBits, At: harness.now.Add(-time.Minute)})
	return harness, &gapStore{first: 5, batches: []almondcross.JournalBatch{batch}}, events
}

// Guards against a host that is elected with a part of the state because the newest snapshot is older than the oldest record
// of the journal, and against a host that loads the snapshot without pause meanwhile.
func TestHostWithAGapIsNoCandidate(t *testing.T) {
	harness, store, events := newGapHarness(t)
	store.serve(harness, 20*time.Second)
	_, stands := takeEffect[Commit](harness)
	require.False(t, stands)
	require.Equal(t, 1, events.count("journal_gap"))
	require.LessOrEqual(t, store.snapshots, 25)
	require.Equal(t, -1, harness.pendingCount())

	store.snapshot = almondcross.SnapshotReadConfig{Found: true, Snapshot: almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
		Next: 6, At: harness.now.Add(-time.Minute),
	})}
	store.serve(harness, 4*time.Second)
	_, stands = takeEffect[Commit](harness)
	require.True(t, stands, "a newer snapshot closes the gap")
	require.Zero(t, events.count("state_lost"))
}

// Guards against a host that skips the records which were deleted while it fell behind.
func TestGapWhileFollowing(t *testing.T) {
	harness, store, events := newGapHarness(t)
	store.first = 0
	store.serve(harness, 100*time.Millisecond)
	require.Equal(t, roleFollower, harness.machine.role)
	store.first = 9
	store.serve(harness, 10*time.Second)
	_, stands := takeEffect[Commit](harness)
	require.False(t, stands)
	require.Equal(t, 1, events.count("journal_gap"))
}

// Guards against a cell that never serves again because no host has the whole state.
func TestCellServesAgainAfterTheLossOfTheState(t *testing.T) {
	harness, store, events := newGapHarness(t)
	store.serve(harness, stateLossTimeout+5*time.Second)
	require.Equal(t, 1, events.count("state_lost"))
	_, stands := takeEffect[Commit](harness)
	require.True(t, stands)
}

// Guards against a host that has skipped a gap and follows a scheduler that has the whole state: it would be elected after
// that one with a part of the state.
func TestHostThatSkippedAGapLoadsTheStateOfAScheduler(t *testing.T) {
	harness, store, events := newGapHarness(t)
	for events.count("state_lost") == 0 {
		store.serve(harness, followerTick)
	}
	store.batches = append(store.batches, harness.newAdmission("j"))
	store.serve(harness, 5*time.Second)
	_, stands := takeEffect[Commit](harness)
	require.False(t, stands)
	require.Equal(t, 1, events.count("state_lost"))
	store.snapshot = almondcross.SnapshotReadConfig{Found: true, Snapshot: almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Next: 5, At: harness.now})}
	store.serve(harness, 4*time.Second)
	require.Contains(t, harness.machine.state.jobs, almondcross.JobID("j"))
	require.False(t, harness.machine.follower.incomplete)
}

// Guards against a host that treats the state as lost although a scheduler has contacted it a moment ago.
func TestStateIsNotLostAfterContactWithAScheduler(t *testing.T) {
	harness, store, events := newGapHarness(t)
	store.serve(harness, 20*time.Second)
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	store.serve(harness, 20*time.Second)
	require.Zero(t, events.count("state_lost"))
}
