package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// startMargin is how much sooner than needed a job has to start to count as in time. It covers the append before the start order
	// and the report of the end.
	startMargin = 300 * time.Millisecond
	// runTimeMargin is the factor by which a run is taken to last longer than expected: workers differ by a third.
	runTimeMargin = 1.3
	// usefulFactor is the multiple of the latency objective up to which a late result is of use.
	usefulFactor = 3
)

// paths holds the expected run times of a job's longest chains of steps.
type paths struct {
	remaining []time.Duration // remaining holds the longest chain that begins with each step.
	longest   time.Duration
}

// newPaths returns the longest chains of a job whose steps are expected to take some times.
func newPaths(steps []almondcross.Step, expected func(step almondcross.Step) time.Duration) *paths {
	paths := &paths{remaining: make([]time.Duration, len(steps))}
	for index, step := range slices.Backward(steps) {
		paths.remaining[index] += expected(step) // The steps after it have added their longest chain.
		paths.longest = max(paths.longest, paths.remaining[index])
		for _, dependency := range step.After() {
			paths.remaining[dependency] = max(paths.remaining[dependency], paths.remaining[index])
		}
	}
	return paths
}

// orderQuery returns what decides the order of a waiting stage: the objective of its queue and the expected run times of the
// steps that are left.
func (machine *Machine) orderQuery(waiting *waitingStage) almondcross.OrderQuery {
	job, queue := waiting.job, machine.queue(waiting.job)
	since := later(job.spec.Submitted(), job.spec.Due(waiting.stage.id.Occurrence))
	config := almondcross.OrderQueryConfig{Since: since}
	if queue.Stretch() <= 0 || waiting.stage.spec.Service() {
		return almondcross.NewOrderQuery(config)
	}
	if job.paths == nil {
		job.paths = newPaths(job.spec.Steps(), func(step almondcross.Step) time.Duration {
			return min(machine.Expected(job.spec.Queue(), step), maxObjective)
		})
	}
	// The configuration and the caller may state any factor and time, and the product may be out of the range of int64.
	objective := min(queue.Stretch()*float64(job.paths.longest)+float64(queue.LatencyTarget()), float64(maxObjective))
	needed := min(runTimeMargin*float64(job.paths.remaining[waiting.stage.id.Step]), float64(maxObjective))
	config.LatestStart = since.Add(time.Duration(objective - needed)).Add(-startMargin)
	config.LatestUsefulStart = since.Add(time.Duration(usefulFactor*objective - needed)).Add(-startMargin)
	return almondcross.NewOrderQuery(config)
}

// maxObjective bounds latency objectives in the order of stages.
const maxObjective = 1000 * time.Hour

// rankStages updates the ranks of the waiting stages, which change as time passes, and sorts the stages if one has changed.
func (machine *Machine) rankStages() {
	changed := false
	for _, waiting := range machine.leader.waitingStages {
		rank := machine.config.Order.Rank(waiting.order, machine.now)
		changed = changed || rank != waiting.rank
		waiting.rank = rank
	}
	if changed {
		machine.sortWaitingStages()
	}
}

// rank sets what decides the order of a waiting stage.
func (machine *Machine) rank(waiting *waitingStage) {
	waiting.priority = machine.queue(waiting.job).Priority()
	waiting.order = machine.orderQuery(waiting)
	waiting.rank = machine.config.Order.Rank(waiting.order, machine.now)
}

// sortWaitingStages restores the placement order.
func (machine *Machine) sortWaitingStages() {
	slices.SortStableFunc(machine.leader.waitingStages, comparePlacement)
}

// comparePlacement orders waiting stages by the priority of their queue, then by rank and submission time.
func comparePlacement(first, second *waitingStage) int {
	return cmp.Or(
		cmp.Compare(first.priority, second.priority), first.rank.Compare(second.rank),
		first.job.spec.Submitted().Compare(second.job.spec.Submitted()),
	)
}
