package follower

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// pointerPatience is how long the store may take to name the scheduler before other hosts are asked. A slow
	// store takes a quarter of a second.
	pointerPatience = 400 * time.Millisecond
	// pointerLimit is how long it may take when no other host knows the scheduler.
	pointerLimit = 800 * time.Millisecond
)

// Pointer answers queries for the scheduler. Where the store does not answer soon, other hosts are asked.
func (follower *Follower) Pointer(queries *ring.Ring[almondcross.PointerQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.PointerQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		limited, cancel := context.WithTimeout(ctx, pointerLimit)
		defer cancel()
		stored := make(chan almondcross.PointerReadConfig, 1)
		go func() { stored <- follower.storedPointer(limited) }()
		patience := time.NewTimer(pointerPatience)
		defer patience.Stop()
		select {
		case answer := <-stored:
			if answer.Stored || len(query.Peers()) == 0 {
				follower.answer(ctx, almondcross.NewPointerRead(answer))
				return
			}
			stored <- answer
		case <-patience.C:
		}
		if len(query.Peers()) > 0 {
			pointer, found := follower.config.Locator.Locate(limited, query.Peers())
			if found && pointer.Host() != follower.config.Host { // This host would know if it were the scheduler.
				follower.answer(ctx, almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: pointer, Found: true}))
				return
			}
		}
		follower.answer(ctx, almondcross.NewPointerRead(<-stored))
	})
}

// storedPointer reads the pointer from the store.
func (follower *Follower) storedPointer(ctx context.Context) almondcross.PointerReadConfig {
	started := follower.config.Clock.Now()
	records, _, err := follower.newest(ctx, follower.config.Pointers)
	if err != nil {
		return almondcross.PointerReadConfig{Err: err}
	}
	read := almondcross.PointerReadConfig{Stored: true, Took: follower.config.Clock.Now().Sub(started)}
	for _, record := range records {
		pointer, err := follower.config.Codec.DecodePointer(record.Value())
		if err != nil {
			follower.broken.count(follower.config.Pointers, record.Offset(), err)
			continue
		}
		read.Pointer, read.Found = pointer, true
	}
	return read
}
