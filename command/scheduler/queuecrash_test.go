package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a queue that is blamed for workers which are lost together for another reason, some of them by chance right
// after a start of the queue: its tasks then waited for empty workers for up to 23 s while most of the cell was free (LOST,
// lost-after-crashes, seed 1013). Losses that all follow a start still blame the queue. Guards, too, against a queue that is
// not blamed for some 10 s after a takeover, since the workers that had crashed before counted as lost without a start: on
// crash-frequent, seed 13, some 100 workers crashed meanwhile.
func TestWorkersLostTogetherDoNotBlameAQueue(t *testing.T) {
	const workers = 8
	for name, test := range map[string]struct {
		longAtWork    int  // longAtWork is how many of each two workers are lost long after their last start.
		neverAnswered bool // neverAnswered is set if these workers have never answered this scheduler.
		blamed        bool
	}{
		"half of them after a start":     {longAtWork: 1},
		"all after a start":              {blamed: true},
		"half of them before a takeover": {longAtWork: 1, neverAnswered: true, blamed: true},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarnessWithWorkers(t, workers)
			for index := 1; index <= workers; index++ {
				id := "w-" + strconv.Itoa(index)
				harness.fillWorker(id)
				worker := harness.machine.leader.workers[id]
				worker.unreachableSince = harness.now
				for _, run := range worker.assignments {
					if index%2 < test.longAtWork {
						run.startSentAt = harness.now.Add(-time.Second)
					}
				}
				if index%2 < test.longAtWork && test.neverAnswered {
					worker.lastAnswerAt = time.Time{}
				}
				harness.machine.blameQueue(worker)
			}
			require.Equal(t, test.blamed, harness.machine.queueCrashing(harness.machine.state.jobs["on-w-1"]))
		})
	}
}

// Guards against a blamed queue that depends on the order of a map: all runs whose records are in one append are started at the
// same time.
func TestOneOfTheLastStartsIsBlamedByItsTask(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	for range 50 {
		harness.machine.leader.queueScores = map[string]queueScore{}
		lost := &worker{id: workerID, lastAnswerAt: harness.now, unreachableSince: harness.now, assignments: map[almondcross.JobTask]*assignment{}}
		for _, name := range []string{"b", "a", "c"} {
			run := &assignment{
				task: taskOf(almondcross.JobID(name), 0, 0), startSentAt: harness.now,
				job: &job{spec: almondcross.NewJob(almondcross.JobConfig{Queue: "queue-" + name})},
			}
			lost.assignments[run.task] = run
		}
		harness.machine.blameQueue(lost)
		require.Len(t, harness.machine.leader.queueScores, 1)
		require.Contains(t, harness.machine.leader.queueScores, "queue-a")
	}
}
