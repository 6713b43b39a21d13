package coordinator

import (
	"container/heap"
	"time"

	"github.com/almondcross/almondcross"
)

// timerKind is the action of a timer.
type timerKind int

const (
	timerKey timerKind = iota
	timerForward
	timerReroute
	timerServices
)

// timer is one entry of the timer heap; it has no effect if its key or forwarded message no longer exists.
type timer struct {
	at      time.Time
	kind    timerKind
	key     almondcross.Key
	forward uint64
}

// timerHeap is a min-heap of timers by time.
type timerHeap []timer

func (timerheap timerHeap) Len() int           { return len(timerheap) }
func (timerheap timerHeap) Less(i, j int) bool { return timerheap[i].at.Before(timerheap[j].at) }
func (timerheap timerHeap) Swap(i, j int)      { timerheap[i], timerheap[j] = timerheap[j], timerheap[i] }

// Push implements heap.Interface.
func (timerheap *timerHeap) Push(item any) { *timerheap = append(*timerheap, item.(timer)) }

// Pop implements heap.Interface; it removes the last element of the slice.
func (timerheap *timerHeap) Pop() any {
	old := *timerheap
	last := old[len(old)-1]
	*timerheap = old[:len(old)-1]
	return last
}

func (machine *Machine) schedule(timer timer) { heap.Push(&machine.timers, timer) }

func (machine *Machine) scheduleKey(key almondcross.Key, at time.Time) {
	machine.schedule(timer{at: at, kind: timerKey, key: key})
}

// NextDeadline returns the time of the next timer; it reports false if there is none.
func (machine *Machine) NextDeadline() (time.Time, bool) {
	if len(machine.timers) == 0 {
		return time.Time{}, false
	}
	return machine.timers[0].at, true
}

// Tick fires the timers that are due, removes expired outcomes and returns the effects that the duty must perform.
func (machine *Machine) Tick(now time.Time) []Effect {
	for len(machine.timers) > 0 && !machine.timers[0].at.After(now) {
		machine.fire(heap.Pop(&machine.timers).(timer), now)
	}
	machine.expireOutcomes(now)
	return machine.takeEffects()
}

func (machine *Machine) fire(due timer, now time.Time) {
	switch due.kind {
	case timerKey:
		if record, ok := machine.keys[due.key]; ok {
			machine.wake(record, now)
		}
	case timerForward:
		machine.expireForward(due.forward, now)
	case timerReroute:
		machine.reroute(due.forward, now)
	case timerServices:
		machine.reconcileServices(now)
		machine.schedule(timer{at: now.Add(servicesInterval), kind: timerServices})
	}
}

// wake advances a key whose timer fired.
func (machine *Machine) wake(record *record, now time.Time) {
	machine.expireWaiters(record, now)
	switch record.phase {
	case phaseLookup:
		machine.repeatLookups(record, now)
	case phaseHeld:
		machine.advance(record, now)
	case phaseBackoff:
		if !now.Before(record.retryAt) {
			machine.begin(record, now)
		}
	case phasePlaced, phaseRunning:
		machine.repeatStops(record, now)
		machine.expireHolders(record, now)
	}
}

// expireWaiters replies to callers whose deadline has passed with the progress of their request.
func (machine *Machine) expireWaiters(record *record, now time.Time) {
	remaining := record.waiters[:0]
	for _, waiter := range record.waiters {
		if now.Before(waiter.deadline) {
			remaining = append(remaining, waiter)
			continue
		}
		machine.reply(waiter.replier, machine.progress(record))
	}
	record.waiters = remaining
}
