package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

func newPointer(host string, epoch int64) almondcross.SchedulerPointer {
	return almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: epoch, Host: host, Address: host + ":1"})
}

// answerPointerRead answers the pending pointer read as another host does.
func (harness *harness) answerPointerRead(host string, epoch int64) {
	harness.t.Helper()
	requireEffect[ReadPointer](harness)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer(host, epoch), Found: true}))
}

// takeLastEffect removes all effects of a type and returns the last one.
func takeLastEffect[E Effect](harness *harness) (E, bool) {
	found, ok := takeEffect[E](harness)
	for next, more := found, ok; more; next, more = takeEffect[E](harness) {
		found = next
	}
	return found, ok
}

// Guards against a host that serves no callers while it cannot reach the store, although other hosts and the
// scheduler can, and against such a host becoming a standby, which could not follow the journal.
func TestHostWithoutStoreFindsSchedulerThroughPeers(t *testing.T) {
	harness := newHarness(t)
	harness.advance(0)
	harness.apply(almondcross.NewPeersKnown(almondcross.PeersKnownConfig{Addresses: []string{"h-2:1", "10.0.0.9:1"}}))
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUncertain}))
	read, _ := takeLastEffect[ReadPointer](harness)
	require.Equal(t, []string{"h-2:1"}, read.Query.Peers(), "a host does not query itself")
	takeLastEffect[AnnounceScheduler](harness)

	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true}))
	found, _ := takeLastEffect[AnnounceScheduler](harness)
	require.Equal(t, "h-2", found.Pointer.Host())
	require.Zero(t, found.Strength, "a host without the store cannot schedule")
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true}))
	takeLastEffect[ReadPointer](harness)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUncertain}))

	for range int(viaPeerReadInterval/followerTick) + 1 {
		harness.advance(followerTick)
		harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{}))
	}
	requireEffect[ReadPointer](harness)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true, Stored: true}))
	found, _ = takeLastEffect[AnnounceScheduler](harness)
	require.Equal(t, 100, found.Strength, "the store answers again")
}

// Guards against discovery that returns to a scheduler of an earlier epoch because a host with older
// information names it.
func TestDiscoveryKeepsHighestEpoch(t *testing.T) {
	harness := newHarness(t)
	harness.advance(0)
	harness.answerPointerRead("h-3", 9)
	harness.answerPointerRead("h-2", 8)
	found, _ := takeLastEffect[AnnounceScheduler](harness)
	require.Equal(t, "h-3", found.Pointer.Host())
}

// Guards against a standby that cannot reach the store and does not notice a change of the scheduler.
func TestStandbyWithoutStoreFindsNewSchedulerThroughPeers(t *testing.T) {
	harness := newHarness(t)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{
		almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 5, At: harness.now, Changes: []almondcross.Change{
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-2"}),
		}}),
	}}))
	takeLastEffect[ReadPointer](harness)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 1, Err: almondcross.ErrStoreUncertain}))
	harness.advance(linkTimeout + followerTick)
	takeLastEffect[AnnounceScheduler](harness)
	harness.answerPointerRead("h-2", 5)
	_, moved := takeLastEffect[AnnounceScheduler](harness)
	require.False(t, moved, "the standby already follows that scheduler")
	_, requested := takeLastEffect[ReadPointer](harness)
	require.False(t, requested, "at most one read is pending")
	harness.advance(standbyQueryInterval + followerTick)
	harness.answerPointerRead("h-3", 6)
	found, _ := takeLastEffect[AnnounceScheduler](harness)
	require.Equal(t, "h-3", found.Pointer.Host())
}

// Guards against a host that retries without limit to load a state that the store does not return.
func TestFailedLoadReturnsToDiscovery(t *testing.T) {
	harness := newHarness(t)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	for range 5 {
		harness.advance(loadTimeout / 4)
		harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Err: almondcross.ErrStoreUncertain}))
	}
	takeLastEffect[ReadPointer](harness)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true}))
	found, _ := takeLastEffect[AnnounceScheduler](harness)
	require.Equal(t, "h-2", found.Pointer.Host())
}

// Guards against hosts that do not know each other's addresses: a newly linked host gets those of all others,
// and they get its address.
func TestLinkedHostsReceivePeerAddresses(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	for _, host := range []string{"h-2", "h-3"} {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host, Present: true, Strength: 50, Address: host + ":1"}))
	}
	sent, _ := takeLastEffect[SendPeers](harness)
	require.Equal(t, []string{"h-2", "h-3"}, sent.Hosts)
	require.ElementsMatch(t, []string{"h-2:1", "h-3:1", "10.0.0.9:1"}, sent.Peers.Addresses())
}

// Guards against a weak host that keeps scheduling for seconds although a strong standby is available. Once,
// with 34 hosts, it pushed views over a link of 10 Mbit/s while half of the callers' jobs were late.
func TestWeakSchedulerHandsOver(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.Strength = 40
	harness.becomeScheduler()
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-2", Present: true, Strength: 100, Address: "h-2:1"}))
	for range int(2*time.Second/leaderTick) + 1 {
		harness.advance(leaderTick)
		if _, found := harness.pendingCommit(); found {
			harness.answerCommit()
		}
	}
	require.False(t, harness.machine.Leads())
}

// Guards against pointer reads that accumulate while the store does not answer. Their ring holds four, and a
// full ring would block the scheduler duty.
func TestAtMostOnePointerReadIsPending(t *testing.T) {
	harness := newHarness(t)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
	takeLastEffect[ReadPointer](harness)
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Err: almondcross.ErrStoreUncertain}))
	reads := 0
	for range 10 {
		harness.advance(standbyQueryInterval + followerTick)
		for _, found := takeEffect[ReadPointer](harness); found; _, found = takeEffect[ReadPointer](harness) {
			reads++
		}
	}
	require.Equal(t, 1, reads, "the first read is still pending")
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUncertain}))
	harness.advance(standbyQueryInterval + followerTick)
	requireEffect[ReadPointer](harness)
}

// Guards against a weak scheduler that hands over, finds itself recorded as the last scheduler, and is elected
// again before the stronger host.
func TestResignedSchedulerDoesNotStandImmediately(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.Strength = 40
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{
		almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1 << epochRandomBits, At: harness.now, Changes: []almondcross.Change{
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1"}),
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: "h-1"}),
		}}),
	}}))
	harness.advance(electionJitter)
	_, found := harness.pendingCommit()
	require.False(t, found, "a standby of full strength stands within the jitter")
}
