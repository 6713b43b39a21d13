package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// eventWait is the maximum time for which a worker may delay the answer to a read until there are events.
	eventWait = 20 * time.Second
	// eventTimeout bounds a read of events.
	eventTimeout = eventWait + 5*time.Second
	// eventRetryDelay is the mean delay before the next read of events after an error.
	eventRetryDelay = 200 * time.Millisecond
)

// startListener reads the events of a granted term in a separate goroutine. A read after an index
// acknowledges the events up to that index and the finished tasks of the grant's inventory.
func (dispatcher *Dispatcher) startListener(ctx context.Context, grant almondcross.Grant) {
	listening, cancel := context.WithCancel(ctx)
	dispatcher.cancelListener = cancel
	dispatcher.listeners.Go(func() { dispatcher.listen(listening, grant.Term(), grant.Events()) })
}

func (dispatcher *Dispatcher) listen(ctx context.Context, term almondcross.Term, after uint64) {
	for ctx.Err() == nil {
		events, err := dispatcher.readEvents(ctx, term, after)
		if errors.Is(err, almondcross.ErrTermStale) {
			return
		}
		if err != nil {
			pause(ctx, eventRetryDelay/2+rand.N(eventRetryDelay))
			continue
		}
		for _, event := range events {
			dispatcher.report(ctx, almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
				Target: dispatcher.target.Name(), Term: term, Event: event,
			}))
			after = max(after, event.Index())
		}
	}
}

func (dispatcher *Dispatcher) readEvents(ctx context.Context, term almondcross.Term, after uint64) ([]almondcross.WorkerEvent, error) {
	callCtx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return dispatcher.config.Observer.Events(callCtx, dispatcher.target, term, after, eventWait)
}

// pause waits until a time has elapsed or the context has ended.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
