package spreader_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/spreader"
)

// Guards against batch tasks that are packed on one target although the operator configured the
// least-loaded placement.
func TestBatchTasksAreSpread(t *testing.T) {
	capacity := almondcross.NewResources(almondcross.ResourcesConfig{Slots: 8})
	policy := spreader.New(spreader.Config{Policy: packer.New()})
	free := map[string]almondcross.Resources{}
	for index := range 4 {
		free[fmt.Sprintf("t%d", index)] = capacity
	}
	demand := almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1})
	placed := map[string]int{}
	for range 8 {
		for name, available := range free {
			policy.SetTarget(almondcross.NewTargetCapacity(almondcross.TargetCapacityConfig{
				Name: name, Rack: name, Capacity: capacity, Free: available, RegularFree: available,
			}))
		}
		target, ok := policy.Choose(almondcross.NewPlacementQuery(almondcross.PlacementQueryConfig{
			Entry: "tally", Class: almondcross.ClassBatch, Resources: demand,
		}))
		require.True(t, ok)
		placed[target]++
		free[target] = free[target].Sub(demand)
		policy.AddPlaced("tally", almondcross.ClassBatch, target)
	}
	require.Equal(t, map[string]int{"t0": 2, "t1": 2, "t2": 2, "t3": 2}, placed)
}
