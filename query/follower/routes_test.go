package follower_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/follower"
)

// downStore refuses all reads and records when they came.
type downStore struct{ reads []time.Time }

func (downstore *downStore) Read(context.Context, almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
}

func (downstore *downStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	downstore.reads = append(downstore.reads, time.Now())
	return nil, 0, almondcross.ErrStoreRefused
}

// Guards against the hosts of a large cell that all read the complete configuration at one moment when the store is back, against a
// delay of more than a second, and against other pauses in a small cell.
func TestFailedReadsOfTheConfigurationAreSpreadInALargeCell(t *testing.T) {
	for _, large := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			store := &downStore{}
			reader := follower.New(follower.Config{
				Reader: store, WorkerCodec: translator.Codec{}, Log: discardLog{}, Clock: systemClock{}, Large: func() bool { return large },
			})
			require.NoError(t, reader.Routes(func(context.Context, almondcross.RoutesRecord) {})(ctx))
			var pauses []time.Duration
			for index := 1; index < len(store.reads); index++ {
				pauses = append(pauses, store.reads[index].Sub(store.reads[index-1]))
			}
			require.Greater(t, len(pauses), 10)
			require.GreaterOrEqual(t, slices.Min(pauses), 150*time.Millisecond)
			require.LessOrEqual(t, slices.Max(pauses), time.Second)
			require.Equal(t, large, slices.Max(pauses) > slices.Min(pauses))
		})
	}
}
