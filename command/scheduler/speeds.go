package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Parameters of the use of run times and speeds.
const (
	// expectedQuantile is the quantile of the run times that is expected of a run.
	expectedQuantile = 0.5
	// expectedRunAge is the maximum age of the expected run time of a stage.
	expectedRunAge = 250 * time.Millisecond
	// minProgressTime and minProgressShare are the minimum time, and the minimum share of the estimate, between two reports from
	// which a speed is measured. Progress is reported in whole percents.
	minProgressTime, minProgressShare = 150 * time.Millisecond, 0.05
	// maxSlowWait is the maximum time for which a stage waits for other workers while only slow ones have room. Workers are slow
	// for some seconds, so that a run loses no more than about this.
	maxSlowWait = 4 * time.Second
	// maxGangSlowWait replaces it for a gang, which also waits for room on many workers.
	maxGangSlowWait = time.Second
	// trialStageInterval is the minimum time between two stages that give tasks to slow workers as trials. Such a stage takes
	// several times as long, so one stage serves many workers.
	trialStageInterval = 2 * time.Second
	// minTrialTasks is the minimum number of tasks to place of a stage with trials. The last tasks of a step are not used.
	minTrialTasks = 2
	// maxSpeedLines is the maximum number of log lines on the speeds of workers between two sweeps.
	maxSpeedLines = 5
)

// stageRunTime is the run time that is expected of the tasks of a stage on the usual worker.
type stageRunTime struct {
	key      string // key is that of the estimator.
	expected time.Duration
	at       time.Time // at is when it was computed.
}

// runProgress is the progress of a run at a report, from which its speed until the next one is measured.
type runProgress struct {
	known   bool
	percent int
	clock   time.Duration // clock is the worker's clock.
}

// Expected returns the run time that is expected of a task of a step of a queue on the usual worker.
func (machine *Machine) Expected(queue string, step almondcross.Step) time.Duration {
	if machine.leader == nil || machine.leader.runTimes == nil {
		return step.Estimate()
	}
	return machine.leader.runTimes.Quantile(runTimeKey(queue, step), step.Estimate(), expectedQuantile)
}

// runTimeKey returns the key of the tasks that are assumed to behave alike.
func runTimeKey(queue string, step almondcross.Step) string { return queue + "\x00" + step.Image() }

// usualRunTime returns how long a task of a stage is expected to run on the usual worker.
func (machine *Machine) usualRunTime(stage *stage) time.Duration {
	runTimes := machine.leader.runTimes
	if runTimes == nil {
		return stage.spec.Estimate()
	}
	cached := &stage.runTime
	if cached.key == "" {
		if job := machine.state.jobs[stage.id.Job]; job != nil {
			cached.key = runTimeKey(job.spec.Queue(), stage.spec)
		}
	}
	if cached.at.IsZero() || machine.now.Sub(cached.at) >= expectedRunAge {
		cached.expected, cached.at = runTimes.Quantile(cached.key, stage.spec.Estimate(), expectedQuantile), machine.now
	}
	return cached.expected
}

// pace returns the speed of a slow worker relative to the usual one, and 1 for all others: their speeds differ by less than the error
// of the measurement, and a choice by them would leave fragments of room on more workers.
func (worker *worker) pace() float64 {
	if !worker.slow {
		return 1
	}
	return worker.speed
}

// noteProgress measures the speed of a worker by the progress of a run since the last report. The progress is in percent of
// the caller's estimate, which a run of any length reaches after the same time on workers of the same speed. A run that waits
// for its gang makes none, and neither does one beyond the estimate.
func (machine *Machine) noteProgress(worker *worker, assigned *assignment, percent int, clock time.Duration) {
	spec, last := assigned.stage.spec, assigned.measured
	if machine.leader.speeds == nil || spec.Service() || spec.SameRack() || spec.DataRack() != "" || spec.Estimate() <= 0 {
		return
	}
	if percent >= fullProgress || percent <= 0 && spec.Gang() {
		assigned.measured = runProgress{}
		return
	}
	if !last.known || percent < last.percent || clock < last.clock {
		assigned.measured = runProgress{known: true, percent: percent, clock: clock}
		return
	}
	taken := clock - last.clock
	if taken < minProgressTime || float64(taken) < minProgressShare*float64(spec.Estimate()) {
		return
	}
	assigned.measured = runProgress{known: true, percent: percent, clock: clock}
	// A caller may estimate any time, and the product may be out of the range of int64.
	made := min(float64(spec.Estimate())*float64(percent-last.percent)/fullProgress, float64(maxCallWork))
	machine.observeSpeed(worker, almondcross.SpeedSampleConfig{Expected: time.Duration(made), Taken: taken})
}

// noteFinished learns from a run that was done: the run time of such tasks, and the speed of the worker. The members of a
// gang end together, so that a gang counts once. It is called before the end is recorded.
func (machine *Machine) noteFinished(worker *worker, assigned *assignment, kind almondcross.EndKind) {
	stage := assigned.stage
	if kind != almondcross.EndDone || machine.leader.runTimes == nil || assigned.confirmedAt.IsZero() || assigned.resumed ||
		stage.spec.Service() || stage.remainingTasks == 0 {
		return
	}
	since := assigned.confirmedAt
	if stage.spec.Gang() {
		since = machine.gangStartedAt(stage)
	}
	taken := machine.now.Sub(since)
	expected := machine.usualRunTime(stage)
	machine.leader.runTimes.Observe(stage.runTime.key, stage.spec.Estimate(), time.Duration(float64(taken)*worker.pace()))
	if machine.leader.speeds != nil && !stage.spec.Gang() && !stage.spec.SameRack() && stage.spec.DataRack() == "" {
		machine.observeSpeed(worker, almondcross.SpeedSampleConfig{Expected: expected, Taken: taken, Finished: true})
	}
}

// gangStartedAt returns when the last member of a running gang was confirmed.
func (machine *Machine) gangStartedAt(stage *stage) time.Time {
	var last time.Time
	for index, record := range stage.tasks.known() {
		if worker := machine.leader.workers[record.Worker()]; worker != nil {
			if member := worker.assignments[almondcross.JobTask{Stage: stage.id, Index: index}]; member != nil {
				last = later(last, member.confirmedAt)
			}
		}
	}
	return last
}

// observeSpeed adds a measurement of a worker's speed.
func (machine *Machine) observeSpeed(worker *worker, sample almondcross.SpeedSampleConfig) {
	leader := machine.leader
	sample.Worker, sample.Incarnation = worker.id, worker.incarnation
	change := leader.speeds.Observe(almondcross.NewSpeedSample(sample), machine.now)
	worker.speed, worker.slow = leader.speeds.Speed(worker.id), leader.speeds.Slow(worker.id)
	if change == almondcross.SpeedUnchanged {
		return
	}
	machine.config.Metrics.WorkerPaced(worker.slow)
	if leader.speedLines++; leader.speedLines <= maxSpeedLines {
		event := "worker_trusted"
		if worker.slow {
			event = "worker_slow"
		}
		machine.config.Log.Record(event, almondcross.Text("worker", worker.id), almondcross.Number("speed", worker.speed),
			almondcross.Number("runs", len(worker.assignments)), almondcross.Number("incarnation", worker.incarnation))
	}
}

// balanceSpeeds updates the speeds of all workers, which are relative to the usual one.
func (machine *Machine) balanceSpeeds() {
	leader := machine.leader
	leader.speedLines = 0
	if leader.speeds == nil {
		return
	}
	leader.speeds.Balance()
	for _, worker := range leader.sortedWorkers {
		worker.speed, worker.slow = leader.speeds.Speed(worker.id), leader.speeds.Slow(worker.id)
	}
}

// withoutSlow returns the candidates for a stage that are not slow if these have room for the wanted tasks, or if the stage is
// to wait for others: for a limited time, and only if another worker could run it at all.
func (machine *Machine) withoutSlow(queue almondcross.Queue, waiting *waitingStage, wanted int, advice *stageAdvice, candidates []almondcross.WorkerCapacity) []almondcross.WorkerCapacity {
	if machine.leader.speeds == nil || !slices.ContainsFunc(candidates, machine.slowCandidate) {
		return candidates
	}
	fast, room := make([]almondcross.WorkerCapacity, 0, len(candidates)), 0
	for _, candidate := range candidates {
		if !machine.slowCandidate(candidate) {
			fast = append(fast, candidate)
			room += candidate.Tasks()
		}
	}
	switch {
	case room >= wanted:
		return fast
	case waiting.slowSince.IsZero():
		waiting.slowSince = machine.now
	}
	wait := machine.slowWait(waiting.stage, candidates)
	if machine.mustStartSoon(queue, waiting.stage) {
		wait = min(wait, maxIdleWait)
	}
	if machine.now.Sub(waiting.slowSince) < wait && machine.othersMayRun(queue, waiting.stage, advice) {
		return fast
	}
	return candidates
}

func (machine *Machine) slowCandidate(candidate almondcross.WorkerCapacity) bool {
	return machine.leader.workers[candidate.Worker()].slow
}

// slowWait returns by how much longer a task of a stage is expected to take on the fastest of the slow candidates than on the usual
// worker, up to a limit.
func (machine *Machine) slowWait(stage *stage, candidates []almondcross.WorkerCapacity) time.Duration {
	pace, limit := 0.0, maxSlowWait
	for _, candidate := range candidates {
		if machine.slowCandidate(candidate) {
			pace = max(pace, machine.leader.workers[candidate.Worker()].pace())
		}
	}
	if stage.spec.Gang() {
		limit = maxGangSlowWait
	}
	return time.Duration(min(float64(machine.usualRunTime(stage))*(1/pace-1), float64(limit)))
}

// othersMayRun reports whether a usable worker that is not slow may run a task of a stage once all runs other than services have ended.
func (machine *Machine) othersMayRun(queue almondcross.Queue, stage *stage, advice *stageAdvice) bool {
	return slices.ContainsFunc(machine.leader.usableWorkers, func(worker *worker) bool {
		return !worker.slow && worker.mayEverRun(queue, stage.spec, advice) && worker.eventualTasks(stage) > 0
	})
}

// placeTrials places tasks of a stage on slow workers that are due for a trial, one on each, and returns how many. Half of the tasks
// at most are used, and the last ones never.
func (machine *Machine) placeTrials(waiting *waitingStage, wanted []int, candidates []almondcross.WorkerCapacity) int {
	leader := machine.leader
	if leader.speeds == nil || len(wanted) < minTrialTasks || waiting.stage.spec.Service() || machine.now.Sub(leader.trialAt) < trialStageInterval {
		return 0
	}
	placed := 0
	for _, candidate := range candidates {
		worker := leader.workers[candidate.Worker()]
		if placed == len(wanted)/2 {
			break
		}
		if !worker.slow || len(worker.assignments) > 0 || !leader.speeds.TrialDue(worker.id, machine.now) {
			continue
		}
		machine.assign(waiting.job, waiting.stage, wanted[placed], waiting.stage.tasks.at(wanted[placed]).Run()+1, worker)
		leader.speeds.TrialPlaced(worker.id, machine.now)
		leader.trialAt = machine.now
		placed++
	}
	return placed
}
