package placer

import "time"

type timerKind int

const (
	timerTimeout       timerKind = iota // the timeout of a waiting task has passed
	timerLost                           // a task of an unreachable target has stopped unless it was renewed
	timerMaxRun                         // a task reached its maximum run time
	timerStraggler                      // a task has run much longer than usual for its entry
	timerAdopt                          // unanswered adoption requests are resent
	timerHalt                           // a HaltTask without a confirmed end is resent
	timerAcquire                        // the next attempt to acquire a lease is due
	timerHandover                       // a target may be handed over to its preferred holder
	timerRenew                          // the changed list of tasks to renew is sent
	timerCongested                      // the dispatcher's ring may have space again
	timerProbe                          // an ejected target is probed
	timerPublish                        // the changed snapshot and summary are published
	timerAccount                        // the usage of running tasks is recorded
	timerGang                           // a gang's reservation, its backfill window or its assembly time ends
	timerReclaim                        // a reclaim enters its next phase
	timerClosed                         // the oldest closed attempts are removed
	timerReclaimShares                  // borrowed shares are reclaimed
)

// timer is a one-shot timer. Timers are not cancelled: one whose condition no longer holds has no effect
// when it fires.
type timer struct {
	at      time.Time
	kind    timerKind
	attempt *attempt
	target  *target
	gang    *gang
	reclaim *reclaim
}

// timers is a binary min-heap by time. container/heap would allocate for each timer.
type timers []timer

func (timers *timers) push(timer timer) {
	*timers = append(*timers, timer)
	list := *timers
	for child := len(list) - 1; child > 0; {
		parent := (child - 1) / 2
		if !list[child].at.Before(list[parent].at) {
			return
		}
		list[child], list[parent] = list[parent], list[child]
		child = parent
	}
}

func (timers *timers) pop() timer {
	list := *timers
	first := list[0]
	last := len(list) - 1
	list[0] = list[last]
	list[last] = timer{}
	list = list[:last]
	*timers = list
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			return first
		}
		if child+1 < last && list[child+1].at.Before(list[child].at) {
			child++
		}
		if !list[child].at.Before(list[parent].at) {
			return first
		}
		list[child], list[parent] = list[parent], list[child]
		parent = child
	}
}

func (machine *Machine) setTimer(wait time.Duration, timer timer) {
	timer.at = machine.now.Add(wait)
	machine.timers.push(timer)
}

// NextDeadline returns the time at which the next timer is due; it returns false if no timer is set.
func (machine *Machine) NextDeadline() (time.Time, bool) {
	if len(machine.timers) == 0 {
		return time.Time{}, false
	}
	return machine.timers[0].at, true
}

// Tick fires the timers that are due. The returned effects are valid until the next call of a method that
// returns effects.
func (machine *Machine) Tick(now time.Time) []Effect {
	machine.begin(now)
	for len(machine.timers) > 0 && !machine.timers[0].at.After(now) {
		machine.fire(machine.timers.pop())
	}
	return machine.finish()
}

func (machine *Machine) fire(timer timer) {
	switch timer.kind {
	case timerTimeout:
		machine.handleTimeout(timer.attempt)
	case timerLost:
		machine.expireLost(timer.attempt)
	case timerMaxRun:
		machine.handleMaxRun(timer.attempt)
	case timerStraggler:
		machine.markStraggler(timer.attempt)
	case timerAdopt:
		machine.resendAdoptions()
	case timerHalt:
		machine.resendHalt(timer.attempt)
	case timerAcquire:
		machine.handleAcquireTimer(timer.target)
	case timerHandover:
		timer.target.handoverTimerSet = false
		machine.reconcile(timer.target)
	case timerRenew:
		timer.target.renewTimerSet = false
		machine.sendRenewList(timer.target)
	case timerCongested:
		timer.target.congested = false
		machine.updateFree(timer.target)
	case timerProbe:
		machine.startProbe(timer.target)
	case timerPublish:
		machine.publish()
	case timerAccount:
		machine.accountRunning()
	case timerGang:
		machine.handleGangTimer(timer.gang)
	case timerReclaim:
		machine.advanceReclaim(timer.reclaim)
	case timerClosed:
		machine.expireClosed()
	case timerReclaimShares:
		machine.reclaimShares()
	}
}
