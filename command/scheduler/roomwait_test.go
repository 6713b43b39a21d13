package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against callers that are told to return at one moment and are refused again, against a time that does not follow from how
// fast room returns, and against one holder's callers that wait for those of another.
func TestCallersReturnInTheOrderOfTheirRefusal(t *testing.T) {
	const bytes, perSecond = 10_000, 100_000
	waits, freed := roomWaits{}, map[almondcross.StateHolder]int64{}
	busy, other := almondcross.StateHolder{Queue: "q"}, almondcross.StateHolder{Workspace: "w"}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, firstRoomWait, waits.add(busy, bytes))
	advance := func() {
		now = now.Add(roomRateInterval)
		freed[busy] += perSecond
		waits.update(freed, now)
	}
	refuse := func() (first, last time.Duration) {
		first = waits.add(busy, bytes)
		last = first
		for range 99 {
			next := waits.add(busy, bytes)
			require.GreaterOrEqual(t, next, last)
			last = next
		}
		return first, last
	}
	refuse()
	advance()
	advance()
	first, last := refuse()
	require.InDelta(t, (100*bytes+bytes)/perSecond, first.Seconds(), 1, "those refused before come first")
	require.InDelta(t, 200*bytes/perSecond, last.Seconds(), 1)
	require.Equal(t, firstRoomWait, waits.add(other, bytes))
	for range 30 {
		advance()
	}
	require.Equal(t, minRoomWait, waits.add(busy, bytes), "all of them could have returned")
	for range 60 {
		now = now.Add(roomRateInterval)
		waits.update(freed, now)
		waits.add(busy, bytes)
	}
	require.Equal(t, maxRoomWait, waits.add(busy, 100*perSecond), "no room returns")
}
