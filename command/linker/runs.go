package linker

import (
	"context"
	"slices"
	"sync/atomic"
)

// maxRuns bounds the remembered runs of a peer. Connections of an earlier run may still be accepted
// while a new run is known already.
const maxRuns = 4

// run is the receiving state for one run of a peer's process.
type run struct {
	id uint64
	// received holds the highest sequence received. The goroutine that has taken it is the only one
	// that delivers messages of this run; it puts the new value back when its connection ends.
	received   chan uint64
	data       atomic.Pointer[context.CancelFunc]
	heartbeats atomic.Pointer[context.CancelFunc]
}

func newRun(id uint64) *run {
	run := &run{id: id, received: make(chan uint64, 1)}
	run.received <- 0
	return run
}

// replace ends the former connection of a channel. The peer opens a second one only when it has
// given up the first, which may still wait for room in a ring.
func replace(current *atomic.Pointer[context.CancelFunc], cancel context.CancelFunc) {
	if former := current.Swap(&cancel); former != nil {
		(*former)()
	}
}

// runs holds the known runs of a peer; the list is replaced, never modified.
type runs struct{ list atomic.Pointer[[]*run] }

// find returns a run and adds it as the latest one if it is not known.
func (runs *runs) find(id uint64) *run {
	added := newRun(id)
	for {
		current := runs.list.Load()
		var known []*run
		if current != nil {
			known = *current
		}
		if index := slices.IndexFunc(known, func(run *run) bool { return run.id == id }); index >= 0 {
			return known[index]
		}
		list := append(slices.Clone(known[max(0, len(known)+1-maxRuns):]), added)
		if runs.list.CompareAndSwap(current, &list) {
			return added
		}
	}
}

// latest returns the number of the latest run, 0 while none is known.
func (runs *runs) latest() uint64 {
	list := runs.list.Load()
	if list == nil {
		return 0
	}
	return (*list)[len(*list)-1].id
}
