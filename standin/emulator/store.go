package emulator

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Store models the platform's store: partitions of records with epochs and sequence numbers.
type Store struct {
	partitions map[almondcross.Partition]*storePartition
	// Retention is how long a partition keeps its records; keyed topics keep the newest of each key.
	Retention time.Duration
}

type storePartition struct {
	first   int64
	records []storedRecord
	epochs  map[string]*writerState
}

type storedRecord struct {
	at   time.Duration
	body []byte
}

// writerState is what a partition knows of one writer.
type writerState struct {
	epoch    int64
	sequence int64
	answers  map[int64]almondcross.StoreAppended
}

// NewStore returns an empty store.
func NewStore(retention time.Duration) *Store {
	return &Store{partitions: map[almondcross.Partition]*storePartition{}, Retention: retention}
}

func (store *Store) partition(name almondcross.Partition) *storePartition {
	if store.partitions[name] == nil {
		store.partitions[name] = &storePartition{epochs: map[string]*writerState{}}
	}
	return store.partitions[name]
}

func (storepartition *storePartition) end() int64 {
	return storepartition.first + int64(len(storepartition.records))
}

// Append adds records at a virtual time.
func (store *Store) Append(now time.Duration, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	partition := store.partition(batch.Partition())
	var writer *writerState
	if batch.Writer() != "" {
		writer = partition.epochs[batch.Writer()]
		if writer == nil {
			writer = &writerState{answers: map[int64]almondcross.StoreAppended{}}
			partition.epochs[batch.Writer()] = writer
		}
		switch {
		case batch.Epoch() < writer.epoch:
			return almondcross.StoreAppended{}, almondcross.ErrStoreFenced
		case batch.Epoch() > writer.epoch:
			writer.epoch, writer.sequence, writer.answers = batch.Epoch(), batch.Sequence()-1, map[int64]almondcross.StoreAppended{}
		}
		if answer, repeated := writer.answers[batch.Sequence()]; repeated {
			return answer, nil
		}
		if batch.Sequence() != writer.sequence+1 {
			return almondcross.StoreAppended{}, almondcross.ErrStoreSequence
		}
	}
	if batch.Conditional() && batch.ExpectedEnd() != partition.end() {
		return almondcross.StoreAppended{}, almondcross.ErrStoreMoved
	}
	offset := partition.end()
	for _, record := range batch.Records() {
		partition.records = append(partition.records, storedRecord{at: now, body: record})
	}
	answer := almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: partition.end()})
	if writer != nil {
		writer.sequence = batch.Sequence()
		writer.answers[batch.Sequence()] = answer
		delete(writer.answers, batch.Sequence()-5)
	}
	return answer, nil
}

// Read returns the records from an offset.
func (store *Store) Read(now time.Duration, name almondcross.Partition, from int64) (almondcross.StoreRecords, error) {
	partition := store.partition(name)
	for len(partition.records) > 0 && now-partition.records[0].at > store.Retention {
		partition.records = partition.records[1:]
		partition.first++
	}
	if from < partition.first {
		return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{From: from, First: partition.first}), almondcross.ErrStoreTrimmed
	}
	var records [][]byte
	for _, record := range partition.records[min(from-partition.first, int64(len(partition.records))):] {
		records = append(records, record.body)
	}
	return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{
		From: from, End: partition.end(), First: partition.first, Records: records,
	}), nil
}

// keyedTable is a keyed partition reduced to the newest value of each key.
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

func (keyedtable *keyedTable) newest() []almondcross.KeyedRecord {
	var records []almondcross.KeyedRecord
	for _, key := range keyedtable.keys {
		records = append(records, keyedtable.values[key])
	}
	return records
}
