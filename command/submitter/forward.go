package submitter

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
)

// forwardLimit bounds the wait for the answer to forwarded intakes.
const forwardLimit = 400 * time.Millisecond

// forward sends what the store does not take to the scheduler's host, which stores it with the journal. It
// returns what is left.
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
