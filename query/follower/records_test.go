package follower_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/standin"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/ring"
)

// recordStore returns the same records from every read from an offset before end, or from any offset if end is zero.
type recordStore struct {
	records [][]byte
	newest  []almondcross.KeyedRecord
	end     int64
}

func (recordstore *recordStore) Read(ctx context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	if len(recordstore.records) == 0 || recordstore.end > 0 && query.From() >= recordstore.end {
		if !ring.Pause(ctx, query.Wait()) {
			return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
		}
		return almondcross.StoreRecords{}, nil
	}
	return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{
		From: query.From(), End: query.From() + int64(len(recordstore.records)), Records: recordstore.records,
	}), nil
}

func (recordstore *recordStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	return recordstore.newest, max(recordstore.end, 1), nil
}

// ask passes a query to a duty and returns its answer.
func ask[Q, A any](t *testing.T, config follower.Config, duty func(follower *follower.Follower, queries *ring.Ring[Q]) follower.Duty, query Q) A {
	t.Helper()
	replies := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
	queries := ring.New[Q](ring.Config{Name: "queries", Capacity: 1})
	config.Sink, config.Clock = replies, systemClock{}
	queries.Offer(query)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = duty(follower.New(config), queries).Run(ctx) }()
	select {
	case reply := <-replies.Messages():
		answer, ok := reply.(A)
		require.True(t, ok)
		return answer
	case <-time.After(5 * time.Second):
		require.Fail(t, "no answer")
		panic("unreachable")
	}
}

// Guards against leaving out an unreadable record of the journal, which would shift the offsets of the later ones.
func TestJournalReadKeepsThePlaceOfAnUnreadableRecord(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	batch, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 7}))
	require.NoError(t, err)
	read := ask[almondcross.JournalQuery, almondcross.JournalRead](t, follower.Config{
		Reader: &recordStore{records: [][]byte{[]byte("odd"), batch}}, Codec: codec, Log: discardLog{},
	}, (*follower.Follower).Journal, almondcross.NewJournalQuery(almondcross.JournalQueryConfig{From: 3}))
	require.Equal(t, int64(5), read.Next())
	require.Len(t, read.Batches(), 2)
	require.False(t, read.Batches()[0].Readable())
	require.Equal(t, int64(7), read.Batches()[1].Epoch())
}

// Guards against a scheduler that reads the settings of a job without the job, at the end of a read, and goes on after them.
func TestIntakeReadDoesNotSeparateAJobFromItsSettings(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	records, err := codec.EncodeIntake(almondcross.NewIntake(almondcross.IntakeConfig{
		Job: almondcross.NewJob(almondcross.JobConfig{
			ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1})},
		}),
		Settings: almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
			Version: 6, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool"}),
		}),
	}))
	require.NoError(t, err)
	read := ask[almondcross.IntakeQuery, almondcross.IntakeRead](t, follower.Config{
		Reader: &recordStore{records: append(records, []byte{0xff}, records[0])}, Codec: codec, Log: discardLog{},
	}, (*follower.Follower).Intake, almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{From: 3}))
	require.Equal(t, int64(6), read.Next())
	require.Len(t, read.Intakes(), 1)
	require.Equal(t, int64(6), read.Intakes()[0].Settings().Version())
}

// Guards against an entry of another writer that takes the entries of other workers from the list, that names a usable
// worker, or that stops the following of the list.
func TestUnreadableEntryNamesNoWorker(t *testing.T) {
	entry := func(address string) []byte {
		return []byte(`{"service":"s","addr":"` + address + `","state":"ready","capacity":{"cpu":1,"mem_mb":1}}`)
	}
	values := map[string][]byte{
		"w-1": entry("10.0.0.9:1"), "w-2": entry("10.0.0.9:99999999"), "w-3": []byte(strings.Repeat("[", 100_000)), "w-4": entry("10.0.0.9:2"), "\xff": entry("10.0.0.9:3"),
	}
	store := &recordStore{}
	for key, value := range values {
		record := almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: key, Value: value})
		stored, err := translator.Codec{}.EncodeKeyed(record)
		require.NoError(t, err)
		store.newest, store.records = append(store.newest, record), append(store.records, stored)
	}
	store.records = append(store.records, []byte{200, 'a'}, []byte{}, []byte("\x00"+string(entry("10.0.0.9:4"))))
	for _, from := range []int64{-1, 0} {
		read := ask[almondcross.WorkersQuery, almondcross.WorkersRead](t, follower.Config{
			Reader: store, WorkerCodec: translator.Codec{}, Log: discardLog{},
		}, (*follower.Follower).Workers, almondcross.NewWorkersQuery(almondcross.WorkersQueryConfig{From: from}))
		require.NoError(t, read.Err())
		var present []string
		for _, change := range read.Changes() {
			if change.Present() {
				present = append(present, change.ID())
			}
		}
		require.ElementsMatch(t, []string{"w-1", "w-4"}, present, "a read from %d", from)
		require.Equal(t, from < 0, read.Complete())
	}
}

// Guards against a host that serves no callers because it starts while the newest configuration is one of another writer.
func TestEarlierConfigurationReplacesAnUnreadableOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		store := &recordStore{end: 3}
		for _, value := range []string{`{"version":4}`, `{"version":5}`, `{"version":1e400}`} {
			record := almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "config", Value: []byte(value)})
			stored, err := translator.Codec{}.EncodeKeyed(record)
			require.NoError(t, err)
			store.newest, store.records = []almondcross.KeyedRecord{record}, append(store.records, stored)
		}
		var versions []int64
		follower := follower.New(follower.Config{Reader: store, WorkerCodec: translator.Codec{}, Log: discardLog{}, Clock: systemClock{}, ConfigurationKey: "config"})
		require.NoError(t, follower.Routes(func(_ context.Context, record almondcross.RoutesRecord) {
			versions = append(versions, record.Table().Version())
		})(ctx))
		require.Equal(t, []int64{5}, versions)
	})
}

// countingLog counts the lines about unreadable records and rejected versions of the configuration.
type countingLog struct{ lines atomic.Int64 }

func (countinglog *countingLog) Record(event string, _ ...almondcross.LogField) {
	if event == "record_unreadable" || event == "routes_rejected" {
		countinglog.lines.Add(1)
	}
}

// Guards against a log that fills with one line for each read of an unreadable record: the configuration is read every
// five seconds and the pointer up to five times a second.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		log := &countingLog{}
		store := &recordStore{newest: []almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "config", Value: []byte("{")})}}
		follower := follower.New(follower.Config{
			Reader: store, WorkerCodec: translator.Codec{}, Log: log, Clock: systemClock{}, ConfigurationKey: "config",
		})
		require.NoError(t, follower.Routes(func(context.Context, almondcross.RoutesRecord) {})(ctx))
		require.Equal(t, int64(1), log.lines.Load())
	})
}

// Guards against an invalid version that takes the place of the one in force, that is read again without a pause, or that is
// logged at each read; and against a host that does not get over it when the operator has corrected it.
func TestInvalidConfigurationLeavesTheEarlierOneInForce(t *testing.T) {
	valid, invalid := []string{"k"}, []string{"k", "k"}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		log, store, rejected := &countingLog{}, &versionStore{}, 0
		store.add(newVersion(t, 1, valid))
		later := [][]byte{newVersion(t, 2, invalid), newVersion(t, 3, invalid), newVersion(t, 4, valid)}
		go func() {
			for _, version := range later {
				if !ring.Pause(ctx, 10*time.Second) {
					return
				}
				store.add(version)
			}
		}()
		var versions []int64
		follower := follower.New(follower.Config{
			Reader: store, WorkerCodec: translator.Codec{}, Log: log, Clock: systemClock{}, ConfigurationKey: "config", Rejected: func() { rejected++ },
		})
		require.NoError(t, follower.Routes(func(_ context.Context, record almondcross.RoutesRecord) {
			versions = append(versions, record.Table().Version())
		})(ctx))
		require.Equal(t, []int64{1, 4}, versions)
		require.Equal(t, int64(2), log.lines.Load(), "one line for each invalid version")
		require.Equal(t, 2, rejected)
		require.Less(t, store.reads.Load(), int64(100), "a read each 1.3 s, and some at the start")
	})
}

// versionStore holds the versions of a configuration.
type versionStore struct {
	records atomic.Pointer[[][]byte]
	reads   atomic.Int64
}

// newVersion returns the record of a version with a workspace that has some keys.
func newVersion(t *testing.T, version int, keys []string) []byte {
	t.Helper()
	value, err := standin.WorkspacesConfiguration(version, "pool", []standin.Workspace{{Name: "a", Keys: keys}})
	require.NoError(t, err)
	stored, err := translator.Codec{}.EncodeKeyed(almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "config", Value: value}))
	require.NoError(t, err)
	return stored
}

func (versionstore *versionStore) add(record []byte) {
	records := slices.Concat(versionstore.all(), [][]byte{record})
	versionstore.records.Store(&records)
}

func (versionstore *versionStore) all() [][]byte {
	if records := versionstore.records.Load(); records != nil {
		return *records
	}
	return nil
}

func (versionstore *versionStore) Read(ctx context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	versionstore.reads.Add(1)
	if query.From() >= int64(len(versionstore.all())) && !ring.Pause(ctx, query.Wait()) {
		return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
	}
	records := versionstore.all()
	from := min(query.From(), int64(len(records)))
	return almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{From: from, End: int64(len(records)), Records: records[from:]}), nil
}

func (versionstore *versionStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	versionstore.reads.Add(1)
	records := versionstore.all()
	record, err := translator.Codec{}.DecodeKeyed(records[len(records)-1], int64(len(records)-1))
	return []almondcross.KeyedRecord{record}, int64(len(records)), err
}
