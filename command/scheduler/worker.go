package scheduler

import (
	"maps"
	"slices"
	"time"

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

	inPass bool // inPass is set if any stage may use the worker in the current placement pass.

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
	ackLimit   int64
	expiredEnd int64 // expiredEnd is the last end of this incarnation up to an expiry of the lease, 0 for none.
	failures   workerFailures
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

// clockNow estimates the worker's clock. The estimate is ahead of that clock by at most its drift.
func (worker *worker) clockNow(now time.Time) time.Duration {
	return worker.clock + now.Sub(worker.lastAnswerAt)
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
	machine.countFailures(worker, assignment.stage, kind)
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
