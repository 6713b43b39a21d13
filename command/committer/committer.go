package committer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds an append of the account or the pointer.
	appendTimeout = 1200 * time.Millisecond
	// journalTimeout bounds an append to the journal. A slow store takes a quarter of a second, and standbys take
	// over after 600 ms of silence, so a lost answer must be asked for again before.
	journalTimeout = 350 * time.Millisecond
	// snapshotTimeout bounds the append of a snapshot of a few megabytes.
	snapshotTimeout = 3 * time.Second
	// keyedOverhead is what a key adds to the size of a snapshot's part, in bytes.
	keyedOverhead = 4 << 10
	// estimateMargin is the part of a record's size that the estimate of a snapshot's part may take.
	estimateMargin = 2
	// pointerKey is the key of the pointer.
	pointerKey = "scheduler"
)

// Config holds what a committer needs.
type Config struct {
	Writer      almondcross.StoreWriter
	Codec       almondcross.JournalCodec
	Keyed       almondcross.WorkerCodec
	Sink        almondcross.Sink[almondcross.SchedulerMessage]
	Clock       almondcross.Clock
	Log         almondcross.EventLog
	Journal     almondcross.Partition
	Snapshots   almondcross.Partition
	Pointers    almondcross.Partition
	Usage       almondcross.Partition
	Name        string // Name is the name under which all schedulers write, so that epochs apply to all of them.
	RecordBytes int    // RecordBytes is the largest record in bytes.
}

// Committer writes batches and snapshots.
type Committer struct{ config Config }

// New returns a committer.
func New(config Config) *Committer { return &Committer{config: config} }

// RunJournal appends batches until the context ends.
func (committer *Committer) RunJournal(ctx context.Context, requests *ring.Ring[almondcross.JournalCommit]) error {
	return ring.Serve(ctx, requests, committer.commit)
}

// RunSnapshots stores snapshots until the context ends.
func (committer *Committer) RunSnapshots(ctx context.Context, requests *ring.Ring[almondcross.SnapshotStore]) error {
	return ring.Serve(ctx, requests, committer.store)
}

// RunPointers stores pointers to the scheduler until the context ends.
func (committer *Committer) RunPointers(ctx context.Context, pointers *ring.Ring[almondcross.SchedulerPointer]) error {
	return ring.Serve(ctx, pointers, func(ctx context.Context, pointer almondcross.SchedulerPointer) {
		if err := committer.point(ctx, pointer); err != nil {
			committer.config.Log.Record("pointer_failed", almondcross.Number("epoch", pointer.Epoch()), almondcross.Text("reason", err.Error()))
		}
	})
}

// RunUsage stores the account until the context ends.
func (committer *Committer) RunUsage(ctx context.Context, requests *ring.Ring[almondcross.UsageStore]) error {
	return ring.Serve(ctx, requests, func(ctx context.Context, request almondcross.UsageStore) {
		answer := almondcross.NewUsageStored(almondcross.UsageStoredConfig{Usages: request.Usages(), Err: committer.storeUsage(ctx, request.Usages())})
		_ = committer.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
	})
}

func (committer *Committer) storeUsage(ctx context.Context, usages []almondcross.QueueUsage) error {
	records := make([][]byte, len(usages))
	for index, usage := range usages {
		value, err := committer.config.Codec.EncodeQueueUsage(usage)
		if err != nil {
			return errors.Trace(err)
		}
		key := usage.From().UTC().Format(time.RFC3339) + "/" + usage.Queue()
		record, err := committer.config.Keyed.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: key, Value: value}))
		if err != nil {
			return errors.Trace(err)
		}
		records[index] = record
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := committer.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: committer.config.Usage, Records: records,
	}))
	return errors.Trace(err)
}

func (committer *Committer) point(ctx context.Context, pointer almondcross.SchedulerPointer) error {
	value, err := committer.config.Codec.EncodePointer(pointer)
	if err != nil {
		return errors.Trace(err)
	}
	record, err := committer.config.Keyed.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: pointerKey, Value: value}))
	if err != nil {
		return errors.Trace(err)
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = committer.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: committer.config.Pointers, Records: [][]byte{record},
	}))
	return errors.Trace(err)
}

func (committer *Committer) commit(ctx context.Context, request almondcross.JournalCommit) {
	if !ring.Pause(ctx, request.Pause()) {
		return
	}
	started := committer.config.Clock.Now()
	appended, err := committer.append(ctx, request)
	answer := almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
		Commit: request, Appended: appended, Took: committer.config.Clock.Now().Sub(started), Err: err,
	})
	_ = committer.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
}

func (committer *Committer) append(ctx context.Context, request almondcross.JournalCommit) (almondcross.StoreAppended, error) {
	records := make([][]byte, len(request.Batches()))
	for index, batch := range request.Batches() {
		record, err := committer.config.Codec.EncodeBatch(batch)
		if err != nil {
			return almondcross.StoreAppended{}, errors.Trace(err)
		}
		records[index] = record
	}
	limited, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	config := almondcross.StoreAppendConfig{
		Partition: committer.config.Journal, Records: records, Conditional: request.Election(), ExpectedEnd: request.ExpectedEnd(),
	}
	if request.Sequence() > 0 {
		config.Writer, config.Epoch, config.Sequence = committer.config.Name, request.Epoch(), request.Sequence()
	}
	appended, err := committer.config.Writer.Append(limited, almondcross.NewStoreAppend(config))
	if err != nil {
		return almondcross.StoreAppended{}, errors.Trace(err)
	}
	// A repeated append returns its first answer, whose end lies before what was appended since.
	return appended.WithEnd(appended.Offset() + int64(len(records))), nil
}

func (committer *Committer) store(ctx context.Context, request almondcross.SnapshotStore) {
	answer := almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{
		Next: request.Snapshot().Next(), Err: committer.write(ctx, request.Snapshot()),
	})
	_ = committer.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
}

func (committer *Committer) write(ctx context.Context, snapshot almondcross.StateSnapshot) error {
	parts, err := committer.config.Codec.EncodeSnapshot(snapshot, (committer.config.RecordBytes-keyedOverhead)/estimateMargin)
	if err != nil {
		return errors.Trace(err)
	}
	records := make([][]byte, len(parts))
	for index, part := range parts {
		if records[index], err = committer.config.Keyed.EncodeKeyed(part); err != nil {
			return errors.Trace(err)
		}
	}
	limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, err = committer.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: committer.config.Snapshots, Records: records,
	}))
	return errors.Trace(err)
}
