package encoder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against task records of an earlier version that cannot be read, which would lose the state in an upgrade, and
// against crash counts and lost runs that a snapshot forgets.
func TestTaskRecordsOfEarlierVersionsAreRead(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	earlier := []byte{0x87, 0xf5, 0xf4, 0x02, 0x01, 0x61, 'w', 0x60, 0x00}
	record := wireTaskRecord{taskRecordFields: taskRecordFields{Done: true, Run: 2, Failures: 1, Worker: "w"}}
	encoded, err := codec.encoding.Marshal(record)
	require.NoError(t, err)
	require.Equal(t, earlier, encoded, "records without crashes keep the earlier form")
	for losses, lostRuns := range [][]int{nil, nil, {1}, {1, 2}} {
		record.LostRuns = lostRuns
		record.crashFields = crashFields{Crashes: 2 * losses, Confirmed: losses / 2, Losses: losses, Evidence: -3 * losses}
		encoded, err = codec.encoding.Marshal([]wireTaskRecord{record})
		require.NoError(t, err)
		var decoded []wireTaskRecord
		require.NoError(t, codec.decoding.Unmarshal(encoded, &decoded))
		require.Equal(t, []wireTaskRecord{record}, decoded)
	}
	weighed := []byte{0x89, 0xf5, 0xf4, 0x02, 0x01, 0x61, 'w', 0x60, 0x00, 0x04, 0x02}
	require.NoError(t, codec.decoding.Unmarshal(weighed, &record))
	require.Equal(t, crashFields{Crashes: 4, Losses: 4}, record.crashFields,
		"the task gets no more starts than before, and is not given up by crashes of which it is not known what they are evidence of")
	var malformed wireTaskRecord
	require.Error(t, codec.decoding.Unmarshal([]byte{0x81, 0xf5}, &malformed))
}

// Guards against a snapshot of an earlier version that cannot be read, against one without crashes that an earlier version
// cannot read, and against crashes of workers that a snapshot forgets: a new scheduler would blame the tasks for them.
func TestSnapshotsWithAndWithoutCrashesAreRead(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	crash := almondcross.NewWorkerCrash(almondcross.WorkerCrashConfig{Worker: "w", At: time.UnixMilli(1767225600000), Attributed: true})
	for header, crashed := range map[byte][]almondcross.WorkerCrash{plainSnapshotPartHeader: nil, plainSnapshotPartHeader + 2: {crash}} {
		snapshot := almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Next: 7, Epoch: 1 << 12, SchedulerEpoch: 1 << 12, Crashed: crashed})
		parts, err := codec.EncodeSnapshot(snapshot, 1<<10)
		require.NoError(t, err)
		require.Len(t, parts, 1)
		require.Equal(t, header, parts[0][0])
		decoded, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: parts[0]})})
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, crashed, decoded.Crashed())
	}
}

// Guards against a snapshot that an earlier version cannot read, or misreads, since tasks that never had a run are left out, and
// against one that lacks tasks without being refused.
func TestNewTasksAreEncodedInFull(t *testing.T) {
	job := almondcross.NewJob(almondcross.JobConfig{ID: "j", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 5})}})
	known := []almondcross.TaskRecord{almondcross.TaskRecord{}.WithRun(1).WithActive(true)}
	record := almondcross.NewJobRecord(almondcross.JobRecordConfig{
		Job: job, State: almondcross.JobRunning, StartedOccurrences: 1,
		Stages: []almondcross.StageRecord{almondcross.NewStageRecord(almondcross.StageRecordConfig{Tasks: known})},
	})
	codec, err := NewCodec()
	require.NoError(t, err)
	wire, err := codec.toJobRecord(record)
	require.NoError(t, err)
	var tasks []wireTaskRecord
	require.NoError(t, codec.decoding.Unmarshal(wire.Stages[0].Tasks, &tasks))
	require.Len(t, tasks, 5)
	decoded, err := codec.fromJobRecord(wire)
	require.NoError(t, err)
	require.Equal(t, known, decoded.Stages()[0].Tasks())
	wire.Stages[0].Tasks, err = codec.encoding.Marshal(tasks[:4])
	require.NoError(t, err)
	_, err = codec.fromJobRecord(wire)
	require.ErrorIs(t, err, ErrMalformed)
}
