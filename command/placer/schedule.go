package placer

import "github.com/almondcross/almondcross"

// choose returns the target for a task, or false if none fits.
func (machine *Machine) choose(attempt *attempt) (string, bool) {
	if attempt.task.Suspect() {
		return machine.chooseApart(attempt)
	}
	return machine.chooseAny(attempt)
}

// chooseApart returns a target without another suspect, so that of two tasks that survived the loss of their targets
// together only the one that caused it is blamed for the next loss.
func (machine *Machine) chooseApart(attempt *attempt) (string, bool) {
	var excluded []*target
	for _, target := range machine.sortedTargets {
		if target.schedulable && target.hasSuspect() {
			excluded = append(excluded, target)
			machine.Placement.Remove(target.info.Name())
		}
	}
	name, ok := machine.chooseAny(attempt)
	for _, target := range excluded {
		machine.offerFree(target)
	}
	return name, ok
}

// hasSuspect reports whether a task on the target is given up when the target is lost.
func (target *target) hasSuspect() bool {
	for _, attempt := range target.attempts {
		if attempt.task.Suspect() {
			return true
		}
	}
	return false
}

func (machine *Machine) chooseAny(attempt *attempt) (string, bool) {
	return machine.Placement.Choose(almondcross.NewPlacementQuery(almondcross.PlacementQueryConfig{
		Entry: attempt.task.Entry(), Class: attempt.task.Class(), Resources: attempt.task.Resources(), Reserve: attempt.mayUseReserve(),
	}))
}

// start sends a task to a held target under its current term.
func (machine *Machine) start(attempt *attempt, target *target) {
	if !machine.view.HasLease(attempt.task.Coordinator(), machine.now) {
		// The lease was valid on arrival, but the coordinator may have been replaced while the task waited.
		machine.refuse(attempt, almondcross.CodeNoLinkLease)
		return
	}
	if queue := attempt.queue; queue != nil {
		machine.removeFromQueue(attempt)
		machine.transferReclaim(attempt, queue)
	}
	waited := machine.now.Sub(attempt.queuedAt)
	fromReserve := attempt.task.Urgent() && attempt.long && !attempt.task.Resources().Fits(target.regularFree)
	attempt.state, attempt.target, attempt.term = starting, target, target.term
	attempt.sentAt, attempt.renewedAt, attempt.accountedAt = machine.now, machine.now, machine.now
	machine.startSequence++
	attempt.startSequence = machine.startSequence
	target.attempts[attempt.task.ID()] = attempt
	target.startingCount++
	machine.charge(attempt)
	target.health.countStart()
	machine.send(target.info.Name(), almondcross.NewStartTask(almondcross.StartTaskConfig{Term: target.term, Task: attempt.task}))
	machine.scheduleRenewList(target)
	machine.updateFree(target)
	machine.scheduleAccounting()
	if waited > 0 {
		machine.Admission.Dequeued(attempt.task.Entry(), waited, true, machine.now)
		machine.account(attempt.task, almondcross.AccountEventConfig{Code: attempt.waitCode, Duration: waited, Count: 1})
	}
	if target.reservedFor != nil && target.reservedFor != attempt.gang {
		machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeBackfilled, Count: 1})
	}
	if fromReserve {
		machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeUrgentReserve, Count: 1})
	}
	machine.recordDecision(attempt.task, "placed", attempt.waitCode, target.info.Name(), "")
}

// schedule starts waiting tasks on the targets that gained free capacity. The first task of every waiting
// queue fitted no target when it was queued, so only these targets have to be examined.
func (machine *Machine) schedule() {
	for index := 0; index < len(machine.pendingTargets); index++ {
		target := machine.pendingTargets[index]
		machine.startWaitingGangs(target)
		for target.schedulable {
			attempt := machine.nextWaiting(target)
			if attempt == nil {
				break
			}
			machine.start(attempt, target)
		}
		target.pending = false
	}
	machine.pendingTargets = machine.pendingTargets[:0]
}

// startFromQueue starts tasks from the head of a queue for as long as the first one fits a target.
func (machine *Machine) startFromQueue(queue *queue) {
	for queue.length > 0 && !machine.atLimit(queue) {
		attempt := queue.first()
		name, ok := machine.choose(attempt)
		if !ok {
			return
		}
		machine.start(attempt, machine.targets[name])
	}
}

// startFromQueues retries all queues after a change that may allow tasks of any of them to start.
func (machine *Machine) startFromQueues() {
	for _, queue := range append([]*queue(nil), machine.activeQueues...) {
		machine.startFromQueue(queue)
	}
}

// startLimited retries the queues of an entry with a limit of running tasks after one of its tasks ended.
func (machine *Machine) startLimited(entryName string) {
	if !machine.limitedEntries[entryName] {
		return
	}
	for index := 0; index < len(machine.activeQueues); index++ {
		if queue := machine.activeQueues[index]; queue.key.entry == entryName {
			machine.startFromQueue(queue)
			if queue.length == 0 {
				index--
			}
		}
	}
}
