package estimator

import (
	"math/bits"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// trusted is the number of ended tasks from which the learned run time replaces the declared one.
	trusted = 8
	// fading is the number of ended tasks at which the counts are halved.
	fading = 256
	// classes is the number of histogram classes; class i covers run times from 2^(i-1) to 2^i milliseconds.
	classes = 40
	// estimateQuantile is the part of the tasks that ends within the estimate. A band that most
	// tasks of an entry keep to is what matters; the rest is recognised as stragglers.
	estimateQuantile = 0.9
	// straggleFactor is how many times the estimate a task runs before it is a straggler. The
	// classes double, so the factor is above the error of one class.
	straggleFactor = 3
	// straggleLeast keeps the recognition of very short tasks above the noise of their starts.
	straggleLeast = 500 * time.Millisecond
	// defaultEstimate is the run time of an entry that declares none.
	defaultEstimate = 30 * time.Second
)

// limits are the longest run times of the bands; longer work is in the last band.
var limits = []time.Duration{2 * time.Second, 20 * time.Second, 200 * time.Second}

// Estimator is a RuntimeEstimator. One goroutine uses it.
type Estimator struct {
	entries map[string]*history
}

type history struct {
	counts [classes]int64
	total  int64
	// estimate is kept so that a query does not walk the histogram.
	estimate time.Duration
}

// New returns an estimator that has seen no task.
func New() *Estimator { return &Estimator{entries: map[string]*history{}} }

// Observe adds the run time of an ended task.
func (estimator *Estimator) Observe(entry string, ran time.Duration) {
	known, ok := estimator.entries[entry]
	if !ok {
		known = &history{}
		estimator.entries[entry] = known
	}
	if known.total >= fading {
		known.total = 0
		for class := range known.counts {
			known.counts[class] /= 2
			known.total += known.counts[class]
		}
	}
	known.counts[classOf(ran)]++
	known.total++
	known.estimate = known.quantile(estimateQuantile)
}

func classOf(ran time.Duration) int {
	return min(bits.Len64(uint64(max(0, ran.Milliseconds()))), classes-1)
}

// quantile returns a run time that a part of the tasks stays within, between the bounds of its class.
func (history *history) quantile(part float64) time.Duration {
	rest := part * float64(history.total)
	for class, count := range history.counts {
		if rest <= float64(count) && count > 0 {
			upper := time.Duration(1<<class) * time.Millisecond
			return upper/2 + time.Duration(float64(upper/2)*rest/float64(count))
		}
		rest -= float64(count)
	}
	return time.Duration(1<<(classes-1)) * time.Millisecond
}

// Estimate returns the expected run time of a task.
func (estimator *Estimator) Estimate(entry string, declared time.Duration) time.Duration {
	if known, ok := estimator.entries[entry]; ok && known.total >= trusted {
		return known.estimate
	}
	if declared > 0 {
		return declared
	}
	return defaultEstimate
}

// Band returns the band of a task.
func (estimator *Estimator) Band(entry string, declared time.Duration) almondcross.Band {
	estimate := estimator.Estimate(entry, declared)
	for band, limit := range limits {
		if estimate <= limit {
			return almondcross.Band(band)
		}
	}
	return almondcross.Band(len(limits))
}

// StragglesAfter returns the run time from which a task of an entry is a straggler, 0 for never.
func (estimator *Estimator) StragglesAfter(entry string, declared time.Duration) time.Duration {
	known, ok := estimator.entries[entry]
	if (!ok || known.total < trusted) && declared <= 0 {
		return 0
	}
	return max(straggleLeast, straggleFactor*estimator.Estimate(entry, declared))
}
