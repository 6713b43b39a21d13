package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// leadFor lets a scheduler that has read the journal work for a time and returns the snapshots that it stored.
func (harness *harness) leadFor(duration time.Duration) []StoreSnapshot {
	harness.t.Helper()
	var stored []StoreSnapshot
	for until := harness.now.Add(duration); harness.now.Before(until); harness.advance(leaderTick) {
		harness.answerCommits()
		if found, ok := takeEffect[StoreSnapshot](harness); ok {
			stored = append(stored, found)
			harness.apply(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{
				Epoch: found.Request.Snapshot().SchedulerEpoch(), Next: found.Request.Snapshot().Next(),
			}))
		}
	}
	return stored
}

// Guards against a store without a snapshot while no scheduler lasts for the time between two of them, and against one from
// each new scheduler although the last one is recent.
func TestNewSchedulerStoresASnapshotWhenTheLastOneIsOld(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.SnapshotInterval = 10 * time.Second
	harness.standby = newHarness(t)
	harness.standby.machine.config.SnapshotInterval = 10 * time.Second
	harness.standby.machine.config.Host = "h-2"
	harness.standby.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.standby.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Keys: []string{"earlier"}}))
	harness.becomeScheduler()
	require.Len(t, harness.leadFor(time.Second), 1, "the store has no snapshot")
	require.Empty(t, harness.leadFor(8*time.Second))
	require.Len(t, harness.leadFor(2*time.Second), 1)

	standby := harness.standby
	require.Equal(t, harness.machine.state.snapshotAt, standby.machine.state.snapshotAt, "the time is replicated")
	standby.now, standby.batches, standby.journalEnd = harness.now, harness.batches, harness.journalEnd
	for !standby.machine.Leads() {
		standby.advance(followerTick)
		if _, found := standby.pendingCommit(); found {
			standby.answerCommit()
		} else {
			standby.readJournalToEnd()
		}
	}
	require.Empty(t, standby.leadFor(6*time.Second), "the last snapshot is recent")
	stored := standby.leadFor(4 * time.Second)
	require.Len(t, stored, 1)
	require.Equal(t, []string{"earlier"}, stored[0].Request.EarlierKeys())
	require.Len(t, stored[0].Request.EarlierEpochs(), 2, "the first scheduler's snapshot is removed as well")
	require.Len(t, standby.machine.state.earlierEpochs, 1)
}

// Guards against two snapshots of one host that are written at the same time, also if it was elected again meanwhile.
func TestOneSnapshotIsStoredAtATime(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.SnapshotInterval = time.Second
	harness.becomeScheduler()
	for range 100 {
		harness.advance(leaderTick)
		harness.answerCommits()
	}
	require.Equal(t, 1, countEffects[StoreSnapshot](harness), "the first one is not stored yet")
	harness.apply(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{Epoch: 1, Err: almondcross.ErrStoreUncertain}))
	harness.advance(heartbeatInterval)
	harness.answerCommits()
	require.Equal(t, 1, countEffects[StoreSnapshot](harness), "a failed one is repeated")
}
