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
	// idleInterval is the timer interval of the duty when it has no deadline.
	idleInterval = time.Hour
	// maxStartedAttempts limits the starts of a term that are remembered to detect repeated starts.
	maxStartedAttempts = 1 << 16
	// maxHeldTasks and maxHeldBytes limit the running and the unacknowledged tasks, so that the
	// inventory fits into one response body. Starts beyond these limits are refused; no result is dropped.
	maxHeldTasks = 1024
	maxHeldBytes = encoder.MaxPlatformBody - 4096
	// taskOverhead bounds the size of an encoded item without its payload, answer and names, in bytes.
	taskOverhead = 900
	maxHistory   = 1 << 20
)

type responses = chan<- answerer.Response

// message is a message for the duty of the worker.
type message interface {
	apply(state *state, now time.Time)
}

// runningTask is a task that occupies capacity.
type runningTask struct {
	task         almondcross.Task
	behaviour    behaviour
	startedAt    time.Time
	endsAt       time.Time // zero for a task that runs until it is stopped
	leaseUntil   time.Time
	cpuPercent   int
	encodedBytes int
}

// endedTask is a task whose result is not yet acknowledged.
type endedTask struct {
	index        uint64
	task         almondcross.Task
	result       almondcross.TaskResult
	encodedBytes int
}

// attemptID identifies one attempt of a task.
type attemptID struct {
	id      almondcross.TaskID
	attempt int
}

type usageSample struct {
	at    time.Time
	usage almondcross.Resources
}

type eventWaiter struct {
	request  readEvents
	deadline time.Time
}

// state is the duty that owns the state of the worker.
type state struct {
	config   Config
	messages *ring.Ring[message]

	boot        uint64
	termCounter uint64
	leased      bool
	leaseUntil  time.Time
	leaseHolder almondcross.MemberID

	running             map[almondcross.TaskID]*runningTask
	endedTasks          []endedTask
	eventCount          uint64
	startedAttempts     map[attemptID]struct{}
	startedAttemptOrder []attemptID
	allocated           almondcross.Resources
	heldBytes           int
	usageSamples        []usageSample

	waiters        []eventWaiter
	faults         encoder.WorkerFaults
	history        []encoder.WorkerHistoryEntry
	droppedEntries int

	counters counters
}

type counters struct {
	started, refused, ended, expired *metrics.Counter
}

func newState(config Config) *state {
	set := config.Metrics
	state := &state{
		config: config, messages: newRing(config), boot: config.Boot,
		running:         make(map[almondcross.TaskID]*runningTask),
		startedAttempts: make(map[attemptID]struct{}),
		counters: counters{
			started: set.GetOrCreateCounter("almondcross_worker_tasks_started_total"),
			refused: set.GetOrCreateCounter("almondcross_worker_starts_refused_total"),
			ended:   set.GetOrCreateCounter("almondcross_worker_tasks_ended_total"),
			expired: set.GetOrCreateCounter("almondcross_worker_task_leases_expired_total"),
		},
	}
	state.recordHistory(time.Now(), encoder.WorkerHistoryEntry{Kind: encoder.WorkerBooted})
	return state
}

func (state *state) run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-state.messages.Messages():
			now := time.Now()
			// Process expired deadlines first, so that a message never sees an expired lease as valid.
			state.endExpired(now)
			message.apply(state, now)
		case <-timer.C:
		}
		now := time.Now()
		state.endExpired(now)
		state.respondToWaiters(now)
		timer.Reset(state.deadline(now).Sub(now))
	}
}

func (state *state) term() encoder.WorkerTerm {
	return encoder.WorkerTerm{Boot: state.boot, Counter: state.termCounter}
}

// isCurrentTerm reports whether a term is that of the current, unexpired lease.
func (state *state) isCurrentTerm(term encoder.WorkerTerm) bool {
	return state.leased && term == state.term()
}

// endExpired ends the tasks that are complete or whose lease expired, and the worker's lease if it expired.
func (state *state) endExpired(now time.Time) {
	if state.leased && !now.Before(state.leaseUntil) {
		state.recordHistory(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerLeaseExpired})
		state.leased = false
	}
	for id, running := range state.running {
		completed := !running.endsAt.IsZero() && !now.Before(running.endsAt)
		leaseExpired := !now.Before(running.leaseUntil)
		switch {
		// If completion and lease expiry are both due, the earlier one takes effect.
		case completed && (!leaseExpired || !running.leaseUntil.Before(running.endsAt)):
			state.complete(id, running, now)
		case leaseExpired:
			state.counters.expired.Inc()
			state.recordHistory(now, newTaskEntry(encoder.WorkerTaskExpired, running.task))
			state.end(id, almondcross.CodeTaskStopped, nil, now)
		}
	}
}

func (state *state) complete(id almondcross.TaskID, running *runningTask, now time.Time) {
	if running.behaviour.fails || state.faults.FailAll {
		state.end(id, almondcross.CodeTaskFailed, nil, now)
		return
	}
	state.end(id, almondcross.CodeNone, running.behaviour.answer, now)
}

// end frees the capacity of a task and holds its result until it is acknowledged.
func (state *state) end(id almondcross.TaskID, code almondcross.Code, answer []byte, now time.Time) {
	running := state.running[id]
	delete(state.running, id)
	state.setAllocated(state.allocated.Sub(running.task.Resources()), now)
	state.counters.ended.Inc()
	state.eventCount++
	state.endedTasks = append(state.endedTasks, endedTask{
		index: state.eventCount, task: running.task, encodedBytes: running.encodedBytes,
		result: almondcross.NewTaskResult(almondcross.TaskResultConfig{
			ID: id, Attempt: running.task.Attempt(), Code: code, Answer: answer, Ran: now.Sub(running.startedAt),
		}),
	})
	entry := newTaskEntry(encoder.WorkerTaskEnded, running.task)
	entry.Code = string(code)
	state.recordHistory(now, entry)
}

func (state *state) setAllocated(allocated almondcross.Resources, now time.Time) {
	state.allocated = allocated
	state.sampleUsage(now)
}

// sampleUsage records the current usage: the allocation, reduced by the CPU limits of throttled tasks.
func (state *state) sampleUsage(now time.Time) {
	usage := almondcross.Resources{}
	for _, running := range state.running {
		resources := running.task.Resources()
		usage = usage.Add(resources.WithMilliCPU(resources.MilliCPU() * int64(running.cpuPercent) / 100))
	}
	state.usageSamples = append(state.usageSamples, usageSample{at: now, usage: usage})
	state.reportedUsage(now)
}

// reportedUsage returns the usage as of UsageLag ago and discards older samples.
func (state *state) reportedUsage(now time.Time) almondcross.Resources {
	cutoff := now.Add(-state.config.UsageLag)
	for len(state.usageSamples) > 1 && !state.usageSamples[1].at.After(cutoff) {
		state.usageSamples = state.usageSamples[1:]
	}
	if len(state.usageSamples) == 0 || state.usageSamples[0].at.After(cutoff) {
		return almondcross.Resources{}
	}
	return state.usageSamples[0].usage
}

func (state *state) deadline(now time.Time) time.Time {
	earliest := now.Add(idleInterval)
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(earliest) {
			earliest = at
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
	return earliest
}

func newTaskEntry(kind encoder.WorkerHistoryKind, task almondcross.Task) encoder.WorkerHistoryEntry {
	id := encoder.WorkerTaskIDOf(task.ID())
	return encoder.WorkerHistoryEntry{
		Kind: kind, Task: &id, Attempt: task.Attempt(), Needed: encoder.WorkerResourcesOf(task.Resources()),
	}
}

// recordHistory appends an entry to the history with the current term, lease holder and allocation.
func (state *state) recordHistory(now time.Time, entry encoder.WorkerHistoryEntry) {
	if len(state.history) == maxHistory {
		state.droppedEntries++
		return
	}
	entry.Index = len(state.history) + 1
	entry.AtUs = now.UnixMicro()
	entry.Term = state.term()
	entry.Holder = encoder.WorkerMemberOf(state.leaseHolder)
	entry.Allocated = encoder.WorkerResourcesOf(state.allocated)
	state.history = append(state.history, entry)
}

// respond sends a response with the delay that the faults set.
func (state *state) respond(responses responses, response answerer.Response) {
	response.Delay = time.Duration(state.faults.DelayMs) * time.Millisecond
	responses <- response
}

// abortIfRefusing closes the connection before the request takes effect if the Refuse switch is on.
// It reports whether it did.
func (state *state) abortIfRefusing(responses responses) bool {
	if state.faults.Refuse {
		responses <- answerer.Response{Abort: true}
	}
	return state.faults.Refuse
}
