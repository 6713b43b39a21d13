package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// leader is what a machine keeps while it schedules. It is built anew for each epoch.
type leader struct {
	epoch      int64
	sequence   int64
	since      time.Time // since is when the election was answered.
	lastCommit time.Time // lastCommit is when the last append that succeeded was sent.
	pointedAt  time.Time // pointedAt is when the pointer was last stored.
	flushed    time.Time // flushed is when the last append was sent.
	stoppedAt  time.Time // stoppedAt is when the end of the epoch was appended, zero before.

	pending  []almondcross.Change // pending holds the changes of the next append.
	moved    map[int]int64        // moved holds the intake offsets of the next append.
	staged   []func()             // staged holds what follows the next append.
	resets   []viewsReset         // resets holds the views that follow the next append.
	readAt   map[int]time.Time    // readAt is when each intake partition was last read to its end.
	inflight *appending           // inflight is the append under way, nil for none.

	snapshotAt   time.Time // snapshotAt is when the last snapshot was taken.
	snapshotting bool
	usageAt      time.Time // usageAt is when the account was last written.
	usageStoring bool

	workers map[string]*worker
	order   []*worker  // order holds the workers by identity.
	usable  []*worker  // usable holds the workers that may be given work in the present pass.
	roomCPU int64      // roomCPU is the processor time of the usable workers in thousandths of a core.
	heldCPU int64      // heldCPU is the part of it that is kept for waiting gangs in the present pass.
	stages  []*waiting // stages holds the stages with work left whose turn has come, in placing order.
	asked   map[almondcross.StageID]*stageAdvice
	queued  map[almondcross.StageID]bool // queued tells which stages are in stages.
	timed   map[almondcross.JobID]*job   // timed holds the scheduled jobs with occurrences to open.
	dirty   bool                         // dirty tells that a placement may succeed now.
	placed  time.Time                    // placed is when work was last given to workers.
	swept   time.Time                    // swept is when the workers were last examined.
	shares  map[string]float64           // shares holds the learned part of workers that advice allows, by queue.
}

// appending is an append to the journal that is under way.
type appending struct {
	commit   almondcross.JournalCommit
	sent     time.Time
	staged   []func()
	resets   []viewsReset
	views    []almondcross.JobViewChange
	current  bool // current tells that all intakes had been read.
	snapshot *almondcross.StateSnapshot
}

func (machine *Machine) startLeading(answer almondcross.JournalCommitted) {
	machine.role = roleLeader
	machine.leader = &leader{
		epoch: answer.Commit().Epoch(), sequence: 1, since: machine.now, lastCommit: machine.now.Add(-answer.Took()),
		moved: map[int]int64{}, readAt: map[int]time.Time{}, workers: map[string]*worker{}, asked: map[almondcross.StageID]*stageAdvice{},
		queued: map[almondcross.StageID]bool{}, timed: map[almondcross.JobID]*job{}, shares: map[string]float64{},
		snapshotAt: machine.now,
	}
	machine.config.Log.Record("scheduling_started", almondcross.Number("epoch", machine.leader.epoch),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Millis("took_ms", answer.Took()))
	machine.config.Meters.Elected()
	machine.tellLeader()
	machine.storePointer()
	for _, adviser := range machine.advisers {
		adviser.asked, adviser.standby, adviser.resetting = nil, false, false
	}
	for _, adviser := range machine.advisers {
		if adviser.name != machine.config.Host {
			machine.linked(adviser)
		}
	}
	machine.adopt()
	machine.do(ReadWorkers{Query: almondcross.NewWorkersQuery(almondcross.WorkersQueryConfig{From: -1})})
	for partition := range machine.config.Partitions {
		machine.do(ReadIntake{Query: almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{
			Partition: partition, From: machine.state.intake[partition],
		})})
	}
}

// adopt rebuilds the tables from the state: every run without a recorded end may be on its worker.
func (machine *Machine) adopt() {
	for _, job := range machine.state.jobs {
		for _, stage := range job.stages {
			for index, record := range stage.tasks {
				if !record.Active() {
					continue
				}
				worker := machine.worker(record.Worker())
				task := almondcross.JobTask{Stage: stage.id, Index: index}
				worker.assign(&assignment{
					task: task, run: record.Run(), need: stage.spec.Resources(), phase: phaseUnknown, stage: stage, job: job,
					placed: machine.now,
				})
			}
		}
		machine.watchJob(job)
	}
}

// stopLeading gives up the epoch and its state, since changes of this host may be missing in the journal.
func (machine *Machine) stopLeading(cause string) {
	machine.config.Log.Record("scheduling_ended", almondcross.Number("epoch", machine.leader.epoch), almondcross.Text("reason", cause))
	for id := range machine.leader.workers {
		machine.do(ReleaseWorker{Worker: id})
	}
	machine.leader = nil
	machine.seek()
}

// storePointer tells hosts that look for the scheduler where it is.
func (machine *Machine) storePointer() {
	machine.leader.pointedAt = machine.now
	machine.do(StorePointer{Pointer: almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{
		Epoch: machine.leader.epoch, Host: machine.config.Host, Address: machine.config.Address,
	})})
}

// change applies a change and puts it into the next append.
func (machine *Machine) change(config almondcross.ChangeConfig) {
	machine.open()
	change := almondcross.NewChange(config)
	machine.state.apply(change)
	machine.leader.pending = append(machine.leader.pending, change)
}

// open begins the next append with the present time, so that followers compute the same times.
func (machine *Machine) open() {
	if len(machine.leader.pending) > 0 {
		return
	}
	at := machine.now.Truncate(time.Millisecond)
	if at.Before(machine.state.at) {
		at = machine.state.at
	}
	machine.state.begin(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: machine.leader.epoch, At: at}), machine.now)
}

// afterCommit runs a function when all changes so far are in the journal.
func (machine *Machine) afterCommit(follow func()) {
	machine.leader.staged = append(machine.leader.staged, follow)
}

// lead does the due work of the scheduler.
func (machine *Machine) lead() {
	if machine.leader.stoppedAt.IsZero() {
		switch {
		case machine.stopping:
			machine.resign("planned stop")
		case machine.outmatched():
			machine.resign("a stronger host is there")
		}
	}
	if machine.now.Sub(machine.leader.pointedAt) > pointerRefresh {
		machine.storePointer()
	}
	if machine.now.Sub(machine.leader.swept) >= leaderTick {
		machine.leader.swept = machine.now
		machine.sweepWorkers()
		machine.sweepAdvisers()
		machine.openOccurrences()
		machine.leader.dirty = true // Tickets lapse and pauses end without a message.
	}
	if machine.leader.dirty && machine.leader.stoppedAt.IsZero() && machine.now.Sub(machine.leader.placed) >= placePause {
		machine.leader.dirty, machine.leader.placed = false, machine.now
		machine.place()
	}
	machine.storeUsage()
	machine.flush()
}

// resign ends the epoch, so that a standby is elected without waiting for silence.
func (machine *Machine) resign(cause string) {
	machine.leader.stoppedAt = machine.now
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeResigned, Host: machine.config.Host})
	machine.afterCommit(func() { machine.stopLeading(cause) })
}

// flush sends the next append unless one is under way.
func (machine *Machine) flush() {
	leader := machine.leader
	if machine.now.Sub(leader.flushed) < appendPause {
		return
	}
	idle := len(leader.pending) == 0 && len(leader.moved) == 0 && len(leader.staged) == 0 && len(leader.resets) == 0
	if leader.inflight != nil || idle && machine.now.Sub(leader.lastCommit) < heartbeat {
		return
	}
	machine.open()
	leader.flushed = machine.now
	leader.sequence++
	inflight := &appending{sent: machine.now, staged: leader.staged, resets: leader.resets, views: machine.views(), current: machine.intakeCurrent()}
	var batches []almondcross.JournalBatch
	for first := true; first || len(leader.pending) > 0; first = false {
		count := min(len(leader.pending), batchChanges)
		config := almondcross.JournalBatchConfig{
			Epoch: leader.epoch, At: machine.state.at, Changes: leader.pending[:count:count], Current: inflight.current,
		}
		leader.pending = leader.pending[count:]
		if len(leader.pending) == 0 {
			config.Intake = leader.moved
		}
		batches = append(batches, almondcross.NewJournalBatch(config))
	}
	inflight.commit = almondcross.NewJournalCommit(almondcross.JournalCommitConfig{
		Epoch: leader.epoch, Sequence: leader.sequence, Batches: batches,
	})
	maps.Copy(machine.state.intake, leader.moved)
	if !leader.snapshotting && machine.now.Sub(leader.snapshotAt) >= machine.config.Snapshots {
		snapshot := machine.state.snapshot(0)
		inflight.snapshot = &snapshot
		leader.snapshotting, leader.snapshotAt = true, machine.now
	}
	leader.pending, leader.moved, leader.staged, leader.resets = nil, map[int]int64{}, nil, nil
	leader.inflight = inflight
	machine.do(Commit{Request: inflight.commit})
}

// committed takes the answer to an append.
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
		// The store takes a repeated sequence number once, so the append may be sent again whatever became of it.
		machine.config.Meters.CommitRepeated()
		machine.config.Log.Record("commit_repeated", almondcross.Number("sequence", leader.sequence), almondcross.Text("reason", answer.Err().Error()),
			almondcross.Millis("age_ms", machine.now.Sub(leader.inflight.sent)))
		leader.inflight.sent = machine.now
		machine.do(Commit{Request: leader.inflight.commit.WithPause(retryPause)})
		return
	}
	inflight := leader.inflight
	leader.inflight = nil
	machine.sendResets(inflight.resets)
	standbys, lights := machine.pushHosts()
	machine.do(Push{Hosts: standbys, Pushed: almondcross.NewJournalPushed(almondcross.JournalPushedConfig{
		From: answer.Appended().Offset(), Batches: inflight.commit.Batches(),
	})})
	machine.do(PushViews{Hosts: lights, Pushed: almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Complete: inflight.current, Changes: inflight.views,
	})})
	leader.lastCommit = machine.now.Add(-answer.Took())
	machine.follower.next = answer.Appended().End()
	machine.config.Publisher.Refreshed(machine.now, inflight.current)
	machine.publish(inflight.views)
	if inflight.snapshot != nil {
		machine.do(StoreSnapshot{Request: almondcross.NewSnapshotStore(almondcross.SnapshotStoreConfig{
			Snapshot: inflight.snapshot.WithNext(answer.Appended().End()),
		})})
	}
	for _, follow := range inflight.staged {
		if machine.leader != leader {
			return
		}
		follow()
	}
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
	position := machine.state.intake[read.Partition()]
	if moved, ok := leader.moved[read.Partition()]; ok {
		position = moved
	}
	if read.From() != position {
		return // The answer belongs to an earlier epoch of this host.
	}
	next := read.Next()
	pause := intakePause
	switch {
	case errors.Is(read.Err(), almondcross.ErrStoreTrimmed):
		machine.config.Log.Record("intake_gap", almondcross.Number("partition", read.Partition()),
			almondcross.Number("from", read.From()), almondcross.Number("first", next))
	case read.Err() != nil:
		next, pause = read.From(), retryPause
	default:
		leader.readAt[read.Partition()] = machine.now
	}
	for _, intake := range read.Intakes() {
		if intake.Cancel() {
			machine.cancelJob(intake.Job())
		} else {
			machine.admitJob(intake.Job())
		}
	}
	if next != position {
		leader.moved[read.Partition()] = next
	}
	machine.do(ReadIntake{Query: almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{
		Partition: read.Partition(), From: next, Pause: pause,
	})})
}

// intakeForwarded admits what another host could not store, and tells that host once it is in the journal.
func (machine *Machine) intakeForwarded(forwarded almondcross.IntakeForwarded) {
	if forwarded.Intake().Cancel() {
		machine.cancelJob(forwarded.Intake().Job())
	} else {
		machine.admitJob(forwarded.Intake().Job())
	}
	machine.afterCommit(func() {
		machine.do(TellStored{Host: forwarded.Host(), Stored: almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: forwarded.Number()})})
	})
}

// intakeCurrent reports whether every intake partition was read lately. A read that waits for a record is
// answered within its wait.
func (machine *Machine) intakeCurrent() bool {
	for partition := range machine.config.Partitions {
		if machine.now.Sub(machine.leader.readAt[partition]) > intakeFresh {
			return false
		}
	}
	return true
}

func (machine *Machine) admitJob(submitted almondcross.Job) {
	if _, known := machine.state.jobs[submitted.ID()]; known {
		machine.config.Meters.Repeated()
		return
	}
	queue, known := machine.queues[submitted.Queue()]
	if !known {
		// The entry host that stored the job knew the queue; this host has yet to read that version,
		// or the queue was removed since.
		queue = almondcross.NewQueue(almondcross.QueueConfig{Name: submitted.Queue()})
	}
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: submitted, Queue: queue})
	machine.config.Meters.Admitted(submitted.Queue())
	machine.config.Log.Record("job_admitted", almondcross.Text("job", string(submitted.ID())), almondcross.Text("queue", submitted.Queue()),
		almondcross.Millis("age_ms", machine.now.Sub(submitted.Submitted())), almondcross.Number("steps", len(submitted.Steps())))
	machine.watchJob(machine.state.jobs[submitted.ID()])
	machine.leader.dirty = true
}

func (machine *Machine) cancelJob(cancelled almondcross.Job) {
	job := machine.state.jobs[cancelled.ID()]
	if job != nil && job.state.Final() {
		return
	}
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeCancel, Job: cancelled})
	machine.config.Log.Record("job_cancelled", almondcross.Text("job", string(cancelled.ID())), almondcross.Text("known", yesNo(job != nil)))
	machine.config.Meters.Finished(machine.state.jobs[cancelled.ID()].job.Queue(), almondcross.JobCancelled)
	machine.jobEnded(cancelled.ID())
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// watchJob queues the stages of a job whose turn has come.
func (machine *Machine) watchJob(job *job) {
	if job.state.Final() {
		return
	}
	if job.opened < job.job.Occurrences() {
		machine.leader.timed[job.job.ID()] = job
	}
	for _, stage := range job.stages {
		if job.ready(stage) && !machine.leader.queued[stage.id] {
			machine.enqueue(job, stage)
		}
	}
}

// enqueue puts a stage behind those that go first: by priority, then by the time of submission.
func (machine *Machine) enqueue(job *job, added *stage) {
	leader := machine.leader
	leader.queued[added.id] = true
	index, _ := slices.BinarySearchFunc(leader.stages, 0, func(other *waiting, _ int) int {
		if order := machine.queue(other.job).Priority() - machine.queue(job).Priority(); order != 0 {
			return order
		}
		if other.job.job.Submitted().After(job.job.Submitted()) {
			return 1
		}
		return -1
	})
	leader.stages = slices.Insert(leader.stages, index, &waiting{job: job, stage: added})
	leader.dirty = true
}

// openOccurrences opens the occurrences of scheduled jobs that are due.
func (machine *Machine) openOccurrences() {
	for id, job := range machine.leader.timed {
		if job.state.Final() || job.opened >= job.job.Occurrences() {
			delete(machine.leader.timed, id)
			continue
		}
		for job.opened < job.job.Occurrences() && !machine.now.Before(job.job.Due(job.opened)) {
			machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeOccur, Job: job.job.WithSteps(nil).WithPayload(""), Occurrence: job.opened})
			machine.watchJob(job)
		}
	}
}

// jobEnded stops what still runs of a final job.
func (machine *Machine) jobEnded(id almondcross.JobID) {
	for _, worker := range machine.leader.order {
		for _, assignment := range worker.assigned {
			if assignment.task.Stage.Job == id {
				machine.stop(worker, assignment)
			}
		}
	}
}
