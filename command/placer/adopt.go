package placer

import "github.com/almondcross/almondcross"

// nameable reports whether renewals may extend the task's lease: there is a valid link lease from
// exactly the incarnation that placed the task, or that confirmed its adoption. A coordinator without
// one may have been removed by others, which place the task again after the hold-back. A task of an earlier
// holder needs the confirmation even when its coordinator is in the view: the coordinator may be
// about to place it again, because the earlier holder was lost.
func (machine *Machine) nameable(item *job) bool {
	return !item.refused && !item.unconfirmed && machine.view.HasLease(item.task.Coordinator(), machine.now)
}

// sendRenewal tells the dispatcher which tasks the next renewals name.
func (machine *Machine) sendRenewal(entry *target) {
	if entry.state != stateHeld {
		return
	}
	ids := make([]almondcross.TaskID, 0, len(entry.jobs))
	for _, item := range entry.ordered() {
		if item.onTarget() && machine.nameable(item) {
			ids = append(ids, item.task.ID())
		}
	}
	machine.send(entry.target.Name(), almondcross.NewRenewTasks(almondcross.RenewTasksConfig{Term: entry.term, IDs: ids}))
}

// renewSoon sends the changed list after renewalDelay.
func (machine *Machine) renewSoon(entry *target) {
	if !entry.renewSet && entry.state == stateHeld {
		entry.renewSet = true
		machine.after(renewalDelay, timer{kind: timerRenew, target: entry})
	}
}

// repeatAdoptions asks the coordinators of unadopted tasks to confirm them, until they answer.
func (machine *Machine) repeatAdoptions() {
	machine.adoptSet = false
	for _, entry := range machine.sorted {
		machine.askAdoptions(entry, true)
	}
}

// askAdoptions asks for the tasks of one target; again includes those that were asked for before.
func (machine *Machine) askAdoptions(entry *target, again bool) {
	if entry.state != stateHeld {
		return
	}
	for _, item := range entry.ordered() {
		if item.refused || !item.onTarget() {
			continue
		}
		lost := !machine.view.Contains(item.task.Coordinator())
		if !item.unconfirmed && !lost {
			continue
		}
		if again || !item.unconfirmed {
			machine.askAdoption(entry, item)
		}
		item.unconfirmed = true
		if !machine.adoptSet {
			machine.adoptSet = true
			machine.after(adoptInterval, timer{kind: timerAdopt})
		}
	}
}

func (machine *Machine) askAdoption(entry *target, item *job) {
	// A key stays with the member that started it for as long as that member is in the view.
	coordinator := item.task.Coordinator()
	if !machine.view.Contains(coordinator) {
		member, ok := machine.view.Coordinator(item.task.ID().Key())
		if !ok {
			return
		}
		coordinator = member.ID()
	}
	machine.report(coordinator, almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: item.task, Holder: machine.self, Target: entry.target.Name(), Term: entry.term,
	}))
}

// adoptAnswered takes a coordinator's answer to an adoption notice of the current term.
func (machine *Machine) adoptAnswered(message almondcross.AdoptAnswered) {
	item, ok := machine.jobs[jobKey{message.ID(), message.Attempt()}]
	if !ok || !item.onTarget() || item.target.target.Name() != message.Target() || item.target.term != message.Term() {
		return
	}
	if !machine.view.Contains(message.Coordinator()) || item.refused {
		return
	}
	item.unconfirmed = false
	if !message.Accepted() {
		item.refused = true
		machine.story(item.task, "adoption_refused", almondcross.CodeNone, message.Target(), "")
		machine.halt(item, almondcross.CodeTaskStopped)
	} else if item.task.Coordinator() != message.Coordinator() {
		item.task = item.task.WithCoordinator(message.Coordinator())
	}
	machine.sendRenewal(item.target)
}
