package jobfinder

import (
	"hash/maphash"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
)

// shards is the number of maps; it bounds the entries that one change copies: 6,000 jobs are 12 entries a shard.
const shards = 512

// Maximum ages of the views for an answer.
const (
	// maxCountAge is how old a count of pending jobs may be.
	maxCountAge = 2 * time.Second
	// maxStateAge is how old the state of a job that has not ended may be. A final state does not change.
	maxStateAge = 2 * time.Second
	// maxAbsenceAge is how old views that lack a job may be for the job to be gone. A job must be known 3 s after its
	// acceptance, and the views may lag behind the intake by more than a second.
	maxAbsenceAge = 1500 * time.Millisecond
)

// Table holds the published views of jobs. Only one goroutine may change it; any goroutine may read it.
type Table struct {
	seed  maphash.Seed
	views atomic.Pointer[views]
}

// views is one set of views. Replace puts another one in its place.
type views struct {
	shards  [shards]atomic.Pointer[map[almondcross.JobID]almondcross.JobView]
	pending atomic.Pointer[map[almondcross.QueueID]int] // pending holds the numbers of pending jobs by queue, without zeros.
	times   atomic.Pointer[times]
}

// times are the times as of which a set of views was known to be up to date.
type times struct {
	refreshed time.Time // refreshed is the last time as of which the views were those of the whole journal.
	complete  time.Time // complete is the last time as of which the views included every accepted job.
}

// New returns an empty table.
func New() *Table {
	table := &Table{seed: maphash.MakeSeed()}
	table.views.Store(newViews(times{}))
	return table
}

func newViews(asOf times) *views {
	added := &views{}
	for index := range added.shards {
		added.shards[index].Store(&map[almondcross.JobID]almondcross.JobView{})
	}
	added.pending.Store(&map[almondcross.QueueID]int{})
	added.times.Store(&asOf)
	return added
}

func (table *Table) shardOf(id almondcross.JobID) int {
	return int(maphash.String(table.seed, string(id)) % shards)
}

// Publish replaces the view of a job.
func (table *Table) Publish(view almondcross.JobView) {
	current := table.views.Load()
	shard := &current.shards[table.shardOf(view.ID())]
	previous, found := (*shard.Load())[view.ID()]
	updated := maps.Clone(*shard.Load())
	updated[view.ID()] = view
	shard.Store(&updated)
	wasPending, isPending := found && inPendingCount(previous), inPendingCount(view)
	if wasPending && isPending && previous.Queue() == view.Queue() {
		return
	}
	if wasPending {
		current.addPending(previous.Queue(), -1)
	}
	if isPending {
		current.addPending(view.Queue(), 1)
	}
}

// Forget removes the view of a job.
func (table *Table) Forget(id almondcross.JobID) {
	current := table.views.Load()
	shard := &current.shards[table.shardOf(id)]
	previous, found := (*shard.Load())[id]
	if !found {
		return
	}
	updated := maps.Clone(*shard.Load())
	delete(updated, id)
	shard.Store(&updated)
	if inPendingCount(previous) {
		current.addPending(previous.Queue(), -1)
	}
}

// Replace puts views in the place of all earlier ones, in one step. The times of Refreshed stay.
func (table *Table) Replace(list []almondcross.JobView) {
	replacement := newViews(*table.views.Load().times.Load())
	pending := map[almondcross.QueueID]int{}
	for _, view := range list {
		(*replacement.shards[table.shardOf(view.ID())].Load())[view.ID()] = view
		if inPendingCount(view) {
			pending[view.Queue()]++
		}
	}
	replacement.pending.Store(&pending)
	table.views.Store(replacement)
}

// Refreshed records a time as of which the views are those of the whole journal, and whether they then included every
// accepted job. An earlier time than the last one changes nothing.
func (table *Table) Refreshed(at time.Time, complete bool) {
	current := table.views.Load()
	updated := *current.times.Load()
	if at.After(updated.refreshed) {
		updated.refreshed = at
	}
	if complete && at.After(updated.complete) {
		updated.complete = at
	}
	current.times.Store(&updated)
}

// Find returns the view of a job, whatever its age, and false if there is none.
func (table *Table) Find(id almondcross.JobID) (almondcross.JobView, bool) {
	view, found := (*table.views.Load().shards[table.shardOf(id)].Load())[id]
	return view, found
}

// All returns the views of all jobs, in no particular order.
func (table *Table) All() []almondcross.JobView {
	var all []almondcross.JobView
	current := table.views.Load()
	for index := range current.shards {
		all = slices.AppendSeq(all, maps.Values(*current.shards[index].Load()))
	}
	return all
}

// Lookup returns what the views tell at a time of a job of a queue that callers of a workspace may see.
func (table *Table) Lookup(id almondcross.JobID, queue almondcross.QueueID, workspace string, now time.Time) (almondcross.JobView, almondcross.JobKnowledge) {
	// The times are read first: a view that is added after the times were read is no older than they tell.
	current := table.views.Load()
	asOf := *current.times.Load()
	view, found := (*current.shards[table.shardOf(id)].Load())[id]
	found = found && view.Queue().Same(queue) && !almondcross.DifferentWorkspaces(workspace, view.Workspace())
	switch {
	case found && (view.State().Final() || now.Sub(asOf.refreshed) < maxStateAge):
		return view, almondcross.JobKnown
	case !found && now.Sub(asOf.complete) < maxAbsenceAge:
		return view, almondcross.JobGone
	default:
		return view, almondcross.JobNotKnown
	}
}

// Pending returns the number of queued jobs of a queue that count as pending, and false if the views are too old to
// tell. Only complete views count: accepted jobs that no scheduler has admitted are pending too.
func (table *Table) Pending(queue almondcross.QueueID, now time.Time) (int, bool) {
	current := table.views.Load()
	asOf := *current.times.Load()
	count := 0
	for id, pending := range *current.pending.Load() {
		if id.Same(queue) {
			count += pending
		}
	}
	return count, now.Sub(asOf.complete) < maxCountAge
}

// RefreshedAt returns the last time as of which the views were those of the whole journal, zero for never.
func (table *Table) RefreshedAt() time.Time { return table.views.Load().times.Load().refreshed }

// CompleteAt returns the last time as of which the views included every accepted job, zero for never.
func (table *Table) CompleteAt() time.Time { return table.views.Load().times.Load().complete }

func inPendingCount(view almondcross.JobView) bool {
	return view.CountsAsPending() && view.State() == almondcross.JobQueued
}

func (views *views) addPending(queue almondcross.QueueID, change int) {
	counts := maps.Clone(*views.pending.Load())
	if counts[queue] += change; counts[queue] == 0 {
		delete(counts, queue)
	}
	views.pending.Store(&counts)
}
