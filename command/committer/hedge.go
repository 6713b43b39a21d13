package committer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// hedgeDelay is the time after which an append without an answer is sent again. Standbys stand for election after 600 ms of
	// silence, so an append whose response was lost must be repeated before that.
	hedgeDelay = 350 * time.Millisecond
	// maxAttempts is the number of attempts of an append. The answer of a slow store may come later than hedgeDelay, and is lost
	// if its attempt is given up then.
	maxAttempts = 4
	// hedgedTimeout bounds all attempts of an append.
	hedgedTimeout = maxAttempts * hedgeDelay
)

// attempt is the result of one attempt of an append.
type attempt struct {
	appended almondcross.StoreAppended
	err      error
}

// appendHedged sends an append that has a sequence number, and sends it again after each hedgeDelay without an answer. The store carries
// it out once and gives all attempts the same answer, so the first answer counts. It returns an error once no attempt is pending.
func (committer *Committer) appendHedged(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	ctx, cancel := context.WithTimeout(ctx, hedgedTimeout)
	defer cancel()
	attempts := make(chan attempt, maxAttempts) // Each attempt may put its result after the first answer was taken.
	send := func() {
		appended, err := committer.config.Writer.Append(ctx, batch)
		attempts <- attempt{appended: appended, err: err}
	}
	ticker := time.NewTicker(hedgeDelay)
	defer ticker.Stop()
	go send()
	for sent, pending := 1, 1; ; {
		select {
		case result := <-attempts:
			pending--
			if result.err == nil || pending == 0 || isFinal(result.err) {
				return result.appended, errors.Trace(result.err)
			}
		case <-ticker.C:
			if sent < maxAttempts {
				sent++
				pending++
				go send()
			}
		}
	}
}

// isFinal reports whether further attempts of an append get the same error.
func isFinal(err error) bool {
	return errors.Is(err, almondcross.ErrStoreFenced) || errors.Is(err, almondcross.ErrStoreSequence)
}
