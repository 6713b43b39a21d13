package sharer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/sharer"
)

// TestWeightedDominantShares guards against an order that ignores weights, entries or the dominant
// resource, and against counting a borrowed share as part of the owner's promised share.
func TestWeightedDominantShares(t *testing.T) {
	newResources := func(cpu, memory int64) almondcross.Resources {
		return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu, MemoryMB: memory})
	}
	sharer := sharer.New()
	sharer.SetTotal(newResources(1000, 1000))
	var weights []almondcross.ShareWeight
	for _, weight := range []almondcross.ShareWeightConfig{
		{Entry: "a1", Owner: "a", Weight: 1}, {Entry: "a2", Owner: "a", Weight: 1}, {Entry: "b1", Owner: "b", Weight: 6}, {Owner: "c", Weight: 2},
	} {
		weights = append(weights, almondcross.NewShareWeight(weight))
	}
	sharer.SetWeights(weights)
	sharer.AddUsage("a", "a1", newResources(100, 300))
	sharer.AddUsage("b", "b1", newResources(600, 100))
	noResources := almondcross.Resources{}
	ratioA, ratioB := sharer.Account("a", "a1").OwnerRatio(noResources), sharer.Account("b", "b1").OwnerRatio(noResources)
	ratioA1, ratioA2 := sharer.Account("a", "a1").EntryRatio(noResources), sharer.Account("a", "a2").EntryRatio(noResources)
	// Owner a uses 0.3 of the memory with weight 2, owner b 0.6 of the CPU with weight 6; owner c has no tasks.
	require.InDelta(t, 0.15, ratioA, 1e-9)
	require.InDelta(t, 0.1, ratioB, 1e-9)
	require.InDelta(t, 0.2, sharer.Account("a", "a1").OwnerRatio(newResources(0, 200)), 1e-9)
	require.True(t, sharer.Account("a", "a1").ExceedsFairShare(almondcross.Resources{}))
	require.False(t, sharer.Account("b", "b1").ExceedsFairShare(newResources(149, 0)))
	require.True(t, sharer.Account("b", "b1").ExceedsFairShare(newResources(151, 0)))
	require.Less(t, ratioA2, ratioA1)
	require.InDelta(t, 0.1, sharer.BorrowedShare("a"), 1e-9)
	require.InDelta(t, 0.25, sharer.FairShare("a"), 1e-9)
	sharer.AddWaiting("c", "c1", 1)
	require.InDelta(t, 0.2, sharer.FairShare("a"), 1e-9)
	sharer.AddWaiting("c", "c1", -1)
	sharer.RemoveUsage("a", "a1", newResources(100, 300))
	require.InDelta(t, 1, sharer.FairShare("b"), 1e-9)
	require.Zero(t, sharer.BorrowedShare("a"))
}

// Guards against an order in which an owner with a short burst goes behind one that has sent too much for long, and against one
// without any order before averages are known.
func TestRecentRatioCountsTheLastSeconds(t *testing.T) {
	sharer := sharer.New()
	cores := func(count int64) almondcross.Resources {
		return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: count})
	}
	sharer.SetTotal(cores(100))
	steady, burst := sharer.Account("steady", "q"), sharer.Account("burst", "q")
	now := time.Unix(0, 0)
	sharer.Advance(now)
	sharer.AddUsage("steady", "q", cores(40))
	require.Greater(t, steady.RecentRatio(cores(1)), burst.RecentRatio(cores(1)), "no averages are known")
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		sharer.Advance(now)
	}
	sharer.AddUsage("burst", "q", cores(60))
	require.Greater(t, steady.RecentRatio(cores(1)), burst.RecentRatio(cores(1)), "the burst has just begun")
	for range 1200 {
		now = now.Add(100 * time.Millisecond)
		sharer.Advance(now)
	}
	require.Less(t, steady.RecentRatio(cores(1)), burst.RecentRatio(cores(1)), "the burst lasts")
}
