package ring_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/ring"
)

// Guards against a ring that exceeds its capacity or drops messages without counting them as refused.
func TestFullRingRefusesAndCounts(t *testing.T) {
	messages := ring.New[int](ring.Config{Name: "test", Capacity: 2})
	require.True(t, messages.Offer(1))
	require.True(t, messages.Offer(2))
	require.False(t, messages.Offer(3))
	require.Equal(t, uint64(1), messages.Refused())

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.True(t, errors.Is(messages.Put(ctx, 4), ring.ErrPutCancelled))
	require.Equal(t, 1, <-messages.Messages())
	require.Equal(t, 1, messages.Depth())
}
