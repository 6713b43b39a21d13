package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against lease orders that take the scheduler's processor time in a cell of thousands of workers: one for each
// worker every 0.6 s is 5,000 a second for 3,000 workers that do nothing. It also guards against waits that keep a
// worker from being renewed, or from being found silent, in time.
func TestLooksAtIdleWorkersAreBounded(t *testing.T) {
	for workers, wait := range map[int]time.Duration{1: leaseAnswerWait, 540: leaseAnswerWait, 1000: time.Second, 3000: maxLeaseAnswerWait} {
		harness := newHarness(t)
		harness.becomeScheduler()
		harness.addWorkers(workers-1, poolWorker.Capacity(), almondcross.Resources{}) // The harness has one worker.
		require.Equal(t, wait, harness.machine.answerWait())
	}
	const orderMargin = 400 * time.Millisecond // orderMargin is the time for a call beside the wait.
	require.Less(t, maxLeaseAnswerWait+orderMargin, maxExtensionAge, "a lease is renewed before the last answer is too old")
	require.Less(t, maxLeaseAnswerWait+orderMargin, maxContactAge, "an idle worker may get work")
}
