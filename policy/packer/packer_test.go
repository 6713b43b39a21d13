package packer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/packer"
)

func amount(cpu, memory, accelerators, slots int64) almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators, Slots: slots})
}

func room(index int, capacity, free almondcross.Resources) almondcross.TargetRoom {
	return almondcross.NewTargetRoom(almondcross.TargetRoomConfig{
		Name: fmt.Sprintf("t%05d", index), Rack: fmt.Sprintf("r%04d", index/8), Capacity: capacity, Free: free, LongFree: free,
	})
}

func query(resources almondcross.Resources, class almondcross.Class) almondcross.PlacementQuery {
	return almondcross.NewPlacementQuery(almondcross.PlacementQueryConfig{Entry: "e", Class: class, Resources: resources})
}

// TestChooseAgainstScan guards against an index that offers a target without room, or misses
// one with room: every choice is compared with a scan of all targets.
func TestChooseAgainstScan(t *testing.T) {
	const seed, targets, rounds = 1, 200, 20000
	random := rand.New(rand.NewPCG(seed, seed))
	packer := packer.New()
	free := map[string]almondcross.Resources{}
	missed, possible := 0, 0
	for range rounds {
		index := random.IntN(targets)
		capacity := amount(16000, 32768, 0, 8)
		if index%5 == 0 {
			capacity = amount(16000, 32768, 8, 8)
		}
		if random.IntN(50) == 0 {
			packer.Remove(fmt.Sprintf("t%05d", index))
			delete(free, fmt.Sprintf("t%05d", index))
			continue
		}
		left := amount(random.Int64N(16001), random.Int64N(32769), random.Int64N(capacity.Accelerators()+1), random.Int64N(9))
		changed := room(index, capacity, left)
		packer.SetRoom(changed)
		free[changed.Name()] = left
		need := amount(random.Int64N(16000), random.Int64N(32768), random.Int64N(2)*random.Int64N(9), 1)
		fits := false
		for _, candidate := range free {
			fits = fits || need.Fits(candidate)
		}
		class := []almondcross.Class{almondcross.ClassBatch, almondcross.ClassService}[random.IntN(2)]
		name, ok := packer.Choose(query(need, class))
		if ok {
			require.True(t, need.Fits(free[name]), "seed %d: %s has no room", seed, name)
		}
		if fits {
			possible++
			if !ok {
				missed++
			}
		}
	}
	t.Logf("missed %d of %d placements whose resources are independent of each other", missed, possible)
	// Independent amounts of each resource are the worst case of a bounded search.
	require.LessOrEqual(t, missed*100, possible)
}

// TestTightest guards against batch work breaking up the rooms that large tasks need.
func TestTightest(t *testing.T) {
	packer := packer.New()
	for index := range 100 {
		packer.SetRoom(room(index, amount(16000, 32000, 0, 16), amount(1000, 2000, 0, 1).Scale(int64(index%16))))
	}
	name, ok := packer.Choose(query(amount(5000, 10000, 0, 5), almondcross.ClassBatch))
	require.True(t, ok)
	require.Equal(t, "t00005", name)
}

// TestSpread guards against replicas of a service that share a rack while another rack has room.
func TestSpread(t *testing.T) {
	packer := packer.New()
	free := map[string]almondcross.Resources{}
	for index := range 80 {
		free[fmt.Sprintf("t%05d", index)] = amount(16000, 32000, 0, 8)
		packer.SetRoom(room(index, amount(16000, 32000, 0, 8), amount(16000, 32000, 0, 8)))
	}
	racks := map[string]int{}
	for range 40 {
		name, ok := packer.Choose(query(amount(1000, 1000, 0, 1), almondcross.ClassService))
		require.True(t, ok)
		var index int
		_, _ = fmt.Sscanf(name, "t%d", &index)
		free[name] = free[name].Sub(amount(1000, 1000, 0, 1))
		changed := room(index, amount(16000, 32000, 0, 8), free[name])
		packer.SetRoom(changed)
		packer.Placed("e", almondcross.ClassService, changed.Rack())
		racks[changed.Rack()]++
	}
	for rack, count := range racks {
		require.Equal(t, 4, count, rack)
	}
}

// comparisons returns the mean comparisons of a decision (choice, room taken, room returned).
func comparisons(targets int, class almondcross.Class) float64 {
	random := rand.New(rand.NewPCG(7, 7))
	packer := packer.New()
	capacity := amount(16000, 32768, 0, 8)
	free := make([]almondcross.Resources, targets)
	for index := range targets {
		free[index] = amount(2000, 4096, 0, 1).Scale(random.Int64N(9))
		packer.SetRoom(room(index, capacity, free[index]))
	}
	const decisions = 4000
	before := packer.Comparisons()
	for range decisions {
		name, ok := packer.Choose(query(amount(2000, 4096, 0, 1).Scale(1+random.Int64N(4)), class))
		index := random.IntN(targets)
		if ok {
			_, _ = fmt.Sscanf(name, "t%d", &index)
		}
		packer.SetRoom(room(index, capacity, amount(2000, 4096, 0, 1).Scale(random.Int64N(9))))
	}
	return float64(packer.Comparisons()-before) / decisions
}

// TestComparisonsGrowWithLog guards against a decision whose cost grows with the number of targets.
func TestComparisonsGrowWithLog(t *testing.T) {
	for _, class := range []almondcross.Class{almondcross.ClassBatch, almondcross.ClassService} {
		small, large := comparisons(128, class), comparisons(128*128, class)
		t.Logf("%s: %.1f comparisons at 128 targets, %.1f at 16384", class, small, large)
		// log2 doubles from 7 to 14; a quarter is allowed for constant parts.
		require.LessOrEqual(t, large, 2.5*small)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{130, 1300, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			random := rand.New(rand.NewPCG(7, 7))
			packer := packer.New()
			rooms := make([]almondcross.TargetRoom, targets)
			for index := range targets {
				rooms[index] = room(index, amount(16000, 32768, 0, 8), amount(2000, 4096, 0, 1).Scale(random.Int64N(9)))
				packer.SetRoom(rooms[index])
			}
			before := packer.Comparisons()
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				packer.Choose(query(amount(4000, 8192, 0, 2), almondcross.ClassBatch))
				free := amount(2000, 4096, 0, 1).Scale(int64(index % 9))
				packer.SetRoom(rooms[index%targets].WithFree(free).WithLongFree(free))
			}
			b.ReportMetric(float64(packer.Comparisons()-before)/float64(b.N), "comparisons/op")
		})
	}
}
