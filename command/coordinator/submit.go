package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// submit adds a request to the existing record of its key, forwards it to the key's coordinator, or begins the key.
func (machine *Machine) submit(message almondcross.SubmitRequest, now time.Time) {
	request := machine.requestWithOrigin(message.Request())
	key := request.Key()
	record, ok := machine.keys[key]
	if ok && record.repeatable(request, now) {
		machine.dropRecord(record)
		ok = false
	}
	if ok {
		machine.attachWaiter(record, request, message.Replier(), now)
		return
	}
	coordinator, ok := machine.view.Coordinator(key)
	if !ok {
		machine.refuseUnroutable(request, message.Replier(), now)
		return
	}
	if coordinator.ID() != machine.self() {
		if message.Forwarded() {
			machine.reply(message.Replier(), newOutcome(key, almondcross.StatusUnknown, almondcross.CodeNotHere))
			return
		}
		machine.forwardRequest(request, coordinator.ID(), message.Replier(), now.Add(waitTimeout(request)), now)
		return
	}
	record = newRecord(request, now)
	record.waiters = []waiter{{replier: message.Replier(), deadline: now.Add(waitTimeout(request))}}
	machine.addRecord(record, now)
	machine.begin(record, now)
}

func (machine *Machine) requestWithOrigin(request almondcross.Request) almondcross.Request {
	key := request.Key()
	if key.Origin() == "" {
		return request.WithKey(key.WithOrigin(machine.view.Self().DataCentre()))
	}
	return request
}

func waitTimeout(request almondcross.Request) time.Duration {
	if request.Timeout() <= 0 {
		return defaultTimeout
	}
	return request.Timeout()
}

// refuseUnroutable refuses a request whose home data centre has no member in the view that accepts keys.
func (machine *Machine) refuseUnroutable(request almondcross.Request, replier almondcross.Replier, now time.Time) {
	key := request.Key()
	if key.Origin() == machine.view.Self().DataCentre() {
		// This host is leaving, and its data centre has no other member.
		machine.reply(replier, machine.refusalOutcome(&record{request: request}, almondcross.CodeStopping, now))
		return
	}
	outcome := newOutcome(key, almondcross.StatusUnknown, almondcross.CodeHomeUnreachable)
	machine.reply(replier, outcome.WithRetryAfter(homeUnreachableRetryAfter))
}

func (machine *Machine) addRecord(record *record, now time.Time) {
	machine.keys[record.request.Key()] = record
	for _, waiter := range record.waiters {
		machine.scheduleKey(record.request.Key(), waiter.deadline)
	}
	if !record.service {
		machine.recordDecision(record, "submitted", almondcross.CodeNone, "", now)
	}
}

// attachWaiter adds the caller of a repeated request to the waiters of the key, or replies with the outcome if the
// key has ended.
func (machine *Machine) attachWaiter(record *record, request almondcross.Request, replier almondcross.Replier, now time.Time) {
	key := request.Key()
	if record.request.Entry() == "" && record.phase == phaseLookup {
		// The cancellation of the key overtook its request.
		record.request = request
	}
	if record.request.Entry() != "" && !record.refused && !record.sameRequest(request) {
		outcome := newOutcome(key, almondcross.StatusNotRun, almondcross.CodeKeyConflict)
		machine.reply(replier, outcome.WithDetail("the key was used for another request"))
		return
	}
	if record.phase == phaseEnded {
		machine.reply(replier, record.outcome)
		return
	}
	deadline := now.Add(waitTimeout(request))
	record.waiters = append(record.waiters, waiter{replier: replier, deadline: deadline})
	machine.scheduleKey(key, deadline)
}

// begin checks the coordinator and the entry of a key, and starts lookups if another member may know the key.
// Work that may not be repeated needs none, since it is claimed before it starts.
func (machine *Machine) begin(record *record, now time.Time) {
	key, issuedAt := record.request.Key(), record.request.IssuedAt()
	if coordinator, ok := machine.view.Coordinator(key); !ok || coordinator.ID() != machine.self() {
		machine.rerouteWaiters(record, now)
		return
	}
	issuedSinceMove := machine.view.IssuedSinceMove(key, issuedAt)
	if record.cancelled {
		machine.startLookups(record, now)
		return
	}
	entry, ok := machine.catalogue.Entry(record.request.Entry())
	if !ok || !entry.RunsIn(machine.view.Self().DataCentre()) {
		machine.refuseUnknownEntry(record, now)
		return
	}
	record.entry = entry
	record.deadline = startDeadline(record, now)
	if !entry.Repeatable() || issuedSinceMove {
		machine.advance(record, now)
		return
	}
	machine.startLookups(record, now)
}

// startDeadline returns the time after which the key must not be started, zero for none. The entry's
// timeout sets it; for class call the request's timeout does if it is shorter or the entry has none.
func startDeadline(record *record, now time.Time) time.Time {
	if record.service {
		return time.Time{}
	}
	timeout := record.entry.Timeout()
	if record.entry.Class() == almondcross.ClassCall && record.request.Timeout() > 0 {
		if timeout == 0 || record.request.Timeout() < timeout {
			timeout = record.request.Timeout()
		}
	}
	if timeout <= 0 {
		return time.Time{}
	}
	if record.submittedAt.IsZero() {
		return now.Add(timeout)
	}
	return record.submittedAt.Add(timeout)
}

func (machine *Machine) refuseUnknownEntry(record *record, now time.Time) {
	code := almondcross.CodeUnknownEntry
	if machine.catalogue.Offset() < 0 {
		code = almondcross.CodeCatalogueMissing
	}
	machine.finish(record, machine.refusalOutcome(record, code, now), now)
}

// advance starts a key, or holds it back until this member has a valid link lease from every peer and no task that
// a lost member may have started for the key can still run. Work that may not be repeated is claimed first.
func (machine *Machine) advance(record *record, now time.Time) {
	key := record.request.Key()
	if record.cancelled {
		machine.finishCancelled(record, now)
		return
	}
	if !record.deadline.IsZero() && !now.Before(record.deadline) {
		machine.finish(record, machine.refusalOutcome(record, almondcross.CodeTimeout, now), now)
		return
	}
	if !machine.view.HasLinkLeases(now) {
		machine.holdBack(record, now.Add(holdRecheckInterval), almondcross.CodeNoLinkLease, now)
		return
	}
	if coordinator, ok := machine.view.Coordinator(key); !ok || coordinator.ID() != machine.self() {
		machine.rerouteWaiters(record, now)
		return
	}
	if record.claimed {
		// The task was refused before a start, so the claim still permits one.
		machine.startClaimed(record, now)
		return
	}
	if !record.entry.Repeatable() {
		record.phase = phaseClaiming
		machine.recordDecision(record, "claim_requested", almondcross.CodeNone, "", now)
		machine.emit(NotifyClaimer{Message: almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
			Key: key, Entry: record.entry.Name(), Request: record.request,
		})})
		return
	}
	if !record.everStarted && !record.unknownToPeers && !machine.view.IssuedSinceMove(key, record.request.IssuedAt()) {
		// A member may have joined since the request arrived; the first pong of a peer counts as a join too.
		machine.startLookups(record, now)
		return
	}
	until := machine.view.HeldBackUntil(key, record.request.IssuedAt())
	if now.Before(until) {
		machine.holdBack(record, until, almondcross.CodeHeldBack, now)
		return
	}
	machine.place(record, now)
}

// certainlyNotRun reports whether neither this member nor any other one can have started the key. A granted claim
// of which no start was used proves it, since no other member may start the key. Otherwise this member must have a
// valid link lease from every peer, since another one may coordinate the key by now, and the key must be newer
// than the outcomes that this member and its peers have dropped, and issued after the last loss, since the starts
// of a lost member are not known.
func (machine *Machine) certainlyNotRun(record *record, now time.Time) bool {
	if record.everStarted || record.mayHaveRun {
		return false
	}
	if record.claimed {
		return true
	}
	if !machine.view.HasLinkLeases(now) {
		// This member may have been paused, and others may have removed it from their views and started the key.
		return false
	}
	issuedAt := record.request.IssuedAt()
	if issuedAt.IsZero() || now.Sub(issuedAt) > outcomeRetention-almondcross.CallerClockSkew {
		return false
	}
	earliestIssue := issuedAt.Add(-almondcross.CallerClockSkew)
	if !earliestIssue.After(machine.view.LostWall()) || !earliestIssue.After(machine.lastEvictedEnd) {
		return false
	}
	return record.unknownToPeers || machine.view.IssuedSinceMove(record.request.Key(), issuedAt)
}

// refusalOutcome returns the outcome of a key that ends without an answer: not_run if it certainly has not run,
// failed if it was started, otherwise unknown.
func (machine *Machine) refusalOutcome(record *record, code almondcross.Code, now time.Time) almondcross.Outcome {
	key := record.request.Key()
	switch {
	case machine.certainlyNotRun(record, now):
		return newOutcome(key, almondcross.StatusNotRun, code)
	case record.everStarted:
		return newOutcome(key, almondcross.StatusFailed, code)
	default:
		return unknownOutcome(key, code)
	}
}

func (machine *Machine) holdBack(record *record, until time.Time, code almondcross.Code, now time.Time) {
	if record.phase != phaseHeld {
		machine.recordDecision(record, "held", code, "", now)
		machine.emit(Account{Event: almondcross.NewAccountEvent(almondcross.AccountEventConfig{
			Entry: record.entry.Name(), Owner: record.entry.Owner(), Code: code, Count: 1, At: now,
		})})
	}
	record.phase = phaseHeld
	if !record.deadline.IsZero() && record.deadline.Before(until) {
		until = record.deadline
	}
	machine.scheduleKey(record.request.Key(), until)
}

// rerouteWaiters drops a key that this member no longer coordinates and has not started, and routes its callers again.
func (machine *Machine) rerouteWaiters(record *record, now time.Time) {
	machine.dropRecord(record)
	machine.rerouteDropped(record, now)
}

// rerouteDropped submits the requests of the callers of a dropped key again. If the key was cancelled, only the
// cancellation is repeated: a request that is submitted again after its task was stopped would run a second time.
func (machine *Machine) rerouteDropped(record *record, now time.Time) {
	for _, waiter := range record.waiters {
		switch {
		case waiter.cancels:
			machine.cancel(almondcross.NewCancelRequest(almondcross.CancelRequestConfig{
				Key: record.request.Key(), Replier: waiter.replier,
			}), now)
		case record.cancelled:
			machine.reply(waiter.replier, unknownOutcome(record.request.Key(), almondcross.CodeCancelled))
		default:
			machine.resubmit(record.request, waiter, now)
		}
	}
}

func (machine *Machine) resubmit(request almondcross.Request, waiter waiter, now time.Time) {
	remaining := waiter.deadline.Sub(now)
	if remaining <= 0 {
		outcome := newOutcome(request.Key(), almondcross.StatusUnknown, almondcross.CodeTimeout)
		machine.reply(waiter.replier, outcome.WithRetryAfter(time.Second))
		return
	}
	machine.submit(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Request: request.WithTimeout(remaining), Replier: waiter.replier,
	}), now)
}

// place sends the tasks of a new attempt to the placer.
func (machine *Machine) place(record *record, now time.Time) {
	record.attempt = nextAttemptNumber(record.attempt, now)
	record.phase = phasePlaced
	machine.recordDecision(record, "placed", almondcross.CodeNone, "", now)
	size := 1
	if record.entry.Class() == almondcross.ClassGang && record.entry.Tasks() > 1 {
		size = record.entry.Tasks()
	}
	record.tasks = make([]taskState, size)
	for index := range record.tasks {
		record.tasks[index].task = machine.buildTask(record, index, size, now)
		machine.emit(NotifyPlacer{Message: almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: record.tasks[index].task})})
	}
}

// nextAttemptNumber returns the number of a new attempt: the time of its placement in milliseconds. A coordinator that
// does not know earlier attempts therefore does not reuse a number and accept their reports as its own.
func nextAttemptNumber(previous int, now time.Time) int { return max(previous+1, int(now.UnixMilli())) }

func (machine *Machine) buildTask(record *record, index, size int, now time.Time) almondcross.Task {
	entry := record.entry
	var timeout time.Duration
	if !record.deadline.IsZero() {
		timeout = record.deadline.Sub(now)
	}
	return almondcross.NewTask(almondcross.TaskConfig{
		ID:          almondcross.NewTaskID(almondcross.TaskIDConfig{Key: record.request.Key(), Index: index}),
		Entry:       entry.Name(),
		Owner:       entry.Owner(),
		Class:       entry.Class(),
		Resources:   entry.Resources(),
		Payload:     record.request.Payload(),
		Repeatable:  entry.Repeatable(),
		Urgent:      entry.Urgent(),
		Size:        size,
		Attempt:     record.attempt,
		Coordinator: machine.self(),
		MaxRun:      entry.MaxRun(),
		MaxRunning:  entry.MaxRunning(),
		ExpectedRun: entry.ExpectedRun(),
		Timeout:     timeout,
		Avoid:       record.avoidTarget,
		LostTargets: record.lostTargets(),
	})
}

func (machine *Machine) dropRecord(record *record) { delete(machine.keys, record.request.Key()) }

// finish ends a key: it sends the outcome to every waiting caller and keeps it for callers that retry.
func (machine *Machine) finish(record *record, outcome almondcross.Outcome, now time.Time) {
	outcome = outcome.WithHost(machine.self().Name())
	if outcome.Status() == almondcross.StatusNotRun {
		outcome = outcome.WithRetryAfter(max(outcome.RetryAfter(), repeatDelay))
	}
	machine.recordDecision(record, string(outcome.Status()), outcome.Code(), outcome.Target(), now)
	for _, waiter := range record.waiters {
		machine.reply(waiter.replier, outcome)
	}
	record.waiters = nil
	if record.claimed {
		machine.emit(NotifyClaimer{Message: almondcross.NewSettleKey(almondcross.SettleKeyConfig{Outcome: outcome})})
	}
	notRunOrUnknown := outcome.Status() == almondcross.StatusNotRun || outcome.Status() == almondcross.StatusUnknown
	if notRunOrUnknown || outcome.Code() == almondcross.CodeTargetsCrashed {
		machine.accountReason(record, outcome.Code(), now)
	}
	switch {
	case record.claimed || !notRunOrUnknown:
		machine.endedKeys = append(machine.endedKeys, record.request.Key())
	case record.cancelled && outcome.Status() == almondcross.StatusUnknown:
		// The key may run under a lost member. It is kept so that the adoption of its task is refused and the task stopped.
		machine.endedKeys = append(machine.endedKeys, record.request.Key())
	case outcome.Status() == almondcross.StatusNotRun && !record.service:
		// The outcome also holds for requests of the key that are under way to this member. The payload is not needed,
		// since none of them starts.
		record.refused = true
		record.request = record.request.WithPayload(nil)
		machine.refusedKeys = append(machine.refusedKeys, record.request.Key())
	default:
		// The key is not kept, so that the caller may submit it again: this member has no running task of it.
		machine.dropRecord(record)
		return
	}
	record.phase = phaseEnded
	record.outcome, record.endedAt, record.tasks = outcome, now, nil
}

func (machine *Machine) accountReason(record *record, code almondcross.Code, now time.Time) {
	machine.emit(Account{Event: almondcross.NewAccountEvent(almondcross.AccountEventConfig{
		Entry: record.request.Entry(), Owner: record.entry.Owner(), Code: code, Count: 1, At: now,
	})})
}

// expireOutcomes removes outcomes that are older than outcomeRetention, and the oldest ones above maxOutcomes. An
// early removal of a key that may have run is remembered, since the key cannot be told from one that did not run.
func (machine *Machine) expireOutcomes(now time.Time) {
	machine.endedKeys = machine.expireKeys(machine.endedKeys, now, func(record *record) {
		machine.lastEvictedEnd = record.endedAt.Round(0)
	})
	machine.refusedKeys = machine.expireKeys(machine.refusedKeys, now, func(*record) {})
}

// expireKeys removes the expired keys from a list in order of their end, and returns the others. It calls evicted for
// those that are removed before outcomeRetention has passed.
func (machine *Machine) expireKeys(keys []almondcross.Key, now time.Time, evicted func(*record)) []almondcross.Key {
	expired := 0
	for _, key := range keys {
		record, ok := machine.keys[key]
		ended := ok && record.phase == phaseEnded
		if ended && now.Sub(record.endedAt) < outcomeRetention {
			if len(keys)-expired <= maxOutcomes {
				break
			}
			evicted(record)
		}
		if ended {
			delete(machine.keys, key)
		}
		expired++
	}
	return keys[expired:]
}
