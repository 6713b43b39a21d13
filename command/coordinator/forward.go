package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

func (machine *Machine) nextCorrelation() uint64 {
	machine.sequence++
	return machine.sequence
}

func (machine *Machine) addForward(entry *forward) uint64 {
	correlation := machine.nextCorrelation()
	machine.forwards[correlation] = entry
	machine.schedule(timer{at: entry.deadline, kind: timerForward, forward: correlation})
	return correlation
}

// forwardRequest sends a request to the coordinator of its key.
func (machine *Machine) forwardRequest(
	request almondcross.Request, member almondcross.MemberID, replier almondcross.Replier, deadline, now time.Time,
) {
	correlation := machine.addForward(&forward{
		kind: forwardSubmit, key: request.Key(), request: request, member: member, replier: replier, deadline: deadline,
	})
	machine.do(Send{Member: member.Name(), Message: almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
		Correlation: correlation, Request: request.WithTimeout(deadline.Sub(now)),
	})})
}

// lookup answers what is known of a key, or asks the key's coordinator.
func (machine *Machine) lookup(message almondcross.LookupRequest, now time.Time) {
	key := machine.homeKey(message.Key())
	if record, ok := machine.keys[key]; ok {
		machine.reply(message.Replier(), machine.progress(record))
		return
	}
	coordinator, ok := machine.view.Coordinator(key)
	if !ok || message.Forwarded() || coordinator.ID() == machine.self() {
		code := almondcross.CodeNotHere
		if !ok {
			code = almondcross.CodeHomeUnreachable
		}
		machine.reply(message.Replier(), outcomeOf(key, almondcross.StatusUnknown, code))
		return
	}
	correlation := machine.addForward(&forward{
		kind: forwardLookup, key: key, member: coordinator.ID(), replier: message.Replier(),
		deadline: now.Add(almondcross.SilenceLimit),
	})
	machine.do(Send{Member: coordinator.ID().Name(), Message: almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
		Correlation: correlation, Key: key,
	})})
}

func (machine *Machine) homeKey(key almondcross.Key) almondcross.Key {
	if key.Origin() == "" {
		return key.WithOrigin(machine.view.Self().DataCentre())
	}
	return key
}

// cancel stops a key: it ends as not_run when nothing was started, otherwise its tasks are stopped.
func (machine *Machine) cancel(message almondcross.CancelRequest, now time.Time) {
	key := machine.homeKey(message.Key())
	record, ok := machine.keys[key]
	if !ok {
		machine.cancelUnknown(key, message, now)
		return
	}
	if record.phase == phaseEnded {
		machine.reply(message.Replier(), record.outcome)
		return
	}
	record.cancelled = true
	record.waiters = append(record.waiters, waiter{replier: message.Replier(), deadline: now.Add(defaultWait)})
	switch record.phase {
	case phaseLooking, phaseHeld:
		machine.finish(record, machine.notRun(record, almondcross.CodeCancelled, now), now)
	case phaseClaiming:
		machine.do(Claim{Message: almondcross.NewVoidKey(almondcross.VoidKeyConfig{Key: key, Code: almondcross.CodeCancelled})})
	case phasePlaced, phaseRunning:
		machine.stopTasks(record, almondcross.CodeCancelled)
	}
}

func (machine *Machine) cancelUnknown(key almondcross.Key, message almondcross.CancelRequest, now time.Time) {
	coordinator, ok := machine.view.Coordinator(key)
	if !ok || message.Forwarded() || coordinator.ID() == machine.self() {
		machine.reply(message.Replier(), outcomeOf(key, almondcross.StatusUnknown, almondcross.CodeNotHere))
		return
	}
	correlation := machine.addForward(&forward{
		kind: forwardCancel, key: key, member: coordinator.ID(), replier: message.Replier(), deadline: now.Add(defaultWait),
	})
	machine.do(Send{Member: coordinator.ID().Name(), Message: almondcross.NewPeerCancel(almondcross.PeerCancelConfig{
		Correlation: correlation, Key: key,
	})})
}

// stopTasks asks the placers that may have the tasks of a key to stop them.
func (machine *Machine) stopTasks(record *record, code almondcross.Code) {
	for _, task := range record.tasks {
		if task.ended {
			continue
		}
		stop := almondcross.NewStopTask(almondcross.StopTaskConfig{
			ID: task.task.ID(), Attempt: task.task.Attempt(), Code: code,
		})
		if task.started && task.holder.Name() != machine.self().Name() {
			machine.do(Send{Member: task.holder.Name(), Message: stop})
			continue
		}
		machine.do(Place{Message: stop})
	}
}

// receiveReply passes the reply of another member on.
func (machine *Machine) receiveReply(message almondcross.PeerReply, now time.Time) {
	entry, ok := machine.forwards[message.Correlation()]
	if !ok {
		return
	}
	outcome := message.Outcome()
	if outcome.Key() != entry.key {
		return
	}
	if entry.kind == forwardSearch {
		delete(machine.forwards, message.Correlation())
		machine.searched(entry, outcome, now)
		return
	}
	if entry.kind == forwardSubmit && outcome.Code() == almondcross.CodeNotHere {
		machine.schedule(timer{at: now.Add(rerouteDelay), kind: timerReroute, forward: message.Correlation()})
		return
	}
	delete(machine.forwards, message.Correlation())
	machine.do(Reply{Replier: entry.replier, Outcome: outcome})
}

// SendFailed tells the machine that a message was not queued for a member.
func (machine *Machine) SendFailed(message almondcross.PeerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.PeerSubmit:
		machine.schedule(timer{at: now.Add(rerouteDelay), kind: timerReroute, forward: message.Correlation()})
	case almondcross.PeerCancel:
		machine.expireForward(message.Correlation(), now)
	}
	return machine.take()
}

// reroute submits a forwarded request again, since its member did not take it or left the view.
func (machine *Machine) reroute(correlation uint64, now time.Time) {
	entry, ok := machine.forwards[correlation]
	if !ok {
		return
	}
	delete(machine.forwards, correlation)
	machine.submitAgain(entry.request, waiter{replier: entry.replier, deadline: entry.deadline}, now)
}

// expireForward answers a caller whose forwarded message had no reply in time.
func (machine *Machine) expireForward(correlation uint64, now time.Time) {
	entry, ok := machine.forwards[correlation]
	if !ok {
		return
	}
	if entry.kind == forwardSearch {
		// The record repeats the lookup itself.
		delete(machine.forwards, correlation)
		return
	}
	if entry.kind == forwardSubmit && now.Before(entry.deadline) {
		return
	}
	delete(machine.forwards, correlation)
	outcome := outcomeOf(entry.key, almondcross.StatusUnknown, almondcross.CodeTimeout)
	machine.reply(entry.replier, outcome.WithRetryAfter(time.Second))
}
