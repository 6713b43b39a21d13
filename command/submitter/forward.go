package submitter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// forwardTimeout bounds the wait for the answers to forwarded intakes: several times the sum of a round trip to
// another region and two appends at the usual speed of the store.
const forwardTimeout = 250 * time.Millisecond

// forward sends intakes to the scheduler, which stores them with the journal, and returns those that it did not
// confirm in time.
func (submitter *Submitter) forward(ctx context.Context, batch []pending) []pending {
	waiting := map[int64]int{}
	for index := range batch {
		submitter.lastNumber++
		if submitter.config.Forward(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Number: submitter.lastNumber, Intake: batch[index].submission.Intake,
		})) {
			waiting[submitter.lastNumber] = index
			batch[index].maybeStored = true
		}
	}
	if len(waiting) == 0 {
		return batch
	}
	timer := time.NewTimer(forwardTimeout)
	defer timer.Stop()
	stored := map[int]bool{}
	for len(stored) < len(waiting) {
		select {
		case <-ctx.Done():
			return batch
		case <-timer.C:
			return unconfirmed(batch, stored)
		case answer := <-submitter.config.Stored.Messages():
			if index, known := waiting[answer.Number()]; known && !stored[index] {
				stored[index] = true
				batch[index].submission.Outcome <- outcomeOf(answer)
			}
		}
	}
	return unconfirmed(batch, stored)
}

func outcomeOf(answer almondcross.IntakeStored) error {
	if answer.Taken() {
		return errors.Trace(almondcross.ErrIdentityTaken)
	}
	return nil
}

func unconfirmed(batch []pending, stored map[int]bool) []pending {
	var rest []pending
	for index, pending := range batch {
		if !stored[index] {
			rest = append(rest, pending)
		}
	}
	return rest
}
