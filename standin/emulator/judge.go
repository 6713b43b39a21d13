package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Report is the outcome of a day.
type Report struct {
	Jobs, Accepted, Completed, Failed, Cancelled, Runs int
	Median, Late                                       time.Duration // Median and Late are the 50th and 99th percentile of the time to completion.
	Violations                                         []string
	// Accounted is the processor time of runs by the stored account, Ran what workers gave them, in thousandths
	// of a core times seconds.
	Accounted, Ran int64
}

// judge checks the promises by what callers and workers saw.
type judge struct {
	day        *Day
	runs       int
	ran        float64 // ran is in thousandths of a core times seconds.
	violations []string
	times      []time.Duration
}

func newJudge(day *Day) *judge { return &judge{day: day} }

const mostViolations = 20

func (judge *judge) violate(rule, format string, values ...any) {
	if len(judge.violations) < mostViolations {
		judge.violations = append(judge.violations, fmt.Sprintf("%s at %.3f s: ", rule, (judge.day.now-warmUp).Seconds())+fmt.Sprintf(format, values...))
	}
}

// started checks a start that a worker has begun.
func (judge *judge) started(now time.Duration, worker *modelWorker, order almondcross.StartOrder, job *modelJob) {
	judge.runs++
	task := order.Task()
	if job == nil || task.Stage.Step >= len(job.job.Steps()) || task.Index >= job.job.Steps()[task.Stage.Step].Count() {
		judge.violate("UNASKED", "%s on %s", task, worker.id)
		return
	}
	step := job.job.Steps()[task.Stage.Step]
	used := step.Resources()
	beside := 0
	for _, run := range worker.runs {
		used = used.Add(run.step.Resources())
		if run.task.Stage == task.Stage {
			beside++
		}
	}
	if !used.Fits(worker.announce.Capacity()) {
		judge.violate("LIMIT", "%s run %d on %s: %+v", task, order.Run(), worker.id, used)
	}
	if step.PerWorker() > 0 && beside >= step.PerWorker() {
		judge.violate("ROUTE", "%s on %s beside %d others", task, worker.id, beside)
	}
	judge.history(now, worker, order, job, step)
}

func (judge *judge) history(now time.Duration, worker *modelWorker, order almondcross.StartOrder, job *modelJob, step almondcross.Step) {
	task := order.Task()
	history := job.history(task)
	for other, run := range history.present {
		judge.violate("TWICE", "%s run %d on %s while run %d is on %s", task, order.Run(), worker.id, run, other.id)
	}
	history.present[worker] = order.Run()
	if history.noted {
		judge.violate("TWICE", "%s run %d on %s after run %d was done at %s", task, order.Run(), worker.id, history.finished, history.doneAt-warmUp)
	}
	history.restarted = history.done
	if queue, known := judge.day.routes.Queue(job.job.Queue()); known && history.failed >= queue.MaxAttempts() {
		judge.violate("BUDGET", "%s run %d after %d failures", task, order.Run(), history.failed)
	}
	for _, before := range step.After() {
		for index := range job.job.Steps()[before].Count() {
			earlier := almondcross.JobTask{Stage: almondcross.StageID{Job: task.Stage.Job, Step: before}, Index: index}
			if !job.history(earlier).done {
				judge.violate("ORDER", "%s before %s was done", task, earlier)
			}
		}
	}
	if job.cancelled > 0 && now-job.cancelled > 3*time.Second+storeTimeout && !judge.troubled(now) {
		judge.violate("UNASKED", "%s starts %s after its cancellation", task, now-job.cancelled)
	}
	if job.accepted == 0 && job.refused == job.attempts && job.attempts > 0 {
		judge.violate("REFUSED", "%s runs, and every attempt to submit it was refused", task)
	}
}

// troubled reports whether a trouble strikes about a time.
func (judge *judge) troubled(now time.Duration) bool {
	for _, trouble := range judge.day.config.Troubles {
		if now > warmUp+trouble.At && now < warmUp+trouble.At+trouble.For+15*time.Second {
			return true
		}
	}
	return false
}

func (judge *judge) ended(now time.Duration, worker *modelWorker, run *modelRun, kind almondcross.EndKind) {
	history := run.job.history(run.task)
	delete(history.present, worker)
	judge.ran += float64(run.step.Resources().MilliCPU()) * (now - run.started).Seconds()
	switch kind {
	case almondcross.EndDone:
		history.done, history.doneAt, history.finished = true, now, run.run
		history.noted, history.restarted = false, false
	case almondcross.EndFailed:
		history.failed++
	case almondcross.EndAlone:
		if run.job.cancelled == 0 && !judge.troubled(now) {
			judge.violate("GANG", "%s run %d waited on %s for the other members", run.task, run.run, worker.id)
		}
	default:
	}
}

// vanished takes a run out that ended with its worker.
func (judge *judge) vanished(worker *modelWorker, run *modelRun) {
	delete(run.job.history(run.task).present, worker)
}

// noted is called when an end is acknowledged. An end after which the worker's lease lapsed does not count,
// since the scheduler could not know of it in time.
func (judge *judge) noted(worker *modelWorker, end almondcross.EndedTask) {
	job := judge.day.jobs[end.Task().Stage.Job]
	if job == nil || end.Kind() != almondcross.EndDone {
		return
	}
	history := job.history(end.Task())
	if history.finished != end.Run() || worker.lapsedAt > history.doneAt {
		return
	}
	history.noted = true
	if history.restarted {
		judge.violate("TWICE", "%s: the end of run %d on %s was noted after a further start", end.Task(), end.Run(), worker.id)
	}
}

// shown checks a state that a caller was shown.
func (judge *judge) shown(job *modelJob, state almondcross.JobState) {
	if !state.Final() || job.final != "" {
		return
	}
	job.final, job.finalAt = state, judge.day.now
	switch state {
	case almondcross.JobCompleted:
		judge.times = append(judge.times, job.finalAt-job.sent)
		for number, step := range job.job.Steps() {
			for index := range step.Count() {
				task := almondcross.JobTask{Stage: almondcross.StageID{Job: job.job.ID(), Step: number}, Index: index}
				if !job.history(task).done {
					judge.violate("MIXED", "%s is shown as completed, and %s was not done", job.job.ID(), task)
				}
			}
		}
	case almondcross.JobFailed:
		judge.checkFailed(job)
	case almondcross.JobCancelled:
		if job.cancelAt == 0 {
			judge.violate("LOST", "%s is shown as cancelled without a cancellation", job.job.ID())
		}
	default:
	}
}

func (judge *judge) checkFailed(job *modelJob) {
	queue, _ := judge.day.routes.Queue(job.job.Queue())
	for _, history := range job.runs {
		if history.failed >= queue.MaxAttempts() {
			return
		}
	}
	for _, step := range job.job.Steps() {
		if step.Gang() {
			return // The members of a gang share their attempts.
		}
	}
	judge.violate("LOST", "%s is shown as failed without %d failures of a task", job.job.ID(), queue.MaxAttempts())
}

func (judge *judge) report() Report {
	report := Report{Jobs: len(judge.day.jobs), Runs: judge.runs}
	for _, id := range slices.Sorted(maps.Keys(judge.day.jobs)) {
		job := judge.day.jobs[id]
		if job.accepted > 0 {
			report.Accepted++
			if job.final == "" {
				judge.violate("LOST", "%s was accepted at %.3f s and is not final at the end", id, (job.accepted - warmUp).Seconds())
			}
		}
		switch job.final {
		case almondcross.JobCompleted:
			report.Completed++
		case almondcross.JobFailed:
			report.Failed++
		case almondcross.JobCancelled:
			report.Cancelled++
		default:
		}
	}
	report.Ran = int64(judge.ran)
	for _, usage := range judge.day.usage {
		report.Accounted += usage.Received().MilliCPU()
	}
	slices.Sort(judge.times)
	if count := len(judge.times); count > 0 {
		report.Median, report.Late = judge.times[count/2], judge.times[count*99/100]
	}
	report.Violations = judge.violations
	return report
}
