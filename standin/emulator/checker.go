package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Report is the outcome of a simulation.
type Report struct {
	Jobs, Accepted, Completed, Failed, Cancelled, Runs int
	Median, P99                                        time.Duration // Median and P99 are the 50th and 99th percentiles of the time from submission to completion.
	Violations                                         []string
	// AccountedCPU is the CPU time of all runs in the stored account, UsedCPU the CPU time on the workers, both
	// in millicore-seconds.
	AccountedCPU, UsedCPU int64
}

// checker checks the guarantees by what callers and workers observe.
type checker struct {
	simulation      *Simulation
	startedRuns     int
	usedCPU         float64 // usedCPU is in millicore-seconds.
	violations      []string
	completionTimes []time.Duration
}

func newChecker(simulation *Simulation) *checker { return &checker{simulation: simulation} }

const maxViolations = 20

func (checker *checker) addViolation(rule, format string, values ...any) {
	if len(checker.violations) < maxViolations {
		checker.violations = append(checker.violations, fmt.Sprintf("%s at %.3f s: ", rule, (checker.simulation.now-warmUp).Seconds())+fmt.Sprintf(format, values...))
	}
}

// checkStart checks a start order that a worker accepted. Call it before the run is added to the worker.
func (checker *checker) checkStart(now time.Duration, worker *modelWorker, order almondcross.StartOrder, job *modelJob) {
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
	if !used.Fits(worker.announcement.Capacity()) {
		checker.addViolation("LIMIT", "%s run %d on %s: %+v", task, order.Run(), worker.id, used)
	}
	if step.PerWorker() > 0 && sameStage >= step.PerWorker() {
		checker.addViolation("ROUTE", "%s on %s with %d other tasks of its stage", task, worker.id, sameStage)
	}
	checker.checkStartHistory(now, worker, order, job, step)
}

func (checker *checker) checkStartHistory(now time.Duration, worker *modelWorker, order almondcross.StartOrder, job *modelJob, step almondcross.Step) {
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
	if queue, known := checker.simulation.routes.Queue(job.spec.Queue()); known && history.failures >= queue.MaxAttempts() {
		checker.addViolation("BUDGET", "%s run %d after %d failures", task, order.Run(), history.failures)
	}
	for _, predecessor := range step.After() {
		for index := range job.spec.Steps()[predecessor].Count() {
			earlierTask := almondcross.JobTask{Stage: almondcross.StageID{Job: task.Stage.Job, Step: predecessor}, Index: index}
			if !job.historyOf(earlierTask).done {
				checker.addViolation("ORDER", "%s started before %s completed", task, earlierTask)
			}
		}
	}
	if job.cancelledAt > 0 && now-job.cancelledAt > 3*time.Second+storeTimeout && !checker.faultActive(now) {
		checker.addViolation("UNASKED", "%s started %s after its cancellation was acknowledged", task, now-job.cancelledAt)
	}
	if job.acceptedAt == 0 && job.rejections == job.attempts && job.attempts > 0 {
		checker.addViolation("REFUSED", "%s started although every attempt to submit its job was refused", task)
	}
}

// faultActive reports whether a fault is active at a time, or ended less than 15 s before.
func (checker *checker) faultActive(now time.Duration) bool {
	for _, fault := range checker.simulation.config.Faults {
		if now > warmUp+fault.StartsAt && now < warmUp+fault.StartsAt+fault.Duration+15*time.Second {
			return true
		}
	}
	return false
}

func (checker *checker) recordEnd(now time.Duration, worker *modelWorker, run *modelRun, kind almondcross.EndKind) {
	history := run.job.historyOf(run.task)
	delete(history.running, worker)
	checker.usedCPU += float64(run.step.Resources().MilliCPU()) * (now - run.startedAt).Seconds()
	switch kind {
	case almondcross.EndDone:
		history.done, history.doneAt, history.completedRun = true, now, run.number
		history.acknowledged, history.startedAfterDone = false, false
	case almondcross.EndFailed:
		history.failures++
	case almondcross.EndGangIncomplete:
		if run.job.cancelledAt == 0 && !checker.faultActive(now) {
			checker.addViolation("GANG", "%s run %d on %s timed out waiting for the other members", run.task, run.number, worker.id)
		}
	default:
	}
}

// recordLostRun removes a run that was lost in a crash of its worker.
func (checker *checker) recordLostRun(worker *modelWorker, run *modelRun) {
	delete(run.job.historyOf(run.task).running, worker)
}

// checkAcknowledgedEnd checks an ended task that the scheduler acknowledged. It ignores an end after which the
// worker's lease expired, since the scheduler may not have learned of it in time.
func (checker *checker) checkAcknowledgedEnd(worker *modelWorker, end almondcross.EndedTask) {
	job := checker.simulation.jobs[end.Task().Stage.Job]
	if job == nil || end.Kind() != almondcross.EndDone {
		return
	}
	history := job.historyOf(end.Task())
	if history.completedRun != end.Run() || worker.leaseExpiredAt > history.doneAt {
		return
	}
	history.acknowledged = true
	if history.startedAfterDone {
		checker.addViolation("TWICE", "%s: the end of run %d on %s was acknowledged after another start", end.Task(), end.Run(), worker.id)
	}
}

// checkReportedState checks the first final state that a caller gets for a job.
func (checker *checker) checkReportedState(job *modelJob, state almondcross.JobState) {
	if !state.Final() || job.finalState != "" {
		return
	}
	job.finalState, job.finalAt = state, checker.simulation.now
	switch state {
	case almondcross.JobCompleted:
		checker.completionTimes = append(checker.completionTimes, job.finalAt-job.sentAt)
		for number, step := range job.spec.Steps() {
			for index := range step.Count() {
				task := almondcross.JobTask{Stage: almondcross.StageID{Job: job.spec.ID(), Step: number}, Index: index}
				if !job.historyOf(task).done {
					checker.addViolation("MIXED", "%s is reported as completed, but %s is not done", job.spec.ID(), task)
				}
			}
		}
	case almondcross.JobFailed:
		checker.checkFailedJob(job)
	case almondcross.JobCancelled:
		if job.cancelSentAt == 0 {
			checker.addViolation("LOST", "%s is reported as cancelled without a cancellation request", job.spec.ID())
		}
	default:
	}
}

func (checker *checker) checkFailedJob(job *modelJob) {
	queue, _ := checker.simulation.routes.Queue(job.spec.Queue())
	for _, history := range job.taskHistories {
		if history.failures >= queue.MaxAttempts() {
			return
		}
	}
	for _, step := range job.spec.Steps() {
		if step.Gang() {
			return // The tasks of a gang share one attempt limit, so no task needs that many failures of its own.
		}
	}
	checker.addViolation("LOST", "%s is reported as failed, but no task failed %d times", job.spec.ID(), queue.MaxAttempts())
}

func (checker *checker) report() Report {
	report := Report{Jobs: len(checker.simulation.jobs), Runs: checker.startedRuns}
	for _, id := range slices.Sorted(maps.Keys(checker.simulation.jobs)) {
		job := checker.simulation.jobs[id]
		if job.acceptedAt > 0 {
			report.Accepted++
			if job.finalState == "" {
				checker.addViolation("LOST", "%s was accepted at %.3f s and has no final state at the end", id, (job.acceptedAt - warmUp).Seconds())
			}
		}
		switch job.finalState {
		case almondcross.JobCompleted:
			report.Completed++
		case almondcross.JobFailed:
			report.Failed++
		case almondcross.JobCancelled:
			report.Cancelled++
		default:
		}
	}
	report.UsedCPU = int64(checker.usedCPU)
	for _, usage := range checker.simulation.storedUsage {
		report.AccountedCPU += usage.Received().MilliCPU()
	}
	slices.Sort(checker.completionTimes)
	if count := len(checker.completionTimes); count > 0 {
		report.Median, report.P99 = checker.completionTimes[count/2], checker.completionTimes[count*99/100]
	}
	report.Violations = checker.violations
	return report
}
