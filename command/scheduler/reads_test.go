package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// countEffects removes and counts the effects of a type.
func countEffects[E Effect](harness *harness) int {
	count := 0
	for _, found := takeEffect[E](harness); found; _, found = takeEffect[E](harness) {
		count++
	}
	return count
}

// Guards against several chains of reads after a standby was made a viewer and a standby again: each chain goes on by itself,
// and the scheduler duty waits once their ring is full.
func TestReloadsLeaveOneChainOfReads(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler()
	harness.effects = nil
	journalReads, snapshotReads := 0, 0
	for range 6 {
		harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
		harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
		harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
		snapshotReads += countEffects[ReadSnapshot](harness)
		require.Equal(t, 1, snapshotReads, "one read of the snapshot is pending")
		harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
		snapshotReads--
		harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
		journalReads += countEffects[ReadJournal](harness)
		require.Equal(t, 1, journalReads, "the first read of the journal is still pending")
	}
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{harness.newAdmission("j")}}))
	require.Equal(t, int64(1), requireEffect[ReadJournal](harness).Query.From(), "the answer to the first read is followed by the next")
	require.Zero(t, countEffects[ReadJournal](harness))
}

// Guards against reads of the workers and of the intake that go on beside those of a later epoch of the same host, and
// against an answer of the earlier epoch that stands for the list of all workers.
func TestEpochsOfAHostLeaveOneChainOfReads(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	workerReads, intakeReads := countEffects[ReadWorkers](harness), countEffects[ReadIntake](harness)
	require.Equal(t, 2, workerReads, "becomeScheduler answers one of them")
	require.Equal(t, 1, intakeReads)
	for range 3 {
		harness.advance(heartbeatInterval)
		harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
			Commit: requireEffect[Commit](harness).Request, Err: almondcross.ErrStoreFenced,
		}))
		require.False(t, harness.machine.Leads())
		harness.effects = nil
		harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
		harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
		harness.readJournalToEnd()
		for !harness.machine.Leads() {
			harness.advance(followerTick)
			if _, found := harness.pendingCommit(); found {
				harness.answerCommit()
			} else {
				harness.readJournalToEnd()
			}
		}
		require.Zero(t, countEffects[ReadWorkers](harness), "the read of the first epoch is pending")
		require.Zero(t, countEffects[ReadIntake](harness), "the read of the first epoch is pending")
	}
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Next: 7}))
	require.Negative(t, requireEffect[ReadWorkers](harness).Query.From())
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{}))
	require.Equal(t, 1, countEffects[ReadIntake](harness))
}

// readJournalToEnd answers a read of the journal with all batches.
func (harness *harness) readJournalToEnd() {
	from := harness.machine.follower.nextOffset
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		From: from, Next: harness.journalEnd, End: harness.journalEnd, Batches: harness.batches[from:],
	}))
}

// Guards against a reload for an answer to a read from before a reload: the records that it asked for are gone, while those
// that the host needs now are not.
func TestTrimmedReadFromBeforeAReloadIsRepeated(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler()
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{
		Found: true, Snapshot: almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Next: 5, At: harness.now}),
	}))
	harness.effects = nil
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 2, Next: 4, Err: almondcross.ErrStoreTrimmed}))
	require.Equal(t, int64(5), requireEffect[ReadJournal](harness).Query.From())
	require.Zero(t, countEffects[ReadSnapshot](harness))
}

// Guards against counts that no host knows for 2 s after a takeover, because no job arrives in one partition of the intake.
func TestFirstReadOfAnIntakePartitionDoesNotWait(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	require.Zero(t, requireEffect[ReadIntake](harness).Query.Wait())
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{}))
	require.Equal(t, intakeReadWait, requireEffect[ReadIntake](harness).Query.Wait())
	harness.awaitHeartbeat()
	require.Zero(t, harness.pendingCount(), "the count is known")
}

// newFollower returns a standby that has caught up and gets the batches of the scheduler h-2 over the link.
func newFollower(t *testing.T) *harness {
	t.Helper()
	harness := newHarness(t)
	harness.followScheduler()
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	batches := []almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 9, At: harness.now, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-2", Address: "h-2"}),
	}})}
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{Batches: batches}))
	harness.effects = nil
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: batches}))
	return harness
}

// Guards against a standby that reads the last batches of a lost scheduler, which it appended but did not push, more than half
// a second later and counts its silence from then on.
func TestStandbyReadsTheJournalOncePushesStop(t *testing.T) {
	harness := newFollower(t)
	pushedAt := harness.now
	for range int(time.Second / followerTick) {
		if read, found := takeEffect[ReadJournal](harness); found {
			require.LessOrEqual(t, harness.now.Add(read.Query.Pause()).Sub(pushedAt), freshPushAge+followerTick)
			require.Equal(t, int64(1), read.Query.From())
			return
		}
		harness.advance(followerTick)
	}
	require.Fail(t, "the standby does not read the journal")
}

// Guards against a standby that learns half a second late that the scheduler has resigned: its link ends before the
// resignation arrives over it.
func TestStandbyReadsTheJournalOnceItsLinkIsLost(t *testing.T) {
	harness := newFollower(t)
	harness.apply(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: "h-2"}))
	require.Zero(t, requireEffect[ReadJournal](harness).Query.Pause())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 1, End: 1}))
	require.Equal(t, journalReadInterval, requireEffect[ReadJournal](harness).Query.Pause(), "no batches arrive over the link")
}

// Guards against reads of the journal, which are billed, that come more often than pushedReadInterval while batches arrive
// over the link.
func TestStandbyReadsLessOftenWhileBatchesArrive(t *testing.T) {
	harness := newFollower(t)
	answeredAt := harness.now
	for offset := int64(1); ; offset++ {
		harness.advance(heartbeatInterval / 2)
		if read, found := takeEffect[ReadJournal](harness); found {
			require.GreaterOrEqual(t, harness.now.Add(read.Query.Pause()).Sub(answeredAt), pushedReadInterval)
			require.Less(t, harness.now.Sub(answeredAt), 2*pushedReadInterval)
			return
		}
		require.Less(t, offset, int64(20), "the standby does not read the journal")
		harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: offset, Batches: []almondcross.JournalBatch{{}}}))
	}
}
