package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// stage is one step of one occurrence of a job.
type stage struct {
	id             almondcross.StageID
	spec           almondcross.Step
	tasks          taskTable
	maxCrashes     int    // maxCrashes is the highest count of crashes of a task.
	gangRun        int    // gangRun is the highest run number of a gang.
	gangFailures   int    // gangFailures counts the failed runs of a gang.
	failedGangRun  int    // failedGangRun is the last run of a gang with a failed member, zero once it has been counted.
	gangCheckpoint string // gangCheckpoint is the last checkpoint of a gang.
	remainingTasks int    // remainingTasks counts the tasks that are not done.
	activeTasks    int    // activeTasks counts the tasks that have a run without a recorded end.
	// readyAt is when the stage became ready, or when its job was submitted if that was before this scheduler. It is not replicated.
	readyAt      time.Time
	runTime      stageRunTime // runTime is the expected run time. It is not replicated.
	failedWorker string       // failedWorker is the first worker on which this scheduler saw a run fail since the last success, empty for none. It is not replicated.
	failedAt     time.Time    // failedAt is when this scheduler last saw a run fail, zero for never. It is not replicated.
	failsWidely  bool         // failsWidely is set once this scheduler saw a run fail on another worker too. It is not replicated.
}

// job is one job of the replicated state.
type job struct {
	spec               almondcross.Job
	settings           sharedSettings // settings are not known for a job of an older host until ChangeSettings.
	state              almondcross.JobState
	finishedAt         time.Time
	startedOccurrences int
	stages             []*stage // stages holds nil for those of an occurrence that was dropped, see forgetOccurrence.
	doneOccurrences    int      // doneOccurrences counts the occurrences that were dropped.
	activeTasks        int      // activeTasks counts the active tasks of all stages.
	charged            int64    // charged is the memory in bytes that the ledger counts for the job.
	// paths holds the longest chains of the steps, nil until a stage waits. It is not replicated.
	paths *paths
}

// stage returns the stage with an ID, nil if its occurrence has not started or was dropped.
func (job *job) stage(id almondcross.StageID) *stage {
	steps := len(job.spec.Steps())
	index := id.Occurrence*steps + id.Step
	if id.Step < 0 || id.Step >= steps || index < 0 || index >= len(job.stages) {
		return nil
	}
	return job.stages[index]
}

// find returns the job and the stage of a task, and false if the state does not have them.
func (state *state) find(task almondcross.JobTask) (*job, *stage, bool) {
	job := state.jobs[task.Stage.Job]
	if job == nil {
		return nil, nil, false
	}
	stage := job.stage(task.Stage)
	return job, stage, stage != nil && task.Index < stage.tasks.len()
}

// view returns the view of the job that callers see.
func (job *job) view() almondcross.JobView {
	return newJobView(job.spec, job.settings.value(), job.state)
}

// newJobView returns the view of a job whose queue had some settings when the job was accepted.
func newJobView(job almondcross.Job, settings almondcross.QueueSettings, state almondcross.JobState) almondcross.JobView {
	return almondcross.NewJobView(almondcross.JobViewConfig{
		ID: job.ID(), Queue: settings.Queue().ID().WithName(job.Queue()), State: state, CountsAsPending: job.Runs() == 0, Workspace: job.Workspace(),
	})
}

// state is the part of the scheduler's tables that the journal replicates. It changes only by applying
// batches, with the same result on every host.
type state struct {
	highestEpoch     int64 // highestEpoch is the highest epoch used in an election.
	schedulerEpoch   int64 // schedulerEpoch is the epoch of the current scheduler.
	batchTime        time.Time
	schedulerHost    string
	schedulerAddress string
	resigned         bool
	format           int // format is the highest number of a format in the journal since this host loaded the state, zero for none.
	intakeOffsets    map[int]int64
	jobs             map[almondcross.JobID]*job
	ledger           ledger
	lastSettings     map[string]sharedSettings // lastSettings holds the settings of the last job of each queue, by name.
	retention        time.Duration
	finishedJobs     []almondcross.JobID // finishedJobs holds the final jobs by the time of their end.
	usage            map[almondcross.UsageKey]almondcross.QueueUsage
	unstoredUsage    map[almondcross.UsageKey]struct{} // unstoredUsage holds the periods whose usage is not stored yet.
	changedJobs      map[almondcross.JobID]struct{}    // changedJobs holds the jobs whose view may have changed.
	snapshotAt       time.Time                         // snapshotAt is when the last snapshot was stored, zero for none.
	earlierEpochs    []int64                           // earlierEpochs holds the epochs since the state was loaded whose snapshots may be in the store.
	silentWorkers    map[string]silence                // silentWorkers holds the workers whose leases are not extended.
	// unlistedWorkers holds the workers with runs that are no longer announced. Snapshots have them, so that a host that loads
	// the state can send orders to a worker that has lost only its way to the store.
	unlistedWorkers map[string]almondcross.UnlistedWorker
	crashes         []almondcross.WorkerCrash // crashes holds the crashes of workers in the last crashWindow.
	busyWorkers     map[string]int            // busyWorkers counts the active runs of each worker that has any.
	// heldResources holds what the runs without a recorded end of each workspace hold, see quota.go.
	heldResources map[string]almondcross.Resources
	// busyAddresses holds the addresses of the workers in busyWorkers, as far as the journal has shown them since this host
	// loaded the state.
	busyAddresses map[string]workerAddress
	// knownSilences holds the silences that this host knew when it loaded the state again. It is not replicated.
	knownSilences map[string]silence
	// longLeases holds by when the leases of restarted workers have expired, which may be the longest that workers grant, on this
	// host's clock.
	longLeases map[string]time.Time
	// leaderships holds the scheduler and those before it that may still extend leases, in the order of their elections. A link
	// of a former scheduler's host ends its leadership as well. It is not replicated.
	leaderships []leadership
	// electionsMissed is set if elections may be in a part of the journal that this host has skipped.
	electionsMissed bool

	// applyTime is the local time at which this host applies the current batch, or on the scheduler the current change.
	// It is not replicated, because the clocks of hosts differ.
	applyTime time.Time
}

// silence is the journal's record of a worker that does not answer. No scheduler extends the worker's lease
// until the journal holds the end of the silence, so a successor need not wait for a full lease after its own
// election.
type silence struct {
	epoch          int64     // epoch is the epoch of the scheduler that recorded the silence.
	recordedAt     time.Time // recordedAt is the time of the batch with the record.
	leaseExpiredAt time.Time // leaseExpiredAt is when the lease has expired at the latest, on this host's clock.
}

// sameRecord reports whether two silences are the same record of the journal.
func (silence silence) sameRecord(other silence) bool {
	return silence.epoch == other.epoch && silence.recordedAt.Equal(other.recordedAt)
}

func newState(retention time.Duration) *state {
	return &state{
		intakeOffsets: map[int]int64{}, jobs: map[almondcross.JobID]*job{}, retention: retention,
		changedJobs: map[almondcross.JobID]struct{}{}, silentWorkers: map[string]silence{}, longLeases: map[string]time.Time{}, unlistedWorkers: map[string]almondcross.UnlistedWorker{}, usage: map[almondcross.UsageKey]almondcross.QueueUsage{},
		unstoredUsage: map[almondcross.UsageKey]struct{}{}, busyWorkers: map[string]int{}, busyAddresses: map[string]workerAddress{},
		heldResources: map[string]almondcross.Resources{}, ledger: newLedger(), lastSettings: map[string]sharedSettings{},
	}
}

// beginBatch advances the time and the intake offsets to those of a batch that is applied now.
func (state *state) beginBatch(batch almondcross.JournalBatch, now time.Time) {
	state.applyTime = now
	state.highestEpoch = max(state.highestEpoch, batch.Epoch())
	if batch.At().After(state.batchTime) {
		state.batchTime = batch.At()
	}
	for partition, offset := range batch.Intake() {
		state.intakeOffsets[partition] = max(state.intakeOffsets[partition], offset)
	}
	state.expireJobs()
	state.expireUsage()
}

// applyBatch applies all changes of a batch.
func (state *state) applyBatch(batch almondcross.JournalBatch, now time.Time) {
	state.beginBatch(batch, now)
	state.continueLeadership(batch.Epoch())
	for _, change := range batch.Changes() {
		state.apply(change)
	}
}

func (state *state) apply(change almondcross.Change) {
	switch change.Kind() {
	case almondcross.ChangeAdmit:
		state.admitJob(change.Job(), change.Settings())
	case almondcross.ChangeSettings:
		state.settleJob(change)
	case almondcross.ChangeCancel:
		state.cancelJob(change.Job(), change.Settings())
	case almondcross.ChangeAssign:
		state.assignTask(change)
	case almondcross.ChangeEnd:
		state.endTask(change)
	case almondcross.ChangeJobStarted:
		state.startJob(change.Task().Stage.Job, change.Waited())
	case almondcross.ChangeOccurrence:
		if job := state.jobs[change.Job().ID()]; job != nil && !job.state.Final() {
			job.startOccurrence()
			state.recharge(job)
		}
	case almondcross.ChangeElected:
		state.schedulerHost, state.schedulerAddress, state.schedulerEpoch, state.resigned = change.Host(), change.Address(), state.highestEpoch, false
		state.beginLeadership()
		state.earlierEpochs = append(state.earlierEpochs, state.schedulerEpoch)
		state.earlierEpochs = state.earlierEpochs[max(0, len(state.earlierEpochs)-maxEarlierEpochs):]
	case almondcross.ChangeSnapshotStored:
		state.snapshotAt = state.batchTime
		state.earlierEpochs = slices.DeleteFunc(state.earlierEpochs, func(epoch int64) bool { return epoch < state.schedulerEpoch })
	case almondcross.ChangeResigned:
		state.resigned = true
		state.resignLeadership(change.LeaseRemaining())
	case almondcross.ChangeLeadershipsEnded:
		state.endLeaderships(state.applyTime.Add(change.LeaseRemaining()), func(leadership leadership) bool { return leadership.epoch < state.schedulerEpoch })
	case almondcross.ChangeFormat:
		state.format = max(state.format, change.Format())
	default:
		state.applyToWorker(change)
	}
}

// applyToWorker applies a change of what is known of a worker.
func (state *state) applyToWorker(change almondcross.Change) {
	switch change.Kind() {
	case almondcross.ChangeWorkerSilent:
		state.addSilence(change.Worker(), silence{
			epoch: state.schedulerEpoch, recordedAt: state.batchTime, leaseExpiredAt: state.applyTime.Add(change.LeaseRemaining()),
		})
	case almondcross.ChangeLongLease:
		state.addLongLease(change.Worker(), state.applyTime.Add(change.LeaseRemaining()))
	case almondcross.ChangeWorkerRegained:
		delete(state.silentWorkers, change.Worker())
	case almondcross.ChangeWorkerUnlisted:
		state.unlistedWorkers[change.Worker()] = almondcross.NewUnlistedWorker(almondcross.UnlistedWorkerConfig{
			Worker: change.Worker(), Address: change.Address(), Zone: change.Zone(), Leaving: change.End() == almondcross.EndVoid,
		})
	case almondcross.ChangeWorkerListed:
		delete(state.unlistedWorkers, change.Worker())
	case almondcross.ChangeWorkerAddress:
		if state.busyWorkers[change.Worker()] > 0 {
			state.busyAddresses[change.Worker()] = workerAddress{
				address: change.Address(), zone: change.Zone(), leaving: change.End() == almondcross.EndVoid,
			}
		}
	default: // A later version may have further changes.
	}
}

// addSilence records a silence. The bound on the lease counts from when this host first learned of the record.
func (state *state) addSilence(worker string, added silence) {
	if known, found := state.knownSilences[worker]; found && known.sameRecord(added) && known.leaseExpiredAt.Before(added.leaseExpiredAt) {
		added.leaseExpiredAt = known.leaseExpiredAt
	}
	state.silentWorkers[worker] = added
}

func (state *state) admitJob(submitted almondcross.Job, settings almondcross.QueueSettings) {
	if known := state.jobs[submitted.ID()]; known != nil {
		if !known.yieldsTo(submitted) {
			return
		}
		state.finishedJobs = slices.DeleteFunc(state.finishedJobs, func(id almondcross.JobID) bool { return id == submitted.ID() })
		state.discharge(known)
	}
	job := &job{spec: submitted, state: almondcross.JobQueued}
	state.setSettings(job, settings)
	state.jobs[submitted.ID()] = job
	state.changedJobs[submitted.ID()] = struct{}{}
	state.updateUsage(settings.Queue(), func(usage almondcross.QueueUsage) almondcross.QueueUsage {
		return usage.WithAdmitted(usage.Admitted() + 1)
	})
	if submitted.Runs() == 0 {
		job.startOccurrence()
	}
	state.recharge(job)
}

func (job *job) startOccurrence() {
	if job.startedOccurrences >= job.spec.Occurrences() {
		return
	}
	for index, step := range job.spec.Steps() {
		job.stages = append(job.stages, &stage{
			id:             almondcross.StageID{Job: job.spec.ID(), Occurrence: job.startedOccurrences, Step: index},
			spec:           step,
			tasks:          newTaskTable(step.Count(), nil),
			remainingTasks: step.Count(),
		})
	}
	job.startedOccurrences++
}

// cancelJob also stores a job that has not been admitted, so that a later submission is ignored. Such a job has the settings
// of the cancellation, which tell its queue from another one, and counts in no usage.
func (state *state) cancelJob(cancelled almondcross.Job, settings almondcross.QueueSettings) {
	found := state.jobs[cancelled.ID()]
	admitted := found != nil
	if !admitted {
		found = &job{spec: cancelled, state: almondcross.JobQueued}
		state.jobs[cancelled.ID()] = found
		state.recharge(found)
	}
	if !found.state.Final() {
		state.finishJob(found, almondcross.JobCancelled)
	}
	if !admitted {
		state.setSettings(found, settings)
	}
}

func (state *state) finishJob(job *job, final almondcross.JobState) {
	job.state, job.finishedAt = final, state.batchTime
	state.updateUsage(job.settings.Queue(), func(usage almondcross.QueueUsage) almondcross.QueueUsage {
		switch final {
		case almondcross.JobCompleted:
			return usage.WithCompleted(usage.Completed() + 1)
		case almondcross.JobFailed:
			return usage.WithFailed(usage.Failed() + 1)
		default:
			return usage.WithCancelled(usage.Cancelled() + 1)
		}
	})
	state.finishedJobs = append(state.finishedJobs, job.spec.ID())
	state.changedJobs[job.spec.ID()] = struct{}{}
	state.compactJob(job)
}

// compactJob drops the payload of a final job that has no active tasks, and its steps and stages unless a task was started
// more than once: the record of such a task distinguishes a late success of an earlier run from one that is only reported again.
func (state *state) compactJob(job *job) {
	if !job.state.Final() || job.activeTasks > 0 {
		return
	}
	job.spec = job.spec.WithPayload("")
	if !slices.ContainsFunc(job.stages, (*stage).restarted) {
		job.spec, job.stages = job.spec.WithSteps(nil), nil
	}
	state.recharge(job)
}

// restarted reports whether a task of the stage was started more than once.
func (stage *stage) restarted() bool {
	return stage != nil && slices.ContainsFunc(stage.tasks.known(), func(record almondcross.TaskRecord) bool { return record.Run() > 1 })
}

func (state *state) assignTask(change almondcross.Change) {
	job, stage, found := state.find(change.Task())
	if !found {
		return
	}
	record := stage.tasks.at(change.Task().Index)
	if record.Active() {
		state.releaseWorker(record.Worker())
	} else {
		stage.activeTasks++
		job.activeTasks++
		state.hold(job, stage)
	}
	state.busyWorkers[change.Worker()]++
	if change.Address() != "" {
		state.busyAddresses[change.Worker()] = workerAddress{address: change.Address(), zone: change.Zone()}
	}
	record = withoutLostRun(record, change.Run()) // A member of a gang that never started is assigned again under its run.
	stage.tasks.set(change.Task().Index, record.WithActive(true).WithRun(change.Run()).WithWorker(change.Worker()).WithSince(state.batchTime))
	stage.gangRun = max(stage.gangRun, change.Run())
}

// countEnd applies the end of a run to its task and returns the verdict on the job.
func (state *state) countEnd(job *job, stage *stage, change almondcross.Change) almondcross.Verdict {
	index := change.Task().Index
	record := stage.tasks.at(index)
	if change.End() == almondcross.EndFailed && slices.Contains(record.LostRuns(), change.Run()) {
		return state.countLateFailure(job, stage, index, change)
	}
	if record.Run() != change.Run() || !record.Active() && (change.End() != almondcross.EndDone || record.Done()) {
		return change.Verdict()
	}
	if !record.Active() {
		// The run was presumed lost, and its success was reported before the task was assigned again.
		stage.activeTasks++
		job.activeTasks++
	} else {
		state.releaseHeld(job, stage)
		defer state.releaseWorker(record.Worker()) // The worker counts as busy when its crash is weighed.
	}
	if showsStart(change) {
		// The run started no earlier than it was assigned.
		state.startJob(job.spec.ID(), job.waitedUntil(record.Since()))
	}
	state.addRunUsage(job, stage, record, change.End())
	record = record.WithActive(false)
	stage.activeTasks--
	job.activeTasks--
	if change.Checkpoint() != "" {
		record = record.WithCheckpoint(change.Checkpoint())
		stage.gangCheckpoint = change.Checkpoint()
	}
	if presumesLost(change) {
		record = withLostRun(record, change.Run())
	}
	stage.endRun(index, record, change)
	isLoss := state.countLoss(stage, change)
	if stage.spec.Gang() && !stage.spec.Service() {
		stage.updateGang(change)
	}
	verdict := state.verdictOn(job, stage, change, isLoss)
	state.forgetOccurrence(job, stage.id.Occurrence)
	state.compactJob(job)
	return verdict
}

// endRun sets the record of a task whose run has ended.
func (stage *stage) endRun(index int, record almondcross.TaskRecord, change almondcross.Change) {
	switch {
	case stage.spec.Service():
		// A service task is restarted however its run ends.
	case change.End() == almondcross.EndDone:
		if !record.Done() {
			record = record.WithDone(true)
			stage.remainingTasks--
		}
	case change.End() == almondcross.EndFailed:
		record = record.WithFailures(record.Failures() + 1)
		stage.failedGangRun = change.Run()
	}
	stage.tasks.set(index, record)
}

// updateGang applies the end of one member to the gang. One success completes all members; a failed run counts
// once, when its last member has ended.
func (stage *stage) updateGang(change almondcross.Change) {
	if change.End() == almondcross.EndDone {
		for index := range stage.tasks.len() {
			stage.tasks.set(index, stage.tasks.at(index).WithDone(true))
		}
		stage.remainingTasks = 0
	}
	if stage.activeTasks == 0 && stage.remainingTasks > 0 && stage.failedGangRun != 0 {
		stage.gangFailures++
		stage.forgetLostRun(stage.failedGangRun)
		stage.failedGangRun = 0
	}
}

// expireJobs removes final jobs whose retention has ended.
func (state *state) expireJobs() {
	expired := 0
	for expired < len(state.finishedJobs) {
		job := state.jobs[state.finishedJobs[expired]]
		if job != nil && (state.batchTime.Sub(job.finishedAt) < state.retention || job.activeTasks > 0) {
			break
		}
		if job != nil {
			state.discharge(job)
			delete(state.jobs, state.finishedJobs[expired])
			state.changedJobs[state.finishedJobs[expired]] = struct{}{}
		}
		expired++
	}
	if expired > 0 {
		state.finishedJobs = slices.Delete(state.finishedJobs, 0, expired)
	}
}

// ready reports whether tasks of a stage may start: its preceding steps are done and it has tasks to place.
func (job *job) ready(stage *stage) bool {
	if job.state.Final() || stage.remainingTasks == 0 {
		return false
	}
	if stage.spec.Gang() && stage.activeTasks > 0 || stage.remainingTasks <= stage.activeTasks {
		return false
	}
	for _, step := range stage.spec.After() {
		dependency := job.stage(almondcross.StageID{Job: stage.id.Job, Occurrence: stage.id.Occurrence, Step: step})
		if dependency == nil || dependency.remainingTasks > 0 {
			return false
		}
	}
	return true
}

func hasRemainingTasks(stage *stage) bool { return stage != nil && stage.remainingTasks > 0 }
