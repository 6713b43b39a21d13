package placer

import "github.com/almondcross/almondcross"

// mayRenew reports whether renewals may extend the task's lease: this host has a valid link lease from the
// coordinator incarnation that placed the task or confirmed its adoption. Without that lease, other members
// may have removed the coordinator from their views, and its successor places the task again after HoldBack.
// A task taken over from an earlier holder needs the confirmation even if its coordinator is in the view,
// since that coordinator may be about to place it again because the earlier holder was lost.
func (machine *Machine) mayRenew(attempt *attempt) bool {
	return !attempt.adoptionRefused && !attempt.unconfirmed && machine.view.HasLease(attempt.task.Coordinator(), machine.now)
}

// sendRenewList sends the dispatcher the tasks whose leases the next renewals extend.
func (machine *Machine) sendRenewList(target *target) {
	if target.state != leaseHeld {
		return
	}
	ids := make([]almondcross.TaskID, 0, len(target.attempts))
	for _, attempt := range target.orderedAttempts() {
		if attempt.onTarget() && machine.mayRenew(attempt) {
			ids = append(ids, attempt.task.ID())
		}
	}
	machine.send(target.info.Name(), almondcross.NewRenewTasks(almondcross.RenewTasksConfig{Term: target.term, IDs: ids}))
}

// scheduleRenewList sends the changed list after renewalDelay.
func (machine *Machine) scheduleRenewList(target *target) {
	if !target.renewTimerSet && target.state == leaseHeld {
		target.renewTimerSet = true
		machine.setTimer(renewalDelay, timer{kind: timerRenew, target: target})
	}
}

// resendAdoptions repeats the adoption requests that the coordinators have not answered.
func (machine *Machine) resendAdoptions() {
	machine.adoptionTimerSet = false
	for _, target := range machine.sortedTargets {
		machine.requestAdoptions(target, true)
	}
}

// requestAdoptions requests the adoption of the tasks of one target; again includes the tasks for which it
// was already requested.
func (machine *Machine) requestAdoptions(target *target, again bool) {
	if target.state != leaseHeld {
		return
	}
	for _, attempt := range target.orderedAttempts() {
		if attempt.adoptionRefused || !attempt.onTarget() {
			continue
		}
		lost := !machine.view.Contains(attempt.task.Coordinator())
		if !attempt.unconfirmed && !lost {
			continue
		}
		if again || !attempt.unconfirmed {
			machine.requestAdoption(target, attempt)
		}
		attempt.unconfirmed = true
		if !machine.adoptionTimerSet {
			machine.adoptionTimerSet = true
			machine.setTimer(adoptionRetryInterval, timer{kind: timerAdopt})
		}
	}
}

func (machine *Machine) requestAdoption(target *target, attempt *attempt) {
	// The member that accepted a key coordinates it for as long as that member is in the view.
	coordinator := attempt.task.Coordinator()
	if !machine.view.Contains(coordinator) {
		member, ok := machine.view.Coordinator(attempt.task.ID().Key())
		if !ok {
			return
		}
		coordinator = member.ID()
	}
	machine.report(coordinator, almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: attempt.task, Holder: machine.self, Target: target.info.Name(), Term: target.term,
	}))
}

// adoptAnswered handles a coordinator's answer to an adoption request of the current term.
func (machine *Machine) adoptAnswered(message almondcross.AdoptAnswered) {
	attempt, ok := machine.attempts[taskKey{message.ID(), message.Attempt()}]
	if !ok || !attempt.onTarget() || attempt.target.info.Name() != message.Target() || attempt.target.term != message.Term() {
		return
	}
	if !machine.view.Contains(message.Coordinator()) || attempt.adoptionRefused {
		return
	}
	attempt.unconfirmed = false
	if !message.Accepted() {
		attempt.adoptionRefused = true
		machine.recordDecision(attempt.task, "adoption_refused", almondcross.CodeNone, message.Target(), "")
		machine.halt(attempt, almondcross.CodeTaskStopped)
	} else if attempt.task.Coordinator() != message.Coordinator() {
		attempt.task = attempt.task.WithCoordinator(message.Coordinator())
	}
	machine.sendRenewList(attempt.target)
}
