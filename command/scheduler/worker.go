package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// phase is what the scheduler knows of a run on its worker.
type phase int

const (
	phaseCommitting phase = iota // phaseCommitting waits for the journal; no order has been sent.
	phaseSent                    // phaseSent waits for the answer to the start order.
	phaseUnknown                 // phaseUnknown means that the start order may have been carried out or may still be.
	phaseConfirmed               // phaseConfirmed means that the worker has confirmed the run.
)

// assignment is a run assigned to a worker. It uses resources of the worker until its end is recorded.
type assignment struct {
	task          almondcross.JobTask
	run           int
	resources     almondcross.Resources
	job           *job
	stage         *stage
	phase         phase
	fence         int64               // fence is the fencing token of the start order.
	placedAt      time.Time           // placedAt is when the run was assigned to the worker.
	startSentAt   time.Time           // startSentAt is when this scheduler sent the start order, zero if it did not.
	unboundStarts int                 // unboundStarts counts the start orders that may have reached another incarnation than the one that they are for.
	startResent   bool                // startResent is set once a start order that did not reach the worker has been sent again.
	startRepeated bool                // startRepeated is set once an unanswered start order has been sent a second time.
	confirmedAt   time.Time           // confirmedAt is when the worker confirmed the run.
	stopReason    stopReason          // stopReason is why the run is no longer wanted, empty if it is.
	nextStopAt    time.Time           // nextStopAt is when the stop order is repeated.
	stopSentAt    time.Time           // stopSentAt is when the pending stop order was sent, zero for none.
	checkpoint    string              // checkpoint is the last checkpoint that the worker reported.
	progress      int                 // progress is the last reported progress in percent.
	progressAt    time.Time           // progressAt is when the progress last changed.
	measured      runProgress         // measured is the progress from which the speed is measured next.
	resumed       bool                // resumed is set if the run was started from a checkpoint.
	suspicion     suspicion           // suspicion is that of the task when the run was assigned.
	lostAt        time.Time           // lostAt is when contact with the incarnation of the worker that got the start order was lost, zero while it is the current one.
	presumedLost  bool                // presumedLost is set once the lease has expired of a worker that does not answer.
	share         shareEntry          // share is the entry whose share the run counts towards.
	missingEnd    almondcross.EndKind // missingEnd is how the run has ended if its worker does not report it.
}

// worker holds what the scheduler knows of one worker.
type worker struct {
	id          string
	info        almondcross.Worker
	announced   bool      // announced is set while the worker is announced.
	announcedAt time.Time // announcedAt is when its announcement was last renewed.
	// announcedFrom is when an announcement without an incarnation counts for the current one, see nextAnnouncement.
	announcedFrom time.Time
	managed       bool // managed is set once the duties of the worker have been started.
	drained       bool // drained is set once this incarnation has announced that it will leave.
	assignments   map[almondcross.JobTask]*assignment
	used          almondcross.Resources
	// usedByServices is the part of used that belongs to services.
	usedByServices almondcross.Resources
	reserved       almondcross.Resources // reserved holds the resources reserved for waiting gangs in the current pass.
	held           bool                  // held is set if stages of a lower priority than heldPriority do not use the worker in the current pass.
	heldPriority   int
	speed          float64 // speed is relative to the usual worker, 0 if it was never measured.
	slow           bool    // slow is set while the worker is several times slower than the usual one.

	suspectRuns  int  // suspectRuns counts the runs of tasks under suspicion.
	isolatedRuns int  // isolatedRuns counts the runs of isolated tasks; meanwhile the worker gets no runs of other jobs.
	isolatedFor  *job // isolatedFor is the job of the isolated runs.

	inPass bool // inPass is set if the worker may get new work in the current placement pass.

	incarnation      int64
	incarnationSince time.Time     // incarnationSince is when the first report of this incarnation arrived.
	acknowledgedEnd  int64         // acknowledgedEnd is the last end of this incarnation that is in the journal.
	clock            time.Duration // clock is the worker's clock at lastAnswerAt.
	lastAnswerAt     time.Time     // lastAnswerAt is when the last report arrived, zero for never.
	extendedAt       time.Time     // extendedAt is when the last order was sent that extends the lease.
	maxLeaseEnd      time.Duration // maxLeaseEnd is the latest end of a lease that was sent, on the worker's clock.
	fence            int64
	reportedFence    int64     // reportedFence is the highest fencing token under which the worker has reported.
	unansweredFence  int64     // unansweredFence is the highest fencing token of an order without an answer.
	leasePending     bool      // leasePending is set while a lease order is pending or waits for a commit.
	unreachable      bool      // unreachable is set if the last lease order was not answered.
	unreachableSince time.Time // unreachableSince is when the first of these lease orders failed.
	refused          bool      // refused is set if nothing has accepted connections at the worker's address since its last answer.
	queueBlamed      bool      // queueBlamed is set once a queue has been blamed for the end of this incarnation.
	avoidUntil       time.Time
	// extensionBlocked is set while the journal may still hold the silence of this worker, so that its lease
	// must not be extended.
	extensionBlocked bool
	// ackLimit is the first end of this incarnation that must not be acknowledged, 0 for none: a success, or the last
	// failure allowed, that was reported after its task had been started again. An acknowledgement means to the worker that
	// the end is in the journal, which holds another run instead. The worker gets no new work until its lease has expired.
	ackLimit  int64
	lapsedEnd int64 // lapsedEnd is the last end of this incarnation up to an expiry of the lease, 0 for none.
	failures  workerFailures
}

// free returns the unused resources of the worker.
func (worker *worker) free() almondcross.Resources { return worker.info.Capacity().Sub(worker.used) }

// fitsRuns reports whether the worker still takes the runs that it was given. It may have changed or restarted since the
// decision, because the store may take seconds to commit it.
func (worker *worker) fitsRuns() bool {
	free := worker.free()
	return worker.announced && worker.lifeAnnounced() && !worker.info.Draining() && free.MilliCPU() >= 0 && free.MemoryMB() >= 0 && free.Accelerators() >= 0
}

func (worker *worker) assign(assignment *assignment) {
	worker.assignments[assignment.task] = assignment
	worker.used = worker.used.Add(assignment.resources)
	if assignment.stage.spec.Service() {
		worker.usedByServices = worker.usedByServices.Add(assignment.resources)
	}
	if assignment.suspicion != unsuspected {
		worker.suspectRuns++
	}
	if assignment.suspicion == isolated {
		worker.isolatedRuns++
		worker.isolatedFor = assignment.job
	}
}

func (worker *worker) release(assignment *assignment) {
	if worker.assignments[assignment.task] == assignment {
		delete(worker.assignments, assignment.task)
		worker.used = worker.used.Sub(assignment.resources)
		if assignment.stage.spec.Service() {
			worker.usedByServices = worker.usedByServices.Sub(assignment.resources)
		}
		if assignment.suspicion != unsuspected {
			worker.suspectRuns--
		}
		if assignment.suspicion == isolated {
			worker.isolatedRuns--
		}
	}
}

// sortedAssignments returns the assignments by task, so that a seed of the emulator repeats exactly.
func (worker *worker) sortedAssignments() []*assignment {
	return slices.SortedFunc(maps.Values(worker.assignments), func(a, b *assignment) int { return a.task.Compare(b.task) })
}

// outOfContact reports whether the worker has not answered the last lease order, or none yet.
func (worker *worker) outOfContact() bool { return worker.unreachable || worker.lastAnswerAt.IsZero() }

// noteLapse notes which of the reported ends came before an expiry of the lease: all of them if it has expired, otherwise those
// before an end by the expiry. These may be acknowledged: an end whose acknowledgement comes after the expiry does not count
// as noted.
func (worker *worker) noteLapse(report almondcross.WorkerReport, expired bool) {
	for _, end := range report.Ended() {
		if expired || end.Kind() == almondcross.EndLeaseExpired {
			worker.lapsedEnd = max(worker.lapsedEnd, end.Sequence())
		}
	}
	if worker.ackLimit <= worker.lapsedEnd {
		worker.ackLimit = 0
	}
}

// awaitsExpiry reports whether the worker has no runs and an end that must not be acknowledged before the lease has expired.
func (worker *worker) awaitsExpiry() bool { return worker.ackLimit > 0 && len(worker.assignments) == 0 }

// leaseExpired reports whether the worker's lease had certainly expired when it answered: by its own clock, if this scheduler
// has sent it a lease, or by when the leases have expired that earlier schedulers have extended.
func (machine *Machine) leaseExpired(worker *worker, answer almondcross.LeaseAnswered) bool {
	if worker.maxLeaseEnd > 0 {
		return answer.Report().Clock() > worker.maxLeaseEnd
	}
	return answer.Sent().After(machine.earlierLeaseExpiredAt(worker))
}

// supersede handles an end that is known only after its task has been started again, and returns what becomes of it for the
// log. It is withheld, so that neither it nor a later end is acknowledged, unless the lease has expired since.
func (worker *worker) supersede(end almondcross.EndedTask) string {
	switch {
	case end.Sequence() <= worker.lapsedEnd:
		return "superseded"
	case worker.ackLimit == 0:
		worker.ackLimit = end.Sequence()
	}
	return "withheld"
}

// clockNow estimates the worker's clock. The estimate is ahead of that clock by at most its drift.
func (worker *worker) clockNow(now time.Time) time.Duration {
	return worker.clock + now.Sub(worker.lastAnswerAt)
}

// ensureWorker returns the entry of a worker and adds one if it is unknown.
func (machine *Machine) ensureWorker(id string) *worker {
	leader := machine.leader
	if known := leader.workers[id]; known != nil {
		return known
	}
	_, silent := machine.state.silentWorkers[id]
	added := &worker{
		id: id, assignments: map[almondcross.JobTask]*assignment{}, extensionBlocked: silent,
		fence: max(firstFence(leader.epoch), leader.removedFence),
	}
	leader.workers[id] = added
	index, _ := slices.BinarySearchFunc(leader.sortedWorkers, added, func(a, b *worker) int { return strings.Compare(a.id, b.id) })
	leader.sortedWorkers = slices.Insert(leader.sortedWorkers, index, added)
	return added
}

// workersRead applies changes of the announced workers.
func (machine *Machine) workersRead(read almondcross.WorkersRead) {
	machine.reads.workers = false
	switch {
	case machine.leader == nil:
		return
	case machine.reads.workersEpoch != machine.leader.epoch:
		machine.readWorkers(-1, 0) // The read was sent in an earlier epoch of this host, which knew other workers.
		return
	case errors.Is(read.Err(), almondcross.ErrStoreTrimmed):
		machine.readWorkers(-1, storeRetryDelay)
		return
	case read.Err() != nil:
		machine.readWorkers(read.Next(), storeRetryDelay)
		return
	}
	seen := map[string]bool{}
	for _, change := range read.Changes() {
		seen[change.ID()] = change.Present()
		machine.workerChanged(change)
	}
	if read.Complete() {
		machine.leader.workersListed = true
		for _, known := range slices.Clone(machine.leader.sortedWorkers) {
			if seen[known.id] {
				continue
			}
			machine.workerChanged(almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: known.id}))
			machine.recordUnlisted(known) // Its announcement may have ended before this scheduler read the first list.
		}
	}
	machine.readWorkers(read.Next(), workersReadInterval)
}

func (machine *Machine) workerChanged(change almondcross.WorkerChange) {
	if !change.Present() {
		if known := machine.leader.workers[change.ID()]; known != nil && known.announced {
			known.announced = false
			machine.recordUnlisted(known)
			machine.config.Log.Record("worker_unlisted", almondcross.Text("worker", change.ID()), almondcross.Number("runs", len(known.assignments)))
		}
		return
	}
	worker := machine.ensureWorker(change.ID())
	if worker.announced && worker.info.Draining() != change.Worker().Draining() {
		machine.config.Log.Record("worker_draining", almondcross.Text("worker", worker.id), almondcross.Text("draining", yesNo(change.Worker().Draining())))
	}
	if !worker.announced {
		machine.config.Log.Record("worker_listed", almondcross.Text("worker", worker.id), almondcross.Text("address", change.Worker().Address()),
			almondcross.Text("rack", change.Worker().Rack()))
	}
	addressChanged := worker.info.Address() != change.Worker().Address()
	worker.info, worker.announced, worker.announcedAt = change.Worker(), true, machine.now
	if worker.info.Draining() && !worker.drained {
		worker.drained = true
		machine.recordAddress(worker) // A successor would otherwise treat the worker's end as a crash.
	}
	machine.endUnlisted(worker)
	if !worker.managed || addressChanged {
		worker.managed = true
		machine.emit(ManageWorker{Worker: worker.info})
	}
	if addressChanged {
		worker.forgetStartAnswers()
	}
	if !worker.leasePending || addressChanged {
		// The duty that awaits the answer to a pending order ends with the old address.
		machine.sendLease(worker, 0, 0)
	}
	machine.leader.placementDue = true
}

// forgetStartAnswers leaves the outcome of pending start orders to a report under a higher fencing token. Their answers may be
// lost with the duty of the worker's old address.
func (worker *worker) forgetStartAnswers() {
	for _, assignment := range worker.assignments {
		if assignment.phase == phaseSent {
			assignment.phase = phaseUnknown
			worker.noteUnanswered(assignment.fence)
		}
	}
}

// endRun records the end of a run and releases its resources.
func (machine *Machine) endRun(worker *worker, assignment *assignment, kind almondcross.EndKind, checkpoint string) {
	machine.recordStarts() // The end itself would otherwise count as the first sign of the start.
	machine.noteFinished(worker, assignment, kind)
	worker.release(assignment)
	assignment.share.uncharge(assignment.resources)
	task := assignment.task
	wasFinal := assignment.job.state.Final()
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: task, Run: assignment.run, End: kind, Checkpoint: checkpoint, Worker: worker.id,
		Silent: machine.silentFor(worker, assignment, kind),
	})
	machine.config.Metrics.Ended(kind)
	machine.config.Log.Record("run_ended", almondcross.Text("task", task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Text("end", string(kind)), almondcross.Millis("after_ms", machine.now.Sub(assignment.placedAt)),
		almondcross.Text("confirmed", yesNo(!assignment.confirmedAt.IsZero())), almondcross.Number("incarnation", worker.incarnation))
	machine.countFailures(worker, assignment.job, assignment.stage, kind)
	job := assignment.job
	if job.state.Final() {
		if !wasFinal {
			machine.logGivenUp(assignment, kind)
			machine.jobFinished(job)
		}
		return
	}
	if assignment.stage.spec.Gang() && assignment.stage.remainingTasks > 0 {
		if kind == almondcross.EndVoid && assignment.confirmedAt.IsZero() && machine.replaceGangMember(assignment) {
			return
		}
		machine.stopStage(assignment.stage)
	}
	machine.enqueueReadyStages(job)
	machine.leader.placementDue = true
}

// jobFinished logs and counts the end of a job and stops its remaining runs.
func (machine *Machine) jobFinished(job *job) {
	if job.activeTasks > 0 {
		machine.stopJobRuns(job)
	}
	delete(machine.leader.jobsWithOccurrences, job.spec.ID())
	machine.config.Log.Record("job_finished", almondcross.Text("job", string(job.spec.ID())), almondcross.Text("state", string(job.state)),
		almondcross.Millis("after_ms", machine.now.Sub(job.spec.Submitted())))
	machine.config.Metrics.Finished(job.spec.Queue(), job.state)
}
