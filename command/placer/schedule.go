package placer

import "github.com/almondcross/almondcross"

// choose returns the target for a task.
func (machine *Machine) choose(item *job) (string, bool) {
	return machine.Placement.Choose(almondcross.NewPlacementQuery(almondcross.PlacementQueryConfig{
		Entry: item.task.Entry(), Class: item.task.Class(), Resources: item.task.Resources(), Reserve: item.mayReserve(),
	}))
}

// start sends a task to a held target under its current term.
func (machine *Machine) start(item *job, entry *target) {
	if !machine.view.HasLease(item.task.Coordinator(), machine.now) {
		// The lease was valid on arrival, but the coordinator may have been replaced while the task waited.
		machine.refuse(item, almondcross.CodeNoStanding)
		return
	}
	if waiting := item.line; waiting != nil {
		machine.leaveLine(item)
		machine.passReclaim(item, waiting)
	}
	waited := machine.now.Sub(item.queuedAt)
	fromReserve := item.task.Urgent() && item.long && !item.task.Resources().Fits(entry.longFree)
	item.state, item.target, item.term = jobStarting, entry, entry.term
	item.sentAt, item.namedAt, item.accountedAt = machine.now, machine.now, machine.now
	machine.sequence++
	item.sequence = machine.sequence
	entry.jobs[item.task.ID()] = item
	entry.starting++
	machine.charge(item)
	entry.health.started()
	machine.send(entry.target.Name(), almondcross.NewStartTask(almondcross.StartTaskConfig{Term: entry.term, Task: item.task}))
	machine.renewSoon(entry)
	machine.setRoom(entry)
	machine.accountSoon()
	if waited > 0 {
		machine.Admission.Left(item.task.Entry(), waited, true, machine.now)
		machine.account(item.task, almondcross.AccountEventConfig{Code: item.waitCode, Duration: waited, Count: 1})
	}
	if entry.reserved != nil && entry.reserved != item.gang {
		machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeBackfilled, Count: 1})
	}
	if fromReserve {
		machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeUrgentReserve, Count: 1})
	}
	machine.story(item.task, "placed", item.waitCode, entry.target.Name(), "")
}

// schedule fills the targets that gained room. Every waiting line was found to fit nowhere when
// it began to wait, so only these targets have to be looked at.
func (machine *Machine) schedule() {
	for index := 0; index < len(machine.gained); index++ {
		entry := machine.gained[index]
		machine.tryGangs(entry)
		for entry.open {
			item := machine.nextFor(entry)
			if item == nil {
				break
			}
			machine.start(item, entry)
		}
		entry.gained = false
	}
	machine.gained = machine.gained[:0]
}

// retryLine places the head of a line for as long as it fits anywhere.
func (machine *Machine) retryLine(waiting *line) {
	for waiting.live > 0 && !machine.limited(waiting) {
		item := waiting.first()
		name, ok := machine.choose(item)
		if !ok {
			return
		}
		machine.start(item, machine.targets[name])
	}
}

// retryLines is used after a change that may let any line go on.
func (machine *Machine) retryLines() {
	for _, waiting := range append([]*line(nil), machine.order...) {
		machine.retryLine(waiting)
	}
}

// retryLimited lets the lines of an entry go on that waited for its limit.
func (machine *Machine) retryLimited(name string) {
	entry, ok := machine.catalogue.Entry(name)
	if !ok || entry.MaxRunning() == 0 {
		return
	}
	for index := 0; index < len(machine.order); index++ {
		if waiting := machine.order[index]; waiting.key.entry == name {
			machine.retryLine(waiting)
			if waiting.live == 0 {
				index--
			}
		}
	}
}
