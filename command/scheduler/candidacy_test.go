package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// newRankedFollower returns a standby with a rank that has read the journal of the scheduler h-2.
func newRankedFollower(t *testing.T, rank int) *harness {
	t.Helper()
	harness := newFollower(t)
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true, Rank: rank}))
	harness.effects = nil
	return harness
}

// loseLink reports the loss of the link to a scheduler.
func (harness *harness) loseLink(scheduler string, refused bool) {
	harness.apply(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: scheduler, Refused: refused}))
}

// standsAfter returns how long it takes until the machine stands for election, at most a time, while the journal has no more
// records.
func (harness *harness) standsAfter(limit time.Duration) (time.Duration, bool) {
	since := harness.now
	for ; harness.now.Sub(since) <= limit; harness.advance(5 * time.Millisecond) {
		if commit, found := takeEffect[Commit](harness); found {
			require.True(harness.t, commit.Request.Election())
			return harness.now.Sub(since), true
		}
		if _, found := takeEffect[ReadJournal](harness); found {
			next := harness.machine.follower.nextOffset
			harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: next, Next: next, End: next}))
		}
	}
	return 0, false
}

// Guards against a takeover that waits for the silence of a scheduler whose process has ended, 0.6 to 1.0 s, and for random
// times. A link that is lost in another way, or to another host, shows no end.
func TestStandbyStandsAtOnceWhenTheSchedulerHasEnded(t *testing.T) {
	for rank := 1; rank <= maxStandbys; rank++ {
		harness := newRankedFollower(t, rank)
		harness.loseLink("h-2", false)
		harness.loseLink("h-3", true)
		_, stands := harness.standsAfter(electionTimeout / 3)
		require.False(t, stands)
		harness.loseLink("h-2", true)
		after, stands := harness.standsAfter(electionTimeout / 2)
		require.True(t, stands)
		require.Equal(t, time.Duration(rank-1)*candidacyInterval, after)
	}
}

// Guards against random delays of ranked standbys behind the timeout: 0.2 s, and 8 ms for each point of strength.
func TestRankedStandbysStandInTheirOrderAfterASilence(t *testing.T) {
	for rank := 1; rank <= maxStandbys; rank++ {
		harness := newRankedFollower(t, rank)
		after, stands := harness.standsAfter(2 * electionTimeout)
		require.True(t, stands)
		require.Equal(t, electionTimeout+time.Duration(rank-1)*candidacyInterval, after)
	}
}

// Guards against an election that a second standby prevents: it stood between the two appends of the first.
func TestStandbyWaitsForTheElectionOfACandidate(t *testing.T) {
	harness := newRankedFollower(t, 2)
	harness.loseLink("h-2", true)
	harness.advance(candidacyInterval / 2)
	candidacy := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 4096, At: harness.now})
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2, Batches: []almondcross.JournalBatch{candidacy}}))
	harness.advance(candidacyInterval)
	harness.loseLink("h-2", true) // The next attempt to link is refused too.
	after, stands := harness.standsAfter(2 * electionTimeout)
	require.True(t, stands, "the candidate may be lost as well")
	require.GreaterOrEqual(t, after, electionTimeout-candidacyInterval)
}

// Guards against a standby that waits for 0.4 s or more after it has lost an election to records that the ended scheduler appended
// and did not push, and against one that stands again and again before it has read them.
func TestStandbyStandsAgainOnceItHasReadTheLastRecords(t *testing.T) {
	harness := newRankedFollower(t, 1)
	harness.loseLink("h-2", true)
	commit := requireEffect[Commit](harness).Request
	require.Equal(t, int64(1), commit.ExpectedEnd())
	harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{Commit: commit, Err: almondcross.ErrStoreEndMismatch}))
	harness.advance(10 * time.Millisecond)
	_, stands := takeEffect[Commit](harness)
	require.False(t, stands)
	last := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 9, At: harness.now})
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2, Batches: []almondcross.JournalBatch{last}}))
	require.Equal(t, int64(2), requireEffect[Commit](harness).Request.ExpectedEnd())
}

// Guards against a standby whose read waits 0.4 s for a batch while its election depends on a record that was appended just before
// (seen on the bench, takeover-kill, seed 1: two standbys lost their elections and stood again after 0.3 s).
func TestReadsDoNotWaitWhileTheLinkIsLost(t *testing.T) {
	harness := newRankedFollower(t, 2)
	harness.loseLink("h-2", false)
	require.Zero(t, requireEffect[ReadJournal](harness).Query.Wait())
	harness.loseLink("h-2", true)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 1, End: 1}))
	query := requireEffect[ReadJournal](harness).Query
	require.Zero(t, query.Wait())
	require.LessOrEqual(t, query.Pause(), endedReadInterval)
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 1, Batches: []almondcross.JournalBatch{{}}}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 2, End: 2}))
	harness.advance(pushedReadInterval)
	require.Equal(t, journalReadWait, requireEffect[ReadJournal](harness).Query.Wait())
}

// Guards against standbys that stand in any other order than by strength and name, or that keep the order of hosts that have left.
func TestStandbysAreRankedByStrengthAndName(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	ranks := map[string]int{}
	link := func(host string, present bool, strength int) {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host, Present: present, Strength: strength, Address: host}))
		for assign, found := takeEffect[AssignRole](harness); found; assign, found = takeEffect[AssignRole](harness) {
			require.Equal(t, assign.Assigned.Rank() > 0, assign.Assigned.Standby())
			ranks[assign.Host] = assign.Assigned.Rank()
		}
	}
	link("h-5", true, 50)
	link("h-4", true, 90)
	link("h-3", true, 90)
	link("h-2", true, 100)
	require.Equal(t, map[string]int{"h-3": 1, "h-4": 2, "h-5": 3, "h-2": 0}, ranks)
	link("h-3", false, 0)
	require.Equal(t, map[string]int{"h-2": 1, "h-4": 2, "h-5": 3, "h-3": 1}, ranks)
	link("h-2", true, 0)
	require.Equal(t, map[string]int{"h-4": 1, "h-5": 2, "h-2": 0, "h-3": 1}, ranks)
}

// Guards against a silence that counts from when a standby reads the last batch, which the lost scheduler appended and did not push:
// 0.3 s later, when the pushes have stopped for that long.
func TestSilenceCountsFromWhenTheLastBatchWasAppended(t *testing.T) {
	harness := newRankedFollower(t, 1)
	const clockDifference, gap = time.Hour, 20 * time.Millisecond
	batch := func(after time.Duration) almondcross.JournalBatch {
		return almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 9, At: harness.now.Add(clockDifference + after)})
	}
	last := batch(gap)
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 1, Batches: []almondcross.JournalBatch{batch(0)}}))
	harness.effects = nil
	harness.advance(freshPushAge)
	require.Equal(t, int64(2), requireEffect[ReadJournal](harness).Query.From())
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 2, Next: 3, End: 3, Batches: []almondcross.JournalBatch{last}}))
	after, stands := harness.standsAfter(electionTimeout)
	require.True(t, stands)
	require.Equal(t, electionTimeout+gap-freshPushAge, after)
}

// Guards against a needless takeover after an outage of the store: the first batch that is read afterwards was made before it.
func TestSilenceCountsFromTheEndOfAnOutage(t *testing.T) {
	harness := newRankedFollower(t, 1)
	const outage = 6 * time.Second
	made := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 9, At: harness.now})
	harness.apply(almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 1, Batches: []almondcross.JournalBatch{made}}))
	harness.advance(freshPushAge)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 2, Next: 2, Err: almondcross.ErrStoreUncertain}))
	harness.advance(outage)
	harness.effects = nil
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 2, Next: 3, End: 3, Batches: []almondcross.JournalBatch{made}}))
	after, stands := harness.standsAfter(2 * electionTimeout)
	require.True(t, stands)
	require.Equal(t, electionTimeout, after)
}

// Guards against a standby that stands again and again, some 30 times a second, while the scheduler is at work: a partition may
// refuse its links too.
func TestStandbyStandsAtOnceNoMoreThanAFewTimes(t *testing.T) {
	harness := newRankedFollower(t, 1)
	harness.loseLink("h-2", true)
	candidacies := 0
	for since, next := harness.now, int64(1); harness.now.Sub(since) < electionTimeout; harness.advance(10 * time.Millisecond) {
		if commit, found := takeEffect[Commit](harness); found {
			candidacies++
			harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{Commit: commit.Request, Err: almondcross.ErrStoreEndMismatch}))
		}
		if _, found := takeEffect[ReadJournal](harness); found {
			batch := almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 9, At: harness.now})
			harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: next, Next: next + 1, End: next + 1, Batches: []almondcross.JournalBatch{batch}}))
			next++
		}
		harness.loseLink("h-2", true)
	}
	require.Equal(t, maxEndedCandidacies, candidacies)
}
