package submitter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Client passes the submissions of this host's front ends to the submitter. Any goroutine may use it.
type Client struct{ submissions *ring.Ring[Submission] }

// NewClient returns a client that puts submissions on a submitter's ring.
func NewClient(submissions *ring.Ring[Submission]) *Client { return &Client{submissions: submissions} }

// Submit stores an intake and waits for the outcome for at most a time. If the intake was not stored it returns
// almondcross.ErrNotStored, or almondcross.ErrTooLarge if no attempt can succeed, and if that is unknown
// almondcross.ErrMaybeStored. It returns almondcross.ErrIdentityTaken if the scheduler has a job of another queue with the
// identity.
func (client *Client) Submit(ctx context.Context, intake almondcross.Intake, within time.Duration) error {
	submission := Submission{Intake: intake, Outcome: make(chan error, 1), Decided: new(atomic.Bool)}
	if !client.submissions.Offer(submission) {
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
		if submission.Decided.CompareAndSwap(false, true) {
			return errors.Annotate(almondcross.ErrNotStored, "the store was not free in time")
		}
		return errors.Annotatef(almondcross.ErrMaybeStored, "no answer within %s", within)
	}
}
