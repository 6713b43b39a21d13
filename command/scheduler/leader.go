package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// leader holds what a machine needs to schedule. It is rebuilt for each epoch.
type leader struct {
	epoch           int64
	sequence        int64
	electedAt       time.Time // electedAt is when the election was answered.
	lastCommitAt    time.Time // lastCommitAt is when the last successful append was sent.
	pointerStoredAt time.Time // pointerStoredAt is when the pointer was last stored.
	lastAppendAt    time.Time // lastAppendAt is when the last append was sent.
	resignedAt      time.Time // resignedAt is when the resignation was added to the next append, zero before that.

	pendingChanges   []almondcross.Change                            // pendingChanges holds the changes of the next append.
	pendingIntake    map[int]int64                                   // pendingIntake holds the intake offsets of the next append.
	pendingCallbacks []commitCallback                                // pendingCallbacks holds the functions to run once their changes are in the journal.
	pendingResets    []*linkedHost                                   // pendingResets holds the hosts that get all views after the next append.
	unpushedViews    map[almondcross.JobID]almondcross.JobViewChange // unpushedViews holds the committed views that viewers don't have yet.
	viewsPushedAt    time.Time                                       // viewsPushedAt is when views were last pushed.
	intakeReadAt     map[int]time.Time                               // intakeReadAt is when each intake partition was last read successfully.
	inflight         *inflightAppend                                 // inflight is the pending append, nil for none.

	snapshotAt   time.Time // snapshotAt is when the last snapshot was taken.
	snapshotting bool
	usageAt      time.Time // usageAt is when usage was last stored.
	usageStoring bool

	workers             map[string]*worker
	sortedWorkers       []*worker       // sortedWorkers holds the workers by ID.
	usableWorkers       []*worker       // usableWorkers holds the workers that may get new work in the current pass.
	allowedWorkers      []*worker       // allowedWorkers holds the result of the last call of the method of this name.
	idleHosts           []*linkedHost   // idleHosts holds the hosts that may make a call in the current pass.
	longCalls           int             // longCalls counts the hosts with a long call in the current pass.
	examinedWorkers     int             // examinedWorkers counts how often a worker was looked at in the current pass.
	usableCPU           int64           // usableCPU is the CPU capacity of the usable workers in thousandths of a core.
	reservedCPU         int64           // reservedCPU is the part of usableCPU that is reserved for gangs in the current pass.
	waitingStages       []*waitingStage // waitingStages holds the stages with tasks to place, in placement order.
	advice              map[almondcross.StageID]*stageAdvice
	queued              map[almondcross.StageID]bool // queued holds the stages that are in waitingStages.
	jobsWithOccurrences map[almondcross.JobID]*job   // jobsWithOccurrences holds the jobs with occurrences still to start.
	placementDue        bool                         // placementDue is set when a placement pass may succeed.
	lastPlacementAt     time.Time                    // lastPlacementAt is when the last placement pass began.
	lastSweepAt         time.Time                    // lastSweepAt is when the workers were last swept.
	lastTickAt          time.Time                    // lastTickAt is when due occurrences were last started.
	allowedShares       map[string]float64           // allowedShares holds the moving average of the share of workers that advice allows, by queue.
}

// commitCallback is a function to run once the first changes of the pending ones are in the journal.
type commitCallback struct {
	changes int // changes is the number of pending changes when the callback was added.
	run     func()
}

// inflightAppend is a pending append to the journal.
type inflightAppend struct {
	commit         almondcross.JournalCommit
	sentAt         time.Time
	callbacks      []commitCallback
	resetHosts     []*linkedHost // resetHosts holds the hosts that get resetViews, all views.
	resetViews     []almondcross.JobViewChange
	views          []almondcross.JobViewChange
	intakesCurrent bool // intakesCurrent is set if every intake partition had been read recently and the append has all their jobs.
	snapshot       *almondcross.StateSnapshot
}

func (machine *Machine) startLeading(answer almondcross.JournalCommitted) {
	machine.role = roleLeader
	machine.leader = &leader{
		epoch: answer.Commit().Epoch(), sequence: 1, electedAt: machine.now, lastCommitAt: machine.now.Add(-answer.Took()),
		pendingIntake: map[int]int64{}, intakeReadAt: map[int]time.Time{}, workers: map[string]*worker{}, advice: map[almondcross.StageID]*stageAdvice{},
		queued: map[almondcross.StageID]bool{}, unpushedViews: map[almondcross.JobID]almondcross.JobViewChange{}, jobsWithOccurrences: map[almondcross.JobID]*job{}, allowedShares: map[string]float64{},
		snapshotAt: machine.now,
	}
	machine.config.Log.Record("scheduling_started", almondcross.Number("epoch", machine.leader.epoch),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Millis("took_ms", answer.Took()))
	machine.config.Metrics.Elected()
	machine.announceScheduler()
	machine.storePointer()
	for _, linkedHost := range machine.linkedHosts {
		linkedHost.call, linkedHost.standby, linkedHost.awaitingViews = nil, false, false
	}
	for _, linkedHost := range machine.linkedHosts {
		if linkedHost.name != machine.config.Host {
			machine.hostLinked(linkedHost)
		}
	}
	machine.restoreAssignments()
	machine.emit(ReadWorkers{Query: almondcross.NewWorkersQuery(almondcross.WorkersQueryConfig{From: -1})})
	for partition := range machine.config.Partitions {
		machine.emit(ReadIntake{Query: almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{
			Partition: partition, From: machine.state.intakeOffsets[partition],
		})})
	}
}

// restoreAssignments rebuilds the worker tables from the state. Every run without a recorded end may be on its
// worker.
func (machine *Machine) restoreAssignments() {
	for _, job := range machine.state.jobs {
		for _, stage := range job.stages {
			for index, record := range stage.tasks {
				if !record.Active() {
					continue
				}
				worker := machine.ensureWorker(record.Worker())
				task := almondcross.JobTask{Stage: stage.id, Index: index}
				worker.assign(&assignment{
					task: task, run: record.Run(), resources: stage.spec.Resources(), phase: phaseUnknown, stage: stage, job: job,
					placedAt: machine.now,
				})
			}
		}
		machine.enqueueReadyStages(job)
	}
}

// stopLeading ends the epoch and drops the state, which may contain changes that are not in the journal.
func (machine *Machine) stopLeading(cause string) {
	machine.config.Log.Record("scheduling_ended", almondcross.Number("epoch", machine.leader.epoch), almondcross.Text("reason", cause))
	for id := range machine.leader.workers {
		machine.emit(ReleaseWorker{Worker: id})
	}
	machine.leader = nil
	machine.discoverScheduler()
}

// storePointer publishes this host as the scheduler for hosts in discovery.
func (machine *Machine) storePointer() {
	machine.leader.pointerStoredAt = machine.now
	machine.emit(StorePointer{Pointer: almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{
		Epoch: machine.leader.epoch, Host: machine.config.Host, Address: machine.config.Address,
	})})
}

// recordChange applies a change and adds it to the next append.
func (machine *Machine) recordChange(config almondcross.ChangeConfig) {
	machine.beginBatch()
	change := almondcross.NewChange(config)
	machine.state.apply(change)
	machine.leader.pendingChanges = append(machine.leader.pendingChanges, change)
}

// beginBatch starts the next append with the current time, so that followers compute the same times.
func (machine *Machine) beginBatch() {
	if len(machine.leader.pendingChanges) > 0 {
		return
	}
	at := machine.now.Truncate(time.Millisecond)
	if at.Before(machine.state.batchTime) {
		at = machine.state.batchTime
	}
	machine.state.beginBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: machine.leader.epoch, At: at}), machine.now)
}

// afterCommit runs a function once all changes so far are in the journal.
func (machine *Machine) afterCommit(callback func()) {
	leader := machine.leader
	leader.pendingCallbacks = append(leader.pendingCallbacks, commitCallback{changes: len(leader.pendingChanges), run: callback})
}

// runLeader carries out the periodic work of the scheduler.
func (machine *Machine) runLeader() {
	if machine.stopping && machine.leader.resignedAt.IsZero() {
		machine.resign("planned stop")
	}
	if machine.now.Sub(machine.leader.pointerStoredAt) > pointerStoreInterval {
		machine.storePointer()
	}
	if machine.now.Sub(machine.leader.lastSweepAt) >= sweepInterval {
		machine.leader.lastSweepAt = machine.now
		machine.sweepWorkers()
		machine.expireAdviceCalls()
		if machine.leader.resignedAt.IsZero() && machine.strongerStandby() {
			machine.resign("a stronger standby is available")
		}
	}
	if machine.now.Sub(machine.leader.lastTickAt) >= leaderTick {
		machine.leader.lastTickAt = machine.now
		machine.startDueOccurrences()
		machine.leader.placementDue = true // Tickets and backoffs expire without a message.
	}
	if machine.leader.placementDue && machine.leader.resignedAt.IsZero() && machine.now.Sub(machine.leader.lastPlacementAt) >= minPlacementInterval {
		machine.leader.placementDue, machine.leader.lastPlacementAt = false, machine.now
		machine.placeStages()
	}
	machine.storeUsage()
	machine.appendPending()
}

// resign ends the epoch, so that a standby is elected without waiting for electionTimeout.
func (machine *Machine) resign(cause string) {
	machine.leader.resignedAt = machine.now
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: machine.config.Host})
	machine.afterCommit(func() { machine.stopLeading(cause) })
}

// appendPending sends the next append unless one is pending.
func (machine *Machine) appendPending() {
	leader := machine.leader
	if machine.now.Sub(leader.lastAppendAt) < minAppendInterval {
		return
	}
	idle := len(leader.pendingChanges) == 0 && len(leader.pendingIntake) == 0 && len(leader.pendingCallbacks) == 0 && len(leader.pendingResets) == 0
	if leader.inflight != nil || idle && machine.now.Sub(leader.lastCommitAt) < heartbeatInterval {
		return
	}
	machine.beginBatch()
	leader.lastAppendAt = machine.now
	leader.sequence++
	inflight := &inflightAppend{sentAt: machine.now}
	changes := leader.takeChanges(machine.config.BatchesPerAppend * maxBatchChanges)
	inflight.callbacks = leader.takeCallbacks(len(changes))
	var intake map[int]int64
	if len(leader.pendingChanges) == 0 {
		intake = leader.pendingIntake
		machine.completeAppend(inflight)
	}
	inflight.commit = almondcross.NewJournalCommit(almondcross.JournalCommitConfig{
		Epoch: leader.epoch, Sequence: leader.sequence, Batches: machine.newBatches(changes, intake, inflight.intakesCurrent),
	})
	leader.inflight = inflight
	machine.emit(Commit{Request: inflight.commit})
}

// takeChanges removes and returns the first pending changes, at most limit. The store limits the size of an append,
// and a recovery may admit more jobs at once than fit in one.
func (leader *leader) takeChanges(limit int) []almondcross.Change {
	count := min(len(leader.pendingChanges), limit)
	taken := leader.pendingChanges[:count:count]
	leader.pendingChanges = leader.pendingChanges[count:]
	return taken
}

// takeCallbacks removes and returns the callbacks that wait for no more than the changes of an append.
func (leader *leader) takeCallbacks(changes int) []commitCallback {
	var taken, remaining []commitCallback
	for _, callback := range leader.pendingCallbacks {
		if callback.changes <= changes {
			taken = append(taken, callback)
		} else {
			remaining = append(remaining, commitCallback{changes: callback.changes - changes, run: callback.run})
		}
	}
	leader.pendingCallbacks = remaining
	return taken
}

// completeAppend adds to an append with all pending changes what presumes them: views, the intake offsets and, when
// one is due, a snapshot of the state.
func (machine *Machine) completeAppend(inflight *inflightAppend) {
	leader := machine.leader
	inflight.views, inflight.intakesCurrent = machine.takeViewChanges(), machine.intakesCurrent()
	if len(leader.pendingResets) > 0 {
		inflight.resetHosts, inflight.resetViews = leader.pendingResets, machine.allViews()
	}
	maps.Copy(machine.state.intakeOffsets, leader.pendingIntake)
	if !leader.snapshotting && machine.now.Sub(leader.snapshotAt) >= machine.config.SnapshotInterval {
		snapshot := machine.state.snapshot(0, machine.now)
		inflight.snapshot = &snapshot
		leader.snapshotting, leader.snapshotAt = true, machine.now
	}
	leader.pendingChanges, leader.pendingIntake, leader.pendingResets = nil, map[int]int64{}, nil
}

// newBatches divides changes into batches. The last one has the intake offsets.
func (machine *Machine) newBatches(changes []almondcross.Change, intake map[int]int64, current bool) []almondcross.JournalBatch {
	var batches []almondcross.JournalBatch
	for first := true; first || len(changes) > 0; first = false {
		count := min(len(changes), maxBatchChanges)
		config := almondcross.JournalBatchConfig{
			Epoch: machine.leader.epoch, At: machine.state.batchTime, Changes: changes[:count:count], Current: current,
		}
		changes = changes[count:]
		if len(changes) == 0 {
			config.Intake = intake
		}
		batches = append(batches, almondcross.NewJournalBatch(config))
	}
	return batches
}

// committed handles the answer to an append.
func (machine *Machine) committed(answer almondcross.JournalCommitted) {
	if answer.Commit().Election() {
		machine.electionAnswered(answer)
		return
	}
	leader := machine.leader
	if leader == nil || leader.inflight == nil || answer.Commit().Epoch() != leader.epoch ||
		answer.Commit().Sequence() != leader.inflight.commit.Sequence() {
		return
	}
	switch {
	case errors.Is(answer.Err(), almondcross.ErrStoreFenced), errors.Is(answer.Err(), almondcross.ErrStoreSequence):
		machine.stopLeading(answer.Err().Error())
		return
	case answer.Err() != nil:
		// The store applies a sequence number only once, so the append is safe to resend whether or not it
		// succeeded.
		machine.config.Metrics.CommitRepeated()
		machine.config.Log.Record("commit_repeated", almondcross.Number("sequence", leader.sequence), almondcross.Text("reason", answer.Err().Error()),
			almondcross.Millis("age_ms", machine.now.Sub(leader.inflight.sentAt)))
		leader.inflight.sentAt = machine.now
		machine.emit(Commit{Request: leader.inflight.commit.WithPause(storeRetryDelay)})
		return
	}
	inflight := leader.inflight
	leader.inflight = nil
	machine.sendResets(inflight)
	standbys, viewers := machine.pushHosts()
	machine.emit(PushBatches{Hosts: standbys, Pushed: almondcross.NewJournalPushed(almondcross.JournalPushedConfig{
		From: answer.Appended().Offset(), Batches: inflight.commit.Batches(),
	})})
	machine.pushViews(viewers, inflight)
	leader.lastCommitAt = machine.now.Add(-answer.Took())
	machine.follower.nextOffset = answer.Appended().End()
	machine.config.Publisher.Refreshed(machine.now, inflight.intakesCurrent)
	machine.publish(inflight.views)
	if inflight.snapshot != nil {
		machine.emit(StoreSnapshot{Request: almondcross.NewSnapshotStore(almondcross.SnapshotStoreConfig{
			Snapshot: inflight.snapshot.WithNext(answer.Appended().End()),
		})})
	}
	for _, callback := range inflight.callbacks {
		if machine.leader != leader {
			return
		}
		callback.run()
	}
}

// pushViews passes the committed views to the viewers. In a large cell it collects those of several appends, since each
// viewer costs a message.
func (machine *Machine) pushViews(viewers []string, inflight *inflightAppend) {
	leader := machine.leader
	for _, change := range inflight.views {
		leader.unpushedViews[change.ID()] = change
	}
	interval := min(time.Duration(len(viewers))*time.Second/maxViewMessagesPerSecond, maxViewInterval)
	if machine.now.Sub(leader.viewsPushedAt) < interval {
		return
	}
	machine.emit(PushViews{Hosts: viewers, Pushed: almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Complete: inflight.intakesCurrent, Changes: slices.Collect(maps.Values(leader.unpushedViews)),
	})})
	leader.viewsPushedAt = machine.now
	clear(leader.unpushedViews)
}

func (machine *Machine) snapshotStored(stored almondcross.SnapshotStored) {
	machine.leader.snapshotting = false
	if stored.Err() != nil {
		machine.config.Log.Record("snapshot_failed", almondcross.Number("next", stored.Next()), almondcross.Text("reason", stored.Err().Error()))
	}
}

// intakeRead admits the jobs and cancellations that entry hosts stored.
func (machine *Machine) intakeRead(read almondcross.IntakeRead) {
	leader := machine.leader
	position := machine.state.intakeOffsets[read.Partition()]
	if offset, ok := leader.pendingIntake[read.Partition()]; ok {
		position = offset
	}
	if read.From() != position {
		return // The read was sent in an earlier epoch of this host.
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
	machine.emit(ReadIntake{Query: almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{
		Partition: read.Partition(), From: next, Pause: pause,
	})})
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

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
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

// startDueOccurrences starts the occurrences that are due.
func (machine *Machine) startDueOccurrences() {
	for id, job := range machine.leader.jobsWithOccurrences {
		if job.state.Final() || job.startedOccurrences >= job.spec.Occurrences() {
			delete(machine.leader.jobsWithOccurrences, id)
			continue
		}
		for job.startedOccurrences < job.spec.Occurrences() && !machine.now.Before(job.spec.Due(job.startedOccurrences)) {
			machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeOccurrence, Job: job.spec.WithSteps(nil).WithPayload(""), Occurrence: job.startedOccurrences})
			machine.enqueueReadyStages(job)
		}
	}
}

// stopJobRuns stops the remaining runs of a final job.
func (machine *Machine) stopJobRuns(job *job) {
	for _, stage := range job.stages {
		machine.stopStage(stage)
	}
}
