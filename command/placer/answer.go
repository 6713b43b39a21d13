package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

// startAnswered takes a worker's answer to a start. CodeTargetLost means that the answer was
// lost: the task keeps its room until its end, a newer inventory or LostAfter.
func (machine *Machine) startAnswered(message almondcross.StartAnswered) {
	item, ok := machine.jobs[jobKey{message.ID(), message.Attempt()}]
	if !ok || item.target == nil || item.target.target.Name() != message.Target() || item.term != message.Term() {
		return
	}
	if !message.Accepted() && message.Code() == almondcross.CodeTargetLost {
		return
	}
	entry := item.target
	if item.state == jobStarting {
		entry.starting--
	} else if item.state != jobUnreachable {
		return
	}
	if !message.Accepted() {
		machine.startRefused(item, message.Code())
		return
	}
	if item.state == jobStarting {
		item.state = jobRunning
	}
	item.startedAt, item.namedAt = machine.now, machine.now
	machine.watch(item)
	machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeTaskStarted, Count: 1})
	machine.report(item.task.Coordinator(), almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: item.task.ID(), Attempt: item.task.Attempt(), Holder: machine.self, Target: entry.target.Name(), Term: item.term,
	}))
	machine.pursueClosing(entry)
}

func (machine *Machine) pursueClosing(entry *target) {
	if entry.closing && entry.starting == 0 {
		machine.pursue(entry)
	}
}

// startRefused returns a task that the worker certainly did not start to its queue. A task that
// may not be repeated goes back to its coordinator, since one claim permits one start message.
func (machine *Machine) startRefused(item *job, code almondcross.Code) {
	entry := item.target
	if code == almondcross.CodeStopping {
		entry.leaving = true
	} else {
		machine.noteFailure(entry, item)
	}
	machine.detach(item)
	if !item.task.Repeatable() || item.haltCode != almondcross.CodeNone || item.task.Size() > 1 {
		delete(machine.jobs, item.key())
		machine.settleVictim(item)
		if item.haltCode != almondcross.CodeNone {
			code = item.haltCode
		}
		machine.refuseNew(item, code, 0)
		return
	}
	machine.requeue(item)
}

// startUnsent returns a task whose start never left this host to its queue.
func (machine *Machine) startUnsent(entry *target, message almondcross.StartTask) {
	item, ok := machine.jobs[jobKey{message.Task().ID(), message.Task().Attempt()}]
	if !ok || item.target != entry || item.state != jobStarting || item.term != message.Term() {
		return
	}
	entry.starting--
	if !entry.congested {
		entry.congested = true
		machine.after(congestionTime, timer{kind: timerCongested, target: entry})
	}
	machine.detach(item)
	if item.task.Size() > 1 {
		delete(machine.jobs, item.key())
		machine.refuseNew(item, almondcross.CodeOverloaded, 0)
		return
	}
	machine.requeue(item)
}

// detach takes a task off its target and frees its room.
func (machine *Machine) detach(item *job) {
	entry := item.target
	machine.uncharge(item)
	delete(entry.jobs, item.task.ID())
	item.target = nil
	machine.setRoom(entry)
	machine.renewSoon(entry)
	machine.pursueClosing(entry)
}

// taskFinished takes the end of a task as the worker reports it.
func (machine *Machine) taskFinished(message almondcross.TaskFinished) {
	result := message.Event().Result()
	item, ok := machine.jobs[jobKey{result.ID(), result.Attempt()}]
	if !ok || item.state == jobQueued || item.target.target.Name() != message.Target() {
		if !ok {
			machine.endUnknown(message.Target(), message.Term(), result, almondcross.MemberID{})
		}
		return
	}
	machine.end(item, result)
}

// end takes the confirmed end of a task.
func (machine *Machine) end(item *job, result almondcross.TaskResult) {
	entry := item.target
	if item.state == jobStarting {
		entry.starting--
	}
	if result.Code() == almondcross.CodeNone {
		machine.Estimator.Observe(item.task.Entry(), result.Ran())
		machine.noteSuccess(entry, item)
		machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeTaskFinished, Count: 1})
	} else if item.haltCode == almondcross.CodeNone {
		machine.noteFailure(entry, item)
	}
	machine.accountUse(item)
	machine.forget(item)
	machine.reportEnd(machine.reportTo(item.task), almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: result, Holder: machine.self, Target: entry.target.Name(), Term: item.term,
	}))
	machine.story(item.task, "ended", result.Code(), entry.target.Name(), "")
}

// lose reports a task that certainly stopped without a result.
func (machine *Machine) lose(item *job) {
	entry := item.target
	if item.state == jobStarting {
		entry.starting--
	}
	machine.accountUse(item)
	machine.forget(item)
	machine.report(machine.reportTo(item.task), almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: item.task.ID(), Attempt: item.task.Attempt(), Holder: machine.self, Target: entry.target.Name(), Term: item.term,
	}))
	machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeTargetLost, Count: 1})
	machine.story(item.task, "lost", almondcross.CodeTargetLost, entry.target.Name(), "")
}

// forget takes an ended task out of every table.
func (machine *Machine) forget(item *job) {
	entry := item.target
	machine.detach(item)
	machine.dropShort(item)
	item.done()
	delete(machine.jobs, item.key())
	machine.remember(item.task, ended{})
	machine.settleVictim(item)
	machine.retryLimited(item.task.Entry())
	machine.pursue(entry)
}

// endUnknown reports an end of a task that this host did not know, once. A task that this host passed
// on may have ended under a holder that was lost before it could report.
func (machine *Machine) endUnknown(target string, term almondcross.Term, result almondcross.TaskResult, coordinator almondcross.MemberID) {
	mark, ok := machine.ended[result.ID()]
	passedOn := mark.attempt == result.Attempt() && mark.forwarded.Name() != ""
	if ok && mark.attempt >= result.Attempt() && !passedOn {
		return
	}
	task := almondcross.NewTask(almondcross.TaskConfig{ID: result.ID(), Attempt: result.Attempt(), Coordinator: coordinator})
	machine.remember(task, ended{})
	machine.reportEnd(machine.reportTo(task), almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: result, Holder: machine.self, Target: target, Term: term,
	}))
}

// reportTo returns the coordinator that placed a task or, when it left the view, the one that
// its key has now.
func (machine *Machine) reportTo(task almondcross.Task) almondcross.MemberID {
	if machine.view.Contains(task.Coordinator()) {
		return task.Coordinator()
	}
	if member, ok := machine.view.Coordinator(task.ID().Key()); ok {
		return member.ID()
	}
	return task.Coordinator()
}

func (machine *Machine) expireLost(item *job) {
	if item.state != jobUnreachable {
		return
	}
	if due := item.namedAt.Add(almondcross.LostAfter); due.After(machine.now) {
		machine.timers.push(timer{at: due, kind: timerLost, job: item})
		return
	}
	machine.lose(item)
}

// accountUse accounts the use of a task since it was last accounted.
func (machine *Machine) accountUse(item *job) {
	held := machine.now.Sub(item.accountedAt)
	item.accountedAt = machine.now
	machine.account(item.task, almondcross.AccountEventConfig{Resources: item.task.Resources(), Duration: held, Count: 1})
}

func (machine *Machine) accountSoon() {
	if !machine.accountSet {
		machine.accountSet = true
		machine.after(accountInterval, timer{kind: timerAccount})
	}
}

// accountRunning accounts the use of tasks that go on, one event for each entry and duration.
func (machine *Machine) accountRunning() {
	machine.accountSet = false
	type group struct {
		entry     string
		resources almondcross.Resources
		held      time.Duration
	}
	counts := map[group]int64{}
	samples := map[group]almondcross.Task{}
	for _, entry := range machine.sorted {
		for _, item := range entry.jobs {
			if !item.charged {
				continue
			}
			key := group{item.task.Entry(), item.task.Resources(), machine.now.Sub(item.accountedAt)}
			item.accountedAt = machine.now
			counts[key]++
			samples[key] = item.task
		}
	}
	for key, count := range counts {
		machine.account(samples[key], almondcross.AccountEventConfig{Resources: key.resources.Scale(count), Duration: key.held, Count: 0})
	}
	machine.lowerReserve()
	if len(counts) > 0 || machine.reserve > 0 {
		machine.accountSoon()
	}
}
