package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// announceWorkers announces further workers.
func (harness *harness) announceWorkers(count int) {
	changes := make([]almondcross.WorkerChange, count)
	for number := range changes {
		id := fmt.Sprintf("w-%02d", number+2)
		changes[number] = almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id, Present: true, Worker: poolWorker.WithID(id)})
	}
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: changes}))
}

// runJobs lets jobs of some tasks run one after the other, on all workers in turn, and returns after how many runs each worker
// was avoided. All tasks of the failing jobs fail, and all tasks on the faulty worker.
func (harness *harness) runJobs(failing []bool, tasks, faulty int) []int {
	leader := harness.machine.leader
	avoided := make([]int, len(leader.sortedWorkers))
	next := 0
	for number, fails := range failing {
		id := almondcross.JobID(fmt.Sprintf("j-%d", number))
		harness.machine.recordChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeAdmit, Settings: settings(1, "q"),
			Job: almondcross.NewJob(almondcross.JobConfig{ID: id, Queue: "q", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: tasks})}}),
		})
		job := harness.machine.state.jobs[id]
		for index := range tasks {
			for run := 1; run <= 2 && !job.state.Final() && !job.stages[0].tasks.at(index).Done(); run++ {
				position := next % len(leader.sortedWorkers)
				next++
				worker := leader.sortedWorkers[position]
				harness.machine.assign(job, job.stages[0], index, run, worker)
				end := almondcross.EndDone
				if fails || position == faulty {
					end = almondcross.EndFailed
				}
				harness.machine.endRun(worker, worker.assignments[taskOf(id, 0, index)], end, "")
				if harness.now.Before(worker.avoidUntil) {
					avoided[position]++
				}
			}
		}
		harness.advance(sweepInterval)
		harness.answerCommits()
	}
	return avoided
}

// Guards against sound workers that are avoided because tasks fail that would fail on each worker: with one failing job in two,
// nearly all workers were avoided nearly all the time and accepted jobs did not run (LOST 222), and against a faulty worker that
// goes on failing the tasks of all jobs.
func TestFailingTasksLeaveSoundWorkersInUse(t *testing.T) {
	const workers, jobs = 12, 600
	for _, tasks := range []int{1, 5} {
		for name, faulty := range map[string]int{"sound workers": -1, "one faulty worker": 4} {
			t.Run(fmt.Sprintf("%s, %d tasks a job", name, tasks), func(t *testing.T) {
				harness := newHarness(t)
				harness.becomeScheduler()
				harness.announceWorkers(workers)
				random := harness.machine.config.Random
				failing := make([]bool, jobs)
				for job := range failing {
					failing[job] = faulty < 0 && random.IntN(2) == 0
				}
				runs := 0
				for worker, avoided := range harness.runJobs(failing, tasks, faulty) {
					if worker == faulty {
						require.Greater(t, avoided, jobs*tasks/workers/2, "runs after which the faulty worker was avoided")
						continue
					}
					runs += avoided
				}
				require.Less(t, runs, jobs*tasks/20, "runs after which a sound worker was avoided")
			})
		}
	}
}
