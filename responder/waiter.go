package responder

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
)

// WaiterConfig holds the settings of a Waiter.
type WaiterConfig struct {
	Key         almondcross.Key
	Misdirected *metrics.Counter // Misdirected counts outcomes of other keys; nil to count nothing.
}

// Waiter receives the outcome of one request. It accepts the first outcome of its own key and ignores
// later outcomes and those of other keys. It is safe for concurrent use.
type Waiter struct {
	key         almondcross.Key
	replied     atomic.Bool
	outcomes    chan almondcross.Outcome
	misdirected *metrics.Counter
}

// NewWaiter returns a waiter for one key.
func NewWaiter(config WaiterConfig) *Waiter {
	return &Waiter{key: config.Key, misdirected: config.Misdirected, outcomes: make(chan almondcross.Outcome, 1)}
}

// Reply delivers an outcome and never blocks.
func (waiter *Waiter) Reply(outcome almondcross.Outcome) {
	if outcome.Key() != waiter.key {
		if waiter.misdirected != nil {
			waiter.misdirected.Inc()
		}
		return
	}
	if waiter.replied.CompareAndSwap(false, true) {
		waiter.outcomes <- outcome
	}
}

// Outcomes returns the channel that receives the outcome.
func (waiter *Waiter) Outcomes() <-chan almondcross.Outcome { return waiter.outcomes }
