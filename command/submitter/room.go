package submitter

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// maxRefusalAge is the time after which a refused job is offered to the scheduler again, although its caller may have been told to
// return later: room returns with each job that ends.
const maxRefusalAge = time.Second

// refusal is the last refusal of the scheduler for a holder: its state has no room for a job of some bytes.
type refusal struct {
	bytes int64
	at    time.Time
	after time.Duration // after is the time after which the caller may return.
}

// refusals holds what is known of the room in the state. The number of holders is bounded by the configuration: only jobs of
// configured queues and workspaces get here.
type refusals map[almondcross.StateHolder]refusal

// note adds a refusal.
func (refusals refusals) note(job almondcross.Job, after time.Duration, now time.Time) {
	refusals[job.Holder()] = refusal{bytes: job.AdmissionBytes(), at: now, after: after}
}

// errorFor returns the error of a job for which the scheduler is known to have no room, nil if it may have some: it has refused one of
// the holder that needs no more. A cancellation may be that of a known job, which needs no room.
func (refusals refusals) errorFor(intake almondcross.Intake, now time.Time) error {
	last, found := refusals[intake.Job().Holder()]
	if !found || intake.Cancel() {
		return nil
	}
	if now.Sub(last.at) >= maxRefusalAge {
		delete(refusals, intake.Job().Holder())
		return nil
	}
	if intake.Job().AdmissionBytes() < last.bytes {
		return nil
	}
	return noRoom(last.after - now.Sub(last.at))
}

// noRoom returns the error of a job for which the state has no room.
func noRoom(after time.Duration) error {
	return almondcross.NewNotStoredError(errors.Annotate(almondcross.ErrNotStored, "no memory is free for further jobs"), after)
}

// intakeReadTime is the time after which a scheduler that answers has read an intake. Its reads wait for two seconds at most.
const intakeReadTime = 3 * time.Second

// unread holds the jobs that this host has stored in the intake and that the scheduler may not have read. They are accepted without the
// scheduler's confirmation that its state has room for them.
type unread struct {
	parts []unreadPart // parts is sorted by time.
	bytes int64        // bytes is the sum of all parts.
}

// unreadPart is what was stored at one time.
type unreadPart struct {
	storedAt time.Time
	bytes    int64
}

// take counts a job that is to be stored and reports false if there would be more than limit bytes, 0 for no limit. A job that is alone is
// stored whatever it needs.
func (unread *unread) take(job almondcross.Job, limit int64, now time.Time) bool {
	needed := job.AdmissionBytes()
	if limit > 0 && unread.bytes > 0 && unread.bytes+needed > limit {
		return false
	}
	unread.bytes += needed
	if last := len(unread.parts) - 1; last >= 0 && unread.parts[last].storedAt.Equal(now) {
		unread.parts[last].bytes += needed
	} else {
		unread.parts = append(unread.parts, unreadPart{storedAt: now, bytes: needed})
	}
	return true
}

// confirmed notes that the scheduler has confirmed an intake that was sent to it at a time. It reads the intake all the time, so it has
// the jobs that were stored before, and those of some time ago, even if its answers are late.
func (unread *unread) confirmed(sentAt, now time.Time) {
	unread.parts = slices.DeleteFunc(unread.parts, func(part unreadPart) bool {
		read := part.storedAt.Before(sentAt) || now.Sub(part.storedAt) >= intakeReadTime
		if read {
			unread.bytes -= part.bytes
		}
		return read
	})
}
