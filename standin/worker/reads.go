package worker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/standin/answerer"
)

// historyOverhead covers an encoded history entry without its names.
const historyOverhead = 700

type readEvents struct {
	term    encoder.WorkerTerm
	after   uint64
	wait    time.Duration
	answers answers
}

type readState struct {
	answers  answers
	internal bool // whether the worker itself asks, which no switch affects
}

type readHistory struct {
	after   int
	answers answers
}

type changeSwitches struct {
	body    *encoder.WorkerSwitches // nil to read them only
	answers answers
}

// apply acknowledges the events up to the index and waits for later ones.
func (readevents readEvents) apply(state *state, now time.Time) {
	if state.refusesConnection(readevents.answers) || state.isStale(readevents.term, readevents.answers) {
		return
	}
	count := 0
	for count < len(state.ended) && state.ended[count].index <= readevents.after {
		state.heldBytes -= state.ended[count].bytes
		count++
	}
	clear(state.ended[:count])
	state.ended = state.ended[count:]
	state.waiters = append(state.waiters, eventWaiter{read: readevents, deadline: now.Add(readevents.wait)})
}

// answerWaiters answers the long polls that have events, that are over, or whose term ended.
func (state *state) answerWaiters(now time.Time) {
	kept := state.waiters[:0]
	for _, waiter := range state.waiters {
		switch {
		case state.switches.Refuse:
			waiter.read.answers <- answerer.Response{Abort: true}
		case !state.inForce(waiter.read.term):
			state.answer(waiter.read.answers, staleAnswer())
		case len(state.ended) > 0 || !now.Before(waiter.deadline):
			state.answer(waiter.read.answers, answerer.Response{Body: encoder.WorkerEvents{Events: state.pending()}})
		default:
			kept = append(kept, waiter)
		}
	}
	clear(state.waiters[len(kept):])
	state.waiters = kept
}

func (state *state) pending() []encoder.WorkerEvent {
	events := make([]encoder.WorkerEvent, 0, len(state.ended))
	for _, ended := range state.ended {
		events = append(events, encoder.WorkerEvent{Index: ended.index, Result: state.resultOf(ended.result)})
	}
	return events
}

func (readstate readState) apply(state *state, _ time.Time) {
	if !readstate.internal && state.refusesConnection(readstate.answers) {
		return
	}
	shape := encoder.WorkerState{
		Name: state.config.Name, Boot: state.boot, Term: state.term(), Holder: encoder.WorkerMemberOf(state.holder),
		Leased: state.leased, Leaving: state.switches.Leaving,
		Capacity: encoder.WorkerResourcesOf(state.config.Capacity), Allocated: encoder.WorkerResourcesOf(state.allocated),
		Running: []encoder.WorkerTaskID{}, Events: state.events, Waiting: len(state.ended),
	}
	for id := range state.running {
		shape.Running = append(shape.Running, encoder.WorkerTaskIDOf(id))
	}
	if readstate.internal {
		readstate.answers <- answerer.Response{Body: shape}
		return
	}
	state.answer(readstate.answers, answerer.Response{Body: shape})
}

// apply returns a page of the history; no switch affects it, since checkers read it during faults.
func (readhistory readHistory) apply(state *state, _ time.Time) {
	from := min(max(readhistory.after, 0), len(state.history))
	to, bytes := from, 0
	for to < len(state.history) {
		if bytes += historyBytes(state.history[to]); bytes > maxHeldBytes {
			break
		}
		to++
	}
	readhistory.answers <- answerer.Response{Body: encoder.WorkerHistory{
		Worker: state.config.Name, Capacity: encoder.WorkerResourcesOf(state.config.Capacity),
		Entries: append([]encoder.WorkerHistoryEntry{}, state.history[from:to]...),
		Next:    to, Total: len(state.history), Dropped: state.dropped,
	}}
}

// historyBytes bounds the size of an entry in JSON; a character takes up to 6 bytes when it is escaped.
func historyBytes(entry encoder.WorkerHistoryEntry) int {
	names := len(entry.Holder.Name) + len(entry.Code)
	if entry.Task != nil {
		names += len(entry.Task.Caller) + len(entry.Task.Origin) + len(entry.Task.Name)
	}
	return historyOverhead + 6*names
}

func (changeswitches changeSwitches) apply(state *state, _ time.Time) {
	if changeswitches.body != nil {
		state.switches = *changeswitches.body
		state.config.Logger.WithFields(logrus.Fields{
			"worker": state.config.Name, "switches": state.switches,
		}).Info("worker switches changed")
	}
	changeswitches.answers <- answerer.Response{Body: state.switches}
}
