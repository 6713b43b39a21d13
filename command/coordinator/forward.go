package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

func (machine *Machine) nextCorrelation() uint64 {
	machine.lastCorrelation++
	return machine.lastCorrelation
}

func (machine *Machine) addForward(forward *forward) uint64 {
	correlation := machine.nextCorrelation()
	machine.forwards[correlation] = forward
	machine.schedule(timer{at: forward.deadline, kind: timerForward, forward: correlation})
	return correlation
}

// forwardWaiter sends the request or the cancellation of a waiting caller to the member that has the key.
func (machine *Machine) forwardWaiter(request almondcross.Request, member almondcross.MemberID, waiter waiter, now time.Time) {
	if waiter.cancels {
		machine.forwardCancellation(request.Key(), member, waiter)
		return
	}
	machine.forwardRequest(request, member, waiter.replier, waiter.deadline, now)
}

// forwardRequest sends a request to the coordinator of its key.
func (machine *Machine) forwardRequest(
	request almondcross.Request, member almondcross.MemberID, replier almondcross.Replier, deadline, now time.Time,
) {
	correlation := machine.addForward(&forward{
		kind: forwardSubmit, key: request.Key(), request: request, member: member, replier: replier, deadline: deadline,
	})
	machine.emit(Send{Member: member.Name(), Message: almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
		Correlation: correlation, Request: request.WithTimeout(deadline.Sub(now)),
	})})
}

// lookup replies with the state of a key, or forwards the lookup to the key's coordinator.
func (machine *Machine) lookup(message almondcross.LookupRequest, now time.Time) {
	key := machine.keyWithOrigin(message.Key())
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
		machine.reply(message.Replier(), newOutcome(key, almondcross.StatusUnknown, code))
		return
	}
	correlation := machine.addForward(&forward{
		kind: forwardLookup, key: key, member: coordinator.ID(), replier: message.Replier(),
		deadline: now.Add(almondcross.SilenceLimit),
	})
	machine.emit(Send{Member: coordinator.ID().Name(), Message: almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
		Correlation: correlation, Key: key,
	})})
}

func (machine *Machine) keyWithOrigin(key almondcross.Key) almondcross.Key {
	if key.Origin() == "" {
		return key.WithOrigin(machine.view.Self().DataCentre())
	}
	return key
}

// receiveReply passes the reply of another member to the waiting caller, or to the lookup that it belongs to.
func (machine *Machine) receiveReply(message almondcross.PeerReply, now time.Time) {
	forward, ok := machine.forwards[message.Correlation()]
	if !ok {
		return
	}
	outcome := message.Outcome()
	if outcome.Key() != forward.key {
		return
	}
	if forward.kind == forwardPeerLookup {
		delete(machine.forwards, message.Correlation())
		machine.receiveLookupReply(forward, outcome, now)
		return
	}
	if forward.kind == forwardSubmit && outcome.Code() == almondcross.CodeNotHere {
		machine.schedule(timer{at: now.Add(rerouteDelay), kind: timerReroute, forward: message.Correlation()})
		return
	}
	delete(machine.forwards, message.Correlation())
	machine.emit(Reply{Replier: forward.replier, Outcome: outcome})
}

// SendFailed reports to the machine that a message could not be queued for a member.
func (machine *Machine) SendFailed(message almondcross.PeerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.PeerSubmit:
		machine.schedule(timer{at: now.Add(rerouteDelay), kind: timerReroute, forward: message.Correlation()})
	case almondcross.PeerCancel:
		machine.expireForward(message.Correlation(), now)
	}
	return machine.takeEffects()
}

// reroute submits a forwarded request again after its member refused it or left the view.
func (machine *Machine) reroute(correlation uint64, now time.Time) {
	forward, ok := machine.forwards[correlation]
	if !ok {
		return
	}
	delete(machine.forwards, correlation)
	machine.resubmit(forward.request, waiter{replier: forward.replier, deadline: forward.deadline}, now)
}

// expireForward ends a forwarded message that was not answered in time, whose member left the view, or that could not be
// sent. Its caller gets a timeout; a lookup by the coordinator itself has no caller.
func (machine *Machine) expireForward(correlation uint64, now time.Time) {
	forward, ok := machine.forwards[correlation]
	if !ok {
		return
	}
	if forward.kind == forwardPeerLookup {
		// repeatLookups sends the lookup again.
		delete(machine.forwards, correlation)
		return
	}
	if forward.kind == forwardSubmit && now.Before(forward.deadline) {
		return
	}
	delete(machine.forwards, correlation)
	outcome := newOutcome(forward.key, almondcross.StatusUnknown, almondcross.CodeTimeout)
	machine.reply(forward.replier, outcome.WithRetryAfter(time.Second))
}
