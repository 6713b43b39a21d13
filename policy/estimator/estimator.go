package estimator

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// minObservations is the number of ended tasks from which the observed run times replace the declared one.
	minObservations = 8
	// decayThreshold is the number of counted tasks at which the counts are halved.
	decayThreshold = 256
	// bucketsPerOctave is the number of buckets in which a value doubles; a bucket is 19% wide.
	bucketsPerOctave = 4
	// octaves is the range of a histogram: 12 days for run times from 1 ms, and ratios from 2^-15 to 2^15.
	octaves = 30
	buckets = octaves * bucketsPerOctave
	// ratioUnit is the ratio of the first bucket.
	ratioUnit = 1.0 / (1 << (octaves / 2))
	// lowerQuartile and upperQuartile are the quantiles whose ratio is the spread of a histogram.
	lowerQuartile, upperQuartile = 0.25, 0.75
	// minSpreadGain is by how much narrower the ratios have to be to be used in the place of the run times.
	minSpreadGain = 1.2
	// maxKeys is the maximum number of keys, which take 1 kB each. The key that was observed longest ago is dropped.
	maxKeys = 1024
	// estimateQuantile is the quantile of the observed run times that is used as the estimate. The
	// band has to suit most tasks of an entry; the others are detected as stragglers.
	estimateQuantile = 0.9
	// stragglerFactor is the multiple of the estimate from which a task is a straggler. It is larger than the variation
	// of tasks that are not stragglers.
	stragglerFactor = 3
	// minStragglerTime is the shortest run time of a straggler. It keeps variations of the start time
	// from turning very short tasks into stragglers.
	minStragglerTime = 500 * time.Millisecond
	// defaultEstimate is the estimate for an entry that declares no run time.
	defaultEstimate = 30 * time.Second
)

// bandLimits holds the longest run time of each band; longer tasks are in one more band after these.
var bandLimits = []time.Duration{2 * time.Second, 20 * time.Second, 200 * time.Second}

// Estimator implements almondcross.RuntimeEstimator. It is not safe for concurrent use.
type Estimator struct {
	keys         map[string]*runTimes
	observations uint64
}

// runTimes holds what was observed of the tasks of one key.
type runTimes struct {
	times, ratios histogram
	useRatios     bool   // useRatios is set while the declared run times predict better than the earlier run times.
	observedAt    uint64 // observedAt is the number of the last observation.
	// estimate and ratioEstimate are cached so that a query does not iterate over a histogram.
	estimate, ratioEstimate float64
}

// histogram counts values in buckets of equal width on a logarithmic scale.
type histogram struct {
	counts [buckets]uint16
	total  int
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{keys: map[string]*runTimes{}} }

// Observe adds the run time of an ended task, with the run time that was declared for it.
func (estimator *Estimator) Observe(key string, declared, runTime time.Duration) {
	estimator.observations++
	known, ok := estimator.keys[key]
	if !ok {
		if len(estimator.keys) >= maxKeys {
			estimator.dropOldest()
		}
		known = &runTimes{}
		estimator.keys[key] = known
	}
	known.observedAt = estimator.observations
	milliseconds := max(runTime, 0).Seconds() * 1000
	known.times.add(milliseconds)
	if declared > 0 {
		known.ratios.add(runTime.Seconds() / declared.Seconds() / ratioUnit)
	}
	known.useRatios = known.ratios.total >= minObservations && 2*known.ratios.total >= known.times.total &&
		known.ratios.spread()*minSpreadGain < known.times.spread()
	known.estimate, known.ratioEstimate = known.times.quantile(estimateQuantile), known.ratios.quantile(estimateQuantile)
}

func (estimator *Estimator) dropOldest() {
	oldest, found := "", false
	for key, known := range estimator.keys {
		if !found || known.observedAt < estimator.keys[oldest].observedAt {
			oldest, found = key, true
		}
	}
	delete(estimator.keys, oldest)
}

// add counts a value, which is at least 1 for all but the first bucket.
func (histogram *histogram) add(value float64) {
	if histogram.total >= decayThreshold {
		histogram.total = 0
		for bucket := range histogram.counts {
			histogram.counts[bucket] /= 2
			histogram.total += int(histogram.counts[bucket])
		}
	}
	bucket := 0
	if value > 1 {
		bucket = min(int(math.Log2(value)*bucketsPerOctave), buckets-1)
	}
	histogram.counts[bucket]++
	histogram.total++
}

// quantile returns the value that a fraction of the counted ones do not exceed, interpolated within its bucket.
func (histogram *histogram) quantile(fraction float64) float64 {
	remaining := fraction * float64(histogram.total)
	for bucket, count := range histogram.counts {
		if remaining <= float64(count) && count > 0 {
			return math.Exp2((float64(bucket) + remaining/float64(count)) / bucketsPerOctave)
		}
		remaining -= float64(count)
	}
	return math.Exp2(octaves)
}

// spread returns the ratio of the upper to the lower quartile.
func (histogram *histogram) spread() float64 {
	return histogram.quantile(upperQuartile) / histogram.quantile(lowerQuartile)
}

// Quantile returns the run time within which a fraction of the tasks of a key end; declared is the run time that is declared
// for the task, 0 for none. Until enough tasks have ended, it is the declared run time.
func (estimator *Estimator) Quantile(key string, declared time.Duration, fraction float64) time.Duration {
	known := estimator.keys[key]
	switch {
	case known == nil || known.times.total < minObservations:
		return prior(declared)
	case known.useRatios && declared > 0:
		return fromRatio(declared, known.ratios.quantile(fraction))
	default:
		return fromMilliseconds(known.times.quantile(fraction))
	}
}

// Estimate returns the expected run time of a task of a key; declared is the run time that is declared for it, 0 for none.
func (estimator *Estimator) Estimate(key string, declared time.Duration) time.Duration {
	known := estimator.keys[key]
	switch {
	case known == nil || known.times.total < minObservations:
		return prior(declared)
	case known.useRatios && declared > 0:
		return fromRatio(declared, known.ratioEstimate)
	default:
		return fromMilliseconds(known.estimate)
	}
}

func prior(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return defaultEstimate
}

func fromMilliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// fromRatio returns a multiple of a declared run time, which may be any and the product out of the range of int64.
func fromRatio(declared time.Duration, ratio float64) time.Duration {
	return time.Duration(min(float64(declared)*ratio*ratioUnit, float64(math.MaxInt64/2)))
}

// Band returns the run-time band of a task of an entry.
func (estimator *Estimator) Band(entry string, declared time.Duration) almondcross.Band {
	estimate := estimator.Estimate(entry, declared)
	for band, limit := range bandLimits {
		if estimate <= limit {
			return almondcross.Band(band)
		}
	}
	return almondcross.Band(len(bandLimits))
}

// StragglerThreshold returns the run time from which a task of an entry is a straggler, 0 if there is no limit.
func (estimator *Estimator) StragglerThreshold(entry string, declared time.Duration) time.Duration {
	known, ok := estimator.keys[entry]
	if (!ok || known.times.total < minObservations) && declared <= 0 {
		return 0
	}
	return max(minStragglerTime, stragglerFactor*estimator.Estimate(entry, declared))
}
