package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a stage that waits beside free room without a word of what keeps the workers from it: three faults of the
// scheduler could not be told apart by its log.
func TestLogTellsWhatKeepsWorkersFromAStage(t *testing.T) {
	for expected, set := range map[obstacle]func(*harness, *worker, *stage){
		obstacleUnlisted:    func(_ *harness, worker *worker, _ *stage) { worker.announced = false },
		obstacleDraining:    func(_ *harness, worker *worker, _ *stage) { worker.info = worker.info.WithDraining(true) },
		obstacleNoContact:   func(_ *harness, worker *worker, _ *stage) { worker.unreachable = true },
		obstacleWithheldEnd: func(_ *harness, worker *worker, _ *stage) { worker.ackLimit = 1 },
		obstacleFaulty:      func(harness *harness, worker *worker, _ *stage) { worker.avoidUntil = harness.now.Add(time.Hour) },
		obstacleOtherKind:   func(_ *harness, worker *worker, _ *stage) { worker.info = worker.info.WithLabels(nil) },
		obstacleSuspicion:   func(_ *harness, worker *worker, _ *stage) { worker.isolatedRuns = 1 },
		obstacleGang:        func(_ *harness, worker *worker, _ *stage) { worker.reserved = worker.info.Capacity() },
		obstacleNoRoom:      func(_ *harness, worker *worker, _ *stage) { worker.used = worker.info.Capacity() },
		obstaclePerWorker: func(_ *harness, worker *worker, stage *stage) {
			worker.assignments[almondcross.JobTask{Stage: stage.id, Index: 1}] = &assignment{stage: stage}
		},
		"": func(*harness, *worker, *stage) {},
	} {
		t.Run(string(expected), func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			worker := harness.machine.leader.workers[workerID]
			worker.info = worker.info.WithLabels([]string{"l"})
			stage := &stage{
				id: almondcross.StageID{Job: "j"}, readyAt: harness.now,
				spec: almondcross.NewStep(almondcross.StepConfig{Count: 2, PerWorker: 1, Label: "l", Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000})}),
			}
			harness.machine.startPass()
			set(harness, worker, stage)
			worker.inPass = worker.usable(harness.now)
			query := &placementQuery{queue: harness.machine.queues["q"], job: &job{}, stage: stage}
			_, seen := harness.machine.fit(worker, query)
			require.Equal(t, expected, seen)
		})
	}
}

// Guards against a log of waits that leaves out the stage that has waited longest.
func TestLongestWaitsAreLogged(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	for index := range 2 * maxWaitLines {
		waiting := &waitingStage{job: &job{state: almondcross.JobQueued}, stage: &stage{
			readyAt: harness.now.Add(-minLoggedWait - time.Duration(index)*time.Second), remainingTasks: 1,
		}}
		harness.machine.leader.waitingStages = append(harness.machine.leader.waitingStages, waiting)
	}
	longest := harness.machine.longestWaiting()
	require.Len(t, longest, maxWaitLines)
	require.Equal(t, minLoggedWait+(2*maxWaitLines-1)*time.Second, harness.now.Sub(longest[0].stage.readyAt))
}
