package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a task of a queue without a limit of attempts that is started again without end (BUDGET): the absence of the
// limit was read as no limit.
func TestQueueWithoutALimitAllowsOneFailure(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	accepted := almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
		Version: 1, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool"}),
	})
	harness.submitTo("a", "q", accepted)
	require.Equal(t, 1, harness.failRuns(taskOf("a", 0, 0), 6), "starts of a task that always fails")
	require.Equal(t, almondcross.JobFailed, harness.machine.state.jobs["a"].state)
}
