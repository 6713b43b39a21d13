package usagereader_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/usagereader"
)

// fakeStore is a store that returns the same keyed records for every partition.
type fakeStore []almondcross.KeyedRecord

func (fakeStore) Read(context.Context, almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
}

func (fakestore fakeStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	return fakestore, int64(len(fakestore)), nil
}

// Guards against usage that is decoded into the wrong field or attributed to the wrong period, and against
// unreadable records that are not counted.
func TestReadReturnsUsageInTimeRange(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	from := time.UnixMilli(1_767_225_600_000)
	var store fakeStore
	var want []almondcross.QueueUsage
	for index := range 3 {
		usage := almondcross.NewQueueUsage(almondcross.QueueUsageConfig{
			From: from.Add(time.Duration(index) * 10 * time.Minute), Queue: "q", Pool: "p", Priority: 2, Admitted: 3, Completed: 1, Failed: 1, Cancelled: 1,
			Received: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 7, MemoryMB: 8}),
			Lost:     almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 2}),
			Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 70}),
			Waited:   time.Second, DoneRuns: 4, FailedRuns: 5, AbortedRuns: 6,
		})
		value, err := codec.EncodeQueueUsage(usage)
		require.NoError(t, err)
		store = append(store, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "k", Value: value}))
		want = append(want, usage)
	}
	store = append(store, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "x", Value: []byte("\xff")}))
	account, err := usagereader.Read(t.Context(), usagereader.Config{Reader: store, Codec: codec}, from, from.Add(20*time.Minute))
	require.NoError(t, err)
	require.Equal(t, 1, account.Unreadable)
	require.Equal(t, want[:2], account.Usages)
}
