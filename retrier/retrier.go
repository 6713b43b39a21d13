package retrier

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross/ring"
)

// Config holds the settings of a Retrier.
type Config struct {
	MinDelay time.Duration // MinDelay is the delay of the first retry, above 1 ns. A pause takes at least half of its delay and less than the whole.
	MaxDelay time.Duration // MaxDelay is the limit up to which each further delay is twice the one before.
}

// Retrier paces the retries of one operation; a single goroutine may use it.
type Retrier struct {
	config Config
	delay  time.Duration // delay is that of the next retry.
}

// New returns a retrier before its first retry.
func New(config Config) *Retrier { return &Retrier{config: config, delay: config.MinDelay} }

// Reset makes the next pause the first one, after a success of the operation.
func (retrier *Retrier) Reset() { retrier.delay = retrier.config.MinDelay }

// Pause waits before the next retry, or until the context ends.
func (retrier *Retrier) Pause(ctx context.Context) { ring.Pause(ctx, retrier.next()) }

// next returns the next pause, a random one so that hosts do not retry at the same time.
func (retrier *Retrier) next() time.Duration {
	half := retrier.delay / 2
	retrier.delay = min(2*retrier.delay, retrier.config.MaxDelay)
	return half + rand.N(half)
}
