package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// eventWait is the time for which a worker may keep a read of events open.
	eventWait = 20 * time.Second
	// eventTimeout ends a read of events whose answer is late.
	eventTimeout = eventWait + 5*time.Second
	// eventRetry is the mean time before the next read of events after an error.
	eventRetry = 200 * time.Millisecond
)

// listen follows the events of a granted term in a goroutine of its own. A read after an index
// tells the worker that the events up to it, and the finished tasks of the inventory, were taken.
func (dispatcher *Dispatcher) listen(ctx context.Context, grant almondcross.Grant) {
	listening, cancel := context.WithCancel(ctx)
	dispatcher.stopListen = cancel
	dispatcher.listeners.Go(func() { dispatcher.follow(listening, grant.Term(), grant.Events()) })
}

func (dispatcher *Dispatcher) follow(ctx context.Context, term almondcross.Term, after uint64) {
	for ctx.Err() == nil {
		events, err := dispatcher.read(ctx, term, after)
		if errors.Is(err, almondcross.ErrTermStale) {
			return
		}
		if err != nil {
			pause(ctx, eventRetry/2+rand.N(eventRetry))
			continue
		}
		for _, event := range events {
			dispatcher.put(ctx, almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
				Target: dispatcher.target.Name(), Term: term, Event: event,
			}))
			after = max(after, event.Index())
		}
	}
}

func (dispatcher *Dispatcher) read(ctx context.Context, term almondcross.Term, after uint64) ([]almondcross.WorkerEvent, error) {
	call, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return dispatcher.config.Observer.Events(call, dispatcher.target, term, after, eventWait)
}

// pause waits for a time or for the end of the context.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
