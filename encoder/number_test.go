package encoder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// Guards against numbers of damaged records and messages that leave the range of their type: a duration that wraps ended a
// silent worker's lease in the past, and a run number at the maximum made the next one negative. Each record is either
// refused or has its numbers in their ranges.
func TestNumbersOfRecordsStayInRange(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string) int64 { return drawNumber(t, name) }
		data, err := codec.encoding.Marshal(wireBatch{
			Epoch: number("epoch"), AtMS: 1, Intake: map[int]int64{int(number("partition")): number("offset")},
			Changes: []wireStateChange{{
				Kind: almondcross.ChangeWorkerSilent, Task: &wireJobTask{Job: "j"}, Run: int(number("run")), Occurrence: int(number("occurrence")), DurationMS: number("duration"),
			}},
		})
		require.NoError(t, err)
		if batch, err := codec.DecodeBatch(data); err == nil {
			requireEpoch(t, batch.Epoch())
			change := batch.Changes()[0]
			requireCounts(t, int64(change.Run()), int64(change.Occurrence()))
			requireDurations(t, change.LeaseRemaining())
			for partition, offset := range batch.Intake() {
				requireCounts(t, int64(partition), offset)
			}
		}
		pointer, err := codec.encoding.Marshal(wirePointer{Epoch: number("pointer's epoch"), Host: "h"})
		require.NoError(t, err)
		if decoded, err := codec.DecodePointer(pointer); err == nil {
			requireEpoch(t, decoded.Epoch())
		}
		push, err := codec.encodeEnvelope(linkJournalPush, wireJournalPush{From: number("from")})
		require.NoError(t, err)
		if pushed, err := codec.DecodeLink(push); err == nil {
			requireCounts(t, pushed.(almondcross.JournalPushed).From())
		}
	})
}

// Guards against a snapshot with numbers out of range, as TestNumbersOfRecordsStayInRange does for batches.
func TestNumbersOfSnapshotsStayInRange(t *testing.T) {
	codec, err := NewCodec()
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string) int64 { return drawNumber(t, name) }
		tasks, err := codec.encoding.Marshal([]wireTaskRecord{{
			taskRecordFields: taskRecordFields{Run: int(number("run")), Failures: int(number("failures"))}, crashFields: crashFields{Crashes: int(number("crashes")), Losses: int(number("losses")), Evidence: int(number("evidence"))},
		}})
		require.NoError(t, err)
		job, err := codec.encoding.Marshal(wireJobRecord{
			Job: wireJob{ID: "j", Steps: []wireStep{{Count: 1}}}, StartedOccurrences: 1,
			Stages: []wireStageRecord{{Run: int(number("gang run")), Tasks: tasks}},
		})
		require.NoError(t, err)
		part, err := codec.encodePart(wireSnapshotPart{snapshotPartFields: snapshotPartFields{
			JournalOffset: number("next"), Parts: 1, Epoch: number("epoch"), SchedulerEpoch: number("scheduler's epoch"), Intake: map[int]int64{0: number("offset")},
			Silent: []wireSilentWorker{{Worker: "w", RemainingMS: number("remaining")}},
		}})
		require.NoError(t, err)
		part = appendJob(t, codec, part, job)
		record := almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: "k", Value: part})
		snapshot, found, _ := codec.DecodeSnapshot([]almondcross.KeyedRecord{record})
		if !found {
			return
		}
		requireEpoch(t, snapshot.Epoch())
		requireEpoch(t, snapshot.SchedulerEpoch())
		requireCounts(t, snapshot.Next(), snapshot.Intake()[0])
		requireDurations(t, snapshot.Silent()[0].LeaseRemaining())
		stage := snapshot.Jobs()[0].Stages()[0]
		task := stage.Tasks()[0]
		requireCounts(t, int64(stage.Run()), int64(task.Run()), int64(task.Failures()), int64(task.Crashes()), int64(task.Losses()))
		require.LessOrEqual(t, max(task.Evidence(), -task.Evidence()), 1<<53)
		require.GreaterOrEqual(t, task.Evidence(), -1<<53)
	})
}

// appendJob returns an encoded part of a snapshot with a job.
func appendJob(t *rapid.T, codec Codec, part, job []byte) []byte {
	wire, err := codec.decodePart(part)
	require.NoError(t, err)
	wire.Jobs = append(wire.Jobs, job)
	encoded, err := codec.encodePart(wire)
	require.NoError(t, err)
	return encoded
}

// drawNumber draws a number of which most are valid and some are at the ends of the range.
func drawNumber(t *rapid.T, name string) int64 {
	return rapid.OneOf(rapid.Int64Range(1, 100), rapid.Int64(), rapid.SampledFrom([]int64{-1, 1 << 43, 1 << 53, 1<<53 + 1, 1<<63 - 1, -1 << 63})).Draw(t, name)
}

func requireEpoch(t *rapid.T, epoch int64) {
	require.GreaterOrEqual(t, epoch, int64(0))
	require.LessOrEqual(t, epoch, int64(almondcross.MaxEpoch))
}

func requireCounts(t *rapid.T, counts ...int64) {
	for _, count := range counts {
		require.GreaterOrEqual(t, count, int64(0))
		require.Positive(t, count+1, "the next number")
		require.LessOrEqual(t, count, int64(1)<<53)
	}
}

func requireDurations(t *rapid.T, durations ...time.Duration) {
	for _, duration := range durations {
		require.LessOrEqual(t, duration.Abs(), longestDuration)
	}
}

// Guards against a clamped duration with another sign or unit.
func TestDurationsOfRecordsAreClamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := drawNumber(t, "count")
		for unit, duration := range map[time.Duration]time.Duration{time.Millisecond: milliseconds(count), time.Microsecond: microseconds(count)} {
			if exact := time.Duration(count) * unit; exact.Abs() <= longestDuration && exact/unit == time.Duration(count) {
				require.Equal(t, exact, duration)
				continue
			}
			require.Equal(t, longestDuration, duration.Abs())
			require.Equal(t, count > 0, duration > 0)
		}
	})
}
