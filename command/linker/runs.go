package linker

import (
	"context"
	"slices"
	"sync/atomic"
)

// maxPeerRuns limits the number of runs that are kept for a peer. More than one is kept, because
// connections of an earlier run may still be accepted when a newer run is already known.
const maxPeerRuns = 4

// peerRun is the receive state for one run of a peer's process.
type peerRun struct {
	id uint64
	// lastReceived holds the highest sequence number received and also acts as a lock: the goroutine that
	// has taken the value out of the channel is the only one that delivers messages of this run, and it
	// puts the new value back when its connection ends.
	lastReceived     chan uint64
	cancelData       atomic.Pointer[context.CancelFunc]
	cancelHeartbeats atomic.Pointer[context.CancelFunc]
}

func newPeerRun(id uint64) *peerRun {
	run := &peerRun{id: id, lastReceived: make(chan uint64, 1)}
	run.lastReceived <- 0
	return run
}

// replaceConnection cancels the previous connection of a channel. The peer opens a second one only after
// it has closed the first, whose goroutine here may still be waiting for space in a ring.
func replaceConnection(current *atomic.Pointer[context.CancelFunc], cancel context.CancelFunc) {
	if previous := current.Swap(&cancel); previous != nil {
		(*previous)()
	}
}

// peerRuns holds the known runs of a peer, the latest last; the list is replaced, never modified.
type peerRuns struct{ list atomic.Pointer[[]*peerRun] }

// findOrAdd returns a run and adds it as the latest one if it is not known.
func (peerruns *peerRuns) findOrAdd(id uint64) *peerRun {
	added := newPeerRun(id)
	for {
		current := peerruns.list.Load()
		var existing []*peerRun
		if current != nil {
			existing = *current
		}
		if index := slices.IndexFunc(existing, func(run *peerRun) bool { return run.id == id }); index >= 0 {
			return existing[index]
		}
		updated := append(slices.Clone(existing[max(0, len(existing)+1-maxPeerRuns):]), added)
		if peerruns.list.CompareAndSwap(current, &updated) {
			return added
		}
	}
}

// latestID returns the ID of the latest run, 0 if none is known.
func (peerruns *peerRuns) latestID() uint64 {
	list := peerruns.list.Load()
	if list == nil {
		return 0
	}
	return (*list)[len(*list)-1].id
}
