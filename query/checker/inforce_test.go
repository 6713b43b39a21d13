package checker_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/standin"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/checker"
)

// trimmedStore keeps the records from an offset on, and returns one of them in each read.
type trimmedStore struct {
	first   int64
	records [][]byte
}

func (store trimmedStore) Read(_ context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	if query.From() < store.first {
		return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{First: store.first}), almondcross.ErrStoreTrimmed
	}
	index := query.From() - store.first
	return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{Records: store.records[index : index+1]}), nil
}

func (store trimmedStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	end := store.first + int64(len(store.records))
	record, err := translator.Codec{}.DecodeKeyed(store.records[len(store.records)-1], end-1)
	return []almondcross.KeyedRecord{record}, end, err
}

// Guards against a comparison with a version that no host has in force: one that was written after a higher one or is invalid, or
// one of another key, and against a read that ends at the first page or at the start of a trimmed partition.
func TestInForceIsTheHighestValidVersion(t *testing.T) {
	store := trimmedStore{first: 3, records: [][]byte{{1}}}
	for _, record := range []struct {
		key     string
		version int
	}{{"config", 2}, {"config", 7}, {"other", 9}, {"config", 5}, {"config", 0}} {
		value, err := standin.RoutesConfiguration(record.version, "main")
		require.NoError(t, err)
		source, err := translator.Codec{}.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: record.key, Value: value}))
		require.NoError(t, err)
		store.records = append(store.records, source)
	}
	stored, err := checker.InForce(t.Context(), checker.StoreConfig{Reader: store, Codec: translator.Codec{}, Key: "config"})
	require.NoError(t, err)
	require.True(t, stored.Found && stored.NewestInvalid)
	require.Equal(t, int64(7), stored.Table.Version())
}
