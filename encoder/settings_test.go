package encoder_test

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Records with a queued job that a host wrote before settings had a version.
const (
	admissionBeforeVersions = "850101f6818c0188703563306537613231643934623336663861716081920100000000000000f6f4f4f4f4f4f4606060000000008c6171606064706f" +
		"6f6c0003fb000000000000000000f4000000f60060606000606000f4"
	snapshotBeforeVersions = "8d07000100006060f6818688703563306537613231643934623336663861716081920100000000000000f6f4f4f4f4f4f4606060000000008c61716060" +
		"64706f6f6c0003fb000000000000000000f400000066717565756564000080f6f600f4"
)

var (
	settledJob = almondcross.NewJob(almondcross.JobConfig{
		ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1})},
	})
	unversionedSettings = almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
		Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool", MaxAttempts: 3}),
	})
)

func admission(settings almondcross.QueueSettings) almondcross.JournalBatch {
	return almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: time.UnixMilli(1), Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: settledJob, Settings: settings}),
	}})
}

func snapshotWith(record almondcross.JobRecordConfig) almondcross.StateSnapshot {
	return almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Next: 7, Jobs: []almondcross.JobRecord{almondcross.NewJobRecord(record)}})
}

// Guards against a form of the settings that a host of the version before cannot read, or the other way round, which would
// lose the state in an upgrade.
func TestSettingsOfTheVersionBeforeAreRead(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	stored, err := hex.DecodeString(admissionBeforeVersions)
	require.NoError(t, err)
	batch, err := codec.DecodeBatch(stored)
	require.NoError(t, err)
	require.Equal(t, unversionedSettings, batch.Changes()[0].Settings())
	again, err := codec.EncodeBatch(batch)
	require.NoError(t, err)
	require.Equal(t, stored, again)
	stored, err = hex.DecodeString(snapshotBeforeVersions)
	require.NoError(t, err)
	snapshot, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: stored})})
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, unversionedSettings, snapshot.Jobs()[0].Settings())
	parts, err := codec.EncodeSnapshot(snapshot, 1<<20)
	require.NoError(t, err)
	require.Equal(t, stored, parts[0])
}

// Guards against settings that lose their version in the journal or in a snapshot, so that a successor takes an older version
// for the newer one, and against a version that is read as the end of a job.
func TestSettingsKeepTheirVersion(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	settings := unversionedSettings.WithVersion(6)
	stored, err := codec.EncodeBatch(admission(settings))
	require.NoError(t, err)
	batch, err := codec.DecodeBatch(stored)
	require.NoError(t, err)
	require.Equal(t, admission(settings), batch)
	for _, record := range []almondcross.JobRecordConfig{
		{Job: settledJob, Settings: settings, State: almondcross.JobQueued},
		{Job: settledJob, Settings: unversionedSettings, State: almondcross.JobFailed, Finished: time.UnixMilli(6)},
	} {
		parts, err := codec.EncodeSnapshot(snapshotWith(record), 1<<20)
		require.NoError(t, err)
		snapshot, _, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: parts[0]})})
		require.NoError(t, err)
		require.Equal(t, record.Settings, snapshot.Jobs()[0].Settings())
		require.Equal(t, record.Finished, snapshot.Jobs()[0].Finished())
	}
}
