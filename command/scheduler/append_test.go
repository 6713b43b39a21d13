package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against an append above the store's limit: after an outage the scheduler admits a backlog of thousands of
// jobs at once, and an append that the store refuses for its size is refused however often it is sent again.
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
	committed := 0
	for committed < jobs+1 {
		request := harness.answerCommit()
		require.LessOrEqual(t, len(request.Batches()), harness.machine.config.BatchesPerAppend)
		for _, batch := range request.Batches() {
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeAdmit {
					committed++
				}
			}
		}
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
}
