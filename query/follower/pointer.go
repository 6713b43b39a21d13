package follower

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// peerQueryDelay is how long a read of the pointer from the store may take before other hosts are queried.
	// A slow store takes 250 ms.
	peerQueryDelay = 400 * time.Millisecond
	// pointerTimeout bounds the whole query; the read from the store may take this long if no other host knows
	// the scheduler.
	pointerTimeout = 800 * time.Millisecond
)

// Pointer returns the duty that handles queries for the pointer to the scheduler. If the read from the store fails
// or takes longer than peerQueryDelay, other hosts are queried.
func (follower *Follower) Pointer(queries *ring.Ring[almondcross.PointerQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.PointerQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		readCtx, cancel := context.WithTimeout(ctx, pointerTimeout)
		defer cancel()
		storeReads := make(chan almondcross.PointerReadConfig, 1)
		go func() { storeReads <- follower.readStoredPointer(readCtx) }()
		delay := time.NewTimer(peerQueryDelay)
		defer delay.Stop()
		select {
		case read := <-storeReads:
			if read.Stored || len(query.Peers()) == 0 {
				follower.reply(ctx, almondcross.NewPointerRead(read))
				return
			}
			storeReads <- read
		case <-delay.C:
		}
		if len(query.Peers()) > 0 {
			pointer, found := follower.config.Locator.Locate(readCtx, query.Peers())
			if found && pointer.Host() != follower.config.Host { // A pointer to this host is outdated, since this host is not the scheduler.
				follower.reply(ctx, almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer, Found: true}))
				return
			}
		}
		follower.reply(ctx, almondcross.NewPointerRead(<-storeReads))
	})
}

// readStoredPointer reads the pointer from the store.
func (follower *Follower) readStoredPointer(ctx context.Context) almondcross.PointerReadConfig {
	started := follower.config.Clock.Now()
	records, _, err := readNewest(ctx, follower.config.Reader, follower.config.Pointers, readTimeout)
	if err != nil {
		return almondcross.PointerReadConfig{Err: err}
	}
	read := almondcross.PointerReadConfig{Stored: true, Took: follower.config.Clock.Now().Sub(started)}
	for _, record := range records {
		pointer, err := follower.config.Codec.DecodePointer(record.Value())
		if err != nil {
			follower.decodeFailures.countKeyed(follower.config.Pointers, record, err)
			continue
		}
		read.Pointer, read.Found = pointer, true
	}
	return read
}
