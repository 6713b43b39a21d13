package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// readTimeout bounds a read, in addition to its wait time. A slow store takes 250 ms.
	readTimeout = 1500 * time.Millisecond
	// snapshotTimeout bounds the read of a snapshot, of which each page has a time limit of its own. A full state takes 18 s over a link of
	// 10 Mbit/s.
	snapshotTimeout = 30 * time.Second
	// readKB is the maximum size of the records that one read returns, in kilobytes.
	readKB = 512
)

// Config holds the dependencies of the duties.
type Config struct {
	Reader      almondcross.StoreReader
	Codec       almondcross.JournalCodec
	WorkerCodec almondcross.WorkerCodec
	Locator     almondcross.SchedulerLocator
	Host        string // Host is the name of this host.
	Sink        almondcross.Sink[almondcross.SchedulerMessage]
	Log         almondcross.EventLog
	// Journal is the partition of the journal.
	Journal almondcross.Partition
	// Snapshots is the keyed partition that holds the snapshots.
	Snapshots almondcross.Partition
	// Pointers is the keyed partition that holds the pointer to the scheduler.
	Pointers almondcross.Partition
	Clock    almondcross.Clock
	// Intake is the topic of the intake partitions.
	Intake string
	// Announcements is the keyed partition in which workers announce themselves.
	Announcements almondcross.Partition
	// Configuration is the keyed partition in which operators publish the configuration.
	Configuration almondcross.Partition
	// ConfigurationKey is the key of the configuration records.
	ConfigurationKey string
	// Rejected is called for each version of the configuration that cannot be put in force, nil for no count.
	Rejected func()
	// Confirmed is called after each successful read of the configuration with the time at which it was sent, nil for no call.
	Confirmed func(sentAt time.Time)
	// Large reports whether the cell is so large that its hosts must not read the configuration at one moment after an outage; nil
	// for a small cell.
	Large func() bool
}

// Follower returns the duties that read the store. Each duty may run in its own goroutine.
type Follower struct {
	config         Config
	hedged         almondcross.StoreReader // hedged reads what must be known in time on this host alone: the configuration and the workers.
	decodeFailures *decodeFailures
}

// New returns a follower.
func New(config Config) *Follower {
	return &Follower{
		config: config, hedged: hedgedReader{config.Reader}, decodeFailures: newDecodeFailures(config.Log, config.Clock),
	}
}

// Journal returns the duty that handles queries for the journal.
func (follower *Follower) Journal(queries *ring.Ring[almondcross.JournalQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.JournalQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		read := almondcross.JournalReadConfig{From: query.From(), Next: query.From()}
		records, err := readFrom(ctx, follower.config.Reader, follower.config.Journal, query.From(), query.Wait())
		if err != nil {
			read.Err, read.Next = err, records.First()
		} else {
			read.Next, read.End = query.From()+int64(len(records.Records())), records.End()
			read.Batches = follower.decodeBatches(records)
		}
		follower.reply(ctx, almondcross.NewJournalRead(read))
	})
}

// Intake returns a duty that handles queries for one partition of the intake.
func (follower *Follower) Intake(queries *ring.Ring[almondcross.IntakeQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.IntakeQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		partition := almondcross.Partition{Topic: follower.config.Intake, Number: query.Partition()}
		read := almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From()}
		records, err := readFrom(ctx, follower.config.Reader, partition, query.From(), query.Wait())
		if err != nil {
			read.Err = err
			read.Next = max(read.Next, records.First())
		} else {
			intakes, used := follower.config.Codec.DecodeIntakes(records.Records(), func(index int, err error) {
				follower.decodeFailures.count(partition, records.From()+int64(index), err)
			})
			read.Next, read.Intakes = query.From()+int64(used), intakes
		}
		follower.reply(ctx, almondcross.NewIntakeRead(read))
	})
}

// Snapshot returns the duty that handles queries for the newest snapshot.
func (follower *Follower) Snapshot(queries *ring.Ring[almondcross.SnapshotQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.SnapshotQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		var read almondcross.SnapshotReadConfig
		records, _, err := readNewest(ctx, follower.config.Reader, follower.config.Snapshots, snapshotTimeout)
		for _, record := range records {
			if len(record.Value()) > 0 {
				read.Keys = append(read.Keys, record.Key())
			}
		}
		if err == nil {
			read.Snapshot, read.Found, err = follower.config.Codec.DecodeSnapshot(records)
			if err != nil && !errors.Is(err, almondcross.ErrStateTooLarge) {
				// Malformed records are left out. Without a snapshot, the scheduler reads the journal from its oldest record.
				follower.decodeFailures.count(follower.config.Snapshots, 0, err)
				err = nil
			}
		}
		read.Err = err
		follower.reply(ctx, almondcross.NewSnapshotRead(read))
	})
}

// Workers returns the duty that handles queries for the announced workers.
func (follower *Follower) Workers(queries *ring.Ring[almondcross.WorkersQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.WorkersQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		read := almondcross.WorkersReadConfig{Next: query.From()}
		partition := follower.config.Announcements
		var records []almondcross.KeyedRecord
		var err error
		if query.From() < 0 {
			read.Complete = true
			records, read.Next, err = readNewest(ctx, follower.hedged, partition, readTimeout)
		} else {
			records, read.Next, err = follower.readKeyed(ctx, partition, query.From(), 0)
		}
		read.Err = err
		for _, record := range records {
			change := almondcross.WorkerChangeConfig{ID: record.Key()}
			if len(record.Value()) > 0 {
				worker, err := follower.config.WorkerCodec.DecodeWorker(record.Key(), record.Value())
				if err != nil {
					follower.decodeFailures.countKeyed(partition, record, err)
				} else {
					change.Present, change.Worker = true, worker
				}
			}
			read.Changes = append(read.Changes, almondcross.NewWorkerChange(change))
		}
		follower.reply(ctx, almondcross.NewWorkersRead(read))
	})
}

// readKeyed returns the keyed records starting at an offset, and the offset after the last of them.
func (follower *Follower) readKeyed(
	ctx context.Context, partition almondcross.Partition, from int64, wait time.Duration,
) ([]almondcross.KeyedRecord, int64, error) {
	records, err := readFrom(ctx, follower.hedged, partition, from, wait)
	if err != nil {
		return nil, from, err
	}
	keyed := make([]almondcross.KeyedRecord, 0, len(records.Records()))
	for index, raw := range records.Records() {
		record, err := follower.config.WorkerCodec.DecodeKeyed(raw, from+int64(index))
		if err != nil {
			follower.decodeFailures.count(partition, from+int64(index), err)
			continue
		}
		keyed = append(keyed, record)
	}
	return keyed, from + int64(len(records.Records())), nil
}

func readFrom(
	ctx context.Context, reader almondcross.StoreReader, partition almondcross.Partition, from int64, wait time.Duration,
) (almondcross.StoreRecords, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	records, err := reader.Read(readCtx, almondcross.NewStoreRead(almondcross.StoreReadConfig{
		Partition: partition, From: from, Wait: wait, MaxKB: readKB,
	}))
	return records, errors.Trace(err)
}

func readNewest(
	ctx context.Context, reader almondcross.StoreReader, partition almondcross.Partition, timeout time.Duration,
) ([]almondcross.KeyedRecord, int64, error) {
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records, end, err := reader.Newest(readCtx, partition)
	return records, end, errors.Trace(err)
}

func (follower *Follower) reply(ctx context.Context, message almondcross.SchedulerMessage) {
	_ = follower.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
}

// decodeBatches returns a batch for each record, the zero value for a record that cannot be decoded: the scheduler
// counts offsets by the batches.
func (follower *Follower) decodeBatches(records almondcross.StoreRecords) []almondcross.JournalBatch {
	batches := make([]almondcross.JournalBatch, len(records.Records()))
	for index, record := range records.Records() {
		batch, err := follower.config.Codec.DecodeBatch(record)
		if err != nil {
			follower.decodeFailures.count(follower.config.Journal, records.From()+int64(index), err)
			continue
		}
		batches[index] = batch
	}
	return batches
}
