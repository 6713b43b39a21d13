package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

func pointer(host string, epoch int64) almondcross.SchedulerPointer {
	return almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: epoch, Host: host, Address: host + ":1"})
}

// told answers the query for the scheduler as another host does.
func (bed *bed) told(host string, epoch int64) {
	bed.t.Helper()
	must[ReadPointer](bed)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer(host, epoch), Found: true}))
}

// last returns the last effect of a kind and removes all of them.
func last[E Effect](bed *bed) (E, bool) {
	found, ok := take[E](bed)
	for next, more := found, ok; more; next, more = take[E](bed) {
		found = next
	}
	return found, ok
}

// Guards against a host that serves nobody while the store does not answer it, although other hosts and the
// scheduler do, and against such a host as a standby, which could not follow the journal.
func TestCutHostFindsTheSchedulerThroughOthers(t *testing.T) {
	bed := newBed(t)
	bed.advance(0)
	bed.apply(almondcross.NewPeersKnown(almondcross.PeersKnownConfig{Addresses: []string{"h-2:1", "10.0.0.9:1"}}))
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUnknown}))
	asked, _ := last[ReadPointer](bed)
	require.Equal(t, []string{"h-2:1"}, asked.Query.Peers(), "a host does not ask itself")
	last[Lead](bed)

	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer("h-2", 9), Found: true}))
	found, _ := last[Lead](bed)
	require.Equal(t, "h-2", found.Pointer.Host())
	require.Zero(t, found.Strength, "it cannot schedule")
	bed.apply(almondcross.NewAssigned(almondcross.AssignedConfig{}))
	last[ReadPointer](bed)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUnknown}))

	for range int(viaPeerPause/followerTick) + 1 {
		bed.advance(followerTick)
		bed.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{}))
	}
	must[ReadPointer](bed)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer("h-2", 9), Found: true, Stored: true}))
	found, _ = last[Lead](bed)
	require.Equal(t, 100, found.Strength, "the store answers again")
}

// Guards against a search that goes back to a scheduler of an earlier epoch, which a host that knows less tells of.
func TestSearchKeepsTheHighestEpoch(t *testing.T) {
	bed := newBed(t)
	bed.advance(0)
	bed.told("h-3", 9)
	bed.told("h-2", 8)
	found, _ := last[Lead](bed)
	require.Equal(t, "h-3", found.Pointer.Host())
}

// Guards against a standby that stays without a scheduler when the scheduler changes while the store does not
// answer the standby.
func TestStandbyLearnsOfANewSchedulerFromOthers(t *testing.T) {
	bed := newBed(t)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	bed.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	bed.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{
		almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 5, At: bed.now, Changes: []almondcross.Change{
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-2"}),
		}}),
	}}))
	last[ReadPointer](bed)
	bed.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: 1, Next: 1, Err: almondcross.ErrStoreUnknown}))
	bed.advance(lightSilence + followerTick)
	last[Lead](bed)
	bed.told("h-2", 5)
	_, moved := last[Lead](bed)
	require.False(t, moved, "the standby follows that scheduler already")
	_, asked := last[ReadPointer](bed)
	require.False(t, asked, "one question at a time")
	bed.advance(movePause + followerTick)
	bed.told("h-3", 6)
	found, _ := last[Lead](bed)
	require.Equal(t, "h-3", found.Pointer.Host())
}

// Guards against a host that tries for ever to load a state that the store does not give it.
func TestLoadThatFailsIsGivenUp(t *testing.T) {
	bed := newBed(t)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	for range 5 {
		bed.advance(loadLimit / 4)
		bed.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Err: almondcross.ErrStoreUnknown}))
	}
	last[ReadPointer](bed)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer("h-2", 9), Found: true}))
	found, _ := last[Lead](bed)
	require.Equal(t, "h-2", found.Pointer.Host())
}

// Guards against hosts that do not know each other: a host that is newly linked is told of all others, and they of it.
func TestLinkedHostsAreToldOfEachOther(t *testing.T) {
	bed := newBed(t)
	bed.lead()
	for _, host := range []string{"h-2", "h-3"} {
		bed.apply(almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{Adviser: host, Present: true, Strength: 50, Address: host + ":1"}))
	}
	told, _ := last[TellPeers](bed)
	require.Equal(t, []string{"h-2", "h-3"}, told.Hosts)
	require.ElementsMatch(t, []string{"h-2:1", "h-3:1", "10.0.0.9:1"}, told.Peers.Addresses())
}

// Guards against a weak host that schedules for seconds although a strong one stands by: on a day with 34 hosts it
// pushed views over a link of 10 Mbit/s while half of the callers' jobs came too late.
func TestWeakSchedulerHandsOverSoon(t *testing.T) {
	bed := newBed(t)
	bed.machine.config.Strength = 40
	bed.lead()
	bed.apply(almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{Adviser: "h-2", Present: true, Strength: 100, Address: "h-2:1"}))
	for range int(2*time.Second/leaderTick) + 1 {
		bed.advance(leaderTick)
		if _, found := bed.pending(); found {
			bed.commit()
		}
	}
	require.False(t, bed.machine.Leads())
}

// Guards against questions for the scheduler that pile up while the store is silent: their ring holds four, and a full
// one would hold up the scheduler duty.
func TestOneQuestionForTheSchedulerAtATime(t *testing.T) {
	bed := newBed(t)
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	bed.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	bed.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
	last[ReadPointer](bed)
	bed.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Err: almondcross.ErrStoreUnknown}))
	asked := 0
	for range 10 {
		bed.advance(movePause + followerTick)
		for _, found := take[ReadPointer](bed); found; _, found = take[ReadPointer](bed) {
			asked++
		}
	}
	require.Equal(t, 1, asked, "the first question has no answer yet")
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Err: almondcross.ErrStoreUnknown}))
	bed.advance(movePause + followerTick)
	must[ReadPointer](bed)
}

// Guards against a weak scheduler that hands over, finds itself as the last scheduler, and is elected again before the
// strong one.
func TestResignedSchedulerDoesNotStandAtOnce(t *testing.T) {
	bed := newBed(t)
	bed.machine.config.Strength = 40
	bed.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	bed.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	bed.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: 1, End: 1, Batches: []almondcross.JournalBatch{
		almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1 << epochRandomBits, At: bed.now, Changes: []almondcross.Change{
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1"}),
			almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: "h-1"}),
		}}),
	}}))
	bed.advance(electionJitter)
	_, found := bed.pending()
	require.False(t, found, "a standby of full strength stands within the jitter")
}
