package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// readTimeout bounds a read beyond the time for which its answer may wait. A slow store takes a
	// quarter of a second.
	readTimeout = 1500 * time.Millisecond
	// intakeWait is how long a read of an intake partition waits for a record.
	intakeWait = 2 * time.Second
	// readKB is the most kilobytes that one read returns.
	readKB = 512
)

// Config holds what the duties need.
type Config struct {
	Reader  almondcross.StoreReader
	Codec   almondcross.JournalCodec
	Workers almondcross.WorkerCodec
	Locator almondcross.SchedulerLocator
	Host    string // Host is the name of this host.
	Sink    almondcross.Sink[almondcross.SchedulerMessage]
	Log     almondcross.EventLog
	// Journal is the partition of the journal.
	Journal almondcross.Partition
	// Snapshots is the keyed partition of the snapshots.
	Snapshots almondcross.Partition
	// Pointers is the keyed partition of the pointer to the scheduler.
	Pointers almondcross.Partition
	Clock    almondcross.Clock
	// Intake is the topic of the intake partitions.
	Intake string
	// Announcements is the keyed partition in which workers announce themselves.
	Announcements almondcross.Partition
	// Configuration is the keyed partition in which operators publish the configuration.
	Configuration almondcross.Partition
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey string
}

// Follower holds the duties that read the store.
type Follower struct {
	config Config
	broken *brokenRecords
}

// New returns a follower.
func New(config Config) *Follower {
	return &Follower{config: config, broken: newBrokenRecords(config.Log)}
}

// Journal answers queries for the journal.
func (follower *Follower) Journal(queries *ring.Ring[almondcross.JournalQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.JournalQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		answer := almondcross.JournalReadConfig{From: query.From(), Next: query.From()}
		records, err := follower.read(ctx, follower.config.Journal, query.From(), query.Wait())
		if err != nil {
			answer.Err, answer.Next = err, records.First()
		} else {
			answer.Next, answer.End = query.From()+int64(len(records.Records())), records.End()
			answer.Batches = decode(follower, follower.config.Journal, records, follower.config.Codec.DecodeBatch)
		}
		follower.answer(ctx, almondcross.NewJournalRead(answer))
	})
}

// Intake answers queries for one partition of the intake.
func (follower *Follower) Intake(queries *ring.Ring[almondcross.IntakeQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.IntakeQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		partition := almondcross.Partition{Topic: follower.config.Intake, Number: query.Partition()}
		answer := almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From()}
		records, err := follower.read(ctx, partition, query.From(), intakeWait)
		if err != nil {
			answer.Err = err
			answer.Next = max(answer.Next, records.First())
		} else {
			answer.Next = query.From() + int64(len(records.Records()))
			answer.Intakes = decode(follower, partition, records, follower.config.Codec.DecodeIntake)
		}
		follower.answer(ctx, almondcross.NewIntakeRead(answer))
	})
}

// Snapshot answers queries for the newest snapshot.
func (follower *Follower) Snapshot(queries *ring.Ring[almondcross.SnapshotQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.SnapshotQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		var answer almondcross.SnapshotReadConfig
		records, _, err := follower.newest(ctx, follower.config.Snapshots)
		if err == nil {
			answer.Snapshot, answer.Found, err = follower.config.Codec.DecodeSnapshot(records)
			if err != nil {
				// The journal is followed from its oldest record instead.
				follower.broken.count(follower.config.Snapshots, 0, err)
				err = nil
			}
		}
		answer.Err = err
		follower.answer(ctx, almondcross.NewSnapshotRead(answer))
	})
}

// Workers answers queries for the announced workers.
func (follower *Follower) Workers(queries *ring.Ring[almondcross.WorkersQuery]) Duty {
	return serve(queries, func(ctx context.Context, query almondcross.WorkersQuery) {
		if !ring.Pause(ctx, query.Pause()) {
			return
		}
		answer := almondcross.WorkersReadConfig{Next: query.From()}
		partition := follower.config.Announcements
		var records []almondcross.KeyedRecord
		var err error
		if query.From() < 0 {
			answer.Whole = true
			records, answer.Next, err = follower.newest(ctx, partition)
		} else {
			records, answer.Next, err = follower.keyed(ctx, partition, query.From(), 0)
		}
		answer.Err = err
		for _, record := range records {
			change := almondcross.WorkerChangeConfig{ID: record.Key()}
			if len(record.Value()) > 0 {
				worker, err := follower.config.Workers.DecodeWorker(record.Key(), record.Value())
				if err != nil {
					follower.broken.count(partition, record.Offset(), err)
				} else {
					change.Present, change.Worker = true, worker
				}
			}
			answer.Changes = append(answer.Changes, almondcross.NewWorkerChange(change))
		}
		follower.answer(ctx, almondcross.NewWorkersRead(answer))
	})
}

// keyed returns the keyed records from an offset and the offset after the last of them.
func (follower *Follower) keyed(
	ctx context.Context, partition almondcross.Partition, from int64, wait time.Duration,
) ([]almondcross.KeyedRecord, int64, error) {
	records, err := follower.read(ctx, partition, from, wait)
	if err != nil {
		return nil, from, err
	}
	list := make([]almondcross.KeyedRecord, 0, len(records.Records()))
	for index, source := range records.Records() {
		record, err := follower.config.Workers.DecodeKeyed(source, from+int64(index))
		if err != nil {
			follower.broken.count(partition, from+int64(index), err)
			continue
		}
		list = append(list, record)
	}
	return list, from + int64(len(records.Records())), nil
}

func (follower *Follower) read(
	ctx context.Context, partition almondcross.Partition, from int64, wait time.Duration,
) (almondcross.StoreRecords, error) {
	limited, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	records, err := follower.config.Reader.Read(limited, almondcross.NewStoreRead(almondcross.StoreReadConfig{
		Partition: partition, From: from, Wait: wait, MaxKB: readKB,
	}))
	return records, errors.Trace(err)
}

func (follower *Follower) newest(ctx context.Context, partition almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, end, err := follower.config.Reader.Newest(limited, partition)
	return records, end, errors.Trace(err)
}

func (follower *Follower) answer(ctx context.Context, message almondcross.SchedulerMessage) {
	_ = follower.config.Sink.Put(ctx, message) // Put fails only when the context has ended.
}

func decode[T any](
	follower *Follower, partition almondcross.Partition, records almondcross.StoreRecords, decode func([]byte) (T, error),
) []T {
	list := make([]T, 0, len(records.Records()))
	for index, record := range records.Records() {
		value, err := decode(record)
		if err != nil {
			follower.broken.count(partition, records.From()+int64(index), err)
			continue
		}
		list = append(list, value)
	}
	return list
}
