package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a fencing token that is raised for each of many unanswered orders: a worker that was cut off for fourteen
// minutes in one epoch had its token raised more than 1,024 times (review case 1).
func TestTokenIsRaisedOnceBetweenTwoReports(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.submitJob("j", almondcross.StepConfig{Count: 3})
	harness.answerCommits()
	reported := harness.machine.leader.workers[workerID].fence
	for {
		start, found := takeEffect[SendStart](harness)
		if !found {
			break
		}
		harness.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: start.Order, Result: almondcross.OrderUnknown, Received: harness.now}))
	}
	harness.dropLeaseAnswers(time.Minute)
	require.Equal(t, reported+1, harness.machine.leader.workers[workerID].fence)
}
