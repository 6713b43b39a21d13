package cell_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// sendUnfinished sends the requests without a final outcome again.
func sendUnfinished(host string, submissions ...*submission) {
	for _, submission := range submissions {
		if !submission.finished {
			submission.sendTo(host)
		}
	}
}

// TestCrashingTaskIsGivenUp guards against a task that is started without bound on one worker after another although
// each of them restarts, or goes silent, under it, and against failing the other tasks of these workers with it.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	for seed := range uint64(5) {
		for _, outage := range []time.Duration{0, time.Minute, time.Hour} {
			cell := newCell(seed, 3, 6)
			for _, worker := range cell.workers {
				worker.crashOutage = outage
			}
			cell.advance(5 * time.Second)
			bomb := cell.newSubmission("bomb", 0, true)
			submissions := []*submission{bomb}
			for number := range 8 {
				submissions = append(submissions, cell.newSubmission("tally", number, true))
			}
			for round := range 30 {
				sendUnfinished(cell.hostNames[round%3], submissions...)
				cell.advance(10 * time.Second)
			}
			require.Empty(t, cell.checker.violations)
			trace := strings.Join(cell.trace, "\n")
			require.Equal(t, almondcross.MaxLostTargets, cell.checker.starts[bomb.request.Key()], "seed %d, outage %v\n%s", seed, outage, trace)
			require.Equal(t, almondcross.StatusFailed, bomb.outcome.Status())
			require.Equal(t, almondcross.CodeTargetsCrashed, bomb.outcome.Code())
			for _, other := range submissions[1:] {
				require.Equal(t, almondcross.StatusDone, other.outcome.Status(), "seed %d, outage %v: %s is %s\n%s",
					seed, outage, other.request.Key(), other.outcome.Code(), trace)
			}
		}
	}
}

// TestUnreachableWorkersDoNotCountAsCrashed guards against giving up a task whose workers were cut off for longer than
// its lease but did not restart.
func TestUnreachableWorkersDoNotCountAsCrashed(t *testing.T) {
	for seed := range uint64(5) {
		cell := newCell(seed, 3, 3)
		cell.advance(5 * time.Second)
		tally := cell.newSubmission("tally", 0, true)
		for round := range 16 {
			sendUnfinished("e0", tally)
			cell.advance(2 * time.Second)
			for _, worker := range cell.workers {
				if round < 8 && len(worker.tasks) > 0 && tally.running() > 0 && !worker.unreachable {
					worker.disconnect(14 * time.Second)
				}
			}
			cell.advance(20 * time.Second)
		}
		require.Empty(t, cell.checker.violations)
		require.Greater(t, cell.checker.starts[tally.request.Key()], almondcross.MaxLostTargets)
		require.Equal(t, almondcross.StatusDone, tally.outcome.Status(), "seed %d: %s\n%s",
			seed, tally.outcome.Code(), strings.Join(cell.trace, "\n"))
	}
}
