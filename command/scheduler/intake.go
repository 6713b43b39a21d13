package scheduler

import (
	"cmp"
	"slices"

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
		machine.takeIntake(intake)
	}
	if next != position {
		leader.pendingIntake[read.Partition()] = next
	}
	machine.readIntake(read.Partition(), next, pause, intakeReadWait)
}

// intakeForwarded admits an intake that another host could not store, and confirms it to that host once it is
// in the journal. If the state has no room for it, it is refused at once and nothing is recorded.
func (machine *Machine) intakeForwarded(forwarded almondcross.IntakeForwarded) {
	if after, refuses := machine.refusesIntake(forwarded); refuses {
		machine.emit(ConfirmIntake{Host: forwarded.Host(), Stored: almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{
			Number: forwarded.Number(), RefusedFor: after,
		})})
		return
	}
	stored := almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{
		Number: forwarded.Number(), Taken: !machine.takeIntake(forwarded.Intake()) && machine.refusalIsTold(forwarded.Intake()),
	})
	machine.afterCommit(func() { machine.emit(ConfirmIntake{Host: forwarded.Host(), Stored: stored}) })
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

// refusalIsTold reports whether the host that forwarded an intake which takeIntake has refused gets to know it. The caller of a
// cancellation on another queue is told nothing, as before there were workspaces.
func (machine *Machine) refusalIsTold(intake almondcross.Intake) bool {
	holder := machine.state.jobs[intake.Job().ID()]
	return !intake.Cancel() || holder != nil && holder.ofOtherWorkspace(intake)
}

// takeIntake admits or cancels a job. It changes nothing and reports false if the identity is that of a job of another queue or
// workspace: the first job with an identity has it.
func (machine *Machine) takeIntake(intake almondcross.Intake) bool {
	holder := machine.state.jobs[intake.Job().ID()]
	if holder != nil && !intake.Cancel() && holder.yieldsTo(intake.Job()) {
		machine.admitJob(intake.Job(), intake.Settings())
		return true
	}
	if holder != nil && (holder.ofOtherQueue(intake) || holder.ofOtherWorkspace(intake)) {
		fields := []almondcross.LogField{
			almondcross.Text("job", string(intake.Job().ID())), almondcross.Text("queue", intake.Job().Queue()),
			almondcross.Text("holder", holder.spec.Queue()), almondcross.Text("cancel", yesNo(intake.Cancel())),
		}
		if holder.ofOtherWorkspace(intake) {
			fields = append(fields, almondcross.Text("workspace", intake.Job().Workspace()), almondcross.Text("holder_workspace", holder.spec.Workspace()))
		}
		machine.config.Log.Record("identity_taken", fields...)
		return false
	}
	if intake.Cancel() {
		machine.cancelJob(intake)
	} else {
		machine.admitJob(intake.Job(), intake.Settings())
	}
	return true
}

// ofOtherQueue reports whether an intake is for another queue than that of the job. A queue under another name at the same
// host and prefix is the same one, so that a cancellation reaches its job after the queue was renamed. If the settings of one
// of them are not known, the queues cannot be compared, and the identity decides.
func (job *job) ofOtherQueue(intake almondcross.Intake) bool {
	accepted := intake.Settings().Queue().ID().WithName(intake.Job().Queue())
	return job.settings.Known() && intake.Settings().Known() && !job.view().Queue().Same(accepted)
}

// ofOtherWorkspace reports whether an intake is of another workspace than that of the job.
func (job *job) ofOtherWorkspace(intake almondcross.Intake) bool {
	return almondcross.DifferentWorkspaces(intake.Job().Workspace(), job.spec.Workspace())
}

// yieldsTo reports whether a submitted job takes the identity of this one, which is only a cancellation by another workspace that
// came before any submission: its caller must not keep an accepted job of the other workspace, which the scheduler has not read
// yet, from running.
func (job *job) yieldsTo(submitted almondcross.Job) bool {
	neverAdmitted := job.state == almondcross.JobCancelled && job.startedOccurrences == 0 && job.spec.Runs() == 0
	return neverAdmitted && almondcross.DifferentWorkspaces(submitted.Workspace(), job.spec.Workspace())
}

// admitJob admits a job with the settings with which a host accepted it. For a job of a host of the version before, which
// sends none, they are those of the version in force here.
func (machine *Machine) admitJob(submitted almondcross.Job, accepted almondcross.QueueSettings) {
	settings := accepted
	if !settings.Known() {
		settings = machine.routes.Settings(submitted.Queue())
	}
	if job := machine.state.jobs[submitted.ID()]; job != nil && !job.yieldsTo(submitted) {
		machine.config.Metrics.JobRepeated()
		if job.spec.Queue() == submitted.Queue() && job.unsettled() && settings.Known() {
			machine.settleJob(job, settings)
		}
		return
	}
	machine.recordWorkspaceFormat(submitted)
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: submitted, Settings: settings})
	machine.config.Metrics.Admitted(submitted.Queue())
	fields := []almondcross.LogField{
		almondcross.Text("job", string(submitted.ID())), almondcross.Text("queue", submitted.Queue()),
		almondcross.Millis("age_ms", machine.now.Sub(submitted.Submitted())), almondcross.Number("steps", len(submitted.Steps())),
	}
	if submitted.Workspace() != "" {
		fields = append(fields, almondcross.Text("workspace", submitted.Workspace()))
	}
	machine.config.Log.Record("job_admitted", fields...)
	if !settings.Known() {
		// The host that stored the job knew the queue. Either this host has not read that version yet or the queue has been
		// removed since. The job waits until a version with the queue is read or the job is submitted with its settings.
		machine.config.Log.Record("settings_unknown", almondcross.Text("job", string(submitted.ID())), almondcross.Text("queue", submitted.Queue()),
			almondcross.Number("routes_version", machine.routes.Version()))
	}
	machine.enqueueReadyStages(machine.state.jobs[submitted.ID()])
	machine.leader.placementDue = true
}

// settleJobs sets the settings of the jobs that were admitted while the settings were not known, and queues their stages.
func (machine *Machine) settleJobs() {
	var unsettled []*job
	for _, job := range machine.state.jobs {
		if job.unsettled() {
			unsettled = append(unsettled, job)
		}
	}
	sortJobs(unsettled)
	for _, job := range unsettled {
		if settings := machine.routes.Settings(job.spec.Queue()); settings.Known() {
			machine.settleJob(job, settings)
		}
	}
}

// unsettled reports whether an open job waits for its settings.
func (job *job) unsettled() bool { return !job.state.Final() && !job.settings.Known() }

func (machine *Machine) settleJob(job *job, settings almondcross.QueueSettings) {
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeSettings, Job: job.spec.WithSteps(nil).WithPayload(""), Settings: settings,
	})
	machine.config.Log.Record("settings_known", almondcross.Text("job", string(job.spec.ID())), almondcross.Text("queue", job.spec.Queue()),
		almondcross.Number("version", settings.Version()))
	if job.state.Final() {
		machine.jobFinished(job)
		return
	}
	machine.enqueueReadyStages(job)
	machine.leader.placementDue = true
}

func (machine *Machine) cancelJob(intake almondcross.Intake) {
	cancelled := intake.Job()
	job := machine.state.jobs[cancelled.ID()]
	if job != nil && job.state.Final() {
		return
	}
	machine.recordWorkspaceFormat(cancelled)
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeCancel, Job: cancelled, Settings: intake.Settings()})
	machine.config.Log.Record("job_cancelled", almondcross.Text("job", string(cancelled.ID())), almondcross.Text("known", yesNo(job != nil)))
	machine.config.Metrics.Finished(machine.state.jobs[cancelled.ID()].spec.Queue(), almondcross.JobCancelled)
	machine.stopJobRuns(machine.state.jobs[cancelled.ID()])
}

// enqueueReadyStages queues the stages of a job that are ready to start, and registers the job if it has
// occurrences still to start. A job without known settings waits for ChangeSettings: neither its pool nor its limit of
// attempts is known.
func (machine *Machine) enqueueReadyStages(job *job) {
	if job.state.Final() || !job.settings.Known() {
		return
	}
	if job.startedOccurrences < job.spec.Occurrences() {
		machine.leader.jobsWithOccurrences[job.spec.ID()] = job
	}
	machine.enqueueReady(job, job.stages)
}

// enqueueReady queues those of some stages of a job that are ready to start.
func (machine *Machine) enqueueReady(job *job, stages []*stage) {
	for _, stage := range stages {
		if stage != nil && job.ready(stage) && !machine.leader.queued[stage.id] {
			machine.enqueue(job, stage)
		}
	}
}

// enqueue inserts a stage in placement order.
func (machine *Machine) enqueue(job *job, added *stage) {
	leader := machine.leader
	leader.queued[added.id] = true
	switch {
	case !added.readyAt.IsZero():
	case len(added.spec.After()) == 0:
		added.readyAt = later(job.spec.Submitted(), job.spec.Due(added.id.Occurrence))
	default:
		added.readyAt = machine.now
	}
	waiting := &waitingStage{job: job, stage: added}
	machine.rank(waiting)
	machine.joinShare(waiting)
	index, _ := slices.BinarySearchFunc(leader.waitingStages, waiting, func(other, added *waitingStage) int {
		return cmp.Or(comparePlacement(other, added), -1) // Behind those that are equal.
	})
	leader.waitingStages = slices.Insert(leader.waitingStages, index, waiting)
	leader.placementDue = true
}

// unfinishedJobs returns the jobs that are not final or have active tasks, sorted by ID: stages of equal priority and submission
// time are placed in the order in which they are queued.
func (state *state) unfinishedJobs() []*job {
	var jobs []*job
	for _, job := range state.jobs {
		if !job.state.Final() || job.activeTasks > 0 {
			jobs = append(jobs, job)
		}
	}
	sortJobs(jobs)
	return jobs
}

// sortJobs sorts jobs by ID, so that the order of a map does not reach the journal or a placement.
func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.spec.ID(), b.spec.ID()) })
}
