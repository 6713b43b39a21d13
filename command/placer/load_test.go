package placer_test

import (
	"container/heap"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// startLatency and endLatency are the delays of a start and of the report of an end, as
	// between hosts of one data centre.
	startLatency = 2 * time.Millisecond
	endLatency   = time.Millisecond
)

// arrival is a task that arrives in a simulation.
type arrival struct {
	task     almondcross.Task
	at       time.Duration
	run      time.Duration
	deadline time.Duration // the longest acceptable wait, 0 for no limit
}

// result is the outcome of an arrival.
type result struct {
	arrival
	started bool
	wait    time.Duration
	end     time.Duration
	stopped bool
}

// taskEnd is the end of a task. The simulation identifies the task by id, the fifo baseline by its target and
// resources.
type taskEnd struct {
	at     time.Duration
	id     almondcross.TaskID
	code   almondcross.Code
	target int
	used   almondcross.Resources
}

type endHeap []taskEnd

func (endheap endHeap) Len() int                    { return len(endheap) }
func (endheap endHeap) Less(first, second int) bool { return endheap[first].at < endheap[second].at }

func (endheap endHeap) Swap(first, second int) {
	endheap[first], endheap[second] = endheap[second], endheap[first]
}
func (endheap *endHeap) Push(item any) { *endheap = append(*endheap, item.(taskEnd)) }
func (endheap *endHeap) Pop() any {
	last := (*endheap)[len(*endheap)-1]
	*endheap = (*endheap)[:len(*endheap)-1]
	return last
}

// simulation runs arrivals on a real machine in virtual time.
type simulation struct {
	*cell
	start     time.Time
	results   map[almondcross.TaskID]*result
	ends      endHeap
	stopDelay func() time.Duration // returns the time that a worker takes to stop a task; nil for 100 ms
}

func newSimulation(t testing.TB, targets int) *simulation {
	simulation := &simulation{cell: newCell(t, targets), results: map[almondcross.TaskID]*result{}}
	simulation.discardHistory = true
	simulation.start = simulation.now
	simulation.onStart = func(running runningTask) {
		result := simulation.results[running.task.ID()]
		result.started = true
		result.wait = simulation.elapsed() + startLatency - result.at
		result.end = simulation.elapsed() + startLatency + result.run
		heap.Push(&simulation.ends, taskEnd{at: result.end + endLatency, id: running.task.ID()})
	}
	simulation.onHalt = func(id almondcross.TaskID) {
		delay := 100 * time.Millisecond
		if simulation.stopDelay != nil {
			delay = simulation.stopDelay()
		}
		heap.Push(&simulation.ends, taskEnd{at: simulation.elapsed() + delay, id: id, code: almondcross.CodeTaskStopped})
	}
	return simulation
}

func (simulation *simulation) elapsed() time.Duration { return simulation.now.Sub(simulation.start) }

// run places the arrivals, which must be in order of time, until the given virtual time.
func (simulation *simulation) run(arrivals []arrival, until time.Duration) []*result {
	results := make([]*result, 0, len(arrivals))
	for _, arrival := range arrivals {
		result := &result{arrival: arrival}
		simulation.results[arrival.task.ID()] = result
		results = append(results, result)
	}
	for len(arrivals) > 0 || len(simulation.ends) > 0 {
		nextArrival, nextEnd := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
		if len(arrivals) > 0 {
			nextArrival = arrivals[0].at
		}
		if len(simulation.ends) > 0 {
			nextEnd = simulation.ends[0].at
		}
		if min(nextArrival, nextEnd) > until {
			break
		}
		simulation.advance(min(nextArrival, nextEnd) - simulation.elapsed())
		if nextEnd <= nextArrival {
			ended := heap.Pop(&simulation.ends).(taskEnd)
			if _, stillRunning := simulation.running[ended.id]; stillRunning && ended.code != almondcross.CodeNone {
				simulation.results[ended.id].end, simulation.results[ended.id].stopped = simulation.elapsed(), true
			}
			simulation.end(ended.id, simulation.results[ended.id].run, ended.code)
			continue
		}
		simulation.place(arrivals[0].task.WithTimeout(arrivals[0].deadline))
		arrivals = arrivals[1:]
	}
	return results
}

// percentile returns a percentile of the waits of the started tasks that match a filter.
func percentile(results []*result, part float64, filter func(*result) bool) time.Duration {
	var waits []time.Duration
	for _, result := range results {
		if result.started && filter(result) {
			waits = append(waits, result.wait)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(math.Ceil(part*float64(len(waits))))-1)]
}

// usefulSlotTime returns the slot time between two times of tasks that started within their deadline and
// were not stopped.
func usefulSlotTime(results []*result, from, to time.Duration) time.Duration {
	return slotTime(slices.DeleteFunc(slices.Clone(results), func(result *result) bool {
		return result.stopped || (result.deadline > 0 && result.wait > result.deadline)
	}), from, to)
}

// slotTime returns the time that tasks ran between two times, multiplied by their slots.
func slotTime(results []*result, from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, result := range results {
		if !result.started {
			continue
		}
		begin := max(result.at+result.wait, from)
		if end := min(result.end, to); end > begin {
			sum += time.Duration(result.task.Resources().Slots()) * (end - begin)
		}
	}
	return sum
}

// fifo is the baseline of a single first-come, first-served queue with first fit. It starts a task only
// after every earlier one, ignores classes and drops tasks past their deadline.
func fifo(arrivals []arrival, targets int) []*result {
	free := make([]almondcross.Resources, targets)
	for index := range free {
		free[index] = capacity
	}
	var ends endHeap
	list := make([]*result, 0, len(arrivals))
	now := time.Duration(0)
	for _, arrival := range arrivals {
		now = max(now, arrival.at)
		if arrival.deadline > 0 && now-arrival.at > arrival.deadline {
			list = append(list, &result{arrival: arrival})
			continue
		}
		need := arrival.task.Resources()
		target := -1
		for target < 0 {
			for len(ends) > 0 && ends[0].at <= now {
				done := heap.Pop(&ends).(taskEnd)
				free[done.target] = free[done.target].Add(done.used)
			}
			target = slices.IndexFunc(free, need.Fits)
			if target < 0 {
				now = ends[0].at
			}
		}
		result := &result{arrival: arrival, started: true, wait: now + startLatency - arrival.at, end: now + startLatency + arrival.run}
		free[target] = free[target].Sub(need)
		heap.Push(&ends, taskEnd{at: result.end + endLatency, target: target, used: need})
		list = append(list, result)
	}
	return list
}

// perTargetQueues is the baseline of a first-come, first-served queue on each target. choose selects the
// target of a task from the times at which the slots of every target become free.
func perTargetQueues(arrivals []arrival, targets int, choose func(slotsFree [][]time.Duration, now time.Duration) int) []*result {
	slotsFree := make([][]time.Duration, targets)
	for index := range slotsFree {
		slotsFree[index] = make([]time.Duration, slots)
	}
	list := make([]*result, 0, len(arrivals))
	for _, arrival := range arrivals {
		slotTimes := slotsFree[choose(slotsFree, arrival.at)]
		need := int(arrival.task.Resources().Slots())
		slices.Sort(slotTimes)
		start := max(arrival.at, slotTimes[need-1]) + startLatency
		result := &result{arrival: arrival, started: true, wait: start - arrival.at, end: start + arrival.run}
		list = append(list, result)
		if arrival.deadline > 0 && result.wait > arrival.deadline {
			result.started = false
			continue
		}
		for index := range need {
			slotTimes[index] = result.end + endLatency
		}
	}
	return list
}

// leastLoaded returns the target with the least queued slot time, whatever the class of the tasks.
func leastLoaded(slotsFree [][]time.Duration, now time.Duration) int {
	best, bestLoad := 0, time.Duration(math.MaxInt64)
	for index, slotTimes := range slotsFree {
		sum := time.Duration(0)
		for _, at := range slotTimes {
			sum += max(0, at-now)
		}
		if sum < bestLoad {
			best, bestLoad = index, sum
		}
	}
	return best
}

// hasClass returns a filter for percentile that matches one class.
func hasClass(class almondcross.Class) func(*result) bool {
	return func(result *result) bool { return result.task.Class() == class }
}

// setShares sets a catalogue with one entry for each owner, of the same name, with the given share.
func (cell *cell) setShares(shares map[string]int64) {
	catalogue := almondcross.NewCatalogue()
	for name, share := range shares {
		catalogue = catalogue.WithEntry(almondcross.NewEntry(almondcross.EntryConfig{Name: name, Owner: name, Share: share, Resources: slot}))
	}
	cell.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: catalogue}))
}
