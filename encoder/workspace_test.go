package encoder_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// recordsBeforeWorkspaces is the hash of the records of drawPlainRecords as the encoder of 96de9f3 wrote them, the last one
// without workspaces.
const recordsBeforeWorkspaces = "cdba9c96367bf8cb737ada6905f853007d98710d974f144685f486b6cddb1bde"

// drawJob returns a job without a workspace.
func drawJob(random *rand.Rand) almondcross.Job {
	steps := make([]almondcross.Step, 1+random.IntN(3))
	for index := range steps {
		steps[index] = almondcross.NewStep(almondcross.StepConfig{
			Count: 1 + random.IntN(3), Estimate: time.Duration(random.IntN(9)) * time.Second, Gang: random.IntN(2) == 0, Image: "i",
			Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: random.Int64N(4000)}),
		})
	}
	return almondcross.NewJob(almondcross.JobConfig{
		ID: almondcross.JobID(fmt.Sprintf("%016x", random.Uint64())), Queue: "q", Payload: "x", Steps: steps, Submitted: time.UnixMilli(random.Int64N(1 << 40)),
	})
}

func drawSettings(random *rand.Rand) almondcross.QueueSettings {
	if random.IntN(4) == 0 {
		return almondcross.QueueSettings{}
	}
	return unversionedSettings.WithVersion(random.Int64N(9))
}

// drawBatch returns a batch with a change of each kind.
func drawBatch(random *rand.Rand) almondcross.JournalBatch {
	var changes []almondcross.Change
	for kind := almondcross.ChangeAdmit; kind <= almondcross.ChangeLongLease; kind++ {
		config := almondcross.ChangeConfig{
			Kind: kind, Job: drawJob(random), Settings: drawSettings(random), Run: random.IntN(9), Worker: "w", End: almondcross.EndDone, Checkpoint: "c",
			Host: "h", Address: "a:1", Zone: "z", Verdict: almondcross.VerdictStarted, Format: 1, LeaseRemaining: time.Second, Waited: time.Second,
		}
		if kind == almondcross.ChangeAdmit || kind == almondcross.ChangeCancel {
			config.Host = "" // A scheduler sets none.
		}
		changes = append(changes, almondcross.NewChange(config))
	}
	return almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1 + random.Int64N(9), At: time.UnixMilli(random.Int64N(1 << 40)), Changes: changes})
}

func drawRecord(random *rand.Rand) almondcross.JobRecord {
	job := drawJob(random)
	config := almondcross.JobRecordConfig{Job: job, Settings: drawSettings(random), State: almondcross.JobRunning, StartedOccurrences: 1}
	for index, step := range job.Steps() {
		config.Stages = append(config.Stages, almondcross.NewStageRecord(almondcross.StageRecordConfig{
			Step: index, Tasks: make([]almondcross.TaskRecord, step.Count()),
		}))
	}
	return almondcross.NewJobRecord(config)
}

func drawViews(random *rand.Rand) almondcross.ViewsPushed {
	var config almondcross.ViewsPushedConfig
	for range random.IntN(9) {
		view := almondcross.NewJobView(almondcross.JobViewConfig{ID: drawJob(random).ID(), Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobQueued, CountsAsPending: random.IntN(2) == 0})
		config.Changes = append(config.Changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: view.ID(), Known: random.IntN(4) > 0, View: view}))
	}
	return almondcross.NewViewsPushed(config)
}

// drawPlainRecords returns the records and messages of values without workspaces.
func drawPlainRecords(t require.TestingT, codec encoder.Codec, random *rand.Rand) [][]byte {
	intake := almondcross.NewIntake(almondcross.IntakeConfig{Job: drawJob(random), Settings: drawSettings(random), Cancel: random.IntN(2) == 0})
	records, err := codec.EncodeIntake(intake)
	require.NoError(t, err)
	batch, err := codec.EncodeBatch(drawBatch(random))
	require.NoError(t, err)
	parts, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
		Next: 7, Jobs: []almondcross.JobRecord{drawRecord(random), drawRecord(random), drawRecord(random)},
	}), 600)
	require.NoError(t, err)
	records = append(append(records, batch), parts...)
	for _, message := range []almondcross.LinkMessage{
		almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: 3, Intake: intake}), drawViews(random),
		almondcross.NewJournalPushed(almondcross.JournalPushedConfig{From: 3, Batches: []almondcross.JournalBatch{drawBatch(random)}}),
	} {
		frame, err := codec.EncodeLink(message)
		require.NoError(t, err)
		records = append(records, frame)
	}
	return records
}

// Guards against a byte that changes in a cell without workspaces: its hosts of the version before would leave out the record,
// or compute another state from it.
func TestRecordsWithoutWorkspacesAreThoseOfTheVersionBefore(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	hash := sha256.New()
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		for _, record := range drawPlainRecords(t, codec, random) {
			_, _ = hash.Write(record)
		}
	}
	require.Equal(t, recordsBeforeWorkspaces, hex.EncodeToString(hash.Sum(nil)))
}

// Guards against a workspace that is lost, or given to another job, between the host that accepts a job and the state of a
// successor, whether or not the settings of the queue are known.
func TestWorkspacesReachTheirJobs(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		workspace := rapid.StringOfN(rapid.RuneFrom([]rune("abé ")), 0, 255, 255).Draw(t, "workspace")
		job, settings := drawJob(random).WithWorkspace(workspace), drawSettings(random)
		intake := almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Settings: settings, Cancel: rapid.Bool().Draw(t, "cancel")})
		other := almondcross.NewIntake(almondcross.IntakeConfig{Job: drawJob(random), Settings: settings})
		var records [][]byte
		for _, each := range []almondcross.Intake{intake, other} {
			encoded, err := codec.EncodeIntake(each)
			require.NoError(t, err)
			records = append(records, encoded...)
		}
		intakes, used := codec.DecodeIntakes(records, func(int, error) { require.Fail(t, "unreadable") })
		require.Equal(t, len(records), used)
		require.Equal(t, []string{workspace, ""}, []string{intakes[0].Job().Workspace(), intakes[1].Job().Workspace()})
		require.Equal(t, settings, intakes[0].Settings())
		require.Equal(t, workspace != "", records[0][0] == 0x84)

		frame, err := codec.EncodeLink(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Intake: intake}))
		require.NoError(t, err)
		message, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, workspace, message.(almondcross.IntakeForwarded).Intake().Job().Workspace())
		require.Equal(t, settings, message.(almondcross.IntakeForwarded).Intake().Settings())

		for _, kind := range []almondcross.ChangeKind{almondcross.ChangeAdmit, almondcross.ChangeCancel} {
			record, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, Changes: []almondcross.Change{
				almondcross.NewChange(almondcross.ChangeConfig{Kind: kind, Job: job, Settings: settings}),
			}}))
			require.NoError(t, err)
			batch, err := codec.DecodeBatch(record)
			require.NoError(t, err)
			require.Equal(t, workspace, batch.Changes()[0].Job().Workspace())
			require.Empty(t, batch.Changes()[0].Host())
		}

		first, second := drawRecord(random), drawRecord(random)
		parts, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
			Next: 7, Jobs: []almondcross.JobRecord{first.WithJob(first.Job().WithWorkspace(workspace)), second},
		}), rapid.IntRange(100, 2000).Draw(t, "size"))
		require.NoError(t, err)
		var stored []almondcross.KeyedRecord
		for _, part := range parts {
			stored = append(stored, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "k", Value: part}))
		}
		snapshot, found, err := codec.DecodeSnapshot(stored)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, []string{workspace, ""}, []string{snapshot.Jobs()[0].Job().Workspace(), snapshot.Jobs()[1].Job().Workspace()})

		view := almondcross.NewJobView(almondcross.JobViewConfig{ID: job.ID(), Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobQueued, Workspace: workspace})
		pushed := almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Changes: []almondcross.JobViewChange{
			almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: view.ID(), Known: true, View: view}),
			almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "other", Known: true, View: view.WithID("other").WithWorkspace("b")}),
		}})
		frame, err = codec.EncodeLink(pushed)
		require.NoError(t, err)
		message, err = codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, pushed, message)
	})
}

// Guards against a panic or a lost job at a damaged record of the longer form.
func TestDamagedWorkspaceRecordsLoseNoOtherJob(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	intake := almondcross.NewIntake(almondcross.IntakeConfig{Job: settledJob.WithWorkspace("a"), Settings: unversionedSettings})
	records, err := codec.EncodeIntake(intake)
	require.NoError(t, err)
	for length := range records[0] {
		unreadable := 0
		intakes, used := codec.DecodeIntakes([][]byte{records[0][:length], records[1]}, func(int, error) { unreadable++ })
		require.Equal(t, 2, used)
		require.Len(t, intakes, 1)
		require.Equal(t, 1, unreadable)
		require.Empty(t, intakes[0].Job().Workspace())
	}
}
