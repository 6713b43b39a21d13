package jobfinder

import (
	"hash/maphash"
	"maps"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
)

// shards bounds the entries that one change copies: 6,000 jobs make 12 entries a shard.
const shards = 512

// Table holds the published views of jobs.
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
	before, known := (*shard.Load())[view.ID()]
	changed := maps.Clone(*shard.Load())
	changed[view.ID()] = view
	shard.Store(&changed)
	wasPending, isPending := known && pending(before), pending(view)
	switch {
	case wasPending && !isPending:
		table.count(before.Queue(), -1)
	case isPending && !wasPending:
		table.count(view.Queue(), 1)
	}
}

// Forget removes the view of a job.
func (table *Table) Forget(id almondcross.JobID) {
	shard := table.shard(id)
	before, known := (*shard.Load())[id]
	if !known {
		return
	}
	changed := maps.Clone(*shard.Load())
	delete(changed, id)
	shard.Store(&changed)
	if pending(before) {
		table.count(before.Queue(), -1)
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

// Refreshed records that the journal was followed to its end at a time.
func (table *Table) Refreshed(at time.Time, complete bool) {
	table.refreshed.Store(&at)
	if complete {
		table.complete.Store(&at)
	}
}

// Find returns the view of a job.
func (table *Table) Find(id almondcross.JobID) (almondcross.JobView, bool) {
	view, known := (*table.shard(id).Load())[id]
	return view, known
}

// Pending returns the number of jobs of a queue of which no task has started.
func (table *Table) Pending(queue string) int { return (*table.pending.Load())[queue] }

// RefreshedAt returns when the journal was last followed to its end, zero for never.
func (table *Table) RefreshedAt() time.Time { return load(&table.refreshed) }

// CompleteAt returns when every accepted job was last among the views, zero for never.
func (table *Table) CompleteAt() time.Time { return load(&table.complete) }

func load(at *atomic.Pointer[time.Time]) time.Time {
	if known := at.Load(); known != nil {
		return *known
	}
	return time.Time{}
}

func pending(view almondcross.JobView) bool {
	return view.Counted() && view.State() == almondcross.JobQueued
}

func (table *Table) count(queue string, change int) {
	counts := maps.Clone(*table.pending.Load())
	counts[queue] += change
	table.pending.Store(&counts)
}
