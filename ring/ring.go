package ring

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
)

// ErrPutCancelled is returned by Put when its context ends while the ring is full.
const ErrPutCancelled = errors.ConstError("ring: context ended while the ring was full")

// Config holds the name and the capacity of a ring.
type Config struct {
	Name     string
	Capacity int
	Metrics  *metrics.Set // Metrics receives gauges of depth, capacity and refused messages; nil for none.
}

// Ring is a bounded queue of messages for one duty. It is safe for concurrent use.
type Ring[T any] struct {
	name     string
	messages chan T
	refused  atomic.Uint64
}

// New returns an empty ring.
func New[T any](config Config) *Ring[T] {
	ring := &Ring[T]{name: config.Name, messages: make(chan T, config.Capacity)}
	if config.Metrics != nil {
		label := fmt.Sprintf("{ring=%q}", config.Name)
		config.Metrics.NewGauge("almondcross_ring_depth"+label, func() float64 { return float64(ring.Depth()) })
		config.Metrics.NewGauge("almondcross_ring_capacity"+label, func() float64 { return float64(ring.Capacity()) })
		config.Metrics.NewGauge("almondcross_ring_refused_total"+label, func() float64 { return float64(ring.Refused()) })
	}
	return ring
}

// Offer adds a message without blocking. When the ring is full, it counts a refusal and returns false.
func (ring *Ring[T]) Offer(message T) bool {
	select {
	case ring.messages <- message:
		return true
	default:
		ring.refused.Add(1)
		return false
	}
}

// Put adds a message and blocks while the ring is full, until the context ends.
func (ring *Ring[T]) Put(ctx context.Context, message T) error {
	select {
	case ring.messages <- message:
		return nil
	case <-ctx.Done():
		return errors.Annotatef(ErrPutCancelled, "ring %s", ring.name)
	}
}

// Messages returns the channel from which the owning duty receives messages.
func (ring *Ring[T]) Messages() <-chan T { return ring.messages }

// Name returns the name used in metrics and status.
func (ring *Ring[T]) Name() string { return ring.name }

// Depth returns the number of queued messages.
func (ring *Ring[T]) Depth() int { return len(ring.messages) }

// Capacity returns the maximum number of queued messages.
func (ring *Ring[T]) Capacity() int { return cap(ring.messages) }

// Refused returns the number of messages that Offer refused because the ring was full.
func (ring *Ring[T]) Refused() uint64 { return ring.refused.Load() }
