package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// shareLoad sends jobs of workspaces to a cell whose runs end by themselves, and measures what the workspaces receive and how
// long their jobs wait.
type shareLoad struct {
	*quotaCell
	random   *rand.Rand
	lengths  map[almondcross.JobID]time.Duration // lengths holds the run time of the tasks of each job.
	endsAt   map[almondcross.JobTask]time.Time
	received map[string]float64 // received holds the processor time that the runs of each workspace have held, in seconds of a core.
	open     map[almondcross.JobID]int
	waits    map[string][]time.Duration // waits holds the times from the submission of a job to the start of its last task.
	jobs     int
}

func newShareLoad(t *testing.T, workers int, weights map[string]int64) *shareLoad {
	t.Helper()
	load := &shareLoad{
		random: rand.New(rand.NewPCG(1, 2)), lengths: map[almondcross.JobID]time.Duration{}, endsAt: map[almondcross.JobTask]time.Time{},
		received: map[string]float64{}, open: map[almondcross.JobID]int{}, waits: map[string][]time.Duration{},
	}
	quotas := map[string]almondcross.Resources{}
	for name := range weights {
		quotas[name] = almondcross.Resources{}
	}
	load.quotaCell = newQuotaCell(t, workers, 0, quotas)
	load.weights = weights
	load.readRoutes()
	load.drop = func(order almondcross.StartOrder) (carriedOut, lost bool) {
		job := order.Task().Stage.Job
		load.endsAt[order.Task()] = load.now.Add(load.lengths[job])
		if load.open[job]--; load.open[job] == 0 {
			delete(load.open, job)
			name := load.quotaCell.jobs[job].Workspace()
			load.waits[name] = append(load.waits[name], load.now.Sub(load.quotaCell.jobs[job].Submitted()))
		}
		return true, false
	}
	return load
}

// send submits a job with tasks of a core and of a length between a minimum and twice that.
func (load *shareLoad) send(workspace string, tasks int, minLength time.Duration) {
	load.jobs++
	id := almondcross.JobID(fmt.Sprintf("%06d", load.jobs))
	load.lengths[id] = minLength + time.Duration(load.random.Int64N(int64(minLength)))
	load.open[id] = tasks
	load.submit(id, workspace, almondcross.StepConfig{Count: tasks, Resources: milliCPU(1000)})
}

// backlog returns the number of waiting stages of a workspace.
func (load *shareLoad) backlog(workspace string) int {
	count := 0
	for _, waiting := range load.machine.leader.waitingStages {
		if waiting.job.spec.Workspace() == workspace {
			count++
		}
	}
	return count
}

// play plays a span. Before each of its steps it lets the load send jobs.
func (load *shareLoad) play(span time.Duration, send func(elapsed time.Duration)) {
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		send(elapsed)
		load.pass(step)
		for _, id := range load.ids {
			worker := load.workers[id]
			for _, task := range worker.tasks() {
				if load.now.After(load.endsAt[task]) {
					worker.end(task, almondcross.EndDone)
				}
			}
		}
		for name := range load.weights {
			load.received[name] += float64(load.machine.state.heldResources[name].MilliCPU()) / 1000 * step.Seconds()
		}
	}
}

// requireShares compares what workspaces have received with what is promised to them while all of them have work, which may
// differ by a fiftieth of the promise.
func (load *shareLoad) requireShares(names ...string) {
	load.t.Helper()
	var received, weights float64
	for _, name := range names {
		received += load.received[name]
		weights += float64(load.weights[name])
	}
	for _, name := range names {
		promise := received * float64(load.weights[name]) / weights
		require.InEpsilon(load.t, promise, load.received[name], 0.02, "%s received %.3f of %.3f", name, load.received[name]/received, promise/received)
	}
}

// Guards against shares that follow the number of waiting jobs or their order instead of the weights, and against a share that is
// not lent while its workspace has no work, or does not return.
func TestReceivedSharesFollowTheWeights(t *testing.T) {
	load := newShareLoad(t, 60, map[string]int64{"a": 1, "b": 2, "c": 3, "d": 4})
	keepBusy := func(names ...string) func(time.Duration) {
		return func(time.Duration) {
			for position, name := range names {
				// The first workspaces have most jobs and the shortest tasks.
				for range 40/(position+1) - load.backlog(name) {
					load.send(name, 1+load.random.IntN(6), time.Second+time.Duration(position)*time.Second/2)
				}
			}
		}
	}
	load.play(5*time.Second, keepBusy("a", "b", "c"))
	clear(load.received)
	load.play(10*time.Second, keepBusy("a", "b", "c"))
	load.requireShares("a", "b", "c")
	load.play(5*time.Second, keepBusy("a", "b", "c", "d"))
	clear(load.received)
	load.play(60*time.Second, keepBusy("a", "b", "c", "d"))
	load.requireShares("a", "b", "c", "d")
	for _, name := range []string{"a", "b", "c", "d"} {
		t.Logf("%s received %.4f of the processor time", name, load.received[name]/(load.received["a"]+load.received["b"]+load.received["c"]+load.received["d"]))
	}
}

// floodWaits plays a load of eight workspaces that would use a part of all cores, of which the first sends several times its
// part, and returns the waits of the jobs of the others, sorted. The load is drawn from several seeds.
func floodWaits(t *testing.T, use, factor float64) []time.Duration {
	t.Helper()
	var waits []time.Duration
	for seed := range uint64(3) {
		waits = append(waits, floodWaitsOf(t, seed, use, factor)...)
	}
	slices.Sort(waits)
	return waits
}

func floodWaitsOf(t *testing.T, seed uint64, use, factor float64) []time.Duration {
	t.Helper()
	weights := map[string]int64{}
	names := []string{"flood"}
	for index := range 7 {
		names = append(names, fmt.Sprintf("usual-%d", index))
	}
	for _, name := range names {
		weights[name] = 1
	}
	load := newShareLoad(t, 40, weights)
	load.random = rand.New(rand.NewPCG(seed, 2))
	// All workspaces together send as much as 160 cores do: each a job a second of 19.5 core seconds in the mean.
	usual := use / 100
	load.play(70*time.Second, func(elapsed time.Duration) {
		if elapsed == 10*time.Second {
			clear(load.waits)
		}
		for position, name := range names {
			rate := usual
			if position == 0 && elapsed >= 10*time.Second {
				rate *= factor
			}
			for probability := rate; probability > 0; probability-- {
				if load.random.Float64() < min(probability, 1) {
					load.send(name, 1+load.random.IntN(12), 2*time.Second)
				}
			}
		}
	})
	var waits []time.Duration
	for _, name := range names[1:] {
		waits = append(waits, load.waits[name]...)
	}
	return waits
}

// percentile returns the value below which a part of the sorted values are.
func percentile(values []time.Duration, part float64) time.Duration {
	return values[min(int(math.Ceil(part*float64(len(values)))), len(values)-1)]
}

// Guards against a workspace that pushes the others back by sending nine times its usual load.
func TestFloodOfOneWorkspaceLeavesTheOthersTheirWait(t *testing.T) {
	usual, flooded := floodWaits(t, 0.9, 1), floodWaits(t, 0.9, 9)
	t.Logf("p50 %s and %s, p95 %s and %s, of %d and %d jobs", percentile(usual, 0.5), percentile(flooded, 0.5), percentile(usual, 0.95), percentile(flooded, 0.95), len(usual), len(flooded))
	require.LessOrEqual(t, percentile(flooded, 0.95), percentile(usual, 0.95)*3/2)
}

// Guards against a lent share that does not return: the jobs of a workspace that has lent its share wait behind the older ones of
// the borrower, also after a takeover and with a new version of the configuration, which count the shares anew.
func TestLentShareReturnsWithTheNextEnds(t *testing.T) {
	for name, change := range map[string]func(cell *quotaCell){
		"no change": func(*quotaCell) {}, "takeover": (*quotaCell).takeOver, "new version": (*quotaCell).readRoutes,
	} {
		t.Run(name, func(t *testing.T) {
			cell := newQuotaCell(t, 4, 1, map[string]almondcross.Resources{"a": {}, "b": {}})
			cell.submit("b-past", "b", almondcross.StepConfig{Count: 1, Resources: milliCPU(1000)})
			cell.pass(50 * time.Millisecond)
			cell.endRuns("b-past", 1, almondcross.EndDone)
			cell.pass(50 * time.Millisecond)
			for index := range 20 {
				cell.submit(almondcross.JobID(fmt.Sprintf("a-%02d", index)), "a", almondcross.StepConfig{Count: 4, Resources: milliCPU(1000)})
			}
			cell.pass(50 * time.Millisecond)
			require.Equal(t, int64(16_000), cell.held("a").MilliCPU(), "all capacity is lent")
			requireLines(t, cell, map[string]int{"stage_put_back": 0}) // No other workspace has work.
			change(cell)
			require.InDelta(t, 1, cell.machine.leader.shares.pools["pool"].policy.FairShare("a"), 1e-9)
			cell.submit("b-00", "b", almondcross.StepConfig{Count: 10, Resources: milliCPU(1000)})
			for started := 1; started <= 8; started++ {
				cell.endRuns(almondcross.JobID(fmt.Sprintf("a-%02d", (started-1)/4)), 1, almondcross.EndDone)
				cell.pass(100 * time.Millisecond)
				require.Equal(t, started, cell.runCount("b-00"), "each end returns a part of the share")
			}
			requireLines(t, cell, map[string]int{"stage_put_back": 17}) // All but the running ones of a, and the last tasks of b.
			cell.endRuns("a-02", 1, almondcross.EndDone)
			cell.pass(100 * time.Millisecond)
			require.Equal(t, 8, cell.runCount("b-00"), "both have their shares, and the older job goes first")
		})
	}
}

// Guards against a share that goes before a priority, and against a pool that counts the runs of another one.
func TestSharesOrderWithinAPriorityAndPool(t *testing.T) {
	cell := newQuotaCell(t, 1, 0, map[string]almondcross.Resources{"a": {}, "b": {}})
	queue := func(name, pool string, priority int) almondcross.Queue {
		return almondcross.NewQueue(almondcross.QueueConfig{Name: name, Pool: pool, Priority: priority, MaxAttempts: 2})
	}
	table := cell.machine.routes.WithVersion(cell.version + 1).WithQueues([]almondcross.Queue{queue("q", "pool", 1), queue("urgent", "pool", 0), queue("other", "elsewhere", 1)})
	cell.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: table}))
	var visited []almondcross.JobID
	for _, job := range []struct {
		id, queue, workspace string
	}{{"a-1", "q", "a"}, {"a-2", "q", "a"}, {"b-1", "q", "b"}, {"a-3", "urgent", "a"}, {"a-4", "other", "a"}, {"b-2", "other", "b"}} {
		cell.now = cell.now.Add(time.Millisecond)
		config := almondcross.JobConfig{ID: almondcross.JobID(job.id), Queue: job.queue, Workspace: job.workspace, Submitted: cell.now}
		config.Steps = []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1, Resources: milliCPU(1000)})}
		cell.machine.setTime(cell.now)
		cell.machine.admitJob(almondcross.NewJob(config), almondcross.QueueSettings{})
	}
	cell.machine.startPass()
	worker := cell.machine.leader.workers["w-00"]
	running := cell.machine.leader.waitingStages[0]
	require.Equal(t, "a-3", string(running.job.spec.ID()))
	for index := range 3 {
		cell.machine.chargeShare(&assignment{task: taskOf("a-1", 0, index), job: running.job, stage: running.stage, resources: worker.info.Capacity()})
	}
	cell.machine.visitInShareOrder(func(waiting *waitingStage) { visited = append(visited, waiting.job.spec.ID()) })
	require.Equal(t, []almondcross.JobID{"a-3", "b-1", "a-4", "b-2", "a-1", "a-2"}, visited)
}

// Guards against a wide step that takes all free workers in a pass before the steps of other workspaces behind it, which are below
// their shares too.
func TestWideStepLeavesTheOthersTheirShares(t *testing.T) {
	cell := newQuotaCell(t, 4, 0, map[string]almondcross.Resources{"a": {}, "b": {}, "c": {}})
	for _, name := range []string{"a", "b"} {
		cell.machine.setTime(cell.now)
		cell.machine.admitJob(almondcross.NewJob(almondcross.JobConfig{
			ID: almondcross.JobID(name), Queue: "q", Workspace: name, Submitted: cell.now,
			Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 20, Resources: milliCPU(1000)})},
		}), almondcross.QueueSettings{})
	}
	for _, id := range []almondcross.JobID{"a", "b"} {
		cell.jobs[id] = cell.machine.state.jobs[id].spec
	}
	cell.pass(50 * time.Millisecond)
	require.Equal(t, []int{8, 8}, []int{cell.runCount("a"), cell.runCount("b")})
	cell.submit("c", "c", almondcross.StepConfig{Count: 1, Resources: milliCPU(1000)})
	cell.endRuns("a", 1, almondcross.EndDone)
	cell.pass(50 * time.Millisecond)
	require.Equal(t, []int{7, 8, 1}, []int{cell.runCount("a"), cell.runCount("b"), cell.runCount("c")})
}

// Guards against stages that are passed over although a worker has room for them, because an earlier one found too little.
func TestPassLeavesOutNoStageThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := newQuotaCell(t, 6, 0, nil)
		draw := func(name string) almondcross.Resources {
			return almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: rapid.Int64Range(0, 4000).Draw(t, name+" cpu"), MemoryMB: rapid.Int64Range(0, 4000).Draw(t, name+" memory")})
		}
		for index := range rapid.IntRange(1, 20).Draw(t, "jobs") {
			cell.submit(almondcross.JobID(fmt.Sprintf("j-%02d", index)), "", almondcross.StepConfig{Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Resources: draw("job")})
		}
		cell.pass(20 * time.Millisecond)
		for index := range rapid.IntRange(0, 10).Draw(t, "ends") {
			cell.endRuns(almondcross.JobID(fmt.Sprintf("j-%02d", index)), 1, almondcross.EndDone)
		}
		cell.pass(50 * time.Millisecond)
		for _, waiting := range cell.machine.leader.waitingStages {
			require.Empty(t, cell.machine.candidates(cell.machine.queue(waiting.job), waiting.job, waiting.stage, unsuspected, nil))
		}
	})
}

// Guards against passes that look at every worker for each stage that waits for room: a pass over 500 stages and 350 full workers
// took 13 ms.
func TestPassOverAFullPoolLooksAtItOnce(t *testing.T) {
	cell := newQuotaCell(t, 0, 0, map[string]almondcross.Resources{"a": {}, "b": {}})
	cell.addWorkers(350, milliCPU(16_000), milliCPU(15_500))
	for index := range 100 {
		cell.submit(almondcross.JobID(fmt.Sprintf("j-%02d", index)), []string{"a", "b", ""}[index%3], almondcross.StepConfig{Count: 2, Resources: milliCPU(1000)})
	}
	cell.advance(leaderTick)
	require.Len(t, cell.machine.leader.waitingStages, 100)
	require.LessOrEqual(t, cell.machine.leader.examinedWorkers, 3*350)
	cell.submit("small", "b", almondcross.StepConfig{Count: 2, Resources: milliCPU(500)})
	cell.advance(leaderTick)
	require.Equal(t, 2, cell.machine.state.jobs["small"].activeTasks)
}

// BenchmarkPass measures a placement pass over stages that wait for room on 350 full workers, and for quota.
func BenchmarkPass(b *testing.B) {
	for name, test := range map[string]struct {
		workspace string
		quota     almondcross.Resources
	}{"no workspaces": {}, "full pool": {workspace: "w-%d"}, "quota": {workspace: "w-%d", quota: milliCPU(1)}} {
		b.Run(name, func(b *testing.B) {
			const stages, workspaces = 500, 10
			quotas := map[string]almondcross.Resources{}
			for index := range workspaces {
				if test.workspace != "" {
					quotas[fmt.Sprintf(test.workspace, index)] = test.quota
				}
			}
			cell := newQuotaCell(b, 0, 0, quotas)
			full := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 64_000})
			cell.addWorkers(350, full, full)
			for index := range stages {
				workspace := ""
				if test.workspace != "" {
					workspace = fmt.Sprintf(test.workspace, index%workspaces)
				}
				cell.submit(almondcross.JobID(fmt.Sprintf("j-%d", index)), workspace, almondcross.StepConfig{Count: 25, Resources: milliCPU(1000)})
			}
			require.Len(b, cell.machine.leader.waitingStages, stages)
			for b.Loop() {
				cell.machine.placeStages()
			}
		})
	}
}
