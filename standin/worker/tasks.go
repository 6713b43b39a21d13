package worker

import (
	"net/http"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/standin/answerer"
)

type start struct {
	body      encoder.WorkerStart
	responses responses
}

// orderKind is the kind of an order and the last element of its URL path.
type orderKind string

const (
	orderStop       orderKind = "stop"
	orderCheckpoint orderKind = "checkpoint"
	orderThrottle   orderKind = "throttle"
)

type order struct {
	kind      orderKind
	body      encoder.WorkerTaskCommand
	responses responses
}

func (start start) apply(state *state, now time.Time) {
	if state.abortIfRefusing(start.responses) {
		return
	}
	task := start.body.Task.Value()
	if state.isCurrentTerm(start.body.Term) && state.isRepeatedStart(task) {
		state.respond(start.responses, answerer.Response{Body: encoder.WorkerEmptyResponse{}})
		return
	}
	behaviour := newBehaviour(task, state.config.DefaultRun)
	bytes := encodedTaskBytes(task, behaviour)
	if code := state.refusalCode(start.body.Term, task, bytes); code != "" {
		state.refuseStart(start, task, code, now)
		return
	}
	state.heldBytes += bytes
	running := &runningTask{
		task: task, behaviour: behaviour, startedAt: now, leaseUntil: now.Add(almondcross.TaskLease),
		cpuPercent: 100, encodedBytes: bytes,
	}
	if behaviour.run >= 0 {
		running.endsAt = now.Add(behaviour.run * time.Duration(max(state.faults.RunFactor, 1)))
	}
	state.running[task.ID()] = running
	state.rememberAttempt(attemptID{id: task.ID(), attempt: task.Attempt()})
	state.setAllocated(state.allocated.Add(task.Resources()), now)
	state.counters.started.Inc()
	state.recordHistory(now, newTaskEntry(encoder.WorkerTaskStarted, task))
	state.respond(start.responses, answerer.Response{Body: encoder.WorkerEmptyResponse{}})
}

// isRepeatedStart reports whether this attempt was already started in this term, or is running or
// unacknowledged from an earlier term.
func (state *state) isRepeatedStart(task almondcross.Task) bool {
	if _, ok := state.startedAttempts[attemptID{id: task.ID(), attempt: task.Attempt()}]; ok {
		return true
	}
	if running, ok := state.running[task.ID()]; ok && running.task.Attempt() == task.Attempt() {
		return true
	}
	for _, ended := range state.endedTasks {
		if ended.task.ID() == task.ID() && ended.task.Attempt() == task.Attempt() {
			return true
		}
	}
	return false
}

// refusalCode returns the code with which a start is refused, or "" if it is accepted.
func (state *state) refusalCode(term encoder.WorkerTerm, task almondcross.Task, bytes int) encoder.PlatformCode {
	_, running := state.running[task.ID()]
	switch {
	case !state.isCurrentTerm(term):
		return encoder.PlatformTermStale
	case state.faults.Leaving:
		return encoder.PlatformLeaving
	case running:
		return encoder.PlatformTaskConflict
	case !state.allocated.Add(task.Resources()).Fits(state.config.Capacity):
		return encoder.PlatformOverCapacity
	case len(state.running)+len(state.endedTasks) >= maxHeldTasks, state.heldBytes+bytes > maxHeldBytes:
		return encoder.PlatformTasksFull
	}
	return ""
}

func (state *state) refuseStart(message start, task almondcross.Task, code encoder.PlatformCode, now time.Time) {
	kind := encoder.WorkerStartRefused
	if code == encoder.PlatformOverCapacity {
		kind = encoder.WorkerOvercommitRefused
	}
	entry := newTaskEntry(kind, task)
	entry.Code = string(code)
	state.recordHistory(now, entry)
	state.counters.refused.Inc()
	state.respond(message.responses, answerer.ErrorResponse(http.StatusConflict, code, "the start is refused"))
}

// encodedTaskBytes returns an upper bound of the encoded size of a task with its answer.
func encodedTaskBytes(task almondcross.Task, behaviour behaviour) int {
	key := task.ID().Key()
	names := len(key.Caller()) + len(key.Origin()) + len(key.Name())
	// The ID appears in the task and in the result, and an escaped character takes up to 6 bytes.
	names = 6 * (2*names + len(task.Entry()) + len(task.Owner()) + len(task.Coordinator().Name()))
	return taskOverhead + names + (len(task.Payload())+len(behaviour.answer)+4)/3*4
}

func (state *state) rememberAttempt(id attemptID) {
	if len(state.startedAttemptOrder) == maxStartedAttempts {
		delete(state.startedAttempts, state.startedAttemptOrder[0])
		state.startedAttemptOrder = state.startedAttemptOrder[1:]
	}
	state.startedAttempts[id] = struct{}{}
	state.startedAttemptOrder = append(state.startedAttemptOrder, id)
}

// apply executes an order. An order for a task that is not running has no effect.
func (order order) apply(state *state, now time.Time) {
	if state.abortIfRefusing(order.responses) || state.rejectIfStale(order.body.Term, order.responses) {
		return
	}
	id := order.body.ID.Value()
	if running, ok := state.running[id]; ok {
		order.execute(state, running, now)
	}
	state.respond(order.responses, answerer.Response{Body: encoder.WorkerEmptyResponse{}})
}

func (order order) execute(state *state, running *runningTask, now time.Time) {
	switch order.kind {
	case orderStop:
		code := almondcross.Code(order.body.Code)
		if code == almondcross.CodeNone {
			code = almondcross.CodeTaskStopped
		}
		entry := newTaskEntry(encoder.WorkerStopOrdered, running.task)
		entry.Code = string(code)
		state.recordHistory(now, entry)
		state.end(running.task.ID(), code, nil, now)
	case orderCheckpoint:
		state.recordHistory(now, newTaskEntry(encoder.WorkerCheckpointed, running.task))
	case orderThrottle:
		running.throttle(order.body.Percent, now)
		state.sampleUsage(now)
		state.recordHistory(now, newTaskEntry(encoder.WorkerThrottled, running.task))
	}
}

// throttle sets the CPU limit, in percent, and extends the remaining run time by the ratio of the old
// limit to the new one.
func (runningtask *runningTask) throttle(percent int, now time.Time) {
	percent = min(max(percent, 1), 100)
	if !runningtask.endsAt.IsZero() {
		remaining := runningtask.endsAt.Sub(now)
		runningtask.endsAt = now.Add(remaining * time.Duration(runningtask.cpuPercent) / time.Duration(percent))
	}
	runningtask.cpuPercent = percent
}
