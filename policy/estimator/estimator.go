package estimator

import (
	"math/bits"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// minObservations is the number of ended tasks from which the observed run times replace the declared one.
	minObservations = 8
	// decayThreshold is the number of counted tasks at which the counts are halved.
	decayThreshold = 256
	// buckets is the number of histogram buckets; bucket i covers run times from 2^(i-1) to 2^i milliseconds.
	buckets = 40
	// estimateQuantile is the quantile of the observed run times that is used as the estimate. The
	// band has to suit most tasks of an entry; the others are detected as stragglers.
	estimateQuantile = 0.9
	// stragglerFactor is the multiple of the estimate from which a task is a straggler. Bucket widths
	// double, so the factor is larger than the error of one bucket.
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
	histograms map[string]*runTimeHistogram
}

type runTimeHistogram struct {
	counts [buckets]int64
	total  int64
	// estimate is cached so that a query does not iterate over the histogram.
	estimate time.Duration
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{histograms: map[string]*runTimeHistogram{}} }

// Observe adds the run time of an ended task.
func (estimator *Estimator) Observe(entry string, runTime time.Duration) {
	histogram, ok := estimator.histograms[entry]
	if !ok {
		histogram = &runTimeHistogram{}
		estimator.histograms[entry] = histogram
	}
	if histogram.total >= decayThreshold {
		histogram.total = 0
		for bucket := range histogram.counts {
			histogram.counts[bucket] /= 2
			histogram.total += histogram.counts[bucket]
		}
	}
	histogram.counts[bucketOf(runTime)]++
	histogram.total++
	histogram.estimate = histogram.quantile(estimateQuantile)
}

func bucketOf(runTime time.Duration) int {
	return min(bits.Len64(uint64(max(0, runTime.Milliseconds()))), buckets-1)
}

// quantile returns the run time within which a fraction of the tasks ended, interpolated within its bucket.
func (runtimehistogram *runTimeHistogram) quantile(fraction float64) time.Duration {
	remaining := fraction * float64(runtimehistogram.total)
	for bucket, count := range runtimehistogram.counts {
		if remaining <= float64(count) && count > 0 {
			upper := time.Duration(1<<bucket) * time.Millisecond
			return upper/2 + time.Duration(float64(upper/2)*remaining/float64(count))
		}
		remaining -= float64(count)
	}
	return time.Duration(1<<(buckets-1)) * time.Millisecond
}

// Estimate returns the expected run time of a task of an entry; declared is the run time that the entry declares,
// 0 for none.
func (estimator *Estimator) Estimate(entry string, declared time.Duration) time.Duration {
	if histogram, ok := estimator.histograms[entry]; ok && histogram.total >= minObservations {
		return histogram.estimate
	}
	if declared > 0 {
		return declared
	}
	return defaultEstimate
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
	histogram, ok := estimator.histograms[entry]
	if (!ok || histogram.total < minObservations) && declared <= 0 {
		return 0
	}
	return max(minStragglerTime, stragglerFactor*estimator.Estimate(entry, declared))
}
