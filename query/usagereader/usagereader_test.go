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

// records is a store that holds keyed records.
type records []almondcross.KeyedRecord

func (records) Read(context.Context, almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
}

func (records records) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	return records, int64(len(records)), nil
}

// Guards against usage that is read into another field or hour, and against a sum with a hidden gap.
func TestAccountOfASpan(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	from := time.UnixMilli(1_767_225_600_000)
	var stored records
	var want []almondcross.QueueUsage
	for index := range 3 {
		usage := almondcross.NewQueueUsage(almondcross.QueueUsageConfig{
			From: from.Add(time.Duration(index) * 10 * time.Minute), Queue: "q", Pool: "p", Priority: 2, Admitted: 3, Completed: 1, Failed: 1, Cancelled: 1,
			Received: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 7, MemoryMB: 8}),
			Lost:     almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 2}),
			Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 70}),
			Waited:   time.Second, Done: 4, Unfinished: 5, Withdrawn: 6,
		})
		value, err := codec.EncodeQueueUsage(usage)
		require.NoError(t, err)
		stored = append(stored, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "k", Value: value}))
		want = append(want, usage)
	}
	stored = append(stored, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "x", Value: []byte("\xff")}))
	account, err := usagereader.Read(t.Context(), usagereader.Config{Reader: stored, Codec: codec}, from, from.Add(20*time.Minute))
	require.NoError(t, err)
	require.Equal(t, 1, account.Unreadable)
	require.Equal(t, want[:2], account.Usages)
}
