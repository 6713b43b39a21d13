package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// submit attaches a request to its key, forwards it to the key's coordinator, or begins it.
func (machine *Machine) submit(message almondcross.SubmitRequest, now time.Time) {
	request := machine.withOrigin(message.Request())
	key := request.Key()
	if record, ok := machine.keys[key]; ok {
		machine.attach(record, request, message.Replier(), now)
		return
	}
	coordinator, ok := machine.view.Coordinator(key)
	if !ok {
		machine.refuseHomeless(request, message.Replier(), now)
		return
	}
	if coordinator.ID() != machine.self() {
		if message.Forwarded() {
			machine.reply(message.Replier(), outcomeOf(key, almondcross.StatusUnknown, almondcross.CodeNotHere))
			return
		}
		machine.forwardRequest(request, coordinator.ID(), message.Replier(), now.Add(waitOf(request)), now)
		return
	}
	record := &record{request: request, submittedAt: now}
	record.waiters = []waiter{{replier: message.Replier(), deadline: now.Add(waitOf(request))}}
	machine.add(record, now)
	machine.begin(record, now)
}

func (machine *Machine) withOrigin(request almondcross.Request) almondcross.Request {
	key := request.Key()
	if key.Origin() == "" {
		return request.WithKey(key.WithOrigin(machine.view.Self().DataCentre()))
	}
	return request
}

func waitOf(request almondcross.Request) time.Duration {
	if request.Timeout() <= 0 {
		return defaultWait
	}
	return request.Timeout()
}

// refuseHomeless answers a request whose home data centre has no member in the view.
func (machine *Machine) refuseHomeless(request almondcross.Request, replier almondcross.Replier, now time.Time) {
	key := request.Key()
	if key.Origin() == machine.view.Self().DataCentre() {
		// This host leaves as the last one of its data centre.
		machine.reply(replier, machine.notRun(&record{request: request}, almondcross.CodeStopping, now))
		return
	}
	outcome := outcomeOf(key, almondcross.StatusUnknown, almondcross.CodeHomeUnreachable)
	machine.reply(replier, outcome.WithRetryAfter(homeRetryAfter))
}

func (machine *Machine) add(record *record, now time.Time) {
	machine.keys[record.request.Key()] = record
	for _, waiter := range record.waiters {
		machine.wakeKey(record.request.Key(), waiter.deadline)
	}
	if !record.standing {
		machine.tell(record, "submitted", almondcross.CodeNone, "", now)
	}
}

// attach lets a repeated request wait for the outcome of its key.
func (machine *Machine) attach(record *record, request almondcross.Request, replier almondcross.Replier, now time.Time) {
	key := request.Key()
	if record.request.Entry() != "" && !record.sameRequest(request) {
		outcome := outcomeOf(key, almondcross.StatusNotRun, almondcross.CodeKeyConflict)
		machine.reply(replier, outcome.WithDetail("the key was used for another request"))
		return
	}
	if record.phase == phaseEnded {
		machine.reply(replier, record.outcome)
		return
	}
	deadline := now.Add(waitOf(request))
	record.waiters = append(record.waiters, waiter{replier: replier, deadline: deadline})
	machine.wakeKey(key, deadline)
}

// begin checks the entry and finds out whether another member may know the key.
func (machine *Machine) begin(record *record, now time.Time) {
	key, issuedAt := record.request.Key(), record.request.IssuedAt()
	if coordinator, ok := machine.view.Coordinator(key); !ok || coordinator.ID() != machine.self() {
		machine.moveOn(record, now)
		return
	}
	settled := machine.view.Settled(key, issuedAt)
	entry, ok := machine.catalogue.Entry(record.request.Entry())
	if !ok || !entry.RunsIn(machine.view.Self().DataCentre()) {
		machine.refuseEntry(record, now)
		return
	}
	record.entry = entry
	record.deadline = startDeadline(record, now)
	if !entry.Repeatable() || settled {
		machine.advance(record, now)
		return
	}
	machine.startLookups(record, now)
}

func startDeadline(record *record, now time.Time) time.Time {
	if record.standing {
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

func (machine *Machine) refuseEntry(record *record, now time.Time) {
	code := almondcross.CodeUnknownEntry
	if machine.catalogue.Offset() < 0 {
		code = almondcross.CodeCatalogueMissing
	}
	machine.finish(record, machine.notRun(record, code, now), now)
}

// advance starts a key as soon as this member has standing and no lost member may have started it.
func (machine *Machine) advance(record *record, now time.Time) {
	key := record.request.Key()
	if !record.deadline.IsZero() && !now.Before(record.deadline) {
		machine.finish(record, machine.notRun(record, almondcross.CodeTimeout, now), now)
		return
	}
	if !machine.view.HasStanding(now) {
		machine.hold(record, now.Add(heldRecheck), almondcross.CodeNoStanding, now)
		return
	}
	if coordinator, ok := machine.view.Coordinator(key); !ok || coordinator.ID() != machine.self() {
		machine.moveOn(record, now)
		return
	}
	if record.claimed {
		// A holder gave the task back without a start, so the claim still permits one.
		machine.startClaimed(record, now)
		return
	}
	if !record.entry.Repeatable() {
		record.phase = phaseClaiming
		machine.tell(record, "claim_requested", almondcross.CodeNone, "", now)
		machine.do(Claim{Message: almondcross.NewClaimKey(almondcross.ClaimKeyConfig{
			Key: key, Entry: record.entry.Name(), Request: record.request,
		})})
		return
	}
	if !record.ran && !record.searched && !machine.view.Settled(key, record.request.IssuedAt()) {
		// Members may have joined since the request arrived: a pong moves the time of the last join.
		machine.startLookups(record, now)
		return
	}
	until := machine.view.HeldBackUntil(key, record.request.IssuedAt())
	if now.Before(until) {
		machine.hold(record, until, almondcross.CodeHeldBack, now)
		return
	}
	machine.place(record, now)
}

// certainlyNotRun reports whether neither this member nor any other one can have started the key.
// A claim proves it; otherwise the key must be younger than what this member and its peers remember,
// and issued after the last loss, since nobody knows what a lost member started.
func (machine *Machine) certainlyNotRun(record *record, now time.Time) bool {
	if record.ran || record.doubtful {
		return false
	}
	if record.claimed {
		return true
	}
	issuedAt := record.request.IssuedAt()
	if issuedAt.IsZero() || now.Sub(issuedAt) > outcomeRetention-almondcross.CallerClockSkew {
		return false
	}
	known := issuedAt.Add(-almondcross.CallerClockSkew)
	if !known.After(machine.view.LostWall()) || !known.After(machine.forgotten) {
		return false
	}
	return record.searched || machine.view.Settled(record.request.Key(), issuedAt)
}

// notRun returns not_run where that is certain, otherwise failed for a key that ran without an answer,
// otherwise unknown.
func (machine *Machine) notRun(record *record, code almondcross.Code, now time.Time) almondcross.Outcome {
	key := record.request.Key()
	switch {
	case machine.certainlyNotRun(record, now):
		return outcomeOf(key, almondcross.StatusNotRun, code)
	case record.ran:
		return outcomeOf(key, almondcross.StatusFailed, code)
	default:
		return undecided(key, code)
	}
}

func (machine *Machine) hold(record *record, until time.Time, code almondcross.Code, now time.Time) {
	if record.phase != phaseHeld {
		machine.tell(record, "held", code, "", now)
		machine.do(Account{Event: almondcross.NewAccountEvent(almondcross.AccountEventConfig{
			Entry: record.entry.Name(), Owner: record.entry.Owner(), Code: code, Count: 1, At: now,
		})})
	}
	record.phase = phaseHeld
	if !record.deadline.IsZero() && record.deadline.Before(until) {
		until = record.deadline
	}
	machine.wakeKey(record.request.Key(), until)
}

// moveOn routes the callers of a key that this member no longer coordinates and has not started.
func (machine *Machine) moveOn(record *record, now time.Time) {
	machine.drop(record)
	for _, waiter := range record.waiters {
		machine.submitAgain(record.request, waiter, now)
	}
}

func (machine *Machine) submitAgain(request almondcross.Request, waiter waiter, now time.Time) {
	left := waiter.deadline.Sub(now)
	if left <= 0 {
		outcome := outcomeOf(request.Key(), almondcross.StatusUnknown, almondcross.CodeTimeout)
		machine.reply(waiter.replier, outcome.WithRetryAfter(time.Second))
		return
	}
	machine.submit(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Request: request.WithTimeout(left), Replier: waiter.replier,
	}), now)
}

// place hands the tasks of a new attempt to the placer.
func (machine *Machine) place(record *record, now time.Time) {
	record.attempt = nextAttempt(record.attempt, now)
	record.phase = phasePlaced
	machine.tell(record, "placed", almondcross.CodeNone, "", now)
	size := 1
	if record.entry.Class() == almondcross.ClassGang && record.entry.Tasks() > 1 {
		size = record.entry.Tasks()
	}
	record.tasks = make([]taskState, size)
	for index := range record.tasks {
		record.tasks[index].task = machine.buildTask(record, index, size, now)
		machine.do(Place{Message: almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: record.tasks[index].task})})
	}
}

// nextAttempt numbers an attempt by the time of its placement in milliseconds, so that a coordinator
// that knows nothing of earlier attempts does not repeat a number and take their reports for its own.
func nextAttempt(last int, now time.Time) int { return max(last+1, int(now.UnixMilli())) }

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
		ExpectedRun: entry.ExpectedRun(),
		Timeout:     timeout,
		Avoid:       record.avoid,
	})
}

// drop forgets a record.
func (machine *Machine) drop(record *record) { delete(machine.keys, record.request.Key()) }

// finish tells every waiting caller the outcome and keeps it for callers that ask again.
func (machine *Machine) finish(record *record, outcome almondcross.Outcome, now time.Time) {
	outcome = outcome.WithHost(machine.self().Name())
	machine.tell(record, string(outcome.Status()), outcome.Code(), outcome.Target(), now)
	for _, waiter := range record.waiters {
		machine.reply(waiter.replier, outcome)
	}
	record.waiters = nil
	if record.claimed {
		machine.do(Claim{Message: almondcross.NewSettleKey(almondcross.SettleKeyConfig{Outcome: outcome})})
	}
	if outcome.Status() == almondcross.StatusNotRun || outcome.Status() == almondcross.StatusUnknown {
		machine.accountRefusal(record, outcome, now)
	}
	unsettled := outcome.Status() == almondcross.StatusNotRun || outcome.Status() == almondcross.StatusUnknown
	if unsettled && !record.claimed {
		// The caller may submit the key again: this member started nothing of it.
		machine.drop(record)
		return
	}
	record.phase = phaseEnded
	record.outcome, record.endedAt, record.tasks = outcome, now, nil
	machine.ended = append(machine.ended, record.request.Key())
}

func (machine *Machine) accountRefusal(record *record, outcome almondcross.Outcome, now time.Time) {
	machine.do(Account{Event: almondcross.NewAccountEvent(almondcross.AccountEventConfig{
		Entry: record.request.Entry(), Owner: record.entry.Owner(), Code: outcome.Code(), Count: 1, At: now,
	})})
}

// expireOutcomes forgets outcomes that are old or too many.
func (machine *Machine) expireOutcomes(now time.Time) {
	count := 0
	for _, key := range machine.ended {
		record, ok := machine.keys[key]
		if ok && record.phase == phaseEnded && now.Sub(record.endedAt) < outcomeRetention &&
			len(machine.ended)-count <= retainedOutcomes {
			break
		}
		if ok && record.phase == phaseEnded {
			if now.Sub(record.endedAt) < outcomeRetention {
				machine.forgotten = record.endedAt.Round(0)
			}
			delete(machine.keys, key)
		}
		count++
	}
	machine.ended = machine.ended[count:]
}
