package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

const (
	// pollWait is the time for which the list may keep a read open.
	pollWait = 10 * time.Second
	// retry is the mean time before the next read after an error. A leaving target must be known
	// within 4 s, so it is short.
	retry = 500 * time.Millisecond
)

// Config holds the fields of a new Watcher.
type Config struct {
	List   almondcross.LiveList
	Sink   almondcross.Sink[almondcross.PlacerMessage]
	Logger logrus.FieldLogger
}

// Watcher is the duty that follows the live list.
type Watcher struct {
	config Config
	failed bool
}

// New returns a watcher that knows no list.
func New(config Config) *Watcher { return &Watcher{config: config} }

// Run follows the list until the context ends.
func (watcher *Watcher) Run(ctx context.Context) error {
	var known uint64
	for ctx.Err() == nil {
		hosts, err := watcher.config.List.List(ctx, known, pollWait)
		if err != nil {
			watcher.fail(ctx, err)
			continue
		}
		watcher.recover()
		if hosts.Version() == known {
			continue
		}
		known = hosts.Version()
		message := almondcross.NewTargetsListed(almondcross.TargetsListedConfig{Hosts: hosts})
		if watcher.config.Sink.Put(ctx, message) != nil {
			return nil
		}
	}
	return nil
}

func (watcher *Watcher) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !watcher.failed {
		watcher.failed = true
		watcher.config.Logger.WithError(err).Warn("live list cannot be read")
	}
	timer := time.NewTimer(retry/2 + rand.N(retry))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (watcher *Watcher) recover() {
	if watcher.failed {
		watcher.failed = false
		watcher.config.Logger.Info("live list is read again")
	}
}
