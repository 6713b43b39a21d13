package submitter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Desk passes the submissions of this host's front ends to the submitter. Any goroutine may use it.
type Desk struct{ submissions *ring.Ring[Submission] }

// NewDesk returns a desk that puts submissions on a submitter's ring.
func NewDesk(submissions *ring.Ring[Submission]) *Desk { return &Desk{submissions: submissions} }

// Submit stores an intake and waits for the outcome for at most a time. If the intake was not stored it returns
// almondcross.ErrNotStored, and if that is unknown almondcross.ErrMaybeStored.
func (desk *Desk) Submit(ctx context.Context, intake almondcross.Intake, within time.Duration) error {
	submission := Submission{Intake: intake, Outcome: make(chan error, 1), Taken: new(atomic.Bool)}
	if !desk.submissions.Offer(submission) {
		return errors.Annotate(almondcross.ErrNotStored, "too many submissions wait")
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case err := <-submission.Outcome:
		return errors.Trace(err)
	case <-ctx.Done():
		return errors.Annotate(almondcross.ErrMaybeStored, "the caller left")
	case <-timer.C:
		if submission.Taken.CompareAndSwap(false, true) {
			return errors.Annotate(almondcross.ErrNotStored, "the store was not free in time")
		}
		return errors.Annotatef(almondcross.ErrMaybeStored, "no answer within %s", within)
	}
}
