package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// checkStart checks a start order that a worker accepted. Call it before the run is added to the worker.
func (checker *checker) checkStart(now time.Duration, worker *modelWorker, order almondcross.StartOrder, job *modelJob, delivered delivery) {
	checker.startedRuns++
	task := order.Task()
	if job == nil || task.Stage.Step >= len(job.spec.Steps()) || task.Index >= job.spec.Steps()[task.Stage.Step].Count() {
		checker.addViolation("UNASKED", "%s on %s", task, worker.id)
		return
	}
	step := job.spec.Steps()[task.Stage.Step]
	used := step.Resources()
	sameStage := 0
	for _, run := range worker.runs {
		used = used.Add(run.step.Resources())
		if run.task.Stage == task.Stage {
			sameStage++
		}
	}
	if largest := worker.largestCapacity(delivered.sentOrExecutedAt(now) - capacityGrace); !used.Fits(largest) {
		checker.addViolation("LIMIT", "%s run %d on %s: %+v of %+v", task, order.Run(), worker.id, used, largest)
	}
	if step.PerWorker() > 0 && sameStage >= step.PerWorker() {
		checker.addViolation("ROUTE", "%s on %s with %d other tasks of its stage", task, worker.id, sameStage)
	}
	if !worker.hadKind(step.Label(), delivered.sentOrExecutedAt(now)-capacityGrace) {
		checker.addViolation("ROUTE", "%s on %s, which is not of kind %s", task, worker.id, step.Label())
	}
	checker.checkStartHistory(worker, order, job, step)
	checker.checkCrashBudget(now, task, order.Run(), job, delivered)
	checker.checkCancelledStart(now, task, job, delivered)
}

func (checker *checker) checkStartHistory(worker *modelWorker, order almondcross.StartOrder, job *modelJob, step almondcross.Step) {
	task := order.Task()
	history := job.historyOf(task)
	for otherWorker, otherRun := range history.running {
		checker.addViolation("TWICE", "%s run %d on %s while run %d is running on %s", task, order.Run(), worker.id, otherRun, otherWorker.id)
	}
	history.running[worker] = order.Run()
	if history.acknowledged {
		checker.addViolation("TWICE", "%s run %d on %s after run %d completed at %s", task, order.Run(), worker.id, history.completedRun, history.doneAt-warmUp)
	}
	history.startedAfterDone = history.done
	if _, allowed := checker.simulation.attemptLimits(job); allowed > 0 {
		checker.checkAttempts(task, order.Run(), history, allowed)
	}
	for _, predecessor := range step.After() {
		for index := range job.spec.Steps()[predecessor].Count() {
			earlierTask := almondcross.JobTask{Stage: almondcross.StageID{Job: task.Stage.Job, Step: predecessor}, Index: index}
			if !job.historyOf(earlierTask).done {
				checker.addViolation("ORDER", "%s started before %s completed", task, earlierTask)
			}
		}
	}
	if job.acceptedAt == 0 && job.rejections == job.attempts && job.attempts > 0 {
		checker.addViolation("REFUSED", "%s started although every attempt to submit its job was refused", task)
	}
}

// The bounds on the starts of a task that crashes its workers: after crashBudget workers have crashed under it, hosts
// in touch start it fewer than startsPastBudget times more.
const (
	crashBudget      = 3
	startsPastBudget = 3
)

func (checker *checker) checkCrashBudget(now time.Duration, task almondcross.JobTask, run int, job *modelJob, delivered delivery) {
	history := job.historyOf(task)
	if !job.crashingTasks[task] || history.crashes < crashBudget || !checker.simulation.disturbances.inTouch(delivered.sender, now) {
		return
	}
	history.startsInTouch++
	if history.startsInTouch == startsPastBudget {
		checker.addViolation("BUDGET", "%s run %d is start %d after %d workers had crashed under it", task, run, startsPastBudget, crashBudget)
	}
}

// sentOrExecutedAt returns when an order was decided at the latest: when it was sent if it was carried out late, or
// when it was carried out.
func (delivery delivery) sentOrExecutedAt(now time.Duration) time.Duration {
	if delivery.late {
		return delivery.sentAt
	}
	return now
}
