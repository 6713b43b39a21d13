package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// startLookups asks every peer of the data centre whether it knows a key that moved with a
// change of the members.
func (machine *Machine) startLookups(record *record, now time.Time) {
	record.phase = phaseLooking
	record.searched = false
	record.lookups = map[string]time.Time{}
	for name, peer := range machine.view.Peers() {
		if peer.Member().DataCentre() == machine.view.Self().DataCentre() {
			record.lookups[name] = time.Time{}
		}
	}
	machine.repeatLookups(record, now)
}

// repeatLookups sends the lookups that are due and goes on when none is left.
func (machine *Machine) repeatLookups(record *record, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(record.lookups)) {
		asked := record.lookups[name]
		peer, ok := machine.view.Peers()[name]
		if !ok {
			// A lost peer is covered by the hold-back.
			delete(record.lookups, name)
			continue
		}
		if now.Sub(asked) < lookupRepeat || !machine.view.HasLease(peer.Member().ID(), now) {
			// Before its first pong the peer may not have this host in its view, and could start the
			// key after it has answered that it does not know it.
			continue
		}
		record.lookups[name] = now
		correlation := machine.addForward(&forward{
			kind: forwardSearch, key: record.request.Key(), member: peer.Member().ID(), deadline: now.Add(lookupRepeat),
		})
		machine.do(Send{Member: name, Message: almondcross.NewPeerLookup(almondcross.PeerLookupConfig{
			Correlation: correlation, Key: record.request.Key(),
		})})
	}
	if len(record.lookups) == 0 {
		record.searched = true
		machine.advance(record, now)
		return
	}
	machine.wakeKey(record.request.Key(), now.Add(lookupRepeat))
}

// searched takes the answer of one peer.
func (machine *Machine) searched(entry *forward, outcome almondcross.Outcome, now time.Time) {
	record, ok := machine.keys[entry.key]
	if !ok || record.phase != phaseLooking {
		return
	}
	if !entry.deadline.Equal(record.lookups[entry.member.Name()].Add(lookupRepeat)) {
		// The answer to a lookup of before the last change of the members proves nothing.
		return
	}
	if outcome.Code() == almondcross.CodeNotHere {
		delete(record.lookups, entry.member.Name())
		machine.repeatLookups(record, now)
		return
	}
	if outcome.Status() == almondcross.StatusUnknown {
		// The peer searches for the key itself, or cannot tell; it is asked again.
		return
	}
	if record.standing {
		machine.elsewhere[entry.key] = now
	} else {
		machine.tell(record, "found_at_peer", almondcross.CodeNone, "", now)
	}
	waiters, request := record.waiters, record.request
	machine.drop(record)
	for _, waiter := range waiters {
		machine.forwardRequest(request, entry.member, waiter.replier, waiter.deadline, now)
	}
}

// changeView takes a new view: keys that were not started are searched again or routed to their new
// coordinator. A key that was started stays with this member until it ends.
func (machine *Machine) changeView(view almondcross.View, now time.Time) {
	rejoined := view.Self().ID() != machine.self()
	moved := rejoined || membersDiffer(machine.view, view)
	machine.view = view
	if rejoined {
		machine.surrender(now)
	}
	if !moved {
		return
	}
	clear(machine.elsewhere)
	for _, correlation := range slices.Sorted(maps.Keys(machine.forwards)) {
		entry := machine.forwards[correlation]
		if view.Contains(entry.member) {
			continue
		}
		if entry.kind == forwardSubmit {
			machine.reroute(correlation, now)
			continue
		}
		machine.expireForward(correlation, now)
	}
	for _, record := range machine.sorted(func(record *record) bool { return record.phase != phaseEnded }) {
		switch record.phase {
		case phaseLooking, phaseHeld:
			// Answers that were given before the change do not count: the key may have moved.
			machine.begin(record, now)
		case phasePlaced, phaseRunning:
			machine.watchHolders(record, now)
		}
	}
	machine.reconcileServices(now)
}

// membersDiffer reports whether two views would choose coordinators differently.
func membersDiffer(before, after almondcross.View) bool {
	if len(before.Peers()) != len(after.Peers()) || before.Self().Leaving() != after.Self().Leaving() {
		return true
	}
	for name, peer := range after.Peers() {
		old, ok := before.Peers()[name]
		if !ok || old.Member().ID() != peer.Member().ID() || old.Member().Leaving() != peer.Member().Leaving() {
			return true
		}
	}
	return false
}

// surrender gives up every key in progress after another member removed this one from its view:
// the keys may have new coordinators. Waiting callers are routed again, and holders report the
// running tasks to the current coordinators.
func (machine *Machine) surrender(now time.Time) {
	surrendered := machine.sorted(func(record *record) bool { return record.phase != phaseEnded })
	for _, record := range surrendered {
		machine.drop(record)
	}
	for _, record := range surrendered {
		for _, waiter := range record.waiters {
			machine.submitAgain(record.request, waiter, now)
		}
	}
}
