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

// saturated is a machine with every slot taken and waiting work of many owners. Each step ends
// the oldest task, which starts a waiting one, and places a new one.
type saturated struct {
	*cell
	packer  *packer.Packer
	order   []almondcross.StartTask
	targets map[almondcross.TaskID]string
	tasks   []almondcross.Task
	next    int
	waiting bool
}

func newSaturated(t testing.TB, targets, owners int, waiting bool) *saturated {
	index := packer.New()
	load := &saturated{
		packer: index, waiting: waiting, targets: map[almondcross.TaskID]string{},
		cell: newCellWith(t, targets, placer.Policies{
			Placement: index, Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
		}),
	}
	shares := map[string]int64{}
	for owner := range owners {
		shares[fmt.Sprintf("o%d", owner)] = int64(1 + owner%5)
	}
	load.catalogueOf(shares)
	for index := range 3 * targets * slots {
		name := fmt.Sprintf("o%d", index%owners)
		load.tasks = append(load.tasks, load.task(name, name, index))
	}
	fill := targets * slots
	if waiting {
		fill += 4 * owners
	} else {
		fill -= targets * slots / 10
	}
	for range fill {
		load.arrive()
	}
	return load
}

// apply gives a message and the answers to its starts to the machine.
func (saturated *saturated) apply(message almondcross.PlacerMessage) int {
	begun := len(saturated.order)
	saturated.note(saturated.machine.Apply(message, saturated.now))
	starts := len(saturated.order) - begun
	for index := begun; index < begun+starts; index++ {
		start := saturated.order[index]
		saturated.note(saturated.machine.Apply(almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
			Target: saturated.targets[start.Task().ID()], Term: start.Term(), ID: start.Task().ID(), Attempt: start.Task().Attempt(), Accepted: true,
		}), saturated.now))
	}
	return starts
}

func (saturated *saturated) note(effects []placer.Effect) {
	for _, effect := range effects {
		if start, ok := effect.Dispatch.(almondcross.StartTask); ok {
			saturated.order = append(saturated.order, start)
			saturated.targets[start.Task().ID()] = effect.Name
		}
	}
}

func (saturated *saturated) arrive() int {
	task := saturated.tasks[saturated.next%len(saturated.tasks)]
	task = task.WithAttempt(1 + saturated.next/len(saturated.tasks))
	saturated.next++
	return saturated.apply(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: task}))
}

func (saturated *saturated) step() int {
	oldest := saturated.order[0]
	saturated.order = saturated.order[1:]
	saturated.now = saturated.now.Add(50 * time.Microsecond)
	name := saturated.targets[oldest.Task().ID()]
	delete(saturated.targets, oldest.Task().ID())
	starts := saturated.apply(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
		Target: name, Term: saturated.term[name],
		Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: oldest.Task().ID(), Attempt: oldest.Task().Attempt(), Ran: time.Minute,
		})}),
	}))
	starts += saturated.arrive()
	for {
		deadline, ok := saturated.machine.NextDeadline()
		if !ok || deadline.After(saturated.now) {
			return starts
		}
		saturated.note(saturated.machine.Tick(saturated.now))
	}
}

// BenchmarkDecision measures whole placements: the arrival, the decision, the start's answer and
// the end. With waiting work each decision chooses among the lines of all owners.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{130, 1300} {
		for _, lines := range []int{0, 170, 1000} {
			b.Run(fmt.Sprintf("targets=%d/lines=%d", targets, lines), func(b *testing.B) {
				load := newSaturated(b, targets, max(lines, 170), lines > 0)
				before, starts := load.packer.Comparisons(), 0
				b.ReportAllocs()
				for b.Loop() {
					starts += load.step()
				}
				b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "placements/s")
				b.ReportMetric(float64(load.packer.Comparisons()-before)/float64(starts), "comparisons/op")
			})
		}
	}
}

// TestAllocationsPerDecision guards against allocations that grow with the size of the cluster:
// PlaceTask to its effects, and the end of a task to the start of the next one.
func TestAllocationsPerDecision(t *testing.T) {
	const runs = 2000
	idle := newSaturated(t, 1300, 170, false)
	var messages []almondcross.PlacerMessage
	for index := range runs + 1 {
		messages = append(messages, almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: idle.task("o1", "o1", 1_000_000+index)}))
	}
	index := 0
	starts := 0
	apply := func(load *saturated) func() {
		return func() {
			for _, effect := range load.machine.Apply(messages[index], load.now) {
				if _, ok := effect.Dispatch.(almondcross.StartTask); ok {
					starts++
				}
			}
			index++
		}
	}
	direct := testing.AllocsPerRun(runs/4, apply(idle))
	require.Equal(t, index, starts)
	full := newSaturated(t, 1300, 170, true)
	messages = messages[:0]
	for _, start := range full.order[:runs+1] {
		name := full.targets[start.Task().ID()]
		messages = append(messages, almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
			Target: name, Term: full.term[name],
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

// TestDecisionGrowsWithLog guards against a decision of the whole machine that scans the targets.
func TestDecisionGrowsWithLog(t *testing.T) {
	cost := func(targets int) float64 {
		load := newSaturated(t, targets, 170, false)
		before, starts := load.packer.Comparisons(), 0
		for range 2000 {
			starts += load.step()
		}
		return float64(load.packer.Comparisons()-before) / float64(starts)
	}
	small, large := cost(81), cost(81*81)
	t.Logf("%.1f comparisons at 81 targets, %.1f at 6561", small, large)
	require.LessOrEqual(t, large, 2.5*small)
}
