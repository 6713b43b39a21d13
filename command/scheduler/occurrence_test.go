package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against a job whose occurrences take ever more memory although they are done, against one that does not complete because its
// occurrences were dropped, and against a snapshot that has another state.
func TestDoneOccurrencesAreDropped(t *testing.T) {
	const occurrences = 500
	state, at := newState(time.Minute), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	job := newJob("j", almondcross.StepConfig{Count: 3}, almondcross.StepConfig{Count: 1, After: []int{0}}).WithRuns(occurrences)
	state.admitJob(job, settings(1, "q"))
	end := func(occurrence, step, index, run int, kind almondcross.EndKind) {
		task := almondcross.JobTask{Stage: almondcross.StageID{Job: "j", Occurrence: occurrence, Step: step}, Index: index}
		state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: run, Worker: "w"}))
		state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: run, Worker: "w", End: kind}))
	}
	for occurrence := range occurrences {
		require.False(t, state.jobs["j"].state.Final())
		state.apply(almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeOccurrence, Job: job}))
		for index := range 3 {
			end(occurrence, 0, index, 1, almondcross.EndDone)
		}
		if occurrence == 7 {
			end(occurrence, 1, 0, 1, almondcross.EndVoid) // The record of a restarted task is kept.
			end(occurrence, 1, 0, 2, almondcross.EndDone)
		} else {
			end(occurrence, 1, 0, 1, almondcross.EndDone)
		}
		if occurrence == occurrences/2 {
			loaded := restore(state.snapshot(1, at), time.Minute, at, nil)
			require.Equal(t, occurrence, loaded.jobs["j"].doneOccurrences)
			require.Equal(t, state.ledger.held, loaded.ledger.held)
			require.Equal(t, state.snapshot(1, at), loaded.snapshot(1, at))
		}
	}
	require.Equal(t, almondcross.JobCompleted, state.jobs["j"].state)
	require.LessOrEqual(t, state.ledger.used, job.HeldBytes(2, occurrences))
}

// Guards against a job with many done occurrences that takes more memory with its snapshot than it is charged with: 300,000 done tasks
// were charged with 277 kB and took 42 MB.
func TestDoneOccurrencesTakeWhatTheyAreChargedWith(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	for name, test := range map[string]struct{ tasks, occurrences int }{"many tasks": {1000, 300}, "many occurrences": {1, 100_000}} {
		t.Run(name, func(t *testing.T) {
			state := newState(time.Minute)
			spec := newJob("j", almondcross.StepConfig{Count: test.tasks}).WithRuns(test.occurrences)
			state.admitJob(spec, settings(1, "q"))
			job := state.jobs["j"]
			job.stages, job.startedOccurrences, job.doneOccurrences = make([]*stage, test.occurrences), test.occurrences, test.occurrences
			state.recharge(job)
			require.Equal(t, spec.HeldBytes(0, test.occurrences), state.ledger.used)

			before := heapBytes()
			snapshot := state.snapshot(1, time.Time{})
			parts, err := codec.EncodeSnapshot(snapshot, 250_000)
			require.NoError(t, err)
			require.LessOrEqual(t, heapBytes()-before, state.ledger.used)
			require.Equal(t, state.ledger.used, snapshot.Jobs()[0].HeldBytes())

			var records []almondcross.KeyedRecord
			for index, part := range parts {
				records = append(records, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: fmt.Sprint(index), Value: part}))
			}
			before = heapBytes()
			decoded, found, err := codec.DecodeSnapshot(records)
			require.NoError(t, err)
			require.True(t, found)
			restored := restore(decoded, time.Minute, time.Time{}, nil)
			require.LessOrEqual(t, heapBytes()-before, state.ledger.used)
			require.Equal(t, test.occurrences, restored.jobs["j"].doneOccurrences)
			require.Equal(t, state.ledger.held, restored.ledger.held)
			require.Equal(t, snapshot.Jobs(), restored.snapshot(1, time.Time{}).Jobs())
			runtime.KeepAlive(decoded)
		})
	}
}

// heapBytes returns the size in bytes of all values that are in use.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc) //nolint:gosec // It is below the memory of the machine.
}

// Guards against occurrences that are all due and fill the memory after their job was admitted, keep the scheduler busy for long in
// one turn, or leave no room for jobs of another queue.
func TestDueOccurrencesFindRoomAndTakeTurns(t *testing.T) {
	const stateBytes = 4 << 20
	harness := newLimitedHarness(t, stateBytes)
	jobs := []almondcross.JobID{"a", "b", "c"}
	for _, id := range jobs {
		job := newJob(id, almondcross.StepConfig{Count: 1}).WithRuns(100_000).WithFirst(time.Unix(1, 0))
		_, refused := harness.forward("h-1", almondcross.IntakeConfig{Job: job, Settings: settings(1, "q")})
		require.False(t, refused)
	}
	started := 0
	for range 2000 {
		harness.advance(leaderTick)
		if _, pending := harness.pendingCommit(); pending {
			harness.answerCommit()
		}
		harness.effects, harness.batches = nil, nil
		now := 0
		for _, id := range jobs {
			now += harness.machine.state.jobs[id].startedOccurrences
		}
		require.LessOrEqual(t, now-started, 3*maxTurnOccurrences, "the turns of an advance and an append")
		started = now
	}
	require.Greater(t, started, 1000)
	require.LessOrEqual(t, harness.machine.state.ledger.used, int64(stateBytes))
	for _, id := range jobs {
		require.InDelta(t, started/len(jobs), harness.machine.state.jobs[id].startedOccurrences, maxTurnOccurrences, "the jobs take turns")
	}
	_, refused := harness.forward("h-1", almondcross.IntakeConfig{Job: newJob("d", almondcross.StepConfig{Count: 1}).WithQueue("r"), Settings: settings(1, "r")})
	require.False(t, refused)
}
