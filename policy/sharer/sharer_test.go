package sharer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/sharer"
)

// TestShares guards against an order that ignores weights, entries or the dominant resource, and
// against counting a lent share as an owner's own.
func TestShares(t *testing.T) {
	amount := func(cpu, memory int64) almondcross.Resources {
		return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu, MemoryMB: memory})
	}
	sharer := sharer.New()
	sharer.SetTotal(amount(1000, 1000))
	catalogue := almondcross.NewCatalogue()
	for _, entry := range []almondcross.EntryConfig{
		{Name: "a1", Owner: "a", Share: 1}, {Name: "a2", Owner: "a", Share: 1}, {Name: "b1", Owner: "b", Share: 6}, {Name: "c1", Owner: "c", Share: 2},
	} {
		catalogue = catalogue.WithEntry(almondcross.NewEntry(entry))
	}
	sharer.SetCatalogue(catalogue)
	sharer.Take("a", "a1", amount(100, 300))
	sharer.Take("b", "b1", amount(600, 100))
	none := almondcross.Resources{}
	byA, byB := sharer.Account("a", "a1").OwnerRatio(none), sharer.Account("b", "b1").OwnerRatio(none)
	byA1, byA2 := sharer.Account("a", "a1").EntryRatio(none), sharer.Account("a", "a2").EntryRatio(none)
	// a holds 0.3 (memory) of 2 parts of 8, b 0.6 (processor) of 6 parts; c is idle.
	require.InDelta(t, 0.15, byA, 1e-9)
	require.InDelta(t, 0.1, byB, 1e-9)
	require.InDelta(t, 0.2, sharer.Account("a", "a1").OwnerRatio(amount(0, 200)), 1e-9)
	require.True(t, sharer.Account("a", "a1").Exceeds(almondcross.Resources{}))
	require.False(t, sharer.Account("b", "b1").Exceeds(amount(149, 0)))
	require.True(t, sharer.Account("b", "b1").Exceeds(amount(151, 0)))
	require.Less(t, byA2, byA1)
	require.InDelta(t, 0.1, sharer.Lent("a"), 1e-9)
	require.InDelta(t, 0.25, sharer.Fair("a"), 1e-9)
	sharer.SetWaiting("c", "c1", 1)
	require.InDelta(t, 0.2, sharer.Fair("a"), 1e-9)
	sharer.SetWaiting("c", "c1", -1)
	sharer.Return("a", "a1", amount(100, 300))
	require.InDelta(t, 1, sharer.Fair("b"), 1e-9)
	require.Zero(t, sharer.Lent("a"))
}
