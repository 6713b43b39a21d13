package submitter

import (
	"sync/atomic"

	"github.com/almondcross/almondcross"
)

// Submission is an intake with the channel that receives its outcome.
type Submission struct {
	Intake  almondcross.Intake
	Outcome chan error // Outcome receives one value, nil for a stored intake; it needs a capacity of 1.
	// Decided is set by the submitter before it sends the intake, or by the caller to withdraw it; the first one decides.
	Decided *atomic.Bool
}

// pending is a submission with its encoded records.
type pending struct {
	submission  Submission
	records     [][]byte
	claimed     bool // claimed is set once the submitter has decided to send the intake.
	answered    bool // answered is set once the caller has its outcome.
	maybeStored bool // maybeStored is set when the intake was sent and may have been stored.
}

// claim reports whether the intake may be sent: its caller has not withdrawn it.
func (pending *pending) claim() bool {
	pending.claimed = pending.claimed || pending.submission.Decided.CompareAndSwap(false, true)
	return pending.claimed
}

// answer passes the outcome to the caller, once.
func (pending *pending) answer(outcome error) {
	if !pending.answered {
		pending.answered = true
		pending.submission.Outcome <- outcome
	}
}
