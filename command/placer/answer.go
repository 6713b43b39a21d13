package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

// startAnswered handles a worker's answer to a start. CodeTargetLost means that the answer was
// lost: the task keeps its capacity until its end, a newer inventory or LostAfter.
func (machine *Machine) startAnswered(message almondcross.StartAnswered) {
	attempt, ok := machine.attempts[taskKey{message.ID(), message.Attempt()}]
	if !ok || attempt.target == nil || attempt.target.info.Name() != message.Target() || attempt.term != message.Term() {
		return
	}
	if !message.Accepted() && message.Code() == almondcross.CodeTargetLost {
		return
	}
	target := attempt.target
	if attempt.state == starting {
		target.startingCount--
	} else if attempt.state != unreachable {
		return
	}
	if !message.Accepted() {
		machine.startRefused(attempt, message.Code())
		return
	}
	if attempt.state == starting {
		attempt.state = running
	}
	attempt.startedAt, attempt.renewedAt = machine.now, machine.now
	machine.setRunTimers(attempt)
	machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeTaskStarted, Count: 1})
	machine.report(attempt.task.Coordinator(), almondcross.NewTaskStarted(almondcross.TaskStartedConfig{
		ID: attempt.task.ID(), Attempt: attempt.task.Attempt(), Holder: machine.self, Target: target.info.Name(), Term: attempt.term,
	}))
	machine.reconcileClosing(target)
}

func (machine *Machine) reconcileClosing(target *target) {
	if target.closing && target.startingCount == 0 {
		machine.reconcile(target)
	}
}

// startRefused puts a task that the worker definitely did not start back into its queue. A task of a gang,
// one that is being stopped and one that may not be repeated are refused to their coordinator instead; for
// the last, one claim permits one start message.
func (machine *Machine) startRefused(attempt *attempt, code almondcross.Code) {
	target := attempt.target
	if code == almondcross.CodeStopping {
		target.leaving = true
	} else {
		machine.recordFailure(target, attempt)
	}
	machine.detach(attempt)
	if !attempt.task.Repeatable() || attempt.haltCode != almondcross.CodeNone || attempt.task.Size() > 1 {
		delete(machine.attempts, attempt.key())
		machine.clearVictim(attempt)
		if attempt.haltCode != almondcross.CodeNone {
			code = attempt.haltCode
		}
		machine.refuseDetached(attempt, code, 0)
		return
	}
	machine.requeue(attempt)
}

// startNotSent puts a task whose start message was never sent back into its queue.
func (machine *Machine) startNotSent(target *target, message almondcross.StartTask) {
	attempt, ok := machine.attempts[taskKey{message.Task().ID(), message.Task().Attempt()}]
	if !ok || attempt.target != target || attempt.state != starting || attempt.term != message.Term() {
		return
	}
	target.startingCount--
	if !target.congested {
		target.congested = true
		machine.setTimer(congestionDelay, timer{kind: timerCongested, target: target})
	}
	machine.detach(attempt)
	if attempt.task.Size() > 1 {
		delete(machine.attempts, attempt.key())
		machine.refuseDetached(attempt, almondcross.CodeOverloaded, 0)
		return
	}
	machine.requeue(attempt)
}

// detach removes an attempt from its target and frees the capacity it used.
func (machine *Machine) detach(attempt *attempt) {
	target := attempt.target
	machine.uncharge(attempt)
	delete(target.attempts, attempt.task.ID())
	attempt.target = nil
	machine.updateFree(target)
	machine.scheduleRenewList(target)
	machine.reconcileClosing(target)
}

// taskFinished handles a worker's report that a task ended.
func (machine *Machine) taskFinished(message almondcross.TaskFinished) {
	result := message.Event().Result()
	attempt, ok := machine.attempts[taskKey{result.ID(), result.Attempt()}]
	if !ok || attempt.state == queued || attempt.target.info.Name() != message.Target() {
		if !ok {
			machine.reportUnknownEnd(message.Target(), message.Term(), result, almondcross.Task{})
		}
		return
	}
	machine.finishAttempt(attempt, result)
}

// finishAttempt handles the confirmed end of a task and reports it to the coordinator.
func (machine *Machine) finishAttempt(attempt *attempt, result almondcross.TaskResult) {
	target := attempt.target
	if attempt.state == starting {
		target.startingCount--
	}
	if result.Code() == almondcross.CodeNone {
		machine.Estimator.Observe(attempt.task.Entry(), attempt.task.ExpectedRun(), result.Ran())
		machine.recordSuccess(target, attempt)
		machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeTaskFinished, Count: 1})
	} else if attempt.haltCode == almondcross.CodeNone {
		machine.recordFailure(target, attempt)
	}
	machine.accountUsage(attempt)
	machine.removeAttempt(attempt)
	machine.reportEnd(machine.currentCoordinator(attempt.task), almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: result, Holder: machine.self, Target: target.info.Name(), Term: attempt.term, Partial: attempt.task.Size() > 1,
	}))
	machine.recordDecision(attempt.task, "ended", result.Code(), target.info.Name(), "")
}

// reportLost removes a task that has definitely stopped without a result and reports it lost. targetLost tells whether
// the target restarted or has not answered since, so that the task may have crashed it.
func (machine *Machine) reportLost(attempt *attempt, targetLost bool) {
	target := attempt.target
	if attempt.state == starting {
		target.startingCount--
	}
	machine.accountUsage(attempt)
	machine.removeAttempt(attempt)
	machine.sendLost(attempt, target, targetLost)
	machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeTargetLost, Count: 1})
	machine.recordDecision(attempt.task, "lost", almondcross.CodeTargetLost, target.info.Name(), "")
}

func (machine *Machine) sendLost(attempt *attempt, target *target, targetLost bool) {
	machine.report(machine.currentCoordinator(attempt.task), almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: attempt.task.ID(), Attempt: attempt.task.Attempt(), Holder: machine.self, Target: target.info.Name(),
		Term: attempt.term, TargetLost: targetLost,
	}))
}

// correctSilentLosses corrects the reports about a target that was only cut off: its boot number is the same as
// when it was last heard of, so none of its tasks crashed it.
func (machine *Machine) correctSilentLosses(target *target) {
	for _, lost := range target.silentLosses {
		if lost.term.Boot() == target.term.Boot() {
			machine.sendLost(lost, target, false)
		}
	}
	target.silentLosses = nil
}

// removeAttempt removes an ended attempt from every table.
func (machine *Machine) removeAttempt(attempt *attempt) {
	target := attempt.target
	machine.detach(attempt)
	machine.removeShort(attempt)
	attempt.markDone()
	delete(machine.attempts, attempt.key())
	machine.recordClosed(attempt.task, closedAttempt{})
	machine.clearVictim(attempt)
	machine.startLimited(attempt.task.Entry())
	machine.reconcile(target)
}

// reportUnknownEnd reports, once, the end of a task that is not in the tables of this host. A task that
// this host forwarded may have ended under a holder that was lost before it reported the end. reported is the task as
// the inventory lists it, or the zero task for an event.
func (machine *Machine) reportUnknownEnd(target string, term almondcross.Term, result almondcross.TaskResult, reported almondcross.Task) {
	closed, ok := machine.closed[result.ID()]
	wasForwarded := closed.number == result.Attempt() && closed.forwarded.Name() != ""
	if ok && closed.number >= result.Attempt() && !wasForwarded {
		return
	}
	task := reported.WithID(result.ID()).WithAttempt(result.Attempt())
	machine.recordClosed(task, closedAttempt{})
	machine.reportEnd(machine.currentCoordinator(task), almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: result, Holder: machine.self, Target: target, Term: term, Partial: task.Size() > 1,
	}))
}

// currentCoordinator returns the coordinator that placed a task or, if that member left the view, the
// one that now coordinates the task's key.
func (machine *Machine) currentCoordinator(task almondcross.Task) almondcross.MemberID {
	if machine.view.Contains(task.Coordinator()) {
		return task.Coordinator()
	}
	if member, ok := machine.view.Coordinator(task.ID().Key()); ok {
		return member.ID()
	}
	return task.Coordinator()
}

func (machine *Machine) expireLost(attempt *attempt) {
	if attempt.state != unreachable {
		return
	}
	if due := attempt.renewedAt.Add(almondcross.LostAfter); due.After(machine.now) {
		machine.timers.push(timer{at: due, kind: timerLost, attempt: attempt})
		return
	}
	target := attempt.target
	machine.reportLost(attempt, true)
	target.silentLosses = append(target.silentLosses, attempt)
}

// accountUsage records the usage of a task since it was last recorded.
func (machine *Machine) accountUsage(attempt *attempt) {
	duration := machine.now.Sub(attempt.accountedAt)
	attempt.accountedAt = machine.now
	machine.account(attempt.task, almondcross.AccountEventConfig{Resources: attempt.task.Resources(), Duration: duration, Count: 1})
}

func (machine *Machine) scheduleAccounting() {
	if !machine.accountTimerSet {
		machine.accountTimerSet = true
		machine.setTimer(accountInterval, timer{kind: timerAccount})
	}
}

// accountRunning records the usage of running tasks, one event for each entry, resources and duration, and
// lowers the reserve.
func (machine *Machine) accountRunning() {
	machine.accountTimerSet = false
	type usageGroup struct {
		entry     string
		resources almondcross.Resources
		duration  time.Duration
	}
	counts := map[usageGroup]int64{}
	samples := map[usageGroup]almondcross.Task{}
	for _, target := range machine.sortedTargets {
		for _, attempt := range target.attempts {
			if !attempt.charged {
				continue
			}
			key := usageGroup{attempt.task.Entry(), attempt.task.Resources(), machine.now.Sub(attempt.accountedAt)}
			attempt.accountedAt = machine.now
			counts[key]++
			samples[key] = attempt.task
		}
	}
	for key, count := range counts {
		machine.account(samples[key], almondcross.AccountEventConfig{Resources: key.resources.Scale(count), Duration: key.duration, Count: 0})
	}
	machine.lowerReserve()
	if len(counts) > 0 || machine.reserve > 0 {
		machine.scheduleAccounting()
	}
}
