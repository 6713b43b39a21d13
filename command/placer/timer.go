package placer

import "time"

type timerKind int

const (
	timerTimeout   timerKind = iota // a queued task can no longer start usefully
	timerLost                       // a task of an unreachable target may have certainly stopped
	timerMaxRun                     // a task reached its longest run time
	timerStraggler                  // a task runs longer than its entry's tasks do
	timerAdopt                      // adoption notices are repeated
	timerHalt                       // a stop without a confirmed end is repeated
	timerAcquire                    // a lease may be acquired again
	timerHandBack                   // a target may be handed to its preferred holder
	timerRenew                      // the list of named tasks changed
	timerCongested                  // the dispatcher's ring may have room again
	timerProbe                      // an ejected target may be tried again
	timerPublish                    // the snapshot and the summary changed
	timerAccount                    // the use of running tasks is accounted
	timerGang                       // a gang's reservation ends
	timerReclaim                    // lent work is checkpointed long enough, or another victim is due
	timerForget                     // the oldest ended tasks are forgotten
	timerReturn                     // the share that others hold beyond their promise is claimed back
)

// timer is due once; a timer whose cause is gone is ignored when it is due.
type timer struct {
	at      time.Time
	kind    timerKind
	job     *job
	target  *target
	gang    *gang
	reclaim *reclaim
}

// timers is a binary heap; container/heap would allocate for each timer.
type timers []timer

func (timers *timers) push(item timer) {
	*timers = append(*timers, item)
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

func (machine *Machine) after(wait time.Duration, item timer) {
	item.at = machine.now.Add(wait)
	machine.timers.push(item)
}

// NextDeadline returns the time of the next Tick; it reports false when no timer is set.
func (machine *Machine) NextDeadline() (time.Time, bool) {
	if len(machine.timers) == 0 {
		return time.Time{}, false
	}
	return machine.timers[0].at, true
}

// Tick does the work of the timers that are due.
func (machine *Machine) Tick(now time.Time) []Effect {
	machine.begin(now)
	for len(machine.timers) > 0 && !machine.timers[0].at.After(now) {
		machine.fire(machine.timers.pop())
	}
	return machine.finish()
}

func (machine *Machine) fire(item timer) {
	switch item.kind {
	case timerTimeout:
		machine.expireQueued(item.job)
	case timerLost:
		machine.expireLost(item.job)
	case timerMaxRun:
		machine.expireRun(item.job)
	case timerStraggler:
		machine.markStraggler(item.job)
	case timerAdopt:
		machine.repeatAdoptions()
	case timerHalt:
		machine.repeatHalt(item.job)
	case timerAcquire:
		machine.retry(item.target)
	case timerHandBack:
		item.target.handingBack = false
		machine.pursue(item.target)
	case timerRenew:
		item.target.renewSet = false
		machine.sendRenewal(item.target)
	case timerCongested:
		item.target.congested = false
		machine.setRoom(item.target)
	case timerProbe:
		machine.probe(item.target)
	case timerPublish:
		machine.publish()
	case timerAccount:
		machine.accountRunning()
	case timerGang:
		machine.expireReservation(item.gang)
	case timerReclaim:
		machine.continueReclaim(item.reclaim)
	case timerForget:
		machine.forgetEnded()
	case timerReturn:
		machine.returnShares()
	}
}
