package rationer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// Guards against a holder that fills the memory and shuts the others out for good, and against one that gets little of it while
// nobody else has jobs.
func TestEachHolderFindsRoomBesideTheOthers(t *testing.T) {
	requireRoomForEach(t, 915, 8) // Jobs that are larger than what seven holders leave if each takes two thirds of the free memory.
	rapid.Check(t, func(t *rapid.T) {
		needed := rapid.Int64Range(1, 1000).Draw(t, "needed")
		holders := rapid.IntRange(1, 8).Draw(t, "holders")
		requireRoomForEach(t, needed, holders)
	})
}

// requireRoomForEach has each holder in turn take as much memory as it may by jobs of a size.
func requireRoomForEach(t require.TestingT, needed int64, holders int) {
	const limit = 1_000_000
	var used int64
	for holder := range holders {
		var held int64
		for (ByFreeRoom{}).Fits(almondcross.NewRoomQuery(almondcross.RoomQueryConfig{Limit: limit, Used: used, Held: held, Needed: needed})) {
			held += needed
			used += needed
		}
		require.LessOrEqual(t, used, int64(limit))
		if holder == 0 {
			require.Greater(t, held, int64(limit/2))
		}
		require.Positive(t, held, "holder %d", holder)
	}
	require.True(t, ByFreeRoom{}.Fits(almondcross.NewRoomQuery(almondcross.RoomQueryConfig{Limit: limit, Used: used, Needed: (limit - used) / 2})))
}

// Guards against a job that is refused on a host without jobs although it has room for it.
func TestLargestJobFitsAlone(t *testing.T) {
	query := almondcross.NewRoomQuery(almondcross.RoomQueryConfig{Limit: 100, Needed: 100})
	require.True(t, ByFreeRoom{}.Fits(query))
	require.False(t, ByFreeRoom{}.Fits(query.WithNeeded(101)))
}
