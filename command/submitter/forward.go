package submitter

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// minForwardWait is the shortest wait for the answer to a forwarded intake: several times the sum of a round trip to
	// another region and two appends at the usual speed of the store.
	minForwardWait = 250 * time.Millisecond
	// maxForwardWait bounds the wait when the store is slow. Most callers give up after three seconds.
	maxForwardWait = 1500 * time.Millisecond
	// forwardWaitFactor multiplies the usual time of an answer. An answer takes up to two appends: the one that the
	// scheduler has in flight when the intake arrives, and the one with the intake.
	forwardWaitFactor = 2
	// answerTimeWeight is the weight of a shorter time in the moving average of the times of answers. A longer one replaces it.
	answerTimeWeight = 0.1
	// forwardBackoff is the time for which nothing is forwarded after the scheduler did not answer.
	forwardBackoff = 400 * time.Millisecond
	// lateAnswerLimit is how long a late answer is still recognised.
	lateAnswerLimit = 5 * time.Second
)

// forwarded is an intake that was sent to the scheduler.
type forwarded struct {
	pending *pending
	number  int64
	sentAt  time.Time
	expired bool // expired is set once the intake was passed on to the appender.
}

// forwarder sends intakes to the scheduler, which stores them with the journal. It learns how long answers take, since with a slow
// store they take as long as two appends.
type forwarder struct {
	sent       []*forwarded // sent holds the intakes without an answer in the order in which they were sent.
	lastNumber int64        // lastNumber is the number of the last forwarded intake.
	answerTime time.Duration
	// resumeAt is the time until which nothing is forwarded because the scheduler did not answer.
	resumeAt time.Time
	refusals refusals
	unread   unread
}

// newForwarder returns a forwarder. Answers to intakes of an earlier process must not match those of this one, so its numbers
// begin at a random one.
func newForwarder(firstNumber int64) forwarder {
	return forwarder{lastNumber: firstNumber, refusals: refusals{}}
}

// wait returns how long to wait for the answer to an intake.
func (forwarder *forwarder) wait() time.Duration {
	return min(max(forwardWaitFactor*forwarder.answerTime, minForwardWait), maxForwardWait)
}

// forward sends intakes and returns those that could not be sent.
func (forwarder *forwarder) forward(batch []*pending, send func(almondcross.IntakeForwarded) bool, now time.Time) []*pending {
	if now.Before(forwarder.resumeAt) {
		return batch
	}
	var unsent []*pending
	for _, pending := range batch {
		if !pending.claim() {
			continue
		}
		forwarder.lastNumber++
		if !send(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Number: forwarder.lastNumber, Intake: pending.submission.Intake,
		})) {
			unsent = append(unsent, pending)
			continue
		}
		pending.maybeStored = true
		forwarder.sent = append(forwarder.sent, &forwarded{pending: pending, number: forwarder.lastNumber, sentAt: now})
	}
	return unsent
}

// confirm answers the caller of a forwarded intake. A late answer counts as well: the intake is in the journal.
func (forwarder *forwarder) confirm(answer almondcross.IntakeStored, now time.Time) {
	index, found := slices.BinarySearchFunc(forwarder.sent, answer.Number(), func(sent *forwarded, number int64) int {
		return int(min(max(sent.number-number, -1), 1))
	})
	if !found {
		return
	}
	sent := forwarder.sent[index]
	forwarder.sent = slices.Delete(forwarder.sent, index, index+1)
	forwarder.noteAnswer(now.Sub(sent.sentAt))
	if sent.expired {
		forwarder.resumeAt = time.Time{} // The scheduler answers, only later than expected.
	}
	if answer.RefusedFor() > 0 {
		forwarder.refuse(sent, answer.RefusedFor(), now)
		return
	}
	forwarder.unread.confirmed(sent.sentAt, now)
	var outcome error
	if answer.Taken() {
		outcome = errors.Trace(almondcross.ErrIdentityTaken)
	}
	sent.pending.answer(outcome)
}

// refuse answers the caller of an intake for which the scheduler has no room, unless the intake may have been stored meanwhile.
func (forwarder *forwarder) refuse(sent *forwarded, after time.Duration, now time.Time) {
	forwarder.refusals.note(sent.pending.submission.Intake.Job(), after, now)
	if !sent.expired {
		sent.pending.answer(noRoom(after))
	}
}

// noteAnswer updates the usual time of an answer.
func (forwarder *forwarder) noteAnswer(took time.Duration) {
	if took > forwarder.answerTime {
		forwarder.answerTime = took
		return
	}
	forwarder.answerTime += time.Duration(answerTimeWeight * float64(took-forwarder.answerTime))
}

// expire returns the intakes whose answer is overdue, and forgets those whose answer is no longer recognised.
func (forwarder *forwarder) expire(now time.Time) []*pending {
	var overdue []*pending
	for _, sent := range forwarder.sent {
		if !sent.expired && !now.Before(sent.sentAt.Add(forwarder.wait())) {
			sent.expired = true
			overdue = append(overdue, sent.pending)
		}
	}
	if len(overdue) > 0 {
		forwarder.resumeAt = now.Add(forwardBackoff)
	}
	forwarder.sent = slices.DeleteFunc(forwarder.sent, func(sent *forwarded) bool {
		return sent.expired && now.Sub(sent.sentAt) > lateAnswerLimit
	})
	return overdue
}

// nextExpiry returns when the answer to the first intake is overdue, and false if none is awaited.
func (forwarder *forwarder) nextExpiry() (time.Time, bool) {
	for _, sent := range forwarder.sent {
		if !sent.expired {
			return sent.sentAt.Add(forwarder.wait()), true
		}
	}
	return time.Time{}, false
}
