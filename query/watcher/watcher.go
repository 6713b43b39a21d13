package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

const (
	// pollWait is the maximum duration of a long poll.
	pollWait = 10 * time.Second
	// meanRetryDelay is the mean delay before the next read after an error. It is short because a leaving
	// target must be known to the placer within 4 s.
	meanRetryDelay = 500 * time.Millisecond
)

// Config holds the dependencies of a Watcher.
type Config struct {
	List   almondcross.LiveList
	Sink   almondcross.Sink[almondcross.PlacerMessage]
	Logger logrus.FieldLogger
}

// Watcher is the duty that watches the live list.
type Watcher struct {
	config Config
	failed bool
}

// New returns a watcher that has read no version yet.
func New(config Config) *Watcher { return &Watcher{config: config} }

// Run watches the list until the context ends; it always returns nil. Failed reads are retried.
func (watcher *Watcher) Run(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		hosts, err := watcher.config.List.List(ctx, version, pollWait)
		if err != nil {
			watcher.handleError(ctx, err)
			continue
		}
		watcher.logRecovery()
		if hosts.Version() == version {
			continue
		}
		version = hosts.Version()
		message := almondcross.NewTargetsListed(almondcross.TargetsListedConfig{Hosts: hosts})
		if watcher.config.Sink.Put(ctx, message) != nil {
			return nil
		}
	}
	return nil
}

func (watcher *Watcher) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !watcher.failed {
		watcher.failed = true
		watcher.config.Logger.WithError(err).Warn("live list cannot be read")
	}
	timer := time.NewTimer(meanRetryDelay/2 + rand.N(meanRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (watcher *Watcher) logRecovery() {
	if watcher.failed {
		watcher.failed = false
		watcher.config.Logger.Info("live list can be read again")
	}
}
