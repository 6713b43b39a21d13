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

// work is one arrival of a load.
type work struct {
	task     almondcross.Task
	at       time.Duration
	run      time.Duration
	deadline time.Duration // the longest useful wait, 0 for none
}

// result is what became of a work.
type result struct {
	work
	started bool
	wait    time.Duration
	end     time.Duration
	stopped bool
}

// event is the end of a task, of the machine by its id, of a baseline by its target.
type event struct {
	at     time.Duration
	id     almondcross.TaskID
	code   almondcross.Code
	target int
	used   almondcross.Resources
}

type events []event

func (events events) Len() int                    { return len(events) }
func (events events) Less(first, second int) bool { return events[first].at < events[second].at }
func (events events) Swap(first, second int) {
	events[first], events[second] = events[second], events[first]
}
func (events *events) Push(item any) { *events = append(*events, item.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// load runs works on the real machine in virtual time.
type load struct {
	*cell
	begin   time.Time
	results map[almondcross.TaskID]*result
	ends    events
	stopLag func() time.Duration // the time that a worker takes to stop a task; nil for 100 ms
}

func newLoad(t testing.TB, targets int) *load {
	load := &load{cell: newCell(t, targets), results: map[almondcross.TaskID]*result{}}
	load.quiet = true
	load.begin = load.now
	load.onStart = func(item running) {
		known := load.results[item.task.ID()]
		known.started = true
		known.wait = load.elapsed() + startLatency - known.at
		known.end = load.elapsed() + startLatency + known.run
		heap.Push(&load.ends, event{at: known.end + endLatency, id: item.task.ID()})
	}
	load.onHalt = func(id almondcross.TaskID) {
		lag := 100 * time.Millisecond
		if load.stopLag != nil {
			lag = load.stopLag()
		}
		heap.Push(&load.ends, event{at: load.elapsed() + lag, id: id, code: almondcross.CodeTaskStopped})
	}
	return load
}

func (load *load) elapsed() time.Duration { return load.now.Sub(load.begin) }

// run gives the works, in order of arrival, to the machine until a time has passed.
func (load *load) run(works []work, until time.Duration) []*result {
	list := make([]*result, 0, len(works))
	for _, item := range works {
		known := &result{work: item}
		load.results[item.task.ID()] = known
		list = append(list, known)
	}
	for len(works) > 0 || len(load.ends) > 0 {
		arrival, end := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
		if len(works) > 0 {
			arrival = works[0].at
		}
		if len(load.ends) > 0 {
			end = load.ends[0].at
		}
		if min(arrival, end) > until {
			break
		}
		load.advance(min(arrival, end) - load.elapsed())
		if end <= arrival {
			item := heap.Pop(&load.ends).(event)
			if _, live := load.live[item.id]; live && item.code != almondcross.CodeNone {
				load.results[item.id].end, load.results[item.id].stopped = load.elapsed(), true
			}
			load.end(item.id, load.results[item.id].run, item.code)
			continue
		}
		load.place(works[0].task.WithTimeout(works[0].deadline))
		works = works[1:]
	}
	return list
}

// percentile returns a percentile of the waits of the started results that a filter chooses.
func percentile(results []*result, part float64, filter func(*result) bool) time.Duration {
	var waits []time.Duration
	for _, item := range results {
		if item.started && filter(item) {
			waits = append(waits, item.wait)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(math.Ceil(part*float64(len(waits))))-1)]
}

// useful returns the slot time of results that started within their deadline and were not
// stopped, between two times.
func useful(results []*result, from, to time.Duration) time.Duration {
	return received(slices.DeleteFunc(slices.Clone(results), func(item *result) bool {
		return item.stopped || (item.deadline > 0 && item.wait > item.deadline)
	}), from, to)
}

// received returns the slot time of results between two times.
func received(results []*result, from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, item := range results {
		if !item.started {
			continue
		}
		begin := max(item.at+item.wait, from)
		if end := min(item.end, to); end > begin {
			sum += time.Duration(item.task.Resources().Slots()) * (end - begin)
		}
	}
	return sum
}

// fifo is the baseline of one queue in order of arrival with first fit: it starts a work only
// after every earlier one, knows no classes and drops what is past its deadline.
func fifo(works []work, targets int) []*result {
	free := make([]almondcross.Resources, targets)
	for index := range free {
		free[index] = capacity
	}
	var ends events
	list := make([]*result, 0, len(works))
	now := time.Duration(0)
	for _, item := range works {
		now = max(now, item.at)
		if item.deadline > 0 && now-item.at > item.deadline {
			list = append(list, &result{work: item})
			continue
		}
		need := item.task.Resources()
		target := -1
		for target < 0 {
			for len(ends) > 0 && ends[0].at <= now {
				done := heap.Pop(&ends).(event)
				free[done.target] = free[done.target].Add(done.used)
			}
			target = slices.IndexFunc(free, need.Fits)
			if target < 0 {
				now = ends[0].at
			}
		}
		known := &result{work: item, started: true, wait: now + startLatency - item.at, end: now + startLatency + item.run}
		free[target] = free[target].Sub(need)
		heap.Push(&ends, event{at: known.end + endLatency, target: target, used: need})
		list = append(list, known)
	}
	return list
}

// queued is the baseline of a queue in order of arrival on each target, which choose selects
// from the times at which the slots of every target become free.
func queued(works []work, targets int, choose func(slotsFree [][]time.Duration, now time.Duration) int) []*result {
	slotsFree := make([][]time.Duration, targets)
	for index := range slotsFree {
		slotsFree[index] = make([]time.Duration, slots)
	}
	list := make([]*result, 0, len(works))
	for _, item := range works {
		line := slotsFree[choose(slotsFree, item.at)]
		need := int(item.task.Resources().Slots())
		slices.Sort(line)
		start := max(item.at, line[need-1]) + startLatency
		known := &result{work: item, started: true, wait: start - item.at, end: start + item.run}
		list = append(list, known)
		if item.deadline > 0 && known.wait > item.deadline {
			known.started = false
			continue
		}
		for index := range need {
			line[index] = known.end + endLatency
		}
	}
	return list
}

// leastLoaded returns the target with the least work ahead, without regard to classes.
func leastLoaded(slotsFree [][]time.Duration, now time.Duration) int {
	best, bestLoad := 0, time.Duration(math.MaxInt64)
	for index, line := range slotsFree {
		sum := time.Duration(0)
		for _, at := range line {
			sum += max(0, at-now)
		}
		if sum < bestLoad {
			best, bestLoad = index, sum
		}
	}
	return best
}

// hasClass is a filter for percentile.
func hasClass(class almondcross.Class) func(*result) bool {
	return func(item *result) bool { return item.task.Class() == class }
}

// catalogueOf gives the machine entries with shares; each entry has its owner's name.
func (cell *cell) catalogueOf(shares map[string]int64) {
	catalogue := almondcross.NewCatalogue()
	for name, share := range shares {
		catalogue = catalogue.WithEntry(almondcross.NewEntry(almondcross.EntryConfig{Name: name, Owner: name, Share: share, Resources: slot}))
	}
	cell.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: catalogue}))
}
