package speedometer

import (
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// slowSpeed is the speed below which a worker is slow. Sound workers take up to 1.3 times as long as the usual one, and the
	// estimates from which speeds are measured are off by as much as a factor of two.
	slowSpeed = 0.3
	// trustedSpeed is the speed above which a slow worker is trusted again. It is below that of a sound worker, of which the
	// first trial shows little more than the prior.
	trustedSpeed = 0.45
	// halfLife is the time in which earlier evidence loses half of its weight. Workers change their speed within seconds.
	halfLife = time.Second
	// priorWeight is the weight of the usual speed, in seconds of progress of one run.
	priorWeight = 0.2
	// maxWeight limits the weight of the earlier evidence, so that one trial run can outweigh that of many runs.
	maxWeight = 1
	// finishedWeight is the weight of a finished run. Its time depends on the task as much as on the worker.
	finishedWeight = 0.15
	// minFinishedSpeed is the lowest speed that a finished run shows: 3% of the tasks run seven times as long on any worker.
	minFinishedSpeed = 0.4
	// minSpeed and maxSpeed limit a measured speed.
	minSpeed, maxSpeed = 0.05, 3
	// trialInterval is the time between two trial runs on a slow worker.
	trialInterval = 1500 * time.Millisecond
	// minMeasured is the number of workers with evidence from which their median is the usual speed. Of fewer, most may be slow.
	minMeasured = 5
	// minUsual and maxUsual limit the usual speed.
	minUsual, maxUsual = 0.1, 10
)

// Speedometer implements almondcross.WorkerSpeeds. It is not safe for concurrent use.
type Speedometer struct {
	workers map[string]*speed
	usual   float64 // usual is the logarithm of the speed of the usual worker.
	means   []float64
}

// speed is what is known of one incarnation of a worker.
type speed struct {
	incarnation int64
	sum, weight float64 // sum is the weighted sum of the logarithms of the measured speeds, weight that of their weights.
	updatedAt   time.Time
	slow        bool
	trialAt     time.Time // trialAt is when the last trial run was placed.
}

// New returns a speedometer without measurements.
func New() *Speedometer { return &Speedometer{workers: map[string]*speed{}} }

// Observe adds a measurement and reports whether the worker has become slow or is trusted again.
func (speedometer *Speedometer) Observe(sample almondcross.SpeedSample, now time.Time) almondcross.SpeedChange {
	if sample.Taken() <= 0 || sample.Finished() && sample.Expected() <= 0 {
		return almondcross.SpeedUnchanged
	}
	known := speedometer.workers[sample.Worker()]
	if known == nil || known.incarnation != sample.Incarnation() {
		known = &speed{incarnation: sample.Incarnation(), updatedAt: now}
		speedometer.workers[sample.Worker()] = known
	}
	weight, lowest := sample.Taken().Seconds(), minSpeed
	if sample.Finished() {
		weight, lowest = finishedWeight, minFinishedSpeed
	}
	measured := min(max(sample.Expected().Seconds()/sample.Taken().Seconds(), lowest), maxSpeed)
	known.age(now)
	known.sum += weight * math.Log(measured)
	known.weight += weight
	switch value := math.Exp(speedometer.relative(known)); {
	case !known.slow && value < slowSpeed:
		known.slow, known.trialAt = true, now
		return almondcross.SpeedSlow
	case known.slow && value > trustedSpeed:
		known.slow = false
		return almondcross.SpeedTrusted
	default:
		return almondcross.SpeedUnchanged
	}
}

// age reduces the weight of the earlier evidence.
func (speed *speed) age(now time.Time) {
	factor := math.Exp2(-max(now.Sub(speed.updatedAt), 0).Seconds() / halfLife.Seconds())
	if speed.weight*factor > maxWeight {
		factor = maxWeight / speed.weight
	}
	speed.sum, speed.weight, speed.updatedAt = speed.sum*factor, speed.weight*factor, now
}

// relative returns the logarithm of a worker's speed relative to the usual one.
func (speedometer *Speedometer) relative(known *speed) float64 {
	return (known.sum - known.weight*speedometer.usual) / (known.weight + priorWeight)
}

// Speed returns the speed of a worker relative to the usual one, 1 without measurements.
func (speedometer *Speedometer) Speed(worker string) float64 {
	if known := speedometer.workers[worker]; known != nil {
		return math.Exp(speedometer.relative(known))
	}
	return 1
}

// Slow reports whether a worker is several times slower than the usual one.
func (speedometer *Speedometer) Slow(worker string) bool {
	known := speedometer.workers[worker]
	return known != nil && known.slow
}

// TrialDue reports whether a slow worker is to get a trial run.
func (speedometer *Speedometer) TrialDue(worker string, now time.Time) bool {
	known := speedometer.workers[worker]
	return known != nil && known.slow && now.Sub(known.trialAt) >= trialInterval
}

// TrialPlaced records that a slow worker has got a run.
func (speedometer *Speedometer) TrialPlaced(worker string, now time.Time) {
	if known := speedometer.workers[worker]; known != nil {
		known.trialAt = now
	}
}

// Balance sets the usual speed to the median of the workers with evidence.
func (speedometer *Speedometer) Balance() {
	speedometer.means = speedometer.means[:0]
	for _, known := range speedometer.workers {
		if known.weight >= priorWeight {
			speedometer.means = append(speedometer.means, known.sum/known.weight)
		}
	}
	if count := len(speedometer.means); count >= minMeasured {
		slices.Sort(speedometer.means)
		speedometer.usual = min(max(speedometer.means[(count-1)/2], math.Log(minUsual)), math.Log(maxUsual))
	}
}

// Forget removes a worker.
func (speedometer *Speedometer) Forget(worker string) { delete(speedometer.workers, worker) }
