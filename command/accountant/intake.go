package accountant

import (
	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Intake sends events to the accountant's ring and never blocks. Duties that the accountant depends on get an Intake
// instead of the Duty, to avoid a dependency cycle. If the ring refuses an event, the interval is marked as incomplete.
type Intake struct {
	ring *ring.Ring[almondcross.AccountantMessage]
}

// NewIntake returns an intake that sends events to a ring.
func NewIntake(messages *ring.Ring[almondcross.AccountantMessage]) Intake {
	return Intake{ring: messages}
}

// Account adds an event to the current interval; it is dropped if the ring is full.
func (intake Intake) Account(event almondcross.AccountEvent) { intake.ring.Offer(event) }

// Record adds a decision about a request; it is dropped if the ring is full.
func (intake Intake) Record(event almondcross.StoryEvent) { intake.ring.Offer(event) }
