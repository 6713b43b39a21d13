package submitter

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
)

// forwardLimit bounds the wait for the answer to forwarded intakes: the way to another region and back and
// two appends of a store at its usual speed, several times over.
const forwardLimit = 250 * time.Millisecond

// forward hands intakes to the scheduler, which stores them with the journal, and returns those that it does
// not answer for.
func (submitter *Submitter) forward(ctx context.Context, batch []pending) []pending {
	waiting := map[int64]int{}
	for index := range batch {
		submitter.number++
		if submitter.config.Forward(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Number: submitter.number, Intake: batch[index].submission.Intake,
		})) {
			waiting[submitter.number] = index
			batch[index].maybe = true
		}
	}
	if len(waiting) == 0 {
		return batch
	}
	limit := time.NewTimer(forwardLimit)
	defer limit.Stop()
	stored := map[int]bool{}
	for len(stored) < len(waiting) {
		select {
		case <-ctx.Done():
			return batch
		case <-limit.C:
			return remaining(batch, stored)
		case answer := <-submitter.config.Stored.Messages():
			if index, known := waiting[answer.Number()]; known && !stored[index] {
				stored[index] = true
				batch[index].submission.Outcome <- nil
			}
		}
	}
	return remaining(batch, stored)
}

func remaining(batch []pending, stored map[int]bool) []pending {
	var left []pending
	for index, pending := range batch {
		if !stored[index] {
			left = append(left, pending)
		}
	}
	return left
}
