package worker

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/answerer"
)

const (
	// farAway is the time to which the timer of the duty is set without a deadline.
	farAway = time.Hour
	// maxStarted bounds the starts of a term that are remembered to recognise repeated ones.
	maxStarted = 1 << 16
	// maxHeldTasks and maxHeldBytes bound the running and the unacknowledged tasks, so that the
	// inventory fits into one body. Starts beyond them are refused; no result is dropped.
	maxHeldTasks = 1024
	maxHeldBytes = encoder.MaxPlatformBody - 4096
	// taskOverhead covers the fields of an encoded item other than payload, answer and names.
	taskOverhead = 900
	maxHistory   = 1 << 20
)

type answers = chan<- answerer.Response

// message is a message for the duty of the worker.
type message interface {
	apply(state *state, now time.Time)
}

// runningTask is a task that occupies capacity.
type runningTask struct {
	task       almondcross.Task
	behaviour  behaviour
	startedAt  time.Time
	endsAt     time.Time // zero for a task that runs until it is stopped
	leaseUntil time.Time
	percent    int
	bytes      int
}

// endedTask is a task whose result waits for acknowledgement.
type endedTask struct {
	index  uint64
	task   almondcross.Task
	result almondcross.TaskResult
	bytes  int
}

// attemptID identifies one start.
type attemptID struct {
	id      almondcross.TaskID
	attempt int
}

type usageSample struct {
	at    time.Time
	usage almondcross.Resources
}

type eventWaiter struct {
	read     readEvents
	deadline time.Time
}

// state is the duty that owns everything about the worker.
type state struct {
	config   Config
	messages *ring.Ring[message]

	boot       uint64
	counter    uint64
	leased     bool
	leaseUntil time.Time
	holder     almondcross.MemberID

	running      map[almondcross.TaskID]*runningTask
	ended        []endedTask
	events       uint64
	started      map[attemptID]struct{}
	startedOrder []attemptID
	allocated    almondcross.Resources
	heldBytes    int
	usage        []usageSample

	waiters  []eventWaiter
	switches encoder.WorkerSwitches
	history  []encoder.WorkerHistoryEntry
	dropped  int

	counters counters
}

type counters struct {
	started, refused, ended, expired *metrics.Counter
}

func newState(config Config) *state {
	set := config.Metrics
	state := &state{
		config: config, messages: newRing(config), boot: config.Boot,
		running: make(map[almondcross.TaskID]*runningTask),
		started: make(map[attemptID]struct{}),
		counters: counters{
			started: set.GetOrCreateCounter("almondcross_worker_tasks_started_total"),
			refused: set.GetOrCreateCounter("almondcross_worker_starts_refused_total"),
			ended:   set.GetOrCreateCounter("almondcross_worker_tasks_ended_total"),
			expired: set.GetOrCreateCounter("almondcross_worker_task_leases_expired_total"),
		},
	}
	state.record(time.Now(), encoder.WorkerHistoryEntry{Kind: encoder.WorkerBooted})
	return state
}

func (state *state) run(ctx context.Context) error {
	timer := time.NewTimer(farAway)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-state.messages.Messages():
			now := time.Now()
			// What is due by now comes first, so that a message never sees an expired lease as valid.
			state.advance(now)
			message.apply(state, now)
		case <-timer.C:
		}
		now := time.Now()
		state.advance(now)
		state.answerWaiters(now)
		timer.Reset(state.deadline(now).Sub(now))
	}
}

func (state *state) term() encoder.WorkerTerm {
	return encoder.WorkerTerm{Boot: state.boot, Counter: state.counter}
}

// inForce reports whether a term is the one of an unexpired lease.
func (state *state) inForce(term encoder.WorkerTerm) bool {
	return state.leased && term == state.term()
}

// advance ends the tasks and the lease whose time is over.
func (state *state) advance(now time.Time) {
	if state.leased && !now.Before(state.leaseUntil) {
		state.record(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerExpired})
		state.leased = false
	}
	for id, running := range state.running {
		ends := !running.endsAt.IsZero() && !now.Before(running.endsAt)
		expires := !now.Before(running.leaseUntil)
		switch {
		// Of two events that are both due, the earlier one happened.
		case ends && (!expires || !running.leaseUntil.Before(running.endsAt)):
			state.complete(id, running, now)
		case expires:
			state.counters.expired.Inc()
			state.record(now, entryOf(encoder.WorkerTaskExpired, running.task))
			state.end(id, almondcross.CodeTaskStopped, nil, now)
		}
	}
}

func (state *state) complete(id almondcross.TaskID, running *runningTask, now time.Time) {
	if running.behaviour.failing || state.switches.FailAll {
		state.end(id, almondcross.CodeTaskFailed, nil, now)
		return
	}
	state.end(id, almondcross.CodeNone, running.behaviour.answer, now)
}

// end frees the capacity of a task and keeps its result until it is acknowledged.
func (state *state) end(id almondcross.TaskID, code almondcross.Code, answer []byte, now time.Time) {
	running := state.running[id]
	delete(state.running, id)
	state.allocate(state.allocated.Sub(running.task.Resources()), now)
	state.counters.ended.Inc()
	state.events++
	state.ended = append(state.ended, endedTask{
		index: state.events, task: running.task, bytes: running.bytes,
		result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: id, Attempt: running.task.Attempt(), Code: code, Answer: answer, Ran: now.Sub(running.startedAt),
		}),
	})
	entry := entryOf(encoder.WorkerEnded, running.task)
	entry.Code = string(code)
	state.record(now, entry)
}

func (state *state) allocate(allocated almondcross.Resources, now time.Time) {
	state.allocated = allocated
	state.sample(now)
}

// sample notes the current usage: the allocation with the limits of throttled tasks.
func (state *state) sample(now time.Time) {
	usage := almondcross.Resources{}
	for _, running := range state.running {
		resources := running.task.Resources()
		usage = usage.Add(resources.WithMilliCPU(resources.MilliCPU() * int64(running.percent) / 100))
	}
	state.usage = append(state.usage, usageSample{at: now, usage: usage})
	state.reported(now)
}

// reported returns the usage as it was before the lag and forgets older samples.
func (state *state) reported(now time.Time) almondcross.Resources {
	limit := now.Add(-state.config.UsageLag)
	for len(state.usage) > 1 && !state.usage[1].at.After(limit) {
		state.usage = state.usage[1:]
	}
	if len(state.usage) == 0 || state.usage[0].at.After(limit) {
		return almondcross.Resources{}
	}
	return state.usage[0].usage
}

func (state *state) deadline(now time.Time) time.Time {
	first := now.Add(farAway)
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	if state.leased {
		consider(state.leaseUntil)
	}
	for _, running := range state.running {
		consider(running.endsAt)
		consider(running.leaseUntil)
	}
	for _, waiter := range state.waiters {
		consider(waiter.deadline)
	}
	return first
}

func entryOf(kind encoder.WorkerHistoryKind, task almondcross.Task) encoder.WorkerHistoryEntry {
	id := encoder.WorkerTaskIDOf(task.ID())
	return encoder.WorkerHistoryEntry{
		Kind: kind, Task: &id, Attempt: task.Attempt(), Needed: encoder.WorkerResourcesOf(task.Resources()),
	}
}

// record appends an entry with the current term, holder and allocation.
func (state *state) record(now time.Time, entry encoder.WorkerHistoryEntry) {
	if len(state.history) == maxHistory {
		state.dropped++
		return
	}
	entry.Index = len(state.history) + 1
	entry.AtUs = now.UnixMicro()
	entry.Term = state.term()
	entry.Holder = encoder.WorkerMemberOf(state.holder)
	entry.Allocated = encoder.WorkerResourcesOf(state.allocated)
	state.history = append(state.history, entry)
}

// answer passes on an answer as the switches say.
func (state *state) answer(answers answers, answer answerer.Response) {
	answer.Delay = time.Duration(state.switches.DelayMs) * time.Millisecond
	answers <- answer
}

// refusesConnection closes the connection of an operation before it has an effect.
func (state *state) refusesConnection(answers answers) bool {
	if state.switches.Refuse {
		answers <- answerer.Response{Abort: true}
	}
	return state.switches.Refuse
}
