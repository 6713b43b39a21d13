package limiter

import (
	"context"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// WatcherConfig holds the dependencies of a watcher.
type WatcherConfig struct {
	Changes *ring.Ring[*Limiter]
	Log     almondcross.EventLog
	// OnChange is called with the state of a limit after each change.
	OnChange func(name string, reached bool)
}

// Watcher is the duty that reports when a limit is reached, and when it is relaxed again.
type Watcher struct {
	config   WatcherConfig
	reported map[*Limiter]report // reported holds what was reported last of each limit.
}

// report is the reported state of a limit.
type report struct {
	reached bool
	refused int64 // refused is the number of refusals by then.
}

// NewWatcher returns a watcher of the limiters that send their changes to its ring.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{config: config, reported: map[*Limiter]report{}}
}

// Run reports changes until the context ends.
func (watcher *Watcher) Run(ctx context.Context) error {
	return ring.Serve(ctx, watcher.config.Changes, watcher.handle)
}

func (watcher *Watcher) handle(_ context.Context, limiter *Limiter) {
	// The mark is cleared before the state is read, so that a later change is announced again.
	limiter.announced.Store(false)
	before, after := watcher.reported[limiter], report{reached: limiter.Reached(), refused: limiter.refused.Load()}
	if before.reached == after.reached {
		return // The state has changed back meanwhile.
	}
	watcher.reported[limiter] = after
	event := "limit_relaxed"
	if after.reached {
		event = "limit_reached"
	}
	watcher.config.Log.Record(event, almondcross.Text("limit", limiter.Name()), almondcross.Number("used", limiter.used.Load()),
		almondcross.Number("of", limiter.config.Limit), almondcross.Number("refused", after.refused-before.refused))
	watcher.config.OnChange(limiter.Name(), after.reached)
}
