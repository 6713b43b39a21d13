package submitter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Desk takes submissions from the front ends of this host.
type Desk struct{ submissions *ring.Ring[Submission] }

// NewDesk returns a desk before a submitter's ring.
func NewDesk(submissions *ring.Ring[Submission]) *Desk { return &Desk{submissions: submissions} }

// Submit stores an intake until a deadline. It returns almondcross.ErrNotStored or almondcross.ErrMaybeStored.
func (desk *Desk) Submit(ctx context.Context, intake almondcross.Intake, deadline time.Time) error {
	submission := Submission{Intake: intake, Deadline: deadline, Outcome: make(chan error, 1)}
	if !desk.submissions.Offer(submission) {
		return errors.Annotate(almondcross.ErrNotStored, "too many submissions wait")
	}
	select {
	case err := <-submission.Outcome:
		return errors.Trace(err)
	case <-ctx.Done():
		return errors.Annotate(almondcross.ErrMaybeStored, "the caller left")
	}
}
