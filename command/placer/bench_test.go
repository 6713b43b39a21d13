package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/policy/admitter"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/sharer"
)

// saturatedCell is a cell whose slots are all used by tasks of many owners, with more tasks waiting; if waiting
// is false, one slot in ten is free and no task waits. Each step ends the oldest task, which lets a waiting one start, and places a new one.
type saturatedCell struct {
	*cell
	packer       *packer.Packer
	startedTasks []almondcross.StartTask
	targets      map[almondcross.TaskID]string
	tasks        []almondcross.Task
	next         int
	waiting      bool
}

func newSaturatedCell(t testing.TB, targets, owners int, waiting bool) *saturatedCell {
	placement := packer.New()
	saturated := &saturatedCell{
		packer: placement, waiting: waiting, targets: map[almondcross.TaskID]string{},
		cell: newCellWithPolicies(t, targets, placer.Policies{
			Placement: placement, Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
		}),
	}
	shares := map[string]int64{}
	for owner := range owners {
		shares[fmt.Sprintf("o%d", owner)] = int64(1 + owner%5)
	}
	saturated.setShares(shares)
	for index := range 3 * targets * slots {
		name := fmt.Sprintf("o%d", index%owners)
		saturated.tasks = append(saturated.tasks, saturated.task(name, name, index))
	}
	fill := targets * slots
	if waiting {
		fill += 4 * owners
	} else {
		fill -= targets * slots / 10
	}
	for range fill {
		saturated.arrive()
	}
	return saturated
}

// apply passes a message and the answers to the resulting starts to the machine, and returns the number of starts.
func (saturatedcell *saturatedCell) apply(message almondcross.PlacerMessage) int {
	first := len(saturatedcell.startedTasks)
	saturatedcell.recordStarts(saturatedcell.machine.Apply(message, saturatedcell.now))
	starts := len(saturatedcell.startedTasks) - first
	for index := first; index < first+starts; index++ {
		start := saturatedcell.startedTasks[index]
		saturatedcell.recordStarts(saturatedcell.machine.Apply(almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
			Target: saturatedcell.targets[start.Task().ID()], Term: start.Term(), ID: start.Task().ID(), Attempt: start.Task().Attempt(), Accepted: true,
		}), saturatedcell.now))
	}
	return starts
}

func (saturatedcell *saturatedCell) recordStarts(effects []placer.Effect) {
	for _, effect := range effects {
		if start, ok := effect.Dispatch.(almondcross.StartTask); ok {
			saturatedcell.startedTasks = append(saturatedcell.startedTasks, start)
			saturatedcell.targets[start.Task().ID()] = effect.Name
		}
	}
}

func (saturatedcell *saturatedCell) arrive() int {
	task := saturatedcell.tasks[saturatedcell.next%len(saturatedcell.tasks)]
	task = task.WithAttempt(1 + saturatedcell.next/len(saturatedcell.tasks))
	saturatedcell.next++
	return saturatedcell.apply(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: task}))
}

func (saturatedcell *saturatedCell) step() int {
	oldest := saturatedcell.startedTasks[0]
	saturatedcell.startedTasks = saturatedcell.startedTasks[1:]
	saturatedcell.now = saturatedcell.now.Add(50 * time.Microsecond)
	name := saturatedcell.targets[oldest.Task().ID()]
	delete(saturatedcell.targets, oldest.Task().ID())
	starts := saturatedcell.apply(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
		Target: name, Term: saturatedcell.terms[name],
		Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: oldest.Task().ID(), Attempt: oldest.Task().Attempt(), Ran: time.Minute,
		})}),
	}))
	starts += saturatedcell.arrive()
	for {
		deadline, ok := saturatedcell.machine.NextDeadline()
		if !ok || deadline.After(saturatedcell.now) {
			return starts
		}
		saturatedcell.recordStarts(saturatedcell.machine.Tick(saturatedcell.now))
	}
}

// BenchmarkDecision measures whole placements: the arrival, the decision, the answer to the start and
// the end. With waiting tasks each decision chooses among the queues of all owners.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{130, 1300} {
		for _, queues := range []int{0, 170, 1000} {
			b.Run(fmt.Sprintf("targets=%d/lines=%d", targets, queues), func(b *testing.B) {
				saturated := newSaturatedCell(b, targets, max(queues, 170), queues > 0)
				before, starts := saturated.packer.Comparisons(), 0
				b.ReportAllocs()
				for b.Loop() {
					starts += saturated.step()
				}
				b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "placements/s")
				b.ReportMetric(float64(saturated.packer.Comparisons()-before)/float64(starts), "comparisons/op")
			})
		}
	}
}

// TestAllocationsPerDecision guards against allocations that grow with the size of the cluster, both from
// PlaceTask to its effects and from the end of a task to the start of the next one.
func TestAllocationsPerDecision(t *testing.T) {
	const runs = 2000
	idle := newSaturatedCell(t, 1300, 170, false)
	var messages []almondcross.PlacerMessage
	for index := range runs + 1 {
		messages = append(messages, almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: idle.task("o1", "o1", 1_000_000+index)}))
	}
	index := 0
	starts := 0
	apply := func(saturated *saturatedCell) func() {
		return func() {
			for _, effect := range saturated.machine.Apply(messages[index], saturated.now) {
				if _, ok := effect.Dispatch.(almondcross.StartTask); ok {
					starts++
				}
			}
			index++
		}
	}
	direct := testing.AllocsPerRun(runs/4, apply(idle))
	require.Equal(t, index, starts)
	full := newSaturatedCell(t, 1300, 170, true)
	messages = messages[:0]
	for _, start := range full.startedTasks[:runs+1] {
		name := full.targets[start.Task().ID()]
		messages = append(messages, almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
			Target: name, Term: full.terms[name],
			Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
				ID: start.Task().ID(), Attempt: 1, Ran: time.Minute,
			})}),
		}))
	}
	index, starts = 0, 0
	freed := testing.AllocsPerRun(runs/4, apply(full))
	require.Equal(t, index, starts)
	t.Logf("allocations: %.1f from PlaceTask to a start, %.1f from an end to the next start", direct, freed)
	require.LessOrEqual(t, direct, 8.0)
	require.LessOrEqual(t, freed, 8.0)
}

// TestDecisionCostGrowsLogarithmically guards against a decision path that scans all targets.
func TestDecisionCostGrowsLogarithmically(t *testing.T) {
	cost := func(targets int) float64 {
		saturated := newSaturatedCell(t, targets, 170, false)
		before, starts := saturated.packer.Comparisons(), 0
		for range 2000 {
			starts += saturated.step()
		}
		return float64(saturated.packer.Comparisons()-before) / float64(starts)
	}
	small, large := cost(81), cost(81*81)
	t.Logf("%.1f comparisons at 81 targets, %.1f at 6561", small, large)
	require.LessOrEqual(t, large, 2.5*small)
}
