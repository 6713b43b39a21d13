package limiter

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
)

// Config holds the settings of a limiter.
type Config struct {
	Name    string // Name is the name of the limit in metrics and log lines.
	Limit   int64  // Limit is the amount that all clients may take together.
	Small   int64  // Small is the amount up to which a client may also take of the reserve.
	Reserve int64  // Reserve is the part of the limit for such clients only.
	// Changes receives the limiter when its state has changed. It must hold all limiters that share it.
	Changes almondcross.Sink[*Limiter]
	Metrics *metrics.Set // Metrics receives gauges; nil for none.
}

// Limiter implements almondcross.Limiter.
type Limiter struct {
	config  Config
	share   share
	used    atomic.Int64
	refused atomic.Int64
	// isReached is the state that was announced last, and announced is set while the Watcher has yet to read it.
	isReached atomic.Bool
	announced atomic.Bool
}

// New returns a limiter of which nothing is taken.
func New(config Config) *Limiter {
	limiter := &Limiter{config: config, share: share{limit: config.Limit, small: config.Small, reserve: config.Reserve}}
	if config.Metrics != nil {
		label := fmt.Sprintf("{limit=%q}", config.Name)
		config.Metrics.NewGauge("almondcross_limit_used"+label, func() float64 { return float64(limiter.used.Load()) })
		config.Metrics.NewGauge("almondcross_limit"+label, func() float64 { return float64(config.Limit) })
		config.Metrics.NewGauge("almondcross_limit_refused_total"+label, func() float64 { return float64(limiter.refused.Load()) })
	}
	return limiter
}

// Take takes a further amount for a client that holds some already.
func (limiter *Limiter) Take(held, more int64) bool {
	for {
		used := limiter.used.Load()
		if !limiter.share.allows(used, held, more) {
			limiter.refused.Add(1)
			limiter.setReached(true)
			return false
		}
		if limiter.used.CompareAndSwap(used, used+more) {
			limiter.update(used + more)
			return true
		}
	}
}

// Return returns an amount that was taken.
func (limiter *Limiter) Return(amount int64) { limiter.update(limiter.used.Add(-amount)) }

// Name returns the name of the limit.
func (limiter *Limiter) Name() string { return limiter.config.Name }

// Reached reports whether the limit is reached.
func (limiter *Limiter) Reached() bool { return limiter.isReached.Load() }

func (limiter *Limiter) update(used int64) {
	before := limiter.isReached.Load()
	if after := limiter.share.reached(before, used); after != before {
		limiter.setReached(after)
	}
}

// setReached sets the state and announces a change. While a change is announced already, the Watcher reads the later state.
func (limiter *Limiter) setReached(reached bool) {
	if limiter.isReached.Swap(reached) != reached && limiter.announced.CompareAndSwap(false, true) {
		limiter.config.Changes.Offer(limiter)
	}
}
