package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

type attemptState int

const (
	queued      attemptState = iota
	starting                 // the start message was sent and is not answered
	running                  // the worker accepted the start, or its inventory lists the task
	unreachable              // the lease of the target ended; the task may still run
	done                     // the attempt is in no table
)

// taskKey identifies one attempt of a task.
type taskKey struct {
	id     almondcross.TaskID
	number int
}

// attempt is one attempt of a task that waits or was sent to a target.
type attempt struct {
	task            almondcross.Task
	state           attemptState
	band            almondcross.Band
	long            bool // counted as long work, which may not use the reserve
	charged         bool
	short           bool // counted in the demand of the short band
	straggler       bool
	unconfirmed     bool // the key's coordinator has not confirmed this host as the holder of the task
	adoptionRefused bool // the coordinator refused the adoption, so renewals leave the task out
	forwarded       bool
	queue           *queue
	gang            *gang
	target          *target
	term            almondcross.Term
	haltCode        almondcross.Code // why the task is being stopped
	waitCode        almondcross.Code // why the task waits
	reclaim         *reclaim         // the preemption in progress for this task
	victimOf        *reclaim         // the reclaim that preempts this task

	startSequence uint64 // the position in the order of starts
	queuedAt      time.Time
	sentAt        time.Time
	startedAt     time.Time
	renewedAt     time.Time // the last answered renewal that listed the task, or its start
	accountedAt   time.Time
}

func (attempt *attempt) key() taskKey { return taskKey{attempt.task.ID(), attempt.task.Attempt()} }

// mayUseReserve reports whether the task may use the reserve.
func (attempt *attempt) mayUseReserve() bool { return !attempt.long || attempt.task.Urgent() }

// onTarget reports whether the target holds the task under the current lease.
func (attempt *attempt) onTarget() bool { return attempt.state == starting || attempt.state == running }

// markDone ends an attempt. Pending timers may still reference it for a long time, so the payload is released.
func (attempt *attempt) markDone() {
	attempt.state = done
	attempt.task = attempt.task.WithPayload(nil)
}

// closedAttempt records the latest attempt of a task that ended, was refused or was forwarded, so that a
// repeated PlaceTask has no effect.
type closedAttempt struct {
	number    int
	code      almondcross.Code     // the code of a refusal
	refused   bool                 // the attempt was refused
	forwarded almondcross.MemberID // the holder that the attempt was forwarded to
	closedAt  time.Time
}

// maxClosedAttempts bounds the records of closed attempts, to about 10 MB.
const maxClosedAttempts = 65536

func (machine *Machine) recordClosed(task almondcross.Task, closed closedAttempt) {
	closed.number, closed.closedAt = task.Attempt(), machine.now
	if _, ok := machine.closed[task.ID()]; !ok {
		machine.closedOrder = append(machine.closedOrder, task.ID())
	}
	machine.closed[task.ID()] = closed
	if len(machine.closedOrder) > maxClosedAttempts {
		machine.removeOldestClosed()
	}
	if !machine.closedTimerSet {
		machine.closedTimerSet = true
		machine.setTimer(closedRetention, timer{kind: timerClosed})
	}
}

// clearClosed clears the record of an attempt whose forwarding failed.
func (machine *Machine) clearClosed(id almondcross.TaskID) {
	machine.closed[id] = closedAttempt{number: -1, closedAt: machine.now}
}

func (machine *Machine) removeOldestClosed() {
	delete(machine.closed, machine.closedOrder[0])
	machine.closedOrder = machine.closedOrder[1:]
}

func (machine *Machine) expireClosed() {
	machine.closedTimerSet = false
	for len(machine.closedOrder) > 0 {
		closed := machine.closed[machine.closedOrder[0]]
		if wait := closed.closedAt.Add(closedRetention).Sub(machine.now); wait > 0 {
			machine.closedTimerSet = true
			machine.setTimer(wait, timer{kind: timerClosed})
			return
		}
		machine.removeOldestClosed()
	}
}

// place handles a task placed by its coordinator or forwarded by another holder.
func (machine *Machine) place(message almondcross.PlaceTask) {
	task := message.Task()
	if _, ok := machine.attempts[taskKey{task.ID(), task.Attempt()}]; ok {
		return
	}
	if closed, ok := machine.closed[task.ID()]; ok && closed.number >= task.Attempt() {
		if closed.refused && closed.number == task.Attempt() {
			machine.reportRefused(task, closed.code, 0)
		}
		return
	}
	attempt := &attempt{task: task, queuedAt: machine.now, forwarded: message.Forwarded()}
	if !machine.view.HasLease(task.Coordinator(), machine.now) {
		// A coordinator that was removed from the view may have been replaced, so its tasks are not started.
		machine.refuseDetached(attempt, almondcross.CodeNoLinkLease, 0)
		return
	}
	if machine.draining {
		machine.refuseDetached(attempt, almondcross.CodeStopping, 0)
		return
	}
	machine.classify(attempt)
	if task.Size() > 1 {
		machine.addToGang(attempt)
		return
	}
	machine.startOrQueue(attempt)
}

// classify sets the band of a new attempt and whether it is long work. A service is long work, whatever run
// time it declares.
func (machine *Machine) classify(attempt *attempt) {
	attempt.band = machine.Estimator.Band(attempt.task.Entry(), attempt.task.ExpectedRun())
	attempt.long = attempt.band != almondcross.BandShort || attempt.task.Class() == almondcross.ClassService
	if !attempt.long {
		machine.addShort(attempt)
	}
}

func (machine *Machine) reportRefused(task almondcross.Task, code almondcross.Code, retryAfter time.Duration) {
	machine.report(task.Coordinator(), almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: machine.self, Code: code, RetryAfter: retryAfter.Milliseconds(),
	}))
}

// refuseDetached refuses an attempt that is in no queue and on no target.
func (machine *Machine) refuseDetached(attempt *attempt, code almondcross.Code, retryAfter time.Duration) {
	attempt.markDone()
	machine.removeShort(attempt)
	machine.recordClosed(attempt.task, closedAttempt{code: code, refused: true})
	machine.reportRefused(attempt.task, code, retryAfter)
	machine.account(attempt.task, almondcross.AccountEventConfig{Code: code, Count: 1})
	machine.recordDecision(attempt.task, "refused", code, "", "")
}

// refuse removes a waiting attempt from its queue and refuses it.
func (machine *Machine) refuse(attempt *attempt, code almondcross.Code) {
	if attempt.state != queued {
		return
	}
	machine.discard(attempt)
	machine.Admission.Dequeued(attempt.task.Entry(), machine.now.Sub(attempt.queuedAt), false, machine.now)
	machine.refuseDetached(attempt, code, 0)
}

// discard removes a waiting attempt from every table without a report.
func (machine *Machine) discard(attempt *attempt) {
	if queue := attempt.queue; queue != nil {
		machine.removeFromQueue(attempt)
		machine.transferReclaim(attempt, queue)
	}
	machine.removeShort(attempt)
	delete(machine.attempts, attempt.key())
	attempt.markDone()
	if attempt.gang != nil {
		machine.removeFromGang(attempt)
	}
}

func (machine *Machine) handleTimeout(attempt *attempt) {
	if attempt.state != queued {
		return
	}
	if attempt.gang != nil {
		machine.refuseGang(attempt.gang, almondcross.CodeTimeout)
		return
	}
	machine.refuse(attempt, almondcross.CodeTimeout)
}

// stop removes a task from its queue or stops it on its target.
func (machine *Machine) stop(message almondcross.StopTask) {
	attempt, ok := machine.attempts[taskKey{message.ID(), message.Attempt()}]
	if !ok {
		machine.stopUnknown(message)
		return
	}
	if attempt.state == queued {
		if attempt.gang != nil {
			machine.refuseGang(attempt.gang, message.Code())
			return
		}
		machine.refuse(attempt, message.Code())
		return
	}
	if attempt.haltCode == almondcross.CodeNone {
		machine.halt(attempt, message.Code())
	}
}

// stopUnknown forwards a stop to the holder that the task was forwarded to. A stop that arrives before
// its PlaceTask is recorded, so that the task is refused when it arrives.
func (machine *Machine) stopUnknown(message almondcross.StopTask) {
	closed, ok := machine.closed[message.ID()]
	if ok && closed.number == message.Attempt() && closed.forwarded.Name() != "" {
		machine.emit(Effect{Kind: EffectForward, Member: closed.forwarded, Peer: message})
		return
	}
	if ok && closed.number >= message.Attempt() {
		return
	}
	code := message.Code()
	if code == almondcross.CodeNone {
		code = almondcross.CodeCancelled
	}
	task := almondcross.NewTask(almondcross.TaskConfig{ID: message.ID(), Attempt: message.Attempt()})
	machine.recordClosed(task, closedAttempt{code: code, refused: true})
}

// halt sends a HaltTask for a task that was sent to a target; it is resent until the end is confirmed.
func (machine *Machine) halt(attempt *attempt, code almondcross.Code) {
	if code == almondcross.CodeNone {
		code = almondcross.CodeTaskStopped
	}
	attempt.haltCode = code
	if !attempt.onTarget() {
		return
	}
	machine.send(attempt.target.info.Name(), almondcross.NewHaltTask(almondcross.HaltTaskConfig{
		Term: attempt.target.term, ID: attempt.task.ID(), Code: code,
	}))
	machine.setTimer(haltRetryInterval, timer{kind: timerHalt, attempt: attempt})
}

func (machine *Machine) resendHalt(attempt *attempt) {
	if attempt.haltCode != almondcross.CodeNone && attempt.onTarget() {
		machine.halt(attempt, attempt.haltCode)
	}
}

func (machine *Machine) handleMaxRun(attempt *attempt) {
	if attempt.onTarget() && attempt.haltCode == almondcross.CodeNone {
		machine.recordDecision(attempt.task, "stopped", almondcross.CodeMaxRun, attempt.target.info.Name(), "")
		machine.halt(attempt, almondcross.CodeMaxRun)
	}
}

// markStraggler counts a task that runs much longer than usual for its entry as long work, so that
// its resources count against the capacity of long work.
func (machine *Machine) markStraggler(attempt *attempt) {
	if !attempt.onTarget() || attempt.straggler {
		return
	}
	attempt.straggler = true
	if attempt.short {
		machine.shortResources = machine.shortResources.Sub(attempt.task.Resources())
		machine.stragglerResources = machine.stragglerResources.Add(attempt.task.Resources())
	}
	machine.recordDecision(attempt.task, "straggler", almondcross.CodeNone, attempt.target.info.Name(), "")
	if !attempt.long {
		attempt.long = true
		if attempt.charged {
			attempt.target.longUsed = attempt.target.longUsed.Add(attempt.task.Resources())
		}
		machine.updateFree(attempt.target)
	}
}

// setRunTimers sets the run time limit and the straggler timer of a running task.
func (machine *Machine) setRunTimers(attempt *attempt) {
	if limit := attempt.task.MaxRun(); limit > 0 {
		machine.setTimer(limit, timer{kind: timerMaxRun, attempt: attempt})
	}
	if attempt.task.Class() == almondcross.ClassService {
		return
	}
	if limit := machine.Estimator.StragglerThreshold(attempt.task.Entry(), attempt.task.ExpectedRun()); limit > 0 {
		machine.setTimer(limit, timer{kind: timerStraggler, attempt: attempt})
	}
}
