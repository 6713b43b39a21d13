package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// answerWait returns how long a worker may delay its answer to wait for the end of a run. An end is answered at once, so
// a longer wait only means fewer orders to workers on which nothing ends.
func (machine *Machine) answerWait() time.Duration {
	wait := time.Duration(len(machine.leader.workers)) * time.Second / maxLooksPerSecond
	return min(max(wait, leaseAnswerWait), maxLeaseAnswerWait)
}

// sendLease sends the next lease order to a worker. One that does not extend the lease acknowledges nothing either: without both it
// is harmless to any incarnation, and reaches a worker that has restarted at once.
func (machine *Machine) sendLease(worker *worker, wait, pause time.Duration) {
	if !worker.managed {
		return
	}
	machine.raiseFence(worker)
	worker.leasePending = true
	order := almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Worker: worker.info, Fence: worker.fence, Wait: wait})
	if leaseEnd := machine.leaseEnd(worker); leaseEnd != 0 {
		order = order.WithIncarnation(worker.incarnation).WithUntil(leaseEnd).WithAcknowledged(worker.acknowledgedEnd)
	}
	machine.emit(SendLease{Pause: pause, Order: order})
}

// leaseEnd returns the end of a new lease on the worker's clock, 0 if the lease must not be extended.
func (machine *Machine) leaseEnd(worker *worker) time.Duration {
	if !machine.mayExtendLease(worker) {
		return 0
	}
	leaseEnd := worker.clockNow(machine.now) + min(leaseDuration, machine.config.MaxLease)
	worker.maxLeaseEnd, worker.extendedAt = max(worker.maxLeaseEnd, leaseEnd), machine.now
	return leaseEnd
}

// mayExtendLease reports whether the lease of a worker may be extended: the worker has answered and this host has written to
// the journal lately, and it has not resigned, since a successor counts the leases from then on.
func (machine *Machine) mayExtendLease(worker *worker) bool {
	return !worker.awaitsExpiry() && machine.leader.resignedAt.IsZero() && !worker.extensionBlocked && !worker.lastAnswerAt.IsZero() && machine.now.Sub(worker.lastAnswerAt) <= maxExtensionAge &&
		machine.now.Sub(machine.leader.lastCommitAt) <= leadershipTimeout
}

// leaseAnswered handles the answer to a lease order and sends the next one.
func (machine *Machine) leaseAnswered(answer almondcross.LeaseAnswered) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil || !machine.leader.ownsFence(answer.Order().Fence()) {
		return
	}
	if answer.Order().Worker().Address() != worker.info.Address() {
		return // The worker has moved and gets lease orders at its new address.
	}
	if worker.outdated(answer) {
		machine.ignoreReport(worker, answer)
		return
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
	case answer.Result() != almondcross.OrderDone, worker.incarnation != 0 && answer.Report().Incarnation() == 0:
		machine.leaseUnanswered(worker, answer)
		return
	}
	if worker.unreachable {
		worker.unreachable, worker.refused, worker.queueBlamed = false, false, false
		machine.config.Log.Record("worker_regained", almondcross.Text("worker", worker.id))
	}
	machine.reconcileRuns(worker, answer)
}

// leaseUnanswered handles a lease order that the worker has not carried out for certain, and repeats it after a pause.
func (machine *Machine) leaseUnanswered(worker *worker, answer almondcross.LeaseAnswered) {
	if !worker.unreachable {
		worker.unreachable, worker.unreachableSince = true, machine.now
		machine.config.Log.Record("worker_lost_contact", almondcross.Text("worker", worker.id), almondcross.Text("result", string(answer.Result())),
			almondcross.Millis("age_ms", machine.now.Sub(worker.lastAnswerAt)), almondcross.Number("runs", len(worker.assignments)))
	}
	worker.noteUnanswered(answer.Order().Fence())
	switch answer.Result() {
	case almondcross.OrderReplaced:
		machine.endRunsOfReplaced(worker)
	case almondcross.OrderRefused:
		worker.refused = true
		machine.blameQueue(worker)
	default:
	}
	pause := leaseRetryDelay
	if machine.now.Sub(worker.lastAnswerAt) > longLeaseRetryAfter {
		pause = longLeaseRetryDelay
	}
	machine.sendLease(worker, 0, pause)
}

// ignoreReport drops the report of an earlier incarnation and sends the next lease order.
func (machine *Machine) ignoreReport(worker *worker, answer almondcross.LeaseAnswered) {
	machine.config.Log.Record("report_outdated", almondcross.Text("worker", worker.id), almondcross.Number("incarnation", worker.incarnation),
		almondcross.Number("reported", answer.Report().Incarnation()))
	if !answer.Order().ListOnly() {
		machine.sendLease(worker, 0, 0)
	}
}

// requestReport requests the report of a worker's runs under a fencing token above that of an unanswered order, in
// parallel to the lease order that waits for an end. While the worker has not reported under the current token, it only
// notes the order, and the next report leads to another request. The request is harmless to any incarnation, like sendLease's.
func (machine *Machine) requestReport(worker *worker, unanswered int64) {
	worker.noteUnanswered(unanswered)
	if !worker.managed || worker.unreachable {
		return
	}
	machine.raiseFence(worker)
	if unanswered >= worker.fence {
		return
	}
	machine.emit(SendLease{Order: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
		Worker: worker.info, Fence: worker.fence, ListOnly: true,
	})})
}

// reportAnswered handles the answer to a report request. If there is none, the next lease order brings the report.
func (machine *Machine) reportAnswered(worker *worker, answer almondcross.LeaseAnswered) {
	if answer.Result() != almondcross.OrderDone || worker.incarnation != 0 && answer.Report().Incarnation() == 0 {
		return
	}
	machine.reconcileRuns(worker, answer)
	if worker.raiseDue() {
		machine.requestReport(worker, worker.unansweredFence)
	}
}

// reconcileRuns compares the report of a worker with its assignments.
func (machine *Machine) reconcileRuns(worker *worker, answer almondcross.LeaseAnswered) {
	report := answer.Report()
	if worker.incarnation != report.Incarnation() {
		machine.logRestart(worker, report)
		machine.resetWorker(worker, report)
	}
	worker.clock, worker.lastAnswerAt = report.Clock(), answer.Received()
	worker.reportedFence = max(worker.reportedFence, answer.Order().Fence())
	worker.noteExpiry(report, machine.leaseExpired(worker, answer))
	machine.endSilence(worker)
	machine.leader.placementDue = true
	acknowledged := machine.recordEnds(worker, report.Ended())
	reported := map[almondcross.JobTask]bool{}
	unknown := 0
	for _, running := range report.Running() {
		assigned := worker.assignments[running.Task()]
		if assigned == nil || assigned.run != running.Run() {
			if unknown++; unknown <= maxUnknownStops {
				machine.stopUnknownRun(worker, running)
			}
			continue
		}
		reported[running.Task()] = true
		machine.noteProgress(worker, assigned, running.Progress(), report.Clock())
		machine.confirmRun(assigned, running)
		assigned.settleStarts(answer.Sent())
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

// logRestart logs that a worker reports another incarnation than before. unread counts the ends of that incarnation that are missing
// before the first one that it lists; if it lists none, missing ends do not show.
func (machine *Machine) logRestart(worker *worker, report almondcross.WorkerReport) {
	if worker.incarnation == 0 {
		return
	}
	unread := int64(0)
	if ended := report.Ended(); len(ended) > 0 {
		unread = ended[0].Sequence() - 1
	}
	machine.config.Log.Record("worker_restarted", almondcross.Text("worker", worker.id), almondcross.Number("runs", len(worker.assignments)),
		almondcross.Number("earlier", worker.incarnation), almondcross.Number("incarnation", report.Incarnation()),
		almondcross.Millis("age_ms", machine.now.Sub(worker.lastAnswerAt)), almondcross.Number("reported_runs", len(report.Running())),
		almondcross.Number("unread", unread))
}

// recordEnds records the reported ends and returns the sequence number up to which they may be acknowledged
// after the commit.
func (machine *Machine) recordEnds(worker *worker, ends []almondcross.EndedTask) int64 {
	acknowledged := worker.acknowledgedEnd
	for _, end := range ends {
		acknowledged = max(acknowledged, end.Sequence())
		if assigned := worker.assignments[end.Task()]; assigned != nil && assigned.run == end.Run() {
			machine.endRun(worker, assigned, end.Kind(), end.Checkpoint())
		} else {
			machine.noteLateEnd(end)
			machine.recordLateSuccess(worker, end)
			machine.recordLateFailure(worker, end)
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
		epoch, incarnation, address := machine.leader.epoch, worker.incarnation, worker.info.Address()
		machine.afterCommit(func() {
			if machine.leader != nil && machine.leader.epoch == epoch && worker.incarnation == incarnation {
				worker.acknowledgedEnd = max(worker.acknowledgedEnd, acknowledged)
			}
			if worker.info.Address() != address {
				return // Lease orders to the new address are under way.
			}
			wait := machine.answerWait()
			if machine.reportDue(worker) {
				wait = 0
			}
			machine.sendLease(worker, wait, minLeaseInterval)
		})
	case worker.ackLimit > 0:
		// While ends are reported, the worker answers without waiting, so the pause limits the rate.
		machine.sendLease(worker, 0, leaseAnswerWait)
	case machine.reportDue(worker):
		machine.sendLease(worker, 0, 0)
	default:
		machine.sendLease(worker, machine.answerWait(), 0)
	}
}

// reportDue reports whether a report under a higher token would settle unanswered orders. A scheduler that resigns may have no
// higher token.
func (machine *Machine) reportDue(worker *worker) bool {
	return worker.raiseDue() && machine.leader.resignedAt.IsZero() || worker.reportedFence < worker.fence
}

// recordLateSuccess handles a reported success that is not the end of an assigned run. A success in the journal is only
// reported again. Otherwise the run was presumed lost, by this scheduler or one before it: the success counts if the task
// has not been started again; if it has, the success is not acknowledged (see supersede).
func (machine *Machine) recordLateSuccess(worker *worker, end almondcross.EndedTask) {
	job, stage, found := machine.state.find(end.Task())
	if !found || end.Kind() != almondcross.EndDone || stage.spec.Service() {
		return
	}
	record := stage.tasks.at(end.Task().Index)
	var outcome string
	switch {
	case record.Run() > end.Run():
		outcome = worker.supersede(end)
	case record.Run() == end.Run() && !record.Done() && !record.Active() && !job.state.Final():
		outcome = "counted"
		machine.recordChange(almondcross.ChangeConfig{
			Kind: almondcross.ChangeEnd, Task: end.Task(), Run: end.Run(), End: almondcross.EndDone, Worker: worker.id,
		})
		if job.state.Final() {
			machine.jobFinished(job)
		}
		machine.enqueueReadyStages(job)
	default:
		return
	}
	machine.config.Log.Record("late_success", almondcross.Text("task", end.Task().String()), almondcross.Number("run", end.Run()),
		almondcross.Text("worker", worker.id), almondcross.Text("outcome", outcome))
}

// resetWorker drops the state of the previous incarnation of a worker. Orders that are not bound to it may still reach the
// new one, so their outcome is known only from a report under a higher fencing token.
func (machine *Machine) resetWorker(worker *worker, report almondcross.WorkerReport) {
	incarnation := report.Incarnation()
	crashEnd := worker.crashEnd()
	restarted := worker.incarnation != 0
	for _, assignment := range worker.assignments {
		if assignment.phase == phaseCommitting {
			continue
		}
		if worker.incarnation != 0 || assignment.predates(incarnation) {
			assignment.missingEnd, assignment.lostAt = assignment.crashEnd(crashEnd), worker.lostAt()
			restarted = true
		}
		if worker.incarnation != 0 {
			assignment.phase = phaseUnknown
		}
	}
	if worker.incarnation != 0 {
		worker.noteUnanswered(worker.fence)
	}
	// A known worker's announcement may still be that of its previous incarnation.
	worker.drained = worker.incarnation == 0 && worker.info.Draining()
	worker.maxLeaseEnd = 0
	if restarted {
		// It may have received such an order, whose lease ends at a time on the clock of its previous incarnation.
		worker.maxLeaseEnd = report.Clock() + machine.config.MaxLease
		machine.recordLongLease(worker.id, withClockDrift(machine.config.MaxLease)+lastOrderMargin)
	}
	worker.announcedFrom = machine.nextAnnouncement(worker, incarnation)
	worker.incarnation, worker.incarnationSince, worker.acknowledgedEnd, worker.failures = incarnation, machine.now, 0, workerFailures{}
	worker.speed, worker.slow = 0, false
	worker.ackLimit, worker.expiredEnd = 0, 0
	if worker.announced && !worker.lifeAnnounced() {
		machine.config.Log.Record("announcement_outdated", almondcross.Text("worker", worker.id),
			almondcross.Number("incarnation", incarnation), almondcross.Number("announced", worker.info.Incarnation()))
	}
}

func (machine *Machine) confirmRun(assigned *assignment, running almondcross.RunningTask) {
	if assigned.phase != phaseConfirmed {
		assigned.phase, assigned.confirmedAt = phaseConfirmed, machine.now
		assigned.progressAt = machine.now
		machine.noteStart(assigned.job, assigned.task, assigned.run, machine.now)
	}
	assigned.missingEnd, assigned.lostAt = almondcross.EndVoid, time.Time{}
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
	for _, assignment := range worker.sortedAssignments() {
		if reported[assignment.task] {
			continue
		}
		missing := assignment.phase == phaseConfirmed && assignment.confirmedAt.Before(answer.Sent()) ||
			assignment.phase == phaseUnknown && assignment.fence < answer.Order().Fence()
		if missing {
			machine.endRun(worker, assignment, assignment.missingEnd, assignment.checkpoint)
		}
	}
}

// stopUnknownRun stops a run that is not among the worker's assignments.
func (machine *Machine) stopUnknownRun(worker *worker, running almondcross.RunningTask) {
	machine.config.Log.Record("stray_run", almondcross.Text("worker", worker.id), almondcross.Text("task", running.Task().String()),
		almondcross.Number("run", running.Run()))
	machine.emit(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
		Worker: worker.info, Incarnation: worker.incarnation, Task: running.Task(), Run: running.Run(), Fence: worker.fence,
	})})
}
