package replicator

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// DutyConfig holds the dependencies of a Duty.
type DutyConfig struct {
	Machine *Machine
	Ring    *ring.Ring[almondcross.RoutesMessage]
	Clock   almondcross.Clock
}

// Duty passes messages from the ring to the machine and calls it when something is due.
type Duty struct{ config DutyConfig }

// NewDuty returns a duty that is not running; call Run to start it.
func NewDuty(config DutyConfig) *Duty { return &Duty{config: config} }

// Run runs the duty until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	machine := duty.config.Machine
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-duty.config.Ring.Messages():
			machine.Apply(message, duty.config.Clock.Now())
		case <-timer.C:
		}
		now := duty.config.Clock.Now()
		machine.Advance(now)
		timer.Stop()
		if deadline, due := machine.NextDeadline(); due {
			timer.Reset(deadline.Sub(now))
		}
	}
}
