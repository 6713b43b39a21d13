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

// sendShare is the share of the time of a submission within which it has to be sent. After that it is withdrawn, which the caller
// can rely on, and has time for another attempt elsewhere. A submission that was sent is waited for: without its outcome the caller may
// not repeat it.
const sendShare = 0.5

// Submit stores an intake and waits for the outcome for at most a time. If the intake was not stored it returns
// almondcross.ErrNotStored, or almondcross.ErrTooLarge if no attempt can succeed, and if that is unknown
// almondcross.ErrMaybeStored. It returns almondcross.ErrIdentityTaken if the scheduler has a job of another queue with the
// identity.
func (client *Client) Submit(ctx context.Context, intake almondcross.Intake, within time.Duration) error {
	submission := Submission{Intake: intake, Outcome: make(chan error, 1), Decided: new(atomic.Bool)}
	if !client.submissions.Offer(submission) {
		return errors.Annotate(almondcross.ErrNotStored, "too many submissions wait")
	}
	sendBy := time.NewTimer(time.Duration(sendShare * float64(within)))
	defer sendBy.Stop()
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	for {
		select {
		case err := <-submission.Outcome:
			return errors.Trace(err)
		case <-ctx.Done():
			return errors.Annotate(almondcross.ErrMaybeStored, "the caller left")
		case <-sendBy.C:
			if submission.Decided.CompareAndSwap(false, true) {
				return errors.Annotate(almondcross.ErrNotStored, "the store was not free in time")
			}
		case <-timeout.C:
			return errors.Annotatef(almondcross.ErrMaybeStored, "no answer within %s", within.Round(time.Millisecond))
		}
	}
}
