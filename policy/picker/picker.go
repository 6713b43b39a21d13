package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// rackWait is the time since a stage became ready within which it is placed only on the rack where its
// tasks are fastest.
const rackWait = time.Second

// BestFit implements almondcross.WorkerPicker. It prefers the workers with the least remaining capacity.
type BestFit struct{}

// FirstFit implements almondcross.WorkerPicker. It takes the workers in the given order.
type FirstFit struct{}

// Pick returns the identity of a worker for each task that can be placed now. Tasks that should run on one
// rack are placed on other racks only after rackWait.
func (BestFit) Pick(query almondcross.PickQuery, workers []almondcross.WorkerCapacity) []string {
	sorted := slices.Clone(workers)
	slices.SortStableFunc(sorted, func(a, b almondcross.WorkerCapacity) int {
		return cmp.Or(
			cmp.Compare(speedClass(b, query), speedClass(a, query)),
			cmp.Compare(remainingFraction(a, query.Need()), remainingFraction(b, query.Need())),
		)
	})
	switch {
	case query.Rack() != "":
		if chosen := assign(query, onRack(sorted, query.Rack())); len(chosen) == query.Count() || query.SinceReady() < rackWait {
			return chosen
		}
	case query.SameRack():
		if chosen, ok := assignToOneRack(query, sorted); ok || query.SinceReady() < rackWait {
			return chosen
		}
	}
	return assign(query, sorted)
}

// Pick returns the identity of a worker for each task that can be placed now.
func (FirstFit) Pick(query almondcross.PickQuery, workers []almondcross.WorkerCapacity) []string {
	return assign(query, workers)
}

// The speeds below which a worker is slow, and below which the tasks of a gang go to others. Sound workers take up to 1.3 times
// as long as the usual one, which matters only to tasks that wait for each other.
const (
	slowSpeed      = 0.5
	fastEnoughGang = 0.87
)

// speedClass returns 0 for a slow worker, 2 for one that is preferred and 1 for others.
func speedClass(worker almondcross.WorkerCapacity, query almondcross.PickQuery) int {
	switch speed := worker.Speed(); {
	case speed == 0:
		return 2
	case speed < slowSpeed:
		return 0
	case speed < fastEnoughGang && query.AllOrNothing():
		return 1
	default:
		return 2
	}
}

// remainingFraction returns the fraction of a worker that stays free after one more task: the larger of
// CPU and memory, plus the fraction of the accelerators.
func remainingFraction(worker almondcross.WorkerCapacity, need almondcross.Resources) float64 {
	free, capacity := worker.Free().Sub(need), worker.Capacity()
	return max(fraction(free.MilliCPU(), capacity.MilliCPU()), fraction(free.MemoryMB(), capacity.MemoryMB())) +
		fraction(free.Accelerators(), capacity.Accelerators())
}

func fraction(free, capacity int64) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(free) / float64(capacity)
}

func assign(query almondcross.PickQuery, workers []almondcross.WorkerCapacity) []string {
	var chosen []string
	for _, worker := range workers {
		for range worker.Tasks() {
			if len(chosen) == query.Count() {
				return chosen
			}
			chosen = append(chosen, worker.Worker())
		}
	}
	if query.AllOrNothing() && len(chosen) < query.Count() {
		return nil
	}
	return chosen
}

func onRack(workers []almondcross.WorkerCapacity, rack string) []almondcross.WorkerCapacity {
	var matching []almondcross.WorkerCapacity
	for _, worker := range workers {
		if worker.Rack() == rack {
			matching = append(matching, worker)
		}
	}
	return matching
}

// assignToOneRack assigns all tasks to the rack on which the fewest tasks fit among the racks where all of
// them fit; it returns false when there is no such rack.
func assignToOneRack(query almondcross.PickQuery, workers []almondcross.WorkerCapacity) ([]string, bool) {
	tasks := map[string]int{}
	for _, worker := range workers {
		tasks[worker.Rack()] += worker.Tasks()
	}
	best := ""
	for rack, count := range tasks {
		if count >= query.Count() && (best == "" || count < tasks[best] || count == tasks[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return nil, false
	}
	return assign(query, onRack(workers, best)), true
}
