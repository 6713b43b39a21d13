package committer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/committer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/ring"
)

// The limits of the platform's store.
const (
	recordBytes = 262_144
	callBytes   = 2_097_152
)

// limitedStore is a keyed partition of a store that refuses appends beyond the platform's limits.
type limitedStore struct {
	newest    map[string]almondcross.KeyedRecord
	failAfter int // failAfter is the number of appends after which all fail; negative for none.
	appends   int
	lateAfter int                     // lateAfter is the number of appends after which one gets no answer and is kept in late; 0 for none.
	late      almondcross.StoreAppend // late is the append that has not taken effect yet.
}

func (limitedstore *limitedStore) Append(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	if limitedstore.lateAfter > 0 && limitedstore.appends == limitedstore.lateAfter {
		limitedstore.lateAfter, limitedstore.late = 0, batch
		return almondcross.StoreAppended{}, almondcross.ErrStoreUncertain
	}
	return limitedstore.apply(ctx, batch)
}

func (limitedstore *limitedStore) apply(_ context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	size := 0
	for _, record := range batch.Records() {
		size += len(record)
		if len(record) > recordBytes {
			return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
		}
	}
	if size > callBytes || limitedstore.appends == limitedstore.failAfter {
		return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
	}
	limitedstore.appends++
	for _, source := range batch.Records() {
		record, err := translator.Codec{}.DecodeKeyed(source, 0)
		if err != nil {
			return almondcross.StoreAppended{}, err
		}
		limitedstore.newest[record.Key()] = record
		if len(record.Value()) == 0 {
			delete(limitedstore.newest, record.Key())
		}
	}
	return almondcross.StoreAppended{}, nil
}

func (limitedstore *limitedStore) load(t *testing.T) (almondcross.StateSnapshot, bool) {
	t.Helper()
	var records []almondcross.KeyedRecord
	for _, record := range limitedstore.newest {
		records = append(records, record)
	}
	snapshot, found, err := newCodec(t).DecodeSnapshot(records)
	require.NoError(t, err)
	return snapshot, found
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func newCodec(t *testing.T) encoder.Codec {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	return codec
}

// newWriter returns a function that stores a snapshot through a committer of its own, as a host that has just loaded the
// state.
func newWriter(t *testing.T, store *limitedStore) func(snapshot almondcross.StateSnapshot) error {
	t.Helper()
	keys := slices.Sorted(maps.Keys(store.newest))
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
	requests := ring.New[almondcross.SnapshotStore](ring.Config{Name: "snapshots", Capacity: 1})
	writer := committer.New(committer.Config{
		Writer: store, Codec: newCodec(t), KeyedCodec: translator.Codec{}, Sink: answers, Clock: systemClock{},
		Snapshots: almondcross.Partition{Topic: "keyed.snapshots"}, RecordBytes: recordBytes, CallBytes: callBytes,
	})
	go func() { _ = writer.RunSnapshots(t.Context(), requests) }()
	return func(snapshot almondcross.StateSnapshot) error {
		require.True(t, requests.Offer(almondcross.NewSnapshotStore(almondcross.SnapshotStoreConfig{Snapshot: snapshot, EarlierKeys: keys})))
		stored, ok := (<-answers.Messages()).(almondcross.SnapshotStored)
		require.True(t, ok)
		return stored.Err()
	}
}

func newSnapshot(epoch, next int64, jobs int) almondcross.StateSnapshot {
	config := almondcross.StateSnapshotConfig{Next: next, Epoch: epoch, SchedulerEpoch: epoch}
	for index := range jobs {
		config.Jobs = append(config.Jobs, almondcross.NewJobRecord(almondcross.JobRecordConfig{
			Job: almondcross.NewJob(almondcross.JobConfig{ID: almondcross.JobID(fmt.Sprintf("%016x", index)), Payload: strings.Repeat("x", 4000)}),
		}))
	}
	return almondcross.NewStateSnapshot(config)
}

// Guards against a state that is not stored because its snapshot exceeds the store's limit for one append, and
// against records over the limit for one record.
func TestLargeSnapshotIsStoredWithinTheLimitsOfTheStore(t *testing.T) {
	store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
	write := newWriter(t, store)
	for next := int64(1); next <= 3; next++ {
		require.NoError(t, write(newSnapshot(1<<12, next, 2000)))
		snapshot, found := store.load(t)
		require.True(t, found)
		require.Equal(t, next, snapshot.Next())
		require.Len(t, snapshot.Jobs(), 2000)
	}
	require.NoError(t, write(newSnapshot(1<<12, 4, 0)))
	require.Len(t, store.newest, 1, "the parts of earlier snapshots are removed")
}

// Guards against the loss of the only complete snapshot when a scheduler is lost between two appends of the next one.
func TestInterruptedSnapshotKeepsTheEarlierOne(t *testing.T) {
	store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
	write := newWriter(t, store)
	require.NoError(t, write(newSnapshot(1<<12, 1, 2000)))
	store.failAfter = store.appends + 2
	require.Error(t, write(newSnapshot(1<<12, 2, 2000)))
	require.Error(t, write(newSnapshot(1<<12, 3, 1500)))
	snapshot, found := store.load(t)
	require.True(t, found)
	require.Equal(t, int64(1), snapshot.Next())

	successor := newWriter(t, store)
	store.failAfter = store.appends + 1
	require.Error(t, successor(newSnapshot(2<<12, 4, 2000)))
	snapshot, found = store.load(t)
	require.True(t, found)
	require.Equal(t, int64(1), snapshot.Next())

	store.failAfter = -1
	require.NoError(t, successor(newSnapshot(2<<12, 5, 100)))
	snapshot, found = store.load(t)
	require.True(t, found)
	require.Equal(t, int64(5), snapshot.Next())
	require.LessOrEqual(t, len(store.newest), 2, "the parts of the interrupted snapshots are removed")
}

// Guards against a deposed scheduler whose last append takes effect late and removes the snapshot of its successor, which
// has removed the first parts of the deposed one's.
func TestLateAppendOfADeposedSchedulerKeepsTheSuccessorsSnapshot(t *testing.T) {
	for appends := range 5 {
		store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
		require.NoError(t, newWriter(t, store)(newSnapshot(1<<12, 1, 100)))
		deposed, successor := newWriter(t, store), newWriter(t, store)
		store.lateAfter = store.appends + appends
		_ = deposed(newSnapshot(2<<12, 2, 2000)) // It fails if it takes as many appends.
		store.lateAfter = 0
		require.NoError(t, successor(newSnapshot(3<<12, 3, 2000)))
		if len(store.late.Records()) > 0 {
			_, err := store.apply(t.Context(), store.late)
			require.NoError(t, err)
		}
		snapshot, found := store.load(t)
		require.True(t, found, "late after %d appends", appends)
		require.Equal(t, int64(3), snapshot.Next())
	}
}

// Guards against a scheduler that overwrites the only complete snapshot, since the schedulers in between have stored none,
// and is lost before its own is complete.
func TestInterruptedSnapshotKeepsThoseOfAllEarlierEpochs(t *testing.T) {
	for epoch := int64(2); epoch <= 5; epoch++ {
		store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
		require.NoError(t, newWriter(t, store)(newSnapshot(1<<12, 1, 2000)))
		store.failAfter = store.appends + 1
		require.Error(t, newWriter(t, store)(newSnapshot(epoch<<12, 2, 2000)))
		snapshot, found := store.load(t)
		require.True(t, found, "epoch %d", epoch)
		require.Equal(t, int64(1), snapshot.Next())
	}
}

// Guards against an append of a failed snapshot that takes effect while the next snapshot is written, so that neither is
// complete.
func TestLateAppendOfAFailedSnapshotDoesNotMixWithTheNext(t *testing.T) {
	store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
	write := newWriter(t, store)
	require.NoError(t, write(newSnapshot(1<<12, 1, 2000)))
	store.lateAfter = store.appends + 1
	require.Error(t, write(newSnapshot(1<<12, 2, 2000)))
	require.NoError(t, write(newSnapshot(1<<12, 3, 2000)))
	_, err := store.apply(t.Context(), store.late)
	require.NoError(t, err)
	snapshot, found := store.load(t)
	require.True(t, found)
	require.Equal(t, int64(3), snapshot.Next())
}

// Guards against snapshots of schedulers of earlier versions, or of epochs that this host has only seen in the journal, that
// stay in the store for good.
func TestSnapshotsOfEarlierEpochsAreRemoved(t *testing.T) {
	store := &limitedStore{newest: map[string]almondcross.KeyedRecord{}, failAfter: -1}
	answers := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
	requests := ring.New[almondcross.SnapshotStore](ring.Config{Name: "snapshots", Capacity: 1})
	writer := committer.New(committer.Config{
		Writer: store, Codec: newCodec(t), KeyedCodec: translator.Codec{}, Sink: answers, Clock: systemClock{},
		Snapshots: almondcross.Partition{Topic: "keyed.snapshots"}, RecordBytes: recordBytes, CallBytes: callBytes,
	})
	go func() { _ = writer.RunSnapshots(t.Context(), requests) }()
	require.NoError(t, newWriter(t, store)(newSnapshot(1<<12, 1, 200)))
	require.NoError(t, newWriter(t, store)(newSnapshot(9<<12, 1, 200)))
	store.newest["set-0-part-000"] = almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "set-0-part-000", Value: []byte{0}})
	require.True(t, requests.Offer(almondcross.NewSnapshotStore(almondcross.SnapshotStoreConfig{
		Snapshot: newSnapshot(2<<12, 2, 0), EarlierKeys: []string{"set-0-part-000"}, EarlierEpochs: []int64{1 << 12, 2 << 12, 9 << 12},
	})))
	require.Equal(t, int64(2<<12), (<-answers.Messages()).(almondcross.SnapshotStored).Epoch()) //nolint:forcetypeassert // RunSnapshots sends no other message.
	keys := slices.Sorted(maps.Keys(store.newest))
	require.Contains(t, keys, "epoch-0000000000002000-set-0-part-000")
	for _, key := range keys {
		require.NotContains(t, key, "epoch-0000000000001000")
		require.NotEqual(t, "set-0-part-000", key)
	}
	require.Greater(t, len(keys), 1, "the snapshot of the later epoch stays")
}
