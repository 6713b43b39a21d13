package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against tasks of a later step that run away from the rack of their data, where they are several times slower, although that
// rack may have room within a second: the wait for it counted from the submission of the job, and had passed when the step became
// ready. A new scheduler does not begin it again.
func TestLaterStepWaitsForTheRackOfItsData(t *testing.T) {
	const elsewhere = "r9-1"
	newJob := func() *harness {
		harness := newHarness(t)
		harness.addStandby()
		harness.becomeScheduler()
		harness.submitJob("j", almondcross.StepConfig{Count: 1}, almondcross.StepConfig{Count: 1, After: []int{0}, DataRack: elsewhere})
		harness.answerCommits()
		first := harness.answerStart()
		for range 10 {
			harness.advance(300 * time.Millisecond)
			harness.answerLease(almondcross.WorkerReportConfig{Running: []almondcross.RunningTask{
				almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: first.Task(), Run: 1}),
			}})
		}
		harness.answerLease(almondcross.WorkerReportConfig{Ended: []almondcross.EndedTask{
			almondcross.NewEndedTask(almondcross.EndedTaskConfig{Sequence: 1, Task: first.Task(), Run: 1, Kind: almondcross.EndDone}),
		}})
		harness.answerCommits()
		return harness
	}
	startsWithin := func(harness *harness, limit time.Duration) bool {
		for until := harness.now.Add(limit); harness.now.Before(until); harness.advance(leaderTick) {
			harness.answerCommits()
			if _, found := takeEffect[SendStart](harness); found {
				return true
			}
			if slices.ContainsFunc(harness.effects, func(effect Effect) bool { _, lease := effect.(SendLease); return lease }) {
				harness.answerLease(almondcross.WorkerReportConfig{})
			}
		}
		return false
	}
	harness := newJob()
	require.False(t, startsWithin(harness, 800*time.Millisecond))
	require.True(t, startsWithin(harness, 400*time.Millisecond))

	successor := newJob().electStandby()
	successor.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: workerID, Present: true, Worker: poolWorker}),
	}}))
	require.True(t, startsWithin(successor, 300*time.Millisecond))
}
