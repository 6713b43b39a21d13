package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/ring"
)

// slowStore returns the newest records after the time that they take over a slow link, unless the reader gives up before.
type slowStore struct {
	recordStore
	takes time.Duration
}

func (slowstore *slowStore) Newest(ctx context.Context, partition almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	if !ring.Pause(ctx, slowstore.takes) {
		return nil, 0, almondcross.ErrStoreRefused
	}
	return slowstore.recordStore.Newest(ctx, partition)
}

// Guards against a host that can never load a full state over the slowest link of a deployment: 17 MB in pages that the store encodes in
// base64 take 18 s at 10 Mbit/s.
func TestFullStateIsLoadedOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		codec, err := encoder.NewCodec()
		require.NoError(t, err)
		replies := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
		queries := ring.New[almondcross.SnapshotQuery](ring.Config{Name: "queries", Capacity: 1})
		queries.Offer(almondcross.SnapshotQuery{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		duty := follower.New(follower.Config{Reader: &slowStore{takes: 18 * time.Second}, Codec: codec, Sink: replies, Clock: systemClock{}})
		go func() { _ = duty.Snapshot(queries).Run(ctx) }()
		read, ok := (<-replies.Messages()).(almondcross.SnapshotRead)
		require.True(t, ok)
		require.NoError(t, read.Err())
	})
}
