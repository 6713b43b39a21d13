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
	fence         int64     // fence is the fencing token of the start order.
	placedAt      time.Time // placedAt is when the run was assigned to the worker.
	confirmedAt   time.Time // confirmedAt is when the worker confirmed the run.
	stopRequested bool      // stopRequested is set when the run is no longer wanted.
	nextStopAt    time.Time // nextStopAt is when the stop order is repeated.
	stopSentAt    time.Time // stopSentAt is when the pending stop order was sent, zero for none.
	checkpoint    string    // checkpoint is the last checkpoint that the worker reported.
	progress      int       // progress is the last reported progress in percent.
	progressAt    time.Time // progressAt is when the progress last changed.
}

// worker holds what the scheduler knows of one worker.
type worker struct {
	id          string
	info        almondcross.Worker
	announced   bool      // announced is set while the worker is announced.
	announcedAt time.Time // announcedAt is when its announcement was last renewed.
	managed     bool      // managed is set once the duties of the worker have been started.
	assignments map[almondcross.JobTask]*assignment
	used        almondcross.Resources
	usedByGangs almondcross.Resources // usedByGangs is the part of used that belongs to gangs.
	reserved    almondcross.Resources // reserved holds the resources reserved for waiting gangs in the current pass.

	inPass bool // inPass is set if the worker may get new work in the current placement pass.

	incarnation     int64
	acknowledgedEnd int64         // acknowledgedEnd is the last end of this incarnation that is in the journal.
	clock           time.Duration // clock is the worker's clock at lastAnswerAt.
	lastAnswerAt    time.Time     // lastAnswerAt is when the last report arrived, zero for never.
	maxLeaseEnd     time.Duration // maxLeaseEnd is the latest end of a lease that was sent, on the worker's clock.
	fence           int64
	raiseFence      bool // raiseFence is set if the next lease order must invalidate all earlier orders.
	leasePending    bool // leasePending is set while a lease order is pending or waits for a commit.
	unreachable     bool // unreachable is set if the last lease order was not answered.
	avoidUntil      time.Time
	// extensionBlocked is set while the journal may still hold the silence of this worker, so that its lease
	// must not be extended.
	extensionBlocked bool
	// presumedLost holds the run number of each task whose run ended as lost without a report from the worker.
	presumedLost map[almondcross.JobTask]int
	// ackLimit is the first end of this incarnation that must not be acknowledged, 0 for none: a success that
	// was reported after its task had been started again. An acknowledgement tells the worker that the success is
	// in the journal, which holds another run instead.
	ackLimit int64
	failures int // failures counts failed runs since the last success.
}

// free returns the unused resources of the worker.
func (worker *worker) free() almondcross.Resources { return worker.info.Capacity().Sub(worker.used) }

func (worker *worker) assign(assignment *assignment) {
	worker.assignments[assignment.task] = assignment
	worker.used = worker.used.Add(assignment.resources)
	if assignment.stage.spec.Gang() {
		worker.usedByGangs = worker.usedByGangs.Add(assignment.resources)
	}
}

func (worker *worker) release(assignment *assignment) {
	if worker.assignments[assignment.task] == assignment {
		delete(worker.assignments, assignment.task)
		worker.used = worker.used.Sub(assignment.resources)
		if assignment.stage.spec.Gang() {
			worker.usedByGangs = worker.usedByGangs.Sub(assignment.resources)
		}
	}
}

// usable reports whether the worker may get new work.
func (worker *worker) usable(now time.Time) bool {
	return worker.announced && !worker.info.Draining() && !worker.unreachable && worker.ackLimit == 0 && !worker.lastAnswerAt.IsZero() &&
		now.Sub(worker.lastAnswerAt) < maxContactAge && !now.Before(worker.avoidUntil)
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
		id: id, assignments: map[almondcross.JobTask]*assignment{}, presumedLost: map[almondcross.JobTask]int{},
		fence: leader.epoch << fenceCounterBits, extensionBlocked: silent,
	}
	leader.workers[id] = added
	index, _ := slices.BinarySearchFunc(leader.sortedWorkers, added, func(a, b *worker) int { return strings.Compare(a.id, b.id) })
	leader.sortedWorkers = slices.Insert(leader.sortedWorkers, index, added)
	return added
}

// workersRead applies changes of the announced workers.
func (machine *Machine) workersRead(read almondcross.WorkersRead) {
	query := almondcross.WorkersQueryConfig{From: read.Next(), Pause: workersReadInterval}
	if read.Err() != nil {
		query.Pause = storeRetryDelay
		if errors.Is(read.Err(), almondcross.ErrStoreTrimmed) {
			query.From = -1
		}
		machine.emit(ReadWorkers{Query: almondcross.NewWorkersQuery(query)})
		return
	}
	seen := map[string]bool{}
	for _, change := range read.Changes() {
		seen[change.ID()] = change.Present()
		machine.workerChanged(change)
	}
	if read.Complete() {
		for id, known := range machine.leader.workers {
			if known.announced && !seen[id] {
				machine.workerChanged(almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id}))
			}
		}
	}
	machine.emit(ReadWorkers{Query: almondcross.NewWorkersQuery(query)})
}

func (machine *Machine) workerChanged(change almondcross.WorkerChange) {
	if !change.Present() {
		if known := machine.leader.workers[change.ID()]; known != nil && known.announced {
			known.announced = false
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
	if !worker.managed || addressChanged {
		worker.managed = true
		machine.emit(ManageWorker{Worker: worker.info})
	}
	if !worker.leasePending || addressChanged {
		// The duty that awaits the answer to a pending order ends with the old address.
		machine.sendLease(worker, 0, 0)
	}
	machine.leader.placementDue = true
}

// sendLease sends the next lease order to a worker.
func (machine *Machine) sendLease(worker *worker, wait, pause time.Duration) {
	if !worker.managed {
		return
	}
	if worker.raiseFence {
		worker.fence++
		worker.raiseFence = false
	}
	worker.leasePending = true
	machine.emit(SendLease{Pause: pause, Order: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
		Worker: worker.info, Fence: worker.fence, Acknowledged: worker.acknowledgedEnd,
		Until: machine.leaseEnd(worker), Wait: wait,
	})})
}

// leaseEnd returns the end of a new lease on the worker's clock, 0 if the lease must not be extended.
func (machine *Machine) leaseEnd(worker *worker) time.Duration {
	leader := machine.leader
	if worker.extensionBlocked || worker.lastAnswerAt.IsZero() || machine.now.Sub(worker.lastAnswerAt) > maxExtensionAge || machine.now.Sub(leader.lastCommitAt) > leadershipTimeout {
		return 0
	}
	leaseEnd := worker.clockNow(machine.now) + min(leaseDuration, machine.config.MaxLease)
	worker.maxLeaseEnd = max(worker.maxLeaseEnd, leaseEnd)
	return leaseEnd
}

// leaseAnswered handles the answer to a lease order and sends the next one.
func (machine *Machine) leaseAnswered(answer almondcross.LeaseAnswered) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil || answer.Order().Fence()>>fenceCounterBits != machine.leader.epoch {
		return
	}
	if answer.Order().Worker().Address() != worker.info.Address() {
		return // The worker has moved and gets lease orders at its new address.
	}
	if answer.Order().ListOnly() && answer.Result() != almondcross.OrderFenced {
		machine.reportAnswered(worker, answer)
		return
	}
	switch {
	case answer.Result() == almondcross.OrderFenced && answer.Order().Fence() < worker.fence:
		if !answer.Order().ListOnly() {
			machine.sendLease(worker, 0, 0) // A report request with a higher fencing token overtook it.
		}
		return
	case answer.Result() == almondcross.OrderFenced:
		machine.stopLeading("worker " + worker.id + " has seen a higher fencing token")
		return
	case answer.Result() != almondcross.OrderDone:
		if !worker.unreachable {
			worker.unreachable = true
			machine.config.Log.Record("worker_lost_contact", almondcross.Text("worker", worker.id), almondcross.Text("result", string(answer.Result())),
				almondcross.Millis("age_ms", machine.now.Sub(worker.lastAnswerAt)), almondcross.Number("runs", len(worker.assignments)))
		}
		worker.raiseFence = true
		pause := leaseRetryDelay
		if machine.now.Sub(worker.lastAnswerAt) > longLeaseRetryAfter {
			pause = longLeaseRetryDelay
		}
		machine.sendLease(worker, 0, pause)
		return
	}
	if worker.unreachable {
		worker.unreachable = false
		machine.config.Log.Record("worker_regained", almondcross.Text("worker", worker.id))
	}
	machine.reconcileRuns(worker, answer)
}

// requestReport requests the report of a worker's runs under a higher fencing token, in parallel to the lease
// order that waits for an end.
func (machine *Machine) requestReport(worker *worker) {
	if !worker.managed || worker.unreachable {
		worker.raiseFence = true
		return
	}
	worker.fence++
	machine.emit(SendLease{Order: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
		Worker: worker.info, Fence: worker.fence, Acknowledged: worker.acknowledgedEnd, ListOnly: true,
	})})
}

// reportAnswered handles the answer to a report request. If there is none, the next lease order raises the token.
func (machine *Machine) reportAnswered(worker *worker, answer almondcross.LeaseAnswered) {
	if answer.Result() != almondcross.OrderDone {
		worker.raiseFence = true
		return
	}
	machine.reconcileRuns(worker, answer)
}

// reconcileRuns compares the report of a worker with its assignments.
func (machine *Machine) reconcileRuns(worker *worker, answer almondcross.LeaseAnswered) {
	report := answer.Report()
	if worker.incarnation != report.Incarnation() {
		if worker.incarnation != 0 {
			machine.config.Log.Record("worker_restarted", almondcross.Text("worker", worker.id), almondcross.Number("runs", len(worker.assignments)))
		}
		machine.resetWorker(worker, report.Incarnation())
	}
	worker.clock, worker.lastAnswerAt = report.Clock(), answer.Received()
	machine.endSilence(worker)
	machine.leader.placementDue = true
	acknowledged := machine.recordEnds(worker, report.Ended())
	reported := map[almondcross.JobTask]bool{}
	for _, running := range report.Running() {
		assigned := worker.assignments[running.Task()]
		if assigned == nil || assigned.run != running.Run() {
			machine.stopUnknownRun(worker, running)
			continue
		}
		reported[running.Task()] = true
		machine.confirmRun(assigned, running)
	}
	if len(report.Ended()) < maxReportedEnds {
		machine.endMissingRuns(worker, answer, reported)
	}
	if !answer.Order().ListOnly() {
		// Ends in the answer to a report request are acknowledged by the pending lease order, whose report includes them
		// too.
		machine.sendNextLease(worker, acknowledged)
	}
}

// recordEnds records the reported ends and returns the sequence number up to which they may be acknowledged
// after the commit.
func (machine *Machine) recordEnds(worker *worker, ends []almondcross.EndedTask) int64 {
	acknowledged := worker.acknowledgedEnd
	for _, end := range ends {
		acknowledged = max(acknowledged, end.Sequence())
		if assigned := worker.assignments[end.Task()]; assigned != nil && assigned.run == end.Run() {
			machine.endRun(worker, assigned, end.Kind(), end.Checkpoint())
		} else if worker.presumedLost[end.Task()] == end.Run() && end.Run() > 0 {
			machine.recordLateEnd(worker, end)
		}
	}
	if worker.ackLimit > 0 {
		return min(acknowledged, worker.ackLimit-1)
	}
	return acknowledged
}

// sendNextLease sends the lease order that follows a report. If the report has new ends, the order waits until
// they are committed.
func (machine *Machine) sendNextLease(worker *worker, acknowledged int64) {
	switch {
	case acknowledged > worker.acknowledgedEnd:
		epoch, incarnation := machine.leader.epoch, worker.incarnation
		machine.afterCommit(func() {
			if machine.leader != nil && machine.leader.epoch == epoch && worker.incarnation == incarnation {
				worker.acknowledgedEnd = max(worker.acknowledgedEnd, acknowledged)
			}
			machine.sendLease(worker, leaseAnswerWait, minLeaseInterval)
		})
	case worker.ackLimit > 0:
		// While ends are reported, the worker answers without waiting, so the pause limits the rate.
		machine.sendLease(worker, 0, leaseAnswerWait)
	case worker.raiseFence:
		machine.sendLease(worker, 0, 0)
	default:
		machine.sendLease(worker, leaseAnswerWait, 0)
	}
}

// recordLateEnd handles the end of a run that was presumed lost. A success counts if the task has not been
// started again. Otherwise its end is never acknowledged, and the worker gets no new work (see ackLimit).
func (machine *Machine) recordLateEnd(worker *worker, end almondcross.EndedTask) {
	if end.Kind() != almondcross.EndDone {
		delete(worker.presumedLost, end.Task())
		return
	}
	job := machine.state.jobs[end.Task().Stage.Job]
	if job == nil {
		return
	}
	stage := job.stage(end.Task().Stage)
	if stage == nil || end.Task().Index >= len(stage.tasks) {
		return
	}
	record := stage.tasks[end.Task().Index]
	outcome := "already done"
	switch {
	case !record.Done() && !record.Active() && record.Run() == end.Run():
		outcome = "counted"
		delete(worker.presumedLost, end.Task())
		machine.recordChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeEnd, Task: end.Task(), Run: end.Run(), End: almondcross.EndDone, Worker: worker.id,
		})
		if job.state.Final() {
			machine.jobFinished(job)
		}
		machine.enqueueReadyStages(job)
	case record.Run() > end.Run() && worker.ackLimit == 0:
		outcome = "already started again"
		worker.ackLimit = end.Sequence()
	}
	machine.config.Log.Record("late_success", almondcross.Text("task", end.Task().String()), almondcross.Number("run", end.Run()),
		almondcross.Text("worker", worker.id), almondcross.Text("outcome", outcome))
}

// resetWorker drops the state of the previous incarnation of a worker. Orders sent to it may still reach the
// new one, so their outcome is known only from a report under a higher fencing token.
func (machine *Machine) resetWorker(worker *worker, incarnation int64) {
	if worker.incarnation != 0 {
		for _, assignment := range worker.assignments {
			if assignment.phase != phaseCommitting {
				assignment.phase = phaseUnknown
			}
		}
		worker.raiseFence = true
	}
	worker.incarnation, worker.acknowledgedEnd, worker.maxLeaseEnd, worker.failures, worker.ackLimit = incarnation, 0, 0, 0, 0
	clear(worker.presumedLost)
}

func (machine *Machine) confirmRun(assigned *assignment, running almondcross.RunningTask) {
	if assigned.phase != phaseConfirmed {
		assigned.phase, assigned.confirmedAt = phaseConfirmed, machine.now
		assigned.progressAt = machine.now
	}
	if running.Checkpoint() != "" {
		assigned.checkpoint = running.Checkpoint()
	}
	if running.Progress() != assigned.progress {
		assigned.progress, assigned.progressAt = running.Progress(), machine.now
	}
}

// endMissingRuns ends the runs that a worker certainly does not have: it had confirmed the run before the report
// was requested, or the report has a higher fencing token than the unanswered start order.
func (machine *Machine) endMissingRuns(worker *worker, answer almondcross.LeaseAnswered, reported map[almondcross.JobTask]bool) {
	for _, assignment := range slices.Collect(maps.Values(worker.assignments)) {
		if reported[assignment.task] {
			continue
		}
		missing := assignment.phase == phaseConfirmed && assignment.confirmedAt.Before(answer.Sent()) ||
			assignment.phase == phaseUnknown && assignment.fence < answer.Order().Fence()
		if missing {
			machine.endRun(worker, assignment, almondcross.EndVoid, assignment.checkpoint)
		}
	}
}

// stopUnknownRun stops a run that is not among the worker's assignments.
func (machine *Machine) stopUnknownRun(worker *worker, running almondcross.RunningTask) {
	machine.config.Log.Record("stray_run", almondcross.Text("worker", worker.id), almondcross.Text("task", running.Task().String()),
		almondcross.Number("run", running.Run()))
	machine.emit(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
		Worker: worker.info, Task: running.Task(), Run: running.Run(), Fence: worker.fence,
	})})
}

// stopRun sends the order to stop a run that is no longer wanted.
func (machine *Machine) stopRun(worker *worker, assignment *assignment) {
	assignment.stopRequested = true
	if assignment.phase == phaseCommitting {
		return
	}
	assignment.nextStopAt, assignment.stopSentAt = machine.now.Add(stopRetryDelay), machine.now
	machine.afterCommit(func() {
		if worker.assignments[assignment.task] != assignment || !worker.managed {
			return // A worker that is not announced yet gets the order in the next sweep.
		}
		machine.emit(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
			Worker: worker.info, Task: assignment.task, Run: assignment.run, Fence: worker.fence,
		})})
	})
}

func (machine *Machine) stopOrderAnswered(answer almondcross.StopOrderAnswered) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil {
		return
	}
	assigned := worker.assignments[answer.Order().Task()]
	if assigned == nil || assigned.run != answer.Order().Run() {
		return
	}
	assigned.nextStopAt, assigned.stopSentAt = machine.now.Add(stopRetryDelay), time.Time{}
	if answer.Result() == almondcross.OrderUnknown {
		worker.raiseFence = true
	}
}

// endRun records the end of a run and releases its resources.
func (machine *Machine) endRun(worker *worker, assignment *assignment, kind almondcross.EndKind, checkpoint string) {
	worker.release(assignment)
	task := assignment.task
	wasFinal := assignment.job.state.Final()
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: task, Run: assignment.run, End: kind, Checkpoint: checkpoint, Worker: worker.id,
	})
	machine.config.Metrics.Ended(kind)
	machine.config.Log.Record("run_ended", almondcross.Text("task", task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Text("end", string(kind)), almondcross.Millis("after_ms", machine.now.Sub(assignment.placedAt)))
	machine.countFailures(worker, kind)
	job := assignment.job
	if job.state.Final() {
		if !wasFinal {
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

// stopStage stops the active runs of a stage: of a final job, or of a gang whose run can no longer succeed.
func (machine *Machine) stopStage(stage *stage) {
	for index, record := range stage.tasks {
		if !record.Active() {
			continue
		}
		worker := machine.leader.workers[record.Worker()]
		if worker == nil {
			continue
		}
		if member := worker.assignments[almondcross.JobTask{Stage: stage.id, Index: index}]; member != nil && !member.stopRequested {
			machine.stopRun(worker, member)
		}
	}
}

// countFailures updates the count of consecutive failures and avoids a worker with too many for a while.
func (machine *Machine) countFailures(worker *worker, kind almondcross.EndKind) {
	switch kind {
	case almondcross.EndDone:
		worker.failures = 0
	case almondcross.EndFailed:
		worker.failures++
		if worker.failures >= maxConsecutiveFailures {
			worker.avoidUntil = machine.now.Add(time.Duration(worker.failures) * failureBackoff)
			machine.config.Log.Record("worker_avoided", almondcross.Text("worker", worker.id), almondcross.Number("failures", worker.failures))
		}
	default:
	}
}

// stopDue reports whether the stop order of a run must be sent again. A pending order is not repeated, because
// many repeats would delay the other orders to a distant worker.
func (assignment *assignment) stopDue(now time.Time) bool {
	pending := !assignment.stopSentAt.IsZero() && now.Sub(assignment.stopSentAt) < stopTimeout
	return assignment.stopRequested && assignment.phase != phaseCommitting && !now.Before(assignment.nextStopAt) && !pending
}

// stalled reports whether a run makes no progress although its worker answers.
func (assignment *assignment) stalled(worker *worker, now time.Time) bool {
	limit := stallTimeout
	if assignment.progress >= fullProgress {
		limit = overdueTimeout
	}
	return assignment.phase == phaseConfirmed && !assignment.stopRequested && !assignment.stage.spec.Service() && !worker.unreachable &&
		now.Sub(assignment.progressAt) > limit && worker.lastAnswerAt.Sub(assignment.progressAt) > limit
}

// stopStalled stops a run that makes no progress, so that it is restarted on another worker.
func (machine *Machine) stopStalled(worker *worker, assignment *assignment) {
	machine.config.Log.Record("run_stalled", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Number("progress", assignment.progress),
		almondcross.Millis("unchanged_ms", machine.now.Sub(assignment.progressAt)))
	worker.avoidUntil = machine.now.Add(stallBackoff)
	machine.stopRun(worker, assignment)
}

// sweepWorkers records silent workers, ends the runs of lost ones, stops stalled runs, repeats unanswered stop
// orders and removes workers that have left.
func (machine *Machine) sweepWorkers() {
	var left []*worker
	for _, worker := range machine.leader.sortedWorkers {
		noContact := worker.unreachable || worker.lastAnswerAt.IsZero()
		if noContact {
			machine.recordSilence(worker)
		}
		machine.sweepRuns(worker, noContact && machine.now.After(machine.presumedLostAt(worker)))
		if !worker.announced && len(worker.assignments) == 0 && machine.now.Sub(worker.lastAnswerAt) > workerRetention && machine.now.Sub(machine.leader.electedAt) > workerRetention {
			left = append(left, worker)
		}
	}
	for _, worker := range left {
		machine.endSilence(worker)
		machine.emit(ReleaseWorker{Worker: worker.id})
		delete(machine.leader.workers, worker.id)
		machine.leader.sortedWorkers = slices.DeleteFunc(machine.leader.sortedWorkers, worker.equals)
	}
}

// sweepRuns ends the runs of a lost worker, stops the stalled ones and repeats unanswered stop orders.
func (machine *Machine) sweepRuns(worker *worker, lost bool) {
	for _, assignment := range worker.assignments {
		switch {
		case lost && assignment.phase != phaseCommitting:
			worker.presumedLost[assignment.task] = assignment.run
			machine.endRun(worker, assignment, almondcross.EndVoid, assignment.checkpoint)
		case assignment.stalled(worker, machine.now):
			machine.stopStalled(worker, assignment)
		case assignment.stopDue(machine.now) && worker.managed && !worker.unreachable:
			machine.stopRun(worker, assignment)
		}
	}
}

func (worker *worker) equals(other *worker) bool { return worker == other }
