package packer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/packer"
)

func newResources(cpu, memory, accelerators, slots int64) almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators, Slots: slots})
}

func newTarget(index int, capacity, free almondcross.Resources) almondcross.TargetCapacity {
	return almondcross.NewTargetCapacity(almondcross.TargetCapacityConfig{
		Name: fmt.Sprintf("t%05d", index), Rack: fmt.Sprintf("r%04d", index/8), Capacity: capacity, Free: free, RegularFree: free,
	})
}

func newQuery(resources almondcross.Resources, class almondcross.Class) almondcross.PlacementQuery {
	return almondcross.NewPlacementQuery(almondcross.PlacementQueryConfig{Entry: "e", Class: class, Resources: resources})
}

// TestChooseMatchesLinearScan guards against a search that returns a target on which the task does not
// fit, or that misses a target on which it fits. Every choice is checked against a scan of all targets.
func TestChooseMatchesLinearScan(t *testing.T) {
	const seed, targets, rounds = 1, 200, 20000
	random := rand.New(rand.NewPCG(seed, seed))
	packer := packer.New()
	free := map[string]almondcross.Resources{}
	missed, feasible := 0, 0
	for range rounds {
		index := random.IntN(targets)
		capacity := newResources(16000, 32768, 0, 8)
		if index%5 == 0 {
			capacity = newResources(16000, 32768, 8, 8)
		}
		if random.IntN(50) == 0 {
			packer.Remove(fmt.Sprintf("t%05d", index))
			delete(free, fmt.Sprintf("t%05d", index))
			continue
		}
		remaining := newResources(random.Int64N(16001), random.Int64N(32769), random.Int64N(capacity.Accelerators()+1), random.Int64N(9))
		update := newTarget(index, capacity, remaining)
		packer.SetTarget(update)
		free[update.Name()] = remaining
		demand := newResources(random.Int64N(16000), random.Int64N(32768), random.Int64N(2)*random.Int64N(9), 1)
		fits := false
		for _, candidate := range free {
			fits = fits || demand.Fits(candidate)
		}
		class := []almondcross.Class{almondcross.ClassBatch, almondcross.ClassService}[random.IntN(2)]
		name, ok := packer.Choose(newQuery(demand, class))
		if ok {
			require.True(t, demand.Fits(free[name]), "seed %d: the task does not fit on %s", seed, name)
		}
		if fits {
			feasible++
			if !ok {
				missed++
			}
		}
	}
	t.Logf("missed %d of %d feasible placements with independent resource amounts", missed, feasible)
	// Independent amounts of each resource are the worst case for a search with a visit limit.
	require.LessOrEqual(t, missed*100, feasible)
}

// TestBatchUsesBestFit guards against batch tasks that fragment the free capacity needed by large tasks.
func TestBatchUsesBestFit(t *testing.T) {
	packer := packer.New()
	for index := range 100 {
		packer.SetTarget(newTarget(index, newResources(16000, 32000, 0, 16), newResources(1000, 2000, 0, 1).Scale(int64(index%16))))
	}
	name, ok := packer.Choose(newQuery(newResources(5000, 10000, 0, 5), almondcross.ClassBatch))
	require.True(t, ok)
	require.Equal(t, "t00005", name)
}

// TestServiceReplicasSpreadAcrossRacks guards against service replicas that are placed on one rack while
// another rack has fewer replicas and enough free capacity.
func TestServiceReplicasSpreadAcrossRacks(t *testing.T) {
	packer := packer.New()
	free := map[string]almondcross.Resources{}
	for index := range 80 {
		free[fmt.Sprintf("t%05d", index)] = newResources(16000, 32000, 0, 8)
		packer.SetTarget(newTarget(index, newResources(16000, 32000, 0, 8), newResources(16000, 32000, 0, 8)))
	}
	racks := map[string]int{}
	for range 40 {
		name, ok := packer.Choose(newQuery(newResources(1000, 1000, 0, 1), almondcross.ClassService))
		require.True(t, ok)
		var index int
		_, _ = fmt.Sscanf(name, "t%d", &index)
		free[name] = free[name].Sub(newResources(1000, 1000, 0, 1))
		update := newTarget(index, newResources(16000, 32000, 0, 8), free[name])
		packer.SetTarget(update)
		packer.AddPlaced("e", almondcross.ClassService, update.Rack())
		racks[update.Rack()]++
	}
	for rack, count := range racks {
		require.Equal(t, 4, count, rack)
	}
}

// meanComparisons returns the mean number of comparisons of a decision: one Choose and one update of the
// free capacity of a target.
func meanComparisons(targets int, class almondcross.Class) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	packer := packer.New()
	capacity := newResources(16000, 32768, 0, 8)
	free := make([]almondcross.Resources, targets)
	for index := range targets {
		free[index] = newResources(2000, 4096, 0, 1).Scale(random.Int64N(9))
		packer.SetTarget(newTarget(index, capacity, free[index]))
	}
	const decisions = 4000
	before := packer.Comparisons()
	for range decisions {
		name, ok := packer.Choose(newQuery(newResources(2000, 4096, 0, 1).Scale(1+random.Int64N(4)), class))
		index := random.IntN(targets)
		if ok {
			_, _ = fmt.Sscanf(name, "t%d", &index)
		}
		packer.SetTarget(newTarget(index, capacity, newResources(2000, 4096, 0, 1).Scale(random.Int64N(9))))
	}
	return float64(packer.Comparisons()-before) / decisions
}

// TestComparisonsGrowLogarithmically guards against a decision whose cost grows linearly with the number
// of targets.
func TestComparisonsGrowLogarithmically(t *testing.T) {
	for _, class := range []almondcross.Class{almondcross.ClassBatch, almondcross.ClassService} {
		small, large := meanComparisons(128, class), meanComparisons(128*128, class)
		t.Logf("%s: %.1f comparisons at 128 targets, %.1f at 16384", class, small, large)
		// log2 of the number of targets doubles from 7 to 14; 25% is allowed on top for constant costs.
		require.LessOrEqual(t, large, 2.5*small)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{130, 1300, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			random := rand.New(rand.NewPCG(7, 7))
			packer := packer.New()
			updates := make([]almondcross.TargetCapacity, targets)
			for index := range targets {
				updates[index] = newTarget(index, newResources(16000, 32768, 0, 8), newResources(2000, 4096, 0, 1).Scale(random.Int64N(9)))
				packer.SetTarget(updates[index])
			}
			before := packer.Comparisons()
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				packer.Choose(newQuery(newResources(4000, 8192, 0, 2), almondcross.ClassBatch))
				free := newResources(2000, 4096, 0, 1).Scale(int64(index % 9))
				packer.SetTarget(updates[index%targets].WithFree(free).WithRegularFree(free))
			}
			b.ReportMetric(float64(packer.Comparisons()-before)/float64(b.N), "comparisons/op")
		})
	}
}
