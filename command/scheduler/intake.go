package scheduler

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// intakeRead admits the jobs and cancellations that entry hosts stored.
func (machine *Machine) intakeRead(read almondcross.IntakeRead) {
	machine.reads.intakes[read.Partition()] = false
	leader := machine.leader
	if leader == nil {
		return
	}
	position := machine.state.intakeOffsets[read.Partition()]
	if offset, ok := leader.pendingIntake[read.Partition()]; ok {
		position = offset
	}
	if read.From() != position {
		machine.readIntake(read.Partition(), position, 0, 0) // The read was sent in an earlier epoch of this host.
		return
	}
	next := read.Next()
	pause := intakeReadInterval
	switch {
	case errors.Is(read.Err(), almondcross.ErrStoreTrimmed):
		machine.config.Log.Record("intake_gap", almondcross.Number("partition", read.Partition()),
			almondcross.Number("from", read.From()), almondcross.Number("first", next))
	case read.Err() != nil:
		next, pause = read.From(), storeRetryDelay
	default:
		leader.intakeReadAt[read.Partition()] = machine.now
	}
	for _, intake := range read.Intakes() {
		if intake.Cancel() {
			machine.cancelJob(intake.Job())
		} else {
			machine.admitJob(intake.Job())
		}
	}
	if next != position {
		leader.pendingIntake[read.Partition()] = next
	}
	machine.readIntake(read.Partition(), next, pause, intakeReadWait)
}

// intakeForwarded admits an intake that another host could not store, and confirms it to that host once it is
// in the journal.
func (machine *Machine) intakeForwarded(forwarded almondcross.IntakeForwarded) {
	if forwarded.Intake().Cancel() {
		machine.cancelJob(forwarded.Intake().Job())
	} else {
		machine.admitJob(forwarded.Intake().Job())
	}
	machine.afterCommit(func() {
		machine.emit(ConfirmIntake{Host: forwarded.Host(), Stored: almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: forwarded.Number()})})
	})
}

// intakesCurrent reports whether every intake partition was read recently. A read that waits for a record is
// answered when its wait ends.
func (machine *Machine) intakesCurrent() bool {
	for partition := range machine.config.Partitions {
		if machine.now.Sub(machine.leader.intakeReadAt[partition]) > freshIntakeAge {
			return false
		}
	}
	return true
}

func (machine *Machine) admitJob(submitted almondcross.Job) {
	if _, known := machine.state.jobs[submitted.ID()]; known {
		machine.config.Metrics.JobRepeated()
		return
	}
	queue, known := machine.queues[submitted.Queue()]
	if !known {
		// The entry host that stored the job knew the queue. Either this host has not read that version yet or
		// the queue has been removed since.
		queue = almondcross.NewQueue(almondcross.QueueConfig{Name: submitted.Queue()})
	}
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: submitted, Queue: queue})
	machine.config.Metrics.Admitted(submitted.Queue())
	machine.config.Log.Record("job_admitted", almondcross.Text("job", string(submitted.ID())), almondcross.Text("queue", submitted.Queue()),
		almondcross.Millis("age_ms", machine.now.Sub(submitted.Submitted())), almondcross.Number("steps", len(submitted.Steps())))
	machine.enqueueReadyStages(machine.state.jobs[submitted.ID()])
	machine.leader.placementDue = true
}

func (machine *Machine) cancelJob(cancelled almondcross.Job) {
	job := machine.state.jobs[cancelled.ID()]
	if job != nil && job.state.Final() {
		return
	}
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeCancel, Job: cancelled})
	machine.config.Log.Record("job_cancelled", almondcross.Text("job", string(cancelled.ID())), almondcross.Text("known", yesNo(job != nil)))
	machine.config.Metrics.Finished(machine.state.jobs[cancelled.ID()].spec.Queue(), almondcross.JobCancelled)
	machine.stopJobRuns(machine.state.jobs[cancelled.ID()])
}

// enqueueReadyStages queues the stages of a job that are ready to start, and registers the job if it has
// occurrences still to start.
func (machine *Machine) enqueueReadyStages(job *job) {
	if job.state.Final() {
		return
	}
	if job.startedOccurrences < job.spec.Occurrences() {
		machine.leader.jobsWithOccurrences[job.spec.ID()] = job
	}
	for _, stage := range job.stages {
		if job.ready(stage) && !machine.leader.queued[stage.id] {
			machine.enqueue(job, stage)
		}
	}
}

// enqueue inserts a stage by priority, then by submission time.
func (machine *Machine) enqueue(job *job, added *stage) {
	leader := machine.leader
	leader.queued[added.id] = true
	index, _ := slices.BinarySearchFunc(leader.waitingStages, 0, func(other *waitingStage, _ int) int {
		if order := machine.queue(other.job).Priority() - machine.queue(job).Priority(); order != 0 {
			return order
		}
		if other.job.spec.Submitted().After(job.spec.Submitted()) {
			return 1
		}
		return -1
	})
	leader.waitingStages = slices.Insert(leader.waitingStages, index, &waitingStage{job: job, stage: added})
	leader.placementDue = true
}

// maxOpenTasks is the number of unfinished tasks of a job from which no further occurrence starts. It bounds the memory for
// a job whose occurrences are all due at once.
const maxOpenTasks = 10_000

// mayStartOccurrence reports whether the next occurrence is due and the earlier ones leave room for it.
func (job *job) mayStartOccurrence(now time.Time) bool {
	if job.startedOccurrences >= job.spec.Occurrences() || now.Before(job.spec.Due(job.startedOccurrences)) {
		return false
	}
	open := 0
	for _, stage := range job.stages {
		open += stage.remainingTasks
	}
	return open < maxOpenTasks
}

// startDueOccurrences starts the occurrences that are due.
func (machine *Machine) startDueOccurrences() {
	for id, job := range machine.leader.jobsWithOccurrences {
		if job.state.Final() || job.startedOccurrences >= job.spec.Occurrences() {
			delete(machine.leader.jobsWithOccurrences, id)
			continue
		}
		for job.mayStartOccurrence(machine.now) {
			machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeOccurrence, Job: job.spec.WithSteps(nil).WithPayload(""), Occurrence: job.startedOccurrences})
			machine.enqueueReadyStages(job)
		}
	}
}
