package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// rackPatience is how long a stage waits for room on the rack where its tasks are fastest.
const rackPatience = time.Second

// Tight fills the workers that keep the least room.
type Tight struct{}

// FirstFit takes the workers in their order.
type FirstFit struct{}

// Pick returns a worker for each task that it could place, in order.
func (Tight) Pick(query almondcross.PickQuery, rooms []almondcross.WorkerRoom) []string {
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, func(a, b almondcross.WorkerRoom) int {
		return cmp.Compare(rest(a, query.Need()), rest(b, query.Need()))
	})
	switch {
	case query.Rack() != "":
		if chosen := take(query, onRack(sorted, query.Rack())); len(chosen) == query.Count() || query.Waited() < rackPatience {
			return chosen
		}
	case query.SameRack():
		if chosen, ok := oneRack(query, sorted); ok || query.Waited() < rackPatience {
			return chosen
		}
	}
	return take(query, sorted)
}

// Pick returns a worker for each task that it could place, in order.
func (FirstFit) Pick(query almondcross.PickQuery, rooms []almondcross.WorkerRoom) []string {
	return take(query, rooms)
}

// rest returns the largest part of a worker that stays free beside one more task.
func rest(room almondcross.WorkerRoom, need almondcross.Resources) float64 {
	free, capacity := room.Free().Sub(need), room.Capacity()
	return max(part(free.MilliCPU(), capacity.MilliCPU()), part(free.MemoryMB(), capacity.MemoryMB())) +
		part(free.Accelerators(), capacity.Accelerators())
}

func part(free, capacity int64) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(free) / float64(capacity)
}

func take(query almondcross.PickQuery, rooms []almondcross.WorkerRoom) []string {
	var chosen []string
	for _, room := range rooms {
		for range room.Tasks() {
			if len(chosen) == query.Count() {
				return chosen
			}
			chosen = append(chosen, room.Worker())
		}
	}
	if query.Whole() && len(chosen) < query.Count() {
		return nil
	}
	return chosen
}

func onRack(rooms []almondcross.WorkerRoom, rack string) []almondcross.WorkerRoom {
	var found []almondcross.WorkerRoom
	for _, room := range rooms {
		if room.Rack() == rack {
			found = append(found, room)
		}
	}
	return found
}

// oneRack places all tasks on the rack with the least room that holds them.
func oneRack(query almondcross.PickQuery, rooms []almondcross.WorkerRoom) ([]string, bool) {
	tasks := map[string]int{}
	for _, room := range rooms {
		tasks[room.Rack()] += room.Tasks()
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
	return take(query, onRack(rooms, best)), true
}
