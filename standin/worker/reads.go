package worker

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/standin/answerer"
)

// historyOverhead bounds the size of an encoded history entry without its names, in bytes.
const historyOverhead = 700

type readEvents struct {
	term      encoder.WorkerTerm
	after     uint64
	wait      time.Duration
	responses responses
}

type readState struct {
	responses responses
	internal  bool // whether the worker itself reads the state; injected faults don't apply then
}

type readHistory struct {
	after     int
	responses responses
}

type changeFaults struct {
	body      *encoder.WorkerFaults // the new faults, nil to only read the current ones
	responses responses
}

// apply acknowledges the events up to and including index readevents.after and waits for later ones.
func (readevents readEvents) apply(state *state, now time.Time) {
	if state.abortIfRefusing(readevents.responses) || state.rejectIfStale(readevents.term, readevents.responses) {
		return
	}
	count := 0
	for count < len(state.endedTasks) && state.endedTasks[count].index <= readevents.after {
		state.heldBytes -= state.endedTasks[count].encodedBytes
		count++
	}
	clear(state.endedTasks[:count])
	state.endedTasks = state.endedTasks[count:]
	state.waiters = append(state.waiters, eventWaiter{request: readevents, deadline: now.Add(readevents.wait)})
}

// respondToWaiters responds to the long polls for which there are events, whose deadline has passed, or
// whose term has ended. It aborts them all if the worker refuses connections.
func (state *state) respondToWaiters(now time.Time) {
	remaining := state.waiters[:0]
	for _, waiter := range state.waiters {
		switch {
		case state.faults.Refuse:
			waiter.request.responses <- answerer.Response{Abort: true}
		case !state.isCurrentTerm(waiter.request.term):
			state.respond(waiter.request.responses, staleTermResponse())
		case len(state.endedTasks) > 0 || !now.Before(waiter.deadline):
			state.respond(waiter.request.responses, answerer.Response{Body: encoder.WorkerEvents{Events: state.pendingEvents()}})
		default:
			remaining = append(remaining, waiter)
		}
	}
	clear(state.waiters[len(remaining):])
	state.waiters = remaining
}

func (state *state) pendingEvents() []encoder.WorkerEvent {
	events := make([]encoder.WorkerEvent, 0, len(state.endedTasks))
	for _, ended := range state.endedTasks {
		events = append(events, encoder.WorkerEvent{Index: ended.index, Result: state.encodeResult(ended.result)})
	}
	return events
}

func (readstate readState) apply(state *state, _ time.Time) {
	if !readstate.internal && state.abortIfRefusing(readstate.responses) {
		return
	}
	workerstate := encoder.WorkerState{
		Name: state.config.Name, Boot: state.boot, Term: state.term(), Holder: encoder.WorkerMemberOf(state.leaseHolder),
		Leased: state.leased, Leaving: state.faults.Leaving,
		Capacity: encoder.WorkerResourcesOf(state.config.Capacity), Allocated: encoder.WorkerResourcesOf(state.allocated),
		Running: []encoder.WorkerTaskID{}, Events: state.eventCount, Unacknowledged: len(state.endedTasks),
	}
	for id := range state.running {
		workerstate.Running = append(workerstate.Running, encoder.WorkerTaskIDOf(id))
	}
	if readstate.internal {
		readstate.responses <- answerer.Response{Body: workerstate}
		return
	}
	state.respond(readstate.responses, answerer.Response{Body: workerstate})
}

// apply returns a page of the history. Injected faults don't apply, since test checkers read the
// history during faults.
func (readhistory readHistory) apply(state *state, _ time.Time) {
	from := min(max(readhistory.after, 0), len(state.history))
	to, bytes := from, 0
	for to < len(state.history) {
		if bytes += historyBytes(state.history[to]); bytes > maxHeldBytes {
			break
		}
		to++
	}
	readhistory.responses <- answerer.Response{Body: encoder.WorkerHistory{
		Worker: state.config.Name, Capacity: encoder.WorkerResourcesOf(state.config.Capacity),
		Entries: append([]encoder.WorkerHistoryEntry{}, state.history[from:to]...),
		Next:    to, Total: len(state.history), Dropped: state.droppedEntries,
	}}
}

// historyBytes returns an upper bound of the size of an entry in JSON; an escaped character takes up
// to 6 bytes.
func historyBytes(entry encoder.WorkerHistoryEntry) int {
	names := len(entry.Holder.Name) + len(entry.Code)
	if entry.Task != nil {
		names += len(entry.Task.Caller) + len(entry.Task.Origin) + len(entry.Task.Name)
	}
	return historyOverhead + 6*names
}

func (changefaults changeFaults) apply(state *state, _ time.Time) {
	if changefaults.body != nil {
		state.faults = *changefaults.body
		state.config.Logger.WithFields(logrus.Fields{
			"worker": state.config.Name, "switches": state.faults,
		}).Info("worker faults changed")
	}
	changefaults.responses <- answerer.Response{Body: state.faults}
}
