package committer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds an append of usage records or of the pointer.
	appendTimeout = 1200 * time.Millisecond
	// electionTimeout bounds the conditional append of an election, which must not be repeated: its repeat finds that the
	// journal does not end at the expected offset.
	electionTimeout = 350 * time.Millisecond
	// pointerKey is the key of the record that holds the pointer.
	pointerKey = "scheduler"
)

// Config holds the dependencies and settings of a committer.
type Config struct {
	Writer      almondcross.StoreWriter
	Codec       almondcross.JournalCodec
	KeyedCodec  almondcross.WorkerCodec
	Sink        almondcross.Sink[almondcross.SchedulerMessage]
	Clock       almondcross.Clock
	Log         almondcross.EventLog
	Journal     almondcross.Partition
	Snapshots   almondcross.Partition
	Pointers    almondcross.Partition
	Usage       almondcross.Partition
	Name        string // Name is the writer name that all schedulers share, so that their epochs are compared.
	RecordBytes int    // RecordBytes is the maximum size of a record in bytes.
	CallBytes   int    // CallBytes is the maximum size in bytes of the records of one append.
}

// Committer writes journal batches, snapshots, usage and the pointer to the store.
type Committer struct {
	config    Config
	snapshots snapshotSets // snapshots is used by the duty of RunSnapshots alone.
}

// New returns a committer.
func New(config Config) *Committer { return &Committer{config: config} }

// RunJournal appends batches to the journal until the context ends.
func (committer *Committer) RunJournal(ctx context.Context, requests *ring.Ring[almondcross.JournalCommit]) error {
	return ring.Serve(ctx, requests, committer.commitBatches)
}

// RunSnapshots stores snapshots until the context ends.
func (committer *Committer) RunSnapshots(ctx context.Context, requests *ring.Ring[almondcross.SnapshotStore]) error {
	return ring.Serve(ctx, requests, committer.storeSnapshot)
}

// RunPointers stores pointers to the scheduler until the context ends.
func (committer *Committer) RunPointers(ctx context.Context, pointers *ring.Ring[almondcross.SchedulerPointer]) error {
	return ring.Serve(ctx, pointers, func(ctx context.Context, pointer almondcross.SchedulerPointer) {
		if err := committer.storePointer(ctx, pointer); err != nil {
			committer.config.Log.Record("pointer_failed", almondcross.Number("epoch", pointer.Epoch()), almondcross.Text("reason", err.Error()))
		}
	})
}

// RunUsage stores the usage of queues until the context ends.
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
		record, err := committer.config.KeyedCodec.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: key, Value: value}))
		if err != nil {
			return errors.Trace(err)
		}
		records[index] = record
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := committer.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: committer.config.Usage, Records: records,
	}))
	return errors.Trace(err)
}

func (committer *Committer) storePointer(ctx context.Context, pointer almondcross.SchedulerPointer) error {
	value, err := committer.config.Codec.EncodePointer(pointer)
	if err != nil {
		return errors.Trace(err)
	}
	record, err := committer.config.KeyedCodec.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: pointerKey, Value: value}))
	if err != nil {
		return errors.Trace(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = committer.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: committer.config.Pointers, Records: [][]byte{record},
	}))
	return errors.Trace(err)
}

func (committer *Committer) commitBatches(ctx context.Context, request almondcross.JournalCommit) {
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
	config := almondcross.StoreAppendConfig{
		Partition: committer.config.Journal, Records: records, Conditional: request.Election(), ExpectedEnd: request.ExpectedEnd(),
	}
	if request.Sequence() > 0 {
		config.Writer, config.Epoch, config.Sequence = committer.config.Name, request.Epoch(), request.Sequence()
	}
	appended, err := committer.appendToJournal(ctx, almondcross.NewStoreAppend(config))
	if err != nil {
		return almondcross.StoreAppended{}, errors.Trace(err)
	}
	// The answer holds the offset after these records. The end in the response may be another one: a retried append
	// returns its first response, and other records may have been appended since.
	return appended.WithEnd(appended.Offset() + int64(len(records))), nil
}

// appendToJournal sends an append to the journal, repeatedly unless it belongs to an election.
func (committer *Committer) appendToJournal(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	if !batch.Conditional() && batch.Sequence() > 0 {
		return committer.appendHedged(ctx, batch)
	}
	callCtx, cancel := context.WithTimeout(ctx, electionTimeout)
	defer cancel()
	return committer.config.Writer.Append(callCtx, batch)
}
