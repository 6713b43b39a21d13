package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// maxOpenTasks is the number of unfinished tasks of a job from which no further occurrence starts. It bounds the memory for
	// a job whose occurrences are all due at once.
	maxOpenTasks = 10_000
	// maxTurnOccurrences is the number of occurrences that start in one turn. Each sorts its steps into those that wait, and a job may
	// have thousands that are due.
	maxTurnOccurrences = 64
)

// mayStartOccurrence reports whether the next occurrence is due and the earlier ones leave room for it.
func (job *job) mayStartOccurrence(now time.Time) bool {
	return job.startedOccurrences < job.spec.Occurrences() && !now.Before(job.spec.Due(job.startedOccurrences)) && job.openTasks() < maxOpenTasks
}

// openTasks returns the number of tasks of the started occurrences that are not done.
func (job *job) openTasks() int {
	open := 0
	for _, stage := range job.stages {
		if stage != nil {
			open += stage.remainingTasks
		}
	}
	return open
}

// startDueOccurrences starts occurrences that are due, one of each job in turn. Those that find no room in the state wait for it. The
// first one of a job has its room since the admission.
func (machine *Machine) startDueOccurrences() {
	var due []*job
	for id, job := range machine.leader.jobsWithOccurrences {
		if job.state.Final() || job.startedOccurrences >= job.spec.Occurrences() {
			delete(machine.leader.jobsWithOccurrences, id)
			continue
		}
		if job.mayStartOccurrence(machine.now) {
			due = append(due, job)
		}
	}
	sortJobs(due)
	for started := 0; len(due) > 0; {
		due = slices.DeleteFunc(due, func(job *job) bool {
			if started == maxTurnOccurrences || !job.mayStartOccurrence(machine.now) || !machine.hasRoomForOccurrence(job) {
				return true
			}
			started++
			machine.startOccurrence(job)
			return false
		})
	}
}

// hasRoomForOccurrence reports whether the state has room for the next occurrence of a job.
func (machine *Machine) hasRoomForOccurrence(job *job) bool {
	return job.openOccurrences() == 0 || machine.hasRoom(job.spec.Holder(), job.spec.OccurrenceBytes())
}

// startOccurrence starts the next occurrence of a job.
func (machine *Machine) startOccurrence(job *job) {
	first := len(job.stages)
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeOccurrence, Job: job.spec.WithSteps(nil).WithPayload(""), Occurrence: job.startedOccurrences})
	if job.settings.Known() {
		machine.enqueueReady(job, job.stages[first:])
	}
}

// openOccurrences returns the number of started occurrences whose stages are kept.
func (job *job) openOccurrences() int { return job.startedOccurrences - job.doneOccurrences }

// forgetOccurrence drops the stages of an occurrence of a job with several once all of them are done, as compactJob does for a final
// job: a job may have a hundred thousand occurrences.
func (state *state) forgetOccurrence(job *job, occurrence int) {
	steps := len(job.spec.Steps())
	if job.spec.Runs() == 0 || job.state.Final() || (occurrence+1)*steps > len(job.stages) {
		return
	}
	stages := job.stages[occurrence*steps : (occurrence+1)*steps]
	if slices.ContainsFunc(stages, func(stage *stage) bool { return stage == nil || !stage.forgettable() }) {
		return
	}
	clear(stages)
	job.doneOccurrences++
	state.recharge(job)
}

// forgettable reports whether the records of the tasks of a stage are needed no more.
func (stage *stage) forgettable() bool {
	return stage.remainingTasks == 0 && stage.activeTasks == 0 && !stage.restarted()
}

// doneTasks returns the records of the tasks of a step whose stage was dropped.
func doneTasks(count int) []almondcross.TaskRecord {
	return slices.Repeat([]almondcross.TaskRecord{almondcross.TaskRecord{}.WithRun(1).WithDone(true)}, count)
}
