package coordinator

import (
	"container/heap"
	"time"

	"github.com/almondcross/almondcross"
)

// timerKind tells what to do when a timer fires.
type timerKind int

const (
	timerKey timerKind = iota
	timerForward
	timerReroute
	timerServices
)

// timer is one entry of the timer heap; a timer whose subject is gone has no effect.
type timer struct {
	at      time.Time
	kind    timerKind
	key     almondcross.Key
	forward uint64
}

// timerHeap orders timers by time.
type timerHeap []timer

func (timerheap timerHeap) Len() int           { return len(timerheap) }
func (timerheap timerHeap) Less(i, j int) bool { return timerheap[i].at.Before(timerheap[j].at) }
func (timerheap timerHeap) Swap(i, j int)      { timerheap[i], timerheap[j] = timerheap[j], timerheap[i] }

// Push adds a timer for container/heap.
func (timerheap *timerHeap) Push(item any) { *timerheap = append(*timerheap, item.(timer)) }

// Pop removes the last timer for container/heap.
func (timerheap *timerHeap) Pop() any {
	old := *timerheap
	last := old[len(old)-1]
	*timerheap = old[:len(old)-1]
	return last
}

func (machine *Machine) schedule(entry timer) { heap.Push(&machine.timers, entry) }

func (machine *Machine) wakeKey(key almondcross.Key, at time.Time) {
	machine.schedule(timer{at: at, kind: timerKey, key: key})
}

// NextDeadline returns the time at which Tick has something to do.
func (machine *Machine) NextDeadline() (time.Time, bool) {
	if len(machine.timers) == 0 {
		return time.Time{}, false
	}
	return machine.timers[0].at, true
}

// Tick carries out everything that is due.
func (machine *Machine) Tick(now time.Time) []Effect {
	for len(machine.timers) > 0 && !machine.timers[0].at.After(now) {
		machine.fire(heap.Pop(&machine.timers).(timer), now)
	}
	machine.expireOutcomes(now)
	return machine.take()
}

func (machine *Machine) fire(entry timer, now time.Time) {
	switch entry.kind {
	case timerKey:
		if record, ok := machine.keys[entry.key]; ok {
			machine.wake(record, now)
		}
	case timerForward:
		machine.expireForward(entry.forward, now)
	case timerReroute:
		machine.reroute(entry.forward, now)
	case timerServices:
		machine.reconcileServices(now)
		machine.schedule(timer{at: now.Add(servicesInterval), kind: timerServices})
	}
}

// wake advances a key whose timer fired.
func (machine *Machine) wake(record *record, now time.Time) {
	machine.expireWaiters(record, now)
	switch record.phase {
	case phaseLooking:
		machine.repeatLookups(record, now)
	case phaseHeld:
		machine.advance(record, now)
	case phaseBackoff:
		if !now.Before(record.retryAt) {
			machine.begin(record, now)
		}
	case phasePlaced, phaseRunning:
		machine.loseHolders(record, now)
	}
}

// expireWaiters tells callers whose time is over how far their request has come.
func (machine *Machine) expireWaiters(record *record, now time.Time) {
	kept := record.waiters[:0]
	for _, waiter := range record.waiters {
		if now.Before(waiter.deadline) {
			kept = append(kept, waiter)
			continue
		}
		machine.reply(waiter.replier, machine.progress(record))
	}
	record.waiters = kept
}
