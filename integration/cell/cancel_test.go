package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// cancel cancels the request at a host.
func (submission *submission) cancel(name string) {
	key := submission.request.Key()
	submission.cell.tracef("caller cancels %s at %s", key, name)
	submission.cell.hosts[name].sendToCoordinator(almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
		Key: key, Replier: replierFunc(func(outcome almondcross.Outcome) {
			submission.cell.tracef("cancellation of %s is answered with %s %s", key, outcome.Status(), outcome.Code())
			submission.cell.checker.checkAnswer(key, outcome)
			if outcome.Status() == almondcross.StatusNotRun {
				submission.cell.checker.notRun[key] = true
			}
		}),
	}))
}

// running returns the number of workers that run a task of the request.
func (submission *submission) running() int {
	count := 0
	for _, worker := range submission.cell.workers {
		for id := range worker.tasks {
			if id.Key() == submission.request.Key() {
				count++
			}
		}
	}
	return count
}

// TestCancelledTasksStopWithoutTheirHolder guards against tasks that run on to their ends because their holder was
// killed or paused when it got the stop: the next holder has to stop them. The coordinators of the checked keys live.
func TestCancelledTasksStopWithoutTheirHolder(t *testing.T) {
	longTasks := 0
	for seed := range uint64(40) {
		cell := newCell(seed, 3, 3)
		cell.advance(5 * time.Second)
		lost := cell.hostNames[1+seed%2]
		var submissions []*submission
		for number := range 9 {
			created := cell.newSubmission("lookup", number, true)
			if coordinator, _ := cell.hosts["e0"].registrar.View(cell.now).Coordinator(created.request.Key()); coordinator.ID().Name() == lost {
				continue
			}
			created.sendTo("e0")
			submissions = append(submissions, created)
		}
		cell.advance(300 * time.Millisecond)
		if seed%4 < 2 {
			cell.hosts[lost].kill()
		} else {
			cell.hosts[lost].pause(20 * time.Second)
		}
		for _, submission := range submissions {
			longTasks += submission.running()
			submission.cancel("e0")
		}
		cell.advance(10 * time.Second)
		require.Empty(t, cell.checker.violations)
		for _, submission := range submissions {
			require.Zero(t, submission.running(), "seed %d: %s runs on\n%s", seed, submission.request.Key(), strings.Join(cell.trace, "\n"))
		}
	}
	require.Greater(t, longTasks, 20, "the scenario needs tasks that run when they are cancelled")
}
