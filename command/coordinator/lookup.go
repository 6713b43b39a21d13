package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// startLookups looks the key up at every peer of the data centre. The key may have had another coordinator before a
// membership change.
func (machine *Machine) startLookups(record *record, now time.Time) {
	record.phase = phaseLookup
	record.unknownToPeers = false
	record.pendingLookups = map[string]time.Time{}
	for name, peer := range machine.view.Peers() {
		if peer.Member().DataCentre() == machine.view.Self().DataCentre() {
			record.pendingLookups[name] = time.Time{}
		}
	}
	machine.repeatLookups(record, now)
}

// repeatLookups sends the lookups that are due, and advances the key when none is pending.
func (machine *Machine) repeatLookups(record *record, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(record.pendingLookups)) {
		sentAt := record.pendingLookups[name]
		peer, ok := machine.view.Peers()[name]
		if !ok {
			// Keys that a lost peer may have started are delayed by the hold-back.
			delete(record.pendingLookups, name)
			continue
		}
		if now.Sub(sentAt) < lookupRetryInterval || !machine.view.HasLease(peer.Member().ID(), now) {
			// Before its first pong the peer may not have this host in its view, and could start the
			// key after it has replied that it does not know it.
			continue
		}
		record.pendingLookups[name] = now
		correlation := machine.addForward(&forward{
			kind: forwardPeerLookup, key: record.request.Key(), member: peer.Member().ID(), deadline: now.Add(lookupRetryInterval),
		})
		machine.emit(Send{Member: name, Message: almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
			Correlation: correlation, Key: record.request.Key(),
		})})
	}
	if len(record.pendingLookups) == 0 {
		record.unknownToPeers = true
		machine.advance(record, now)
		return
	}
	machine.scheduleKey(record.request.Key(), now.Add(lookupRetryInterval))
}

// receiveLookupReply processes the reply of one peer to a lookup.
func (machine *Machine) receiveLookupReply(forward *forward, outcome almondcross.Outcome, now time.Time) {
	record, ok := machine.keys[forward.key]
	if !ok || record.phase != phaseLookup {
		return
	}
	if !forward.deadline.Equal(record.pendingLookups[forward.member.Name()].Add(lookupRetryInterval)) {
		// A reply to a lookup that was sent before the last membership change is not valid any more.
		return
	}
	if outcome.Code() == almondcross.CodeNotHere {
		delete(record.pendingLookups, forward.member.Name())
		machine.repeatLookups(record, now)
		return
	}
	if outcome.Status() == almondcross.StatusUnknown && outcome.Code() != almondcross.CodeCancelled {
		// The peer is looking up the key itself, or does not know its state; the lookup is repeated.
		return
	}
	if record.service {
		machine.foundElsewhere[forward.key] = now
	} else {
		machine.recordDecision(record, "found_at_peer", almondcross.CodeNone, "", now)
	}
	waiters, request := record.waiters, record.request
	machine.dropRecord(record)
	for _, waiter := range waiters {
		machine.forwardWaiter(request, forward.member, waiter, now)
	}
}

// applyView sets a new view. After a membership change keys that were not placed are looked up again or routed to
// their new coordinator; a key that was placed stays with this member until it ends.
func (machine *Machine) applyView(view almondcross.View, now time.Time) {
	rejoined := view.Self().ID() != machine.self()
	membersChanged := rejoined || membersDiffer(machine.view, view)
	machine.view = view
	if rejoined {
		machine.dropActiveKeys(now)
	}
	if !membersChanged {
		return
	}
	clear(machine.foundElsewhere)
	for _, correlation := range slices.Sorted(maps.Keys(machine.forwards)) {
		forward := machine.forwards[correlation]
		if view.Contains(forward.member) {
			continue
		}
		if forward.kind == forwardSubmit {
			machine.reroute(correlation, now)
			continue
		}
		machine.expireForward(correlation, now)
	}
	for _, record := range machine.sortedRecords(func(record *record) bool { return record.phase != phaseEnded }) {
		switch record.phase {
		case phaseLookup, phaseHeld:
			// Lookup replies from before the change are discarded, since the key may have moved.
			machine.begin(record, now)
		case phasePlaced, phaseRunning:
			machine.watchHolders(record, now)
		}
	}
	machine.reconcileServices(now)
}

// membersDiffer reports whether two views differ in members or their intention to leave, which determine the coordinators.
func membersDiffer(before, after almondcross.View) bool {
	if len(before.Peers()) != len(after.Peers()) || before.Self().Leaving() != after.Self().Leaving() {
		return true
	}
	for name, peer := range after.Peers() {
		earlier, ok := before.Peers()[name]
		if !ok || earlier.Member().ID() != peer.Member().ID() || earlier.Member().Leaving() != peer.Member().Leaving() {
			return true
		}
	}
	return false
}

// dropActiveKeys drops every key that has not ended after this host took a new incarnation, since the keys may
// have new coordinators. The requests of waiting callers are routed again, and holders report the
// running tasks to the current coordinators.
func (machine *Machine) dropActiveKeys(now time.Time) {
	dropped := machine.sortedRecords(func(record *record) bool { return record.phase != phaseEnded })
	for _, record := range dropped {
		machine.dropRecord(record)
	}
	for _, record := range dropped {
		machine.rerouteDropped(record, now)
	}
}
