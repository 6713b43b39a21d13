package ring

import (
	"context"
	"time"
)

// Serve takes messages one after another until the context ends.
func Serve[T any](ctx context.Context, ring *Ring[T], handle func(ctx context.Context, message T)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-ring.Messages():
			handle(ctx, message)
		}
	}
}

// Pause waits for a time and reports false when the context ended before.
func Pause(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
