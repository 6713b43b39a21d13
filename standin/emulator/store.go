package emulator

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Store models the platform's store: partitions of records, with writer epochs and sequence numbers. It is not
// safe for concurrent use.
type Store struct {
	partitions map[almondcross.Partition]*storePartition
	// Retention is how long a partition keeps its records; keyed topics keep the latest record of each key.
	Retention time.Duration
}

type storePartition struct {
	firstOffset int64
	records     []storedRecord
	writers     map[string]*writerState
}

type storedRecord struct {
	appendedAt time.Duration
	body       []byte
}

// writerState is the state of one writer in a partition; appends holds the results of its last five
// appends by sequence number, to recognise repeated ones.
type writerState struct {
	epoch    int64
	sequence int64
	appends  map[int64]almondcross.StoreAppended
}

// NewStore returns an empty store.
func NewStore(retention time.Duration) *Store {
	return &Store{partitions: map[almondcross.Partition]*storePartition{}, Retention: retention}
}

func (store *Store) partition(name almondcross.Partition) *storePartition {
	if store.partitions[name] == nil {
		store.partitions[name] = &storePartition{writers: map[string]*writerState{}}
	}
	return store.partitions[name]
}

func (storepartition *storePartition) end() int64 {
	return storepartition.firstOffset + int64(len(storepartition.records))
}

// Append adds records at a virtual time and returns their offset. It returns ErrStoreFenced for an old epoch,
// ErrStoreSequence for a gap in the sequence numbers, and ErrStoreEndMismatch if the expected end doesn't match.
// A repeated append returns the earlier result.
func (store *Store) Append(now time.Duration, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	partition := store.partition(batch.Partition())
	var writer *writerState
	if batch.Writer() != "" {
		writer = partition.writers[batch.Writer()]
		if writer == nil {
			writer = &writerState{appends: map[int64]almondcross.StoreAppended{}}
			partition.writers[batch.Writer()] = writer
		}
		switch {
		case batch.Epoch() < writer.epoch:
			return almondcross.StoreAppended{}, almondcross.ErrStoreFenced
		case batch.Epoch() > writer.epoch:
			writer.epoch, writer.sequence, writer.appends = batch.Epoch(), batch.Sequence()-1, map[int64]almondcross.StoreAppended{}
		}
		if appended, repeated := writer.appends[batch.Sequence()]; repeated {
			return appended, nil
		}
		if batch.Sequence() != writer.sequence+1 {
			return almondcross.StoreAppended{}, almondcross.ErrStoreSequence
		}
	}
	if batch.Conditional() && batch.ExpectedEnd() != partition.end() {
		return almondcross.StoreAppended{}, almondcross.ErrStoreEndMismatch
	}
	offset := partition.end()
	for _, record := range batch.Records() {
		partition.records = append(partition.records, storedRecord{appendedAt: now, body: record})
	}
	appended := almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: partition.end()})
	if writer != nil {
		writer.sequence = batch.Sequence()
		writer.appends[batch.Sequence()] = appended
		delete(writer.appends, batch.Sequence()-5)
	}
	return appended, nil
}

// Read returns all records starting at an offset, or ErrStoreTrimmed if the offset is already trimmed. It
// first trims the records that are older than the retention.
func (store *Store) Read(now time.Duration, name almondcross.Partition, from int64) (almondcross.StoreRecords, error) {
	partition := store.partition(name)
	for len(partition.records) > 0 && now-partition.records[0].appendedAt > store.Retention {
		partition.records = partition.records[1:]
		partition.firstOffset++
	}
	if from < partition.firstOffset {
		return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{From: from, First: partition.firstOffset}), almondcross.ErrStoreTrimmed
	}
	var records [][]byte
	for _, record := range partition.records[min(from-partition.firstOffset, int64(len(partition.records))):] {
		records = append(records, record.body)
	}
	return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{
		From: from, End: partition.end(), First: partition.firstOffset, Records: records,
	}), nil
}

// keyedTable holds the latest record of each key of a keyed partition.
type keyedTable struct {
	keys   []string
	values map[string]almondcross.KeyedRecord
}

func (keyedtable *keyedTable) put(records []almondcross.KeyedRecord) {
	if keyedtable.values == nil {
		keyedtable.values = map[string]almondcross.KeyedRecord{}
	}
	for _, record := range records {
		if _, known := keyedtable.values[record.Key()]; !known {
			keyedtable.keys = append(keyedtable.keys, record.Key())
			slices.Sort(keyedtable.keys)
		}
		keyedtable.values[record.Key()] = record
	}
}

func (keyedtable *keyedTable) latestRecords() []almondcross.KeyedRecord {
	var records []almondcross.KeyedRecord
	for _, key := range keyedtable.keys {
		records = append(records, keyedtable.values[key])
	}
	return records
}
