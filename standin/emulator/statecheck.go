package emulator

import (
	"github.com/almondcross/almondcross"
)

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
	allowed, _ := checker.simulation.attemptLimits(job)
	if job.hasFailed(allowed) {
		return
	}
	if job.mayBeGivenUp() {
		checker.givenUp++
		if len(job.crashingTasks) == 0 {
			checker.givenUpSound++
		}
		return
	}
	for _, step := range job.spec.Steps() {
		if step.Gang() {
			return // The tasks of a gang share one attempt limit, so no task needs that many failures of its own.
		}
	}
	checker.addViolation("LOST", "%s is reported as failed, but no task failed %d times", job.spec.ID(), allowed)
}

// hasFailed reports whether a task of the job has failed as often as allowed.
func (modeljob *modelJob) hasFailed(allowed int) bool {
	for _, history := range modeljob.taskHistories {
		if len(history.attempts.failures) >= allowed {
			return true
		}
	}
	return false
}

// lost reports whether an accepted job is lost if the simulation ends now. Callers cannot ask for a job whose route was
// removed or, depending on its queue, for one whose identity was also used on another queue; what the workers saw of these
// jobs counts.
func (simulation *Simulation) lost(job *modelJob) bool {
	switch {
	case job.finalState != "" || !job.missed() || !simulation.hasRoom(job) || simulation.atWork(job):
		return false
	case simulation.routed(job.spec.Queue()) && job.otherQueue == "":
		return true
	}
	allowed, _ := simulation.attemptLimits(job)
	return job.cancelSentAt == 0 && !job.hasFailed(allowed) && !job.mayBeGivenUp() && !job.allDone()
}

// atWork reports whether a run of the job is at work that need not have ended yet. A run that stands still or is overdue does
// not count.
func (simulation *Simulation) atWork(job *modelJob) bool {
	for _, worker := range simulation.workers {
		for _, run := range worker.runs {
			if run.job == job && !run.stalled && run.workDone(simulation.now) < run.requiredWork {
				return true
			}
		}
	}
	return false
}

// allDone reports whether all tasks of the job are done.
func (modeljob *modelJob) allDone() bool {
	for number, step := range modeljob.spec.Steps() {
		for index := range step.Count() {
			if !modeljob.historyOf(almondcross.JobTask{Stage: almondcross.StageID{Job: modeljob.spec.ID(), Step: number}, Index: index}).done {
				return false
			}
		}
	}
	return true
}

// giveUpCrashes is the number of workers that must have crashed under a task for its job to be given up.
const giveUpCrashes = 2

// mayBeGivenUp reports whether the job may be shown as failed because workers crashed under one of its tasks.
func (modeljob *modelJob) mayBeGivenUp() bool {
	for _, history := range modeljob.taskHistories {
		if history.crashes >= giveUpCrashes {
			return true
		}
	}
	return false
}

// crashes returns how many times a worker crashed under one of the tasks.
func (modeljob *modelJob) crashes() int {
	count := 0
	for _, history := range modeljob.taskHistories {
		count += history.crashes
	}
	return count
}

// missed reports whether the job counts as lost if it has no final state at the end. It does not if a task that
// crashes its workers may be given up.
func (modeljob *modelJob) missed() bool {
	for task := range modeljob.crashingTasks {
		if modeljob.historyOf(task).crashes >= giveUpCrashes {
			return false
		}
	}
	return true
}

// hasRoom reports whether the workers that advice allows have room for each step of a job twice over: for the whole gang
// or for one task.
func (simulation *Simulation) hasRoom(job *modelJob) bool {
	for number, step := range job.spec.Steps() {
		needed, room := int64(1), int64(0)
		if step.Gang() {
			needed = int64(step.Count())
		}
		for _, worker := range simulation.workers {
			if !worker.announcement.HasLabel(step.Label()) {
				continue
			}
			if stage := (almondcross.StageID{Job: job.spec.ID(), Step: number}); !simulation.needsAdvice(stage) || simulation.advice.allows(stage, worker.id) {
				need, capacity := step.Resources(), worker.fullCapacity
				room += min(capacity.MilliCPU()/need.MilliCPU(), capacity.MemoryMB()/need.MemoryMB())
			}
		}
		if room < 2*needed {
			return false
		}
	}
	return true
}
