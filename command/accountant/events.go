package accountant

import (
	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// EventQueue sends events to the accountant's ring and never blocks. Duties that the accountant depends on get an
// EventQueue instead of the Duty, to avoid a dependency cycle. If the ring refuses an event, the interval is marked as
// incomplete.
type EventQueue struct {
	ring *ring.Ring[almondcross.AccountantMessage]
}

// NewEventQueue returns a queue that sends events to a ring.
func NewEventQueue(messages *ring.Ring[almondcross.AccountantMessage]) EventQueue {
	return EventQueue{ring: messages}
}

// Account adds an event to the current interval; it is dropped if the ring is full.
func (eventqueue EventQueue) Account(event almondcross.AccountEvent) { eventqueue.ring.Offer(event) }

// Record adds a decision about a request; it is dropped if the ring is full.
func (eventqueue EventQueue) Record(event almondcross.DecisionEvent) { eventqueue.ring.Offer(event) }
