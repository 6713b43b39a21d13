package jobfinder

import (
	"hash/maphash"
	"maps"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
)

// shards is the number of maps; it bounds the entries that one change copies: 6,000 jobs are 12 entries a shard.
const shards = 512

// Table holds the published views of jobs. Only one goroutine may change it; any goroutine may read it.
type Table struct {
	seed      maphash.Seed
	shards    [shards]atomic.Pointer[map[almondcross.JobID]almondcross.JobView]
	pending   atomic.Pointer[map[string]int]
	refreshed atomic.Pointer[time.Time]
	complete  atomic.Pointer[time.Time]
}

// New returns an empty table.
func New() *Table {
	table := &Table{seed: maphash.MakeSeed()}
	table.Reset()
	return table
}

func (table *Table) shard(id almondcross.JobID) *atomic.Pointer[map[almondcross.JobID]almondcross.JobView] {
	return &table.shards[maphash.String(table.seed, string(id))%shards]
}

// Publish replaces the view of a job.
func (table *Table) Publish(view almondcross.JobView) {
	shard := table.shard(view.ID())
	previous, found := (*shard.Load())[view.ID()]
	updated := maps.Clone(*shard.Load())
	updated[view.ID()] = view
	shard.Store(&updated)
	wasPending, isPending := found && inPendingCount(previous), inPendingCount(view)
	switch {
	case wasPending && !isPending:
		table.addPending(previous.Queue(), -1)
	case isPending && !wasPending:
		table.addPending(view.Queue(), 1)
	}
}

// Forget removes the view of a job.
func (table *Table) Forget(id almondcross.JobID) {
	shard := table.shard(id)
	previous, found := (*shard.Load())[id]
	if !found {
		return
	}
	updated := maps.Clone(*shard.Load())
	delete(updated, id)
	shard.Store(&updated)
	if inPendingCount(previous) {
		table.addPending(previous.Queue(), -1)
	}
}

// Reset removes all views.
func (table *Table) Reset() {
	for index := range table.shards {
		table.shards[index].Store(&map[almondcross.JobID]almondcross.JobView{})
	}
	table.pending.Store(&map[string]int{})
	table.complete.Store(nil)
}

// Refreshed records that the journal was read to its end at a time, and whether the views then included every
// accepted job.
func (table *Table) Refreshed(at time.Time, complete bool) {
	table.refreshed.Store(&at)
	if complete {
		table.complete.Store(&at)
	}
}

// Find returns the view of a job, and false if there is none.
func (table *Table) Find(id almondcross.JobID) (almondcross.JobView, bool) {
	view, found := (*table.shard(id).Load())[id]
	return view, found
}

// Pending returns the number of queued jobs of a queue that count as pending.
func (table *Table) Pending(queue string) int { return (*table.pending.Load())[queue] }

// RefreshedAt returns when the journal was last read to its end, zero for never.
func (table *Table) RefreshedAt() time.Time { return load(&table.refreshed) }

// CompleteAt returns the last time at which the views included every accepted job, zero for never.
func (table *Table) CompleteAt() time.Time { return load(&table.complete) }

func load(at *atomic.Pointer[time.Time]) time.Time {
	if stored := at.Load(); stored != nil {
		return *stored
	}
	return time.Time{}
}

func inPendingCount(view almondcross.JobView) bool {
	return view.CountsAsPending() && view.State() == almondcross.JobQueued
}

func (table *Table) addPending(queue string, change int) {
	counts := maps.Clone(*table.pending.Load())
	counts[queue] += change
	table.pending.Store(&counts)
}
