package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// sendStart sends the start order of a run that is in the journal.
func (machine *Machine) sendStart(worker *worker, assigned *assignment) {
	if worker.assignments[assigned.task] != assigned || assigned.phase != phaseCommitting {
		return
	}
	if !machine.mayStart(worker, assigned) {
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
		return
	}
	ticket := ""
	if advice := machine.leader.advice[assigned.task.Stage]; advice != nil {
		ticket = advice.tickets[worker.id].secret
	}
	record := assigned.stage.tasks.at(assigned.task.Index)
	checkpoint := record.Checkpoint()
	if assigned.stage.spec.Gang() {
		checkpoint = assigned.stage.gangCheckpoint
	}
	assigned.phase, assigned.fence, assigned.resumed = phaseSent, worker.fence, checkpoint != ""
	machine.countQueueStart(assigned.job)
	machine.emitStart(worker, assigned, almondcross.NewStartOrder(almondcross.StartOrderConfig{
		Worker: worker.info, Incarnation: worker.incarnation, Task: assigned.task, Run: assigned.run, Payload: assigned.job.spec.Payload(), Checkpoint: checkpoint,
		Ticket: ticket, Fence: worker.fence, Until: machine.leaseEnd(worker),
	}))
}

// emitStart sends a start order of a run.
func (machine *Machine) emitStart(worker *worker, assigned *assignment, order almondcross.StartOrder) {
	assigned.startSentAt, worker.extendedAt = machine.now, machine.now
	assigned.unboundStarts++
	machine.emit(SendStart{Order: order})
}

// mayStart reports whether the start order of a run may be sent now. The run, the worker or this scheduler's permission may
// have changed since the decision.
func (machine *Machine) mayStart(worker *worker, assigned *assignment) bool {
	return assigned.stopReason == "" && assigned.unwantedReason() == "" && machine.mayExtendLease(worker) && !worker.unreachable &&
		worker.fitsRuns() && worker.isOfKind(machine.queue(assigned.job), assigned.stage.spec) && machine.startKeepsQuota(assigned)
}

// startOrderAnswered handles the answer to a start order.
func (machine *Machine) startOrderAnswered(answer almondcross.StartOrderAnswered) {
	machine.config.Metrics.StartAnswered(answer.Result())
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil {
		return
	}
	assigned := worker.assignments[answer.Order().Task()]
	if assigned == nil || assigned.run != answer.Order().Run() || assigned.fence != answer.Order().Fence() {
		return
	}
	if assigned.phase != phaseSent {
		machine.startAnsweredLate(worker, assigned, answer.Result())
		return
	}
	machine.noteReach(worker, assigned, answer)
	machine.logStartRefused(worker, assigned, answer.Result())
	switch result := answer.Result(); {
	case result == almondcross.OrderFenced && answer.Order().Fence() >= worker.fence:
		machine.stopLeading("worker " + worker.id + " has seen a higher fencing token")
	case result != almondcross.OrderDone && assigned.startRepeated:
		// A refusal of the second order does not tell whether the first one was carried out.
		machine.startUnknown(worker, assigned)
	case result == almondcross.OrderNotSent && !assigned.startResent && machine.mayRepeatStart(worker, assigned):
		// The worker left the first call on a new connection unanswered, or the queue of its orders was full.
		assigned.startResent = true
		machine.emitStart(worker, assigned, answer.Order())
	case result == almondcross.OrderUnknown && machine.mayRepeatStart(worker, assigned):
		assigned.startRepeated = true
		machine.emitStart(worker, assigned, answer.Order())
	case result == almondcross.OrderUnknown:
		machine.startUnknown(worker, assigned)
	default:
		machine.startAnswered(worker, assigned, answer)
	}
}

// noteReach notes whether it is known which incarnation a start order can have reached. If it is not, a successor has to reckon with
// the longest lease too.
func (machine *Machine) noteReach(worker *worker, assigned *assignment, answer almondcross.StartOrderAnswered) {
	switch {
	case answer.Incarnation() != 0, answer.Result() == almondcross.OrderNotSent:
		assigned.unboundStarts--
	case answer.Result() == almondcross.OrderUnknown, answer.Result() == almondcross.OrderDone:
		machine.recordUnboundStart(worker)
	default: // The worker has refused the order.
	}
}

// startAnsweredLate handles the answer to a start order whose worker has reported another incarnation meanwhile. A run that was never
// sent is no crash of the worker.
func (machine *Machine) startAnsweredLate(worker *worker, assigned *assignment, result almondcross.OrderResult) {
	if assigned.phase == phaseUnknown && !assigned.startRepeated && result == almondcross.OrderRestarted {
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
	}
}

// logStartRefused logs the result of a start order that was not carried out for certain.
func (machine *Machine) logStartRefused(worker *worker, assigned *assignment, result almondcross.OrderResult) {
	if result == almondcross.OrderDone {
		return
	}
	machine.config.Log.Record("start_refused", almondcross.Text("task", assigned.task.String()), almondcross.Number("run", assigned.run),
		almondcross.Text("worker", worker.id), almondcross.Text("result", string(result)),
		almondcross.Text("repeated", yesNo(assigned.startRepeated)), almondcross.Millis("age_ms", machine.now.Sub(assigned.placedAt)))
}

// startUnknown asks the worker whether it has a run whose start order was not answered.
func (machine *Machine) startUnknown(worker *worker, assigned *assignment) {
	assigned.phase = phaseUnknown
	machine.requestReport(worker, assigned.fence)
}

// mayRepeatStart reports whether an unanswered start order may be sent once more to its worker, which carries out a run once.
// A report decides otherwise, under a higher fencing token, which would refuse the order.
func (machine *Machine) mayRepeatStart(worker *worker, assigned *assignment) bool {
	return !assigned.startRepeated && assigned.fence == worker.fence && machine.mayStart(worker, assigned)
}

// startAnswered handles the refusal of the first start order of a run, or the success of either.
func (machine *Machine) startAnswered(worker *worker, assigned *assignment, answer almondcross.StartOrderAnswered) {
	switch answer.Result() {
	case almondcross.OrderDone:
		assigned.phase, assigned.confirmedAt, assigned.progressAt = phaseConfirmed, answer.Received(), machine.now
		machine.noteStart(assigned.job, assigned.task, assigned.run, machine.now)
	case almondcross.OrderTicketInvalid:
		if advice := machine.leader.advice[assigned.task.Stage]; advice != nil {
			delete(advice.tickets, worker.id)
		}
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
	case almondcross.OrderUnavailable, almondcross.OrderNotSent, almondcross.OrderRefused, almondcross.OrderReplaced:
		worker.avoidUntil = machine.now.Add(startRefusalBackoff)
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
	case almondcross.OrderRestarted:
		worker.avoidUntil = machine.now.Add(startRefusalBackoff)
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
		machine.requestReport(worker, assigned.fence) // The pending lease order may wait for an answer of the earlier incarnation.
	default:
		machine.endRun(worker, assigned, almondcross.EndVoid, "")
	}
}

// startRefusalBackoff is how long a worker that refused a start order is avoided.
const startRefusalBackoff = 500 * time.Millisecond
