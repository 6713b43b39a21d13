package ring

import (
	"context"
	"time"
)

// Serve passes the messages of a ring to handle, one at a time, until the context ends. It returns nil.
func Serve[T any](ctx context.Context, ring *Ring[T], handle func(ctx context.Context, message T)) error {
	return ServeUntil(ctx, nil, ring, handle)
}

// ServeUntil is like Serve, but also returns once a channel is closed and the ring is empty.
func ServeUntil[T any](ctx context.Context, closed <-chan struct{}, ring *Ring[T], handle func(ctx context.Context, message T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-ring.Messages():
			handle(ctx, message)
		case <-closed:
			for ring.Depth() > 0 && ctx.Err() == nil {
				handle(ctx, <-ring.Messages())
			}
			return nil
		}
	}
}

// Pause blocks for the duration. It returns false if the context ends first.
func Pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
