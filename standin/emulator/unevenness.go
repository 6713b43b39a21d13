package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// The unevenness of workers, tasks and estimates.
const (
	// minDrawnFactor and maxDrawnFactor bound the drawn time that a worker takes, relative to the usual one.
	minDrawnFactor, maxDrawnFactor = 0.8, 1.3
	// slowFactor is how many times as long a slow worker takes. Spells in which workers become slow, within slowSpread, are
	// slowPause apart.
	slowFactor = 5
	slowSpread = 3 * time.Second
	slowPause  = 10 * time.Second
	// tailFactor is how many times as long a task of the tail takes.
	tailFactor = 7
	// minEstimateFactor is the smallest ratio of an estimate to the run time.
	minEstimateFactor = 0.1
)

// drawSpeed sets the speed of a worker and when it is slow.
func (simulation *Simulation) drawSpeed(worker *modelWorker, index int) {
	random := randomFor(simulation.config.Seed, "speed"+worker.address)
	switch {
	case simulation.config.EvenWorkers:
		worker.durationFactor = 1
	case simulation.config.DrawnSpeeds:
		worker.durationFactor = minDrawnFactor + (maxDrawnFactor-minDrawnFactor)*random.Float64()
	default:
		worker.durationFactor = []float64{0.8, 1, 1.25}[index%3]
	}
	if simulation.config.SlowShare > 0 {
		simulation.scheduleSlowSpells(worker, random)
	}
}

// scheduleSlowSpells makes the worker slow in some of the spells in which many are.
func (simulation *Simulation) scheduleSlowSpells(worker *modelWorker, random *rand.Rand) {
	sound := worker.durationFactor
	for at := warmUp + slowPause/2; at < warmUp+simulation.config.SubmitTime; at += slowPause + simulation.config.SlowTime {
		if random.Float64() >= simulation.config.SlowShare {
			continue
		}
		start := at + time.Duration(random.Int64N(int64(slowSpread)))
		simulation.schedule(start, func() { worker.setDurationFactor(simulation.now, sound*slowFactor) })
		simulation.schedule(start+simulation.config.SlowTime, func() { worker.setDurationFactor(simulation.now, sound) })
	}
}

// makeUneven gives some tasks of a step a long run time, and draws the error of the estimate. The members of a gang end together.
func (simulation *Simulation) makeUneven(job *modelJob, number int, duration time.Duration) {
	random := randomFor(simulation.config.Seed, "uneven"+string(job.spec.ID())+string(rune('a'+number)))
	step := job.spec.Steps()[number]
	tail := false
	for index := range step.Count() {
		if !step.Gang() || index == 0 {
			tail = random.Float64() < simulation.config.TailShare
		}
		if tail {
			job.runTimes[almondcross.JobTask{Stage: almondcross.StageID{Job: job.spec.ID(), Step: number}, Index: index}] *= tailFactor
		}
	}
	if limit := simulation.config.EstimateError; limit > 0 {
		factor := max(1+limit*(2*random.Float64()-1), minEstimateFactor)
		steps := slices.Clone(job.spec.Steps())
		steps[number] = step.WithEstimate(time.Duration(factor * float64(duration)))
		job.spec = job.spec.WithSteps(steps)
	}
}
