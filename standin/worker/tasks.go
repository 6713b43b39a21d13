package worker

import (
	"net/http"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/standin/answerer"
)

type start struct {
	body    encoder.WorkerStart
	answers answers
}

// orderKind is the last element of the path of an order.
type orderKind string

const (
	orderStop       orderKind = "stop"
	orderCheckpoint orderKind = "checkpoint"
	orderThrottle   orderKind = "throttle"
)

type order struct {
	kind    orderKind
	body    encoder.WorkerOrder
	answers answers
}

func (start start) apply(state *state, now time.Time) {
	if state.refusesConnection(start.answers) {
		return
	}
	task := start.body.Task.Value()
	if state.inForce(start.body.Term) && state.knows(task) {
		state.answer(start.answers, answerer.Response{Body: encoder.WorkerDone{}})
		return
	}
	behaviour := behaviourOf(task, state.config.DefaultRun)
	bytes := heldBytes(task, behaviour)
	if code := state.refusal(start.body.Term, task, bytes); code != "" {
		state.refuse(start, task, code, now)
		return
	}
	state.heldBytes += bytes
	running := &runningTask{
		task: task, behaviour: behaviour, startedAt: now, leaseUntil: now.Add(almondcross.TaskLease),
		percent: 100, bytes: bytes,
	}
	if behaviour.run >= 0 {
		running.endsAt = now.Add(behaviour.run * time.Duration(max(state.switches.RunFactor, 1)))
	}
	state.running[task.ID()] = running
	state.remember(attemptID{id: task.ID(), attempt: task.Attempt()})
	state.allocate(state.allocated.Add(task.Resources()), now)
	state.counters.started.Inc()
	state.record(now, entryOf(encoder.WorkerStarted, task))
	state.answer(start.answers, answerer.Response{Body: encoder.WorkerDone{}})
}

// knows reports whether this attempt was started in this term or is still held from an earlier one.
func (state *state) knows(task almondcross.Task) bool {
	if _, ok := state.started[attemptID{id: task.ID(), attempt: task.Attempt()}]; ok {
		return true
	}
	if running, ok := state.running[task.ID()]; ok && running.task.Attempt() == task.Attempt() {
		return true
	}
	for _, ended := range state.ended {
		if ended.task.ID() == task.ID() && ended.task.Attempt() == task.Attempt() {
			return true
		}
	}
	return false
}

// refusal returns the code with which a start is refused, or none.
func (state *state) refusal(term encoder.WorkerTerm, task almondcross.Task, bytes int) encoder.PlatformCode {
	_, running := state.running[task.ID()]
	switch {
	case !state.inForce(term):
		return encoder.PlatformTermStale
	case state.switches.Leaving:
		return encoder.PlatformLeaving
	case running:
		return encoder.PlatformTaskConflict
	case !state.allocated.Add(task.Resources()).Fits(state.config.Capacity):
		return encoder.PlatformOverCapacity
	case len(state.running)+len(state.ended) >= maxHeldTasks, state.heldBytes+bytes > maxHeldBytes:
		return encoder.PlatformTasksFull
	}
	return ""
}

func (state *state) refuse(message start, task almondcross.Task, code encoder.PlatformCode, now time.Time) {
	kind := encoder.WorkerStartRefused
	if code == encoder.PlatformOverCapacity {
		kind = encoder.WorkerOvercommitRefused
	}
	entry := entryOf(kind, task)
	entry.Code = string(code)
	state.record(now, entry)
	state.counters.refused.Inc()
	state.answer(message.answers, answerer.ErrorResponse(http.StatusConflict, code, "the start is refused"))
}

// heldBytes bounds the encoded size of a task with its answer.
func heldBytes(task almondcross.Task, behaviour behaviour) int {
	key := task.ID().Key()
	names := len(key.Caller()) + len(key.Origin()) + len(key.Name())
	// The identity appears in the task and in the result, and a character takes up to 6 bytes escaped.
	names = 6 * (2*names + len(task.Entry()) + len(task.Owner()) + len(task.Coordinator().Name()))
	return taskOverhead + names + (len(task.Payload())+len(behaviour.answer)+4)/3*4
}

func (state *state) remember(id attemptID) {
	if len(state.startedOrder) == maxStarted {
		delete(state.started, state.startedOrder[0])
		state.startedOrder = state.startedOrder[1:]
	}
	state.started[id] = struct{}{}
	state.startedOrder = append(state.startedOrder, id)
}

// apply carries out an order. An order for a task that does not run has no effect.
func (order order) apply(state *state, now time.Time) {
	if state.refusesConnection(order.answers) || state.isStale(order.body.Term, order.answers) {
		return
	}
	id := order.body.ID.Value()
	if running, ok := state.running[id]; ok {
		order.carryOut(state, running, now)
	}
	state.answer(order.answers, answerer.Response{Body: encoder.WorkerDone{}})
}

func (order order) carryOut(state *state, running *runningTask, now time.Time) {
	switch order.kind {
	case orderStop:
		code := almondcross.Code(order.body.Code)
		if code == almondcross.CodeNone {
			code = almondcross.CodeTaskStopped
		}
		entry := entryOf(encoder.WorkerStopOrdered, running.task)
		entry.Code = string(code)
		state.record(now, entry)
		state.end(running.task.ID(), code, nil, now)
	case orderCheckpoint:
		state.record(now, entryOf(encoder.WorkerCheckpointed, running.task))
	case orderThrottle:
		running.throttle(order.body.Percent, now)
		state.sample(now)
		state.record(now, entryOf(encoder.WorkerThrottled, running.task))
	}
}

// throttle stretches the time that is left by the ratio of the old to the new limit.
func (runningtask *runningTask) throttle(percent int, now time.Time) {
	percent = min(max(percent, 1), 100)
	if !runningtask.endsAt.IsZero() {
		left := runningtask.endsAt.Sub(now)
		runningtask.endsAt = now.Add(left * time.Duration(runningtask.percent) / time.Duration(percent))
	}
	runningtask.percent = percent
}
