package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against an append above the store's limit: after an outage the scheduler admits a backlog of thousands of
// jobs at once, and an append that the store refuses for its size is refused however often it is sent again. Guards as well against
// appends of far fewer changes than fit, which hold a backlog up while the store is slow.
func TestBacklogIsCommittedInAppendsOfLimitedSize(t *testing.T) {
	const jobs = 2000
	harness := newHarness(t)
	harness.becomeScheduler()
	var intakes []almondcross.Intake
	for index := range jobs {
		intakes = append(intakes, almondcross.NewIntake(almondcross.IntakeConfig{Job: almondcross.NewJob(almondcross.JobConfig{
			ID: almondcross.JobID(fmt.Sprintf("%016x", index)), Queue: "q", Payload: "p", Submitted: harness.now,
			Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100_000})})},
		})}))
	}
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{Next: jobs, Intakes: intakes}))
	harness.submitJob("last", almondcross.StepConfig{Count: 1})
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	committed, appends := 0, 0
	for committed < jobs+1 {
		request := harness.answerCommit()
		appends++
		size := 0
		for _, batch := range request.Batches() {
			record, err := codec.EncodeBatch(batch)
			require.NoError(t, err)
			require.LessOrEqual(t, len(record), harness.machine.config.RecordBytes)
			size += len(record)
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeAdmit {
					committed++
				}
			}
		}
		require.LessOrEqual(t, size, maxAppendBytes)
		require.LessOrEqual(t, size, harness.machine.config.BatchesPerAppend*harness.machine.config.RecordBytes)
		_, confirmed := takeEffect[ConfirmIntake](harness)
		offset, offsetCommitted := request.Batches()[len(request.Batches())-1].Intake()[0]
		if committed <= jobs {
			require.False(t, confirmed, "a job is confirmed before it is in the journal")
			require.False(t, offsetCommitted, "the intake is passed over before its jobs are in the journal")
			continue
		}
		require.True(t, confirmed)
		require.Equal(t, int64(jobs), offset)
	}
	require.LessOrEqual(t, appends, 2, "with a store that takes half a second for an append, a backlog lasts as many half seconds")
}

// Guards against a journal record above the store's limit, which the store refuses however often it is sent again, so that
// nothing is scheduled any more: jobs may have a thousand steps that come after many others.
func TestBatchesOfLargeJobsFitInARecord(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	steps := make([]almondcross.StepConfig, 1000)
	for index := range steps {
		steps[index] = almondcross.StepConfig{Count: 1, Label: "a", Image: "image"}
		for dependency := max(0, index-20); dependency < index; dependency++ {
			steps[index].After = append(steps[index].After, dependency)
		}
	}
	const jobs = 40
	harness := newHarness(t)
	harness.becomeScheduler()
	var intakes []almondcross.Intake
	for index := range jobs {
		intakes = append(intakes, almondcross.NewIntake(almondcross.IntakeConfig{Job: newJob(almondcross.JobID(fmt.Sprintf("%016x", index)), steps...)}))
	}
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{Next: jobs, Intakes: intakes}))
	for admitted := 0; admitted < jobs; {
		request := harness.answerCommit()
		for _, batch := range request.Batches() {
			record, err := codec.EncodeBatch(batch)
			require.NoError(t, err)
			require.LessOrEqual(t, len(record), harness.machine.config.RecordBytes)
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeAdmit {
					admitted++
				}
			}
		}
	}
}

// Guards against one submission that takes all memory of each scheduler in turn: all occurrences of a job may be due at once.
func TestOccurrencesStartOnlyAsEarlierOnesEnd(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	job := almondcross.NewJob(almondcross.JobConfig{
		ID: "j", Queue: "q", Runs: 1000, First: harness.now, Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{
			Count: 1000, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1}),
		})},
	})
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{Next: 1, Intakes: []almondcross.Intake{
		almondcross.NewIntake(almondcross.IntakeConfig{Job: job}),
	}}))
	harness.advance(leaderTick)
	known := harness.machine.state.jobs["j"]
	require.Equal(t, maxOpenTasks/1000, known.startedOccurrences)
	known.stages[0].remainingTasks = 0
	harness.advance(leaderTick)
	require.Equal(t, maxOpenTasks/1000+1, known.startedOccurrences)
}

// Guards against a viewer that says that no job waits after an outage of the store: the append that was pending meanwhile has
// none of the jobs that arrived since it was made.
func TestRepeatedAppendIsNotComplete(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{}))
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "h-2", Address: "h-2", Present: true}))
	pushAfter := func(outage time.Duration) bool {
		harness.answerCommits() // After an outage, the next append follows at once.
		harness.effects = nil
		harness.advance(heartbeatInterval)
		if outage > 0 {
			commit := requireEffect[Commit](harness)
			harness.advance(outage)
			harness.apply(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{}))
			harness.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{Commit: commit.Request, Err: almondcross.ErrStoreRefused}))
		}
		harness.answerCommit()
		return requireEffect[PushViews](harness).Pushed.Complete()
	}
	harness.answerCommit()
	require.True(t, pushAfter(0))
	require.False(t, pushAfter(6*time.Second))
	require.True(t, pushAfter(0))
}
