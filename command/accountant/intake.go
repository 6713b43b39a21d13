package accountant

import (
	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Intake passes facts to the accountant's ring and never blocks. Duties on which the accountant itself
// depends get it in place of the accountant. A refusal of the ring marks the interval as incomplete.
type Intake struct {
	ring *ring.Ring[almondcross.AccountantMessage]
}

// NewIntake returns the intake of a ring.
func NewIntake(messages *ring.Ring[almondcross.AccountantMessage]) Intake {
	return Intake{ring: messages}
}

// Account adds an event.
func (intake Intake) Account(event almondcross.AccountEvent) { intake.ring.Offer(event) }

// Record adds a decision to the stories.
func (intake Intake) Record(event almondcross.StoryEvent) { intake.ring.Offer(event) }
