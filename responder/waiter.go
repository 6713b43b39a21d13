package responder

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
)

// WaiterConfig holds the key that a Waiter waits for.
type WaiterConfig struct {
	Key         almondcross.Key
	Misdirected *metrics.Counter // Misdirected counts outcomes of other keys; nil for none.
}

// Waiter receives the outcome of one request. It takes the first outcome of its own key and
// ignores outcomes of other keys and later ones.
type Waiter struct {
	key         almondcross.Key
	answered    atomic.Bool
	outcomes    chan almondcross.Outcome
	misdirected *metrics.Counter
}

// NewWaiter returns a waiter for one key.
func NewWaiter(config WaiterConfig) *Waiter {
	return &Waiter{key: config.Key, misdirected: config.Misdirected, outcomes: make(chan almondcross.Outcome, 1)}
}

// Reply takes an outcome and never blocks.
func (waiter *Waiter) Reply(outcome almondcross.Outcome) {
	if outcome.Key() != waiter.key {
		if waiter.misdirected != nil {
			waiter.misdirected.Inc()
		}
		return
	}
	if waiter.answered.CompareAndSwap(false, true) {
		waiter.outcomes <- outcome
	}
}

// Outcomes returns the channel on which the outcome arrives.
func (waiter *Waiter) Outcomes() <-chan almondcross.Outcome { return waiter.outcomes }
