package encoder_test

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// batchBeforeJobStarts is a record that a scheduler wrote before ChangeJobStarted existed: an assignment and a silent
// worker.
const batchBeforeJobStarts = "8519129f1b0000019b76daa800a10009828c03f6f68470356330653761323164393462333666380001020363772d31606000" +
	"6060008c08f6f6f60063772d3160600060601905dcf4"

var journalTask = almondcross.JobTask{Stage: almondcross.StageID{Job: "5c0e7a21d94b36f8", Step: 1}, Index: 2}

// Guards against a change of the record format after which a host cannot read the journal of the version before: the
// decoder refuses arrays of another length.
func TestBatchOfTheVersionBeforeDecodes(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	record, err := hex.DecodeString(batchBeforeJobStarts)
	require.NoError(t, err)
	batch, err := codec.DecodeBatch(record)
	require.NoError(t, err)
	require.Equal(t, []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: journalTask, Run: 3, Worker: "w-1"}),
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerSilent, Worker: "w-1", LeaseRemaining: 1500 * time.Millisecond}),
	}, batch.Changes())
	again, err := codec.EncodeBatch(batch)
	require.NoError(t, err)
	require.Equal(t, batchBeforeJobStarts, hex.EncodeToString(again), "a host of the version before reads the records of this one")
}

// Guards against a waiting time or a silence that followers of the journal do not see, or see as the lease of a worker.
func TestChangesKeepTheirDuration(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	changes := []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeJobStarted, Task: journalTask, Run: 3, Waited: 84 * time.Millisecond}),
		almondcross.NewChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeEnd, Task: journalTask, Run: 3, Worker: "w-1", End: almondcross.EndWorkerCrashed, Silent: 6700 * time.Millisecond,
		}),
	}
	record, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: time.UnixMilli(1), Changes: changes}))
	require.NoError(t, err)
	batch, err := codec.DecodeBatch(record)
	require.NoError(t, err)
	require.Equal(t, changes, batch.Changes())
}

// snapshotOfTheVersionBefore is a snapshot that a scheduler stored before unlisted workers were recorded: one silent worker.
const snapshotOfTheVersionBefore = "8d0700011910011b0000019b76daa80063682d316a31302e302e302e393a31a10003f6f6818463772d311910011b0000019b76" +
	"daa8001905dc191001f4"

// Guards against snapshots of the version before that cannot be read, which would lose the state in an upgrade, and against
// snapshots without unlisted workers that a host of the version before cannot read.
func TestSnapshotOfTheVersionBeforeDecodes(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	record, err := hex.DecodeString(snapshotOfTheVersionBefore)
	require.NoError(t, err)
	snapshot, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: record})})
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, silentSnapshot, snapshot.Config())
	again, err := codec.EncodeSnapshot(snapshot, 1<<20)
	require.NoError(t, err)
	require.Equal(t, snapshotOfTheVersionBefore, hex.EncodeToString(again[0]))
}

var silentSnapshot = almondcross.StateSnapshotConfig{
	Next: 7, Epoch: 4097, SchedulerEpoch: 4097, At: time.UnixMilli(1767225600000), Host: "h-1", Address: "10.0.0.9:1", Intake: map[int]int64{0: 3},
	Silent: []almondcross.SilentWorker{almondcross.NewSilentWorker(almondcross.SilentWorkerConfig{
		Worker: "w-1", Epoch: 4097, RecordedAt: time.UnixMilli(1767225600000), LeaseRemaining: 1500 * time.Millisecond,
	})},
}

// Guards against an unlisted worker that a snapshot forgets, to which a host that loads it could send no orders.
func TestSnapshotKeepsUnlistedWorkers(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	config := silentSnapshot
	config.Unlisted = []almondcross.UnlistedWorker{
		almondcross.NewUnlistedWorker(almondcross.UnlistedWorkerConfig{Worker: "w-2", Address: "10.0.0.2:1", Zone: "a", Leaving: true}),
	}
	parts, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(config), 1<<20)
	require.NoError(t, err)
	snapshot, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: parts[0]})})
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, config, snapshot.Config())
}

// Guards against a weak host that holds a large snapshot twice while it decodes it: as records and as their parts.
func TestDecodedSnapshotReleasesItsRecords(t *testing.T) {
	codec := newCodec(t)
	parts, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(silentSnapshot), 1<<20)
	require.NoError(t, err)
	records := []almondcross.KeyedRecord{
		almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "snapshot", Value: parts[0]}),
		almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "malformed", Value: []byte{1}}),
	}
	_, found, err := codec.DecodeSnapshot(records)
	require.ErrorIs(t, err, encoder.ErrMalformed)
	require.True(t, found)
	require.Equal(t, make([]almondcross.KeyedRecord, len(records)), records)
}

// Guards against a verdict that replicas do not read, against one that is read as the number of an occurrence, and against
// records that grow by it: the version before reads arrays of this length only.
func TestVerdictsTakeTheFieldOfTheOccurrence(t *testing.T) {
	codec := newCodec(t)
	encode := func(changes ...almondcross.Change) []byte {
		record, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: time.UnixMilli(1), Changes: changes}))
		require.NoError(t, err)
		return record
	}
	for _, kind := range []almondcross.ChangeKind{almondcross.ChangeEnd, almondcross.ChangeSettings} {
		change := almondcross.NewChange(almondcross.ChangeConfig{Kind: kind, Task: journalTask, Run: 3, Worker: "w-1"})
		for verdict := almondcross.VerdictUnknown; verdict <= almondcross.VerdictCrashes; verdict++ {
			record := encode(change.WithVerdict(verdict))
			require.Len(t, record, len(encode(change)))
			batch, err := codec.DecodeBatch(record)
			require.NoError(t, err)
			require.Equal(t, []almondcross.Change{change.WithVerdict(verdict)}, batch.Changes())
		}
	}
}

// Guards against a number of the journal's format that a host does not read, or reads as the number of a run.
func TestFormatIsRead(t *testing.T) {
	codec := newCodec(t)
	change := almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeFormat, Format: 3})
	record, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: time.UnixMilli(1), Changes: []almondcross.Change{change}}))
	require.NoError(t, err)
	batch, err := codec.DecodeBatch(record)
	require.NoError(t, err)
	require.Equal(t, []almondcross.Change{change}, batch.Changes())
}
