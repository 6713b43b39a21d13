package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing and limits of the relays of views, as the scheduler sees them.
const (
	// viewRelayInterval is the time between two checks of the relays without a change of the linked hosts.
	viewRelayInterval = time.Second
	// viewRelayPause is the minimum time between two checks. One takes about a millisecond with 300 hosts, which link at one moment.
	viewRelayPause = 20 * time.Millisecond
	// viewRelayBackoff is how long a relay that a host missed views from is not named to this host again, and how long a host
	// that several hosts missed views from is no relay.
	viewRelayBackoff = 10 * time.Second
	// missedReportPeriod is the time within which two hosts must miss views from a relay for it to be replaced. One host may miss them
	// by a fault of its own.
	missedReportPeriod = 2 * time.Second
	// maxMissedRelays is the number of relays that a host may miss views from before the scheduler sends it the views itself. A third
	// one would take it beyond the age at which views are answered.
	maxMissedRelays = 2
	// maxViewMoves is the number of hosts that get another relay in one check although theirs works.
	maxViewMoves = 8
	// viewRelayEndFraction is the fraction of the threshold below which relays are given up again. Hosts that come and go near the
	// threshold do not change the way of the views each time.
	viewRelayEndFraction = 0.75
	// viewRelayHold is how long the first scheduler of an epoch in a large cell waits for hosts to link before it chooses relays. The first
	// hosts may be weak, and would get all views from it.
	viewRelayHold = 200 * time.Millisecond
	// viewRelayGrace is how long a new scheduler of a large cell uses relays whatever the number of linked hosts. Hosts take up to
	// 3 s to find it.
	viewRelayGrace = 5 * time.Second
	// peersInterval is the time between two messages with the addresses of the hosts to all hosts of a cell with relays. Beyond maxPeers
	// hosts, each host that links anew would cause one.
	peersInterval = 5 * time.Second
	// maxViewBytes is the size in bytes of the identities of jobs in one message with all views, half of the largest frame.
	maxViewBytes = 512 << 10
	// viewIDOverhead is the size in bytes of an identity in such a message without its characters.
	viewIDOverhead = 3
)

// viewRoute is how a linked host gets views.
type viewRoute struct {
	format      int                  // format is the ViewFormat of the host.
	dataCentre  string               // dataCentre is that of the host.
	relaying    bool                 // relaying is set if the host relays views.
	relay       string               // relay is the host that it gets views from, empty for the scheduler.
	missed      map[string]time.Time // missed holds when it last missed views from a relay.
	directUntil time.Time            // directUntil is until when it gets no relay.
	reporter    string               // reporter is the host that last missed views from this one.
	reportedAt  time.Time            // reportedAt is when that was.
	unfitUntil  time.Time            // unfitUntil is until when the host is no relay.
}

// viewRelays is what the scheduler knows of the relays of views in its epoch.
type viewRelays struct {
	active      bool
	number      int64     // number is that of the last push of views. The first one is 2, so that 0 and 1 stand for no push.
	heldUntil   time.Time // heldUntil is when the first relays are chosen.
	due         bool      // due is set when the routes of some hosts have to be chosen.
	arrangedAt  time.Time // arrangedAt is when that was last done.
	peersDue    bool      // peersDue is set if some hosts have not got the latest addresses.
	peersSentAt time.Time // peersSentAt is when all hosts last got them.
}

// runViewRelays arranges the relays when that is due.
func (machine *Machine) runViewRelays() {
	relays := &machine.leader.viewRelays
	pause := viewRelayInterval
	if relays.due {
		pause = viewRelayPause
	}
	if machine.config.ViewRelays == nil || !relays.due && !relays.active || machine.now.Sub(relays.arrangedAt) < pause || machine.now.Before(relays.heldUntil) {
		return
	}
	relays.due, relays.arrangedAt = false, machine.now
	linked := len(machine.linkedHosts) - 1 // This host is one of them.
	switch {
	case linked > machine.config.ViewRelayThreshold && !relays.active:
		relays.active = true
		machine.config.Log.Record("view_relays_begun", almondcross.Number("hosts", linked))
		machine.tellStandbys()
	case relays.active && machine.now.Sub(machine.leader.electedAt) > viewRelayGrace && float64(linked) < viewRelayEndFraction*float64(machine.config.ViewRelayThreshold):
		machine.endViewRelays()
	}
	if relays.active {
		machine.chooseViewRelays()
		machine.routeViews()
		machine.balanceViewers()
		machine.sendDuePeers()
	}
}

// newViewRelays returns what a new scheduler knows of the relays. In a cell that had some before, the hosts that link first do not get
// all views from it either.
func (machine *Machine) newViewRelays() viewRelays {
	relays := viewRelays{number: 1, due: true}
	if machine.largeCell && machine.config.ViewRelays != nil {
		relays.active, relays.heldUntil = true, machine.now.Add(viewRelayHold)
		machine.config.Log.Record("view_relays_begun", almondcross.Number("hosts", len(machine.linkedHosts)-1))
	}
	return relays
}

// tellStandbys tells the standbys whether the cell has relays.
func (machine *Machine) tellStandbys() {
	for _, host := range machine.sortedLinkedHosts() {
		if host.standby {
			machine.assignViews(host, 0)
		}
	}
}

// sortedLinkedHosts returns the linked hosts without this one, sorted by name.
func (machine *Machine) sortedLinkedHosts() []*linkedHost {
	hosts := make([]*linkedHost, 0, len(machine.linkedHosts))
	for _, name := range slices.Sorted(maps.Keys(machine.linkedHosts)) {
		if name != machine.config.Host {
			hosts = append(hosts, machine.linkedHosts[name])
		}
	}
	return hosts
}

func (linkedhost *linkedHost) relayHost() almondcross.RelayHost {
	return almondcross.NewRelayHost(almondcross.RelayHostConfig{
		Name: linkedhost.name, DataCentre: linkedhost.views.dataCentre, Strength: linkedhost.strength,
	})
}

// chooseViewRelays makes the chosen hosts relays and the others none.
func (machine *Machine) chooseViewRelays() {
	var candidates []almondcross.RelayHost
	var current []string
	for _, host := range machine.sortedLinkedHosts() {
		if host.standby || host.views.format != almondcross.ViewFormat || host.address == "" || machine.now.Before(host.views.unfitUntil) {
			continue
		}
		candidates = append(candidates, host.relayHost())
		if host.views.relaying {
			current = append(current, host.name)
		}
	}
	chosen := machine.config.ViewRelays.Relays(candidates, current)
	for _, host := range machine.sortedLinkedHosts() {
		switch relays := slices.Contains(chosen, host.name); {
		case host.views.relaying && !relays:
			machine.endRelaying(host)
		case relays && !host.views.relaying:
			machine.beginRelaying(host)
		}
	}
}

// beginRelaying makes a host a relay. It gets views from the scheduler, all of them first unless it got the earlier ones from it.
func (machine *Machine) beginRelaying(host *linkedHost) {
	if host.views.relay != "" {
		host.views.relay, host.awaitingViews = "", true
	}
	host.views.relaying, host.views.reporter = true, ""
	machine.config.Log.Record("view_relay_begun", almondcross.Text("relay", host.name), almondcross.Text("data_centre", host.views.dataCentre))
	machine.assignViews(host, machine.lastPushTo(host))
	machine.awaitReset(host)
}

// endRelaying takes its role from a relay, which goes on to get views from the scheduler.
func (machine *Machine) endRelaying(host *linkedHost) {
	host.views.relaying = false
	machine.config.Log.Record("view_relay_ended", almondcross.Text("relay", host.name))
	machine.releaseViewers(host.name)
	machine.assignViews(host, machine.lastPushTo(host))
}

// releaseViewers makes the hosts that get views from a relay wait for another way.
func (machine *Machine) releaseViewers(relay string) {
	for _, host := range machine.linkedHosts {
		if host.views.relay == relay {
			host.views.relay, host.awaitingViews = "", true
		}
	}
	machine.leader.viewRelays.due = true
}

// assignViews tells a host its present route, and the number of the last push that it has got over the link, 0 for none that is
// known. Hosts of the version before have no other route than the link.
func (machine *Machine) assignViews(host *linkedHost, number int64) {
	if host.views.format == 0 {
		return
	}
	relays := &machine.leader.viewRelays
	config := almondcross.ViewsAssignedConfig{
		Epoch: machine.leader.epoch, Large: relays.active, Relaying: host.views.relaying, Relay: host.views.relay, Number: number,
	}
	if relay := machine.linkedHosts[host.views.relay]; relay != nil {
		config.Address = relay.address
	}
	// What the host may have seen of the journal by itself is in the next push at the latest.
	config.Least = relays.number + 1
	machine.emit(AssignViews{Host: host.name, Assigned: almondcross.NewViewsAssigned(config)})
}

// lastPushTo returns the number of the last push that a host has got over the link, 0 if it awaits all views.
func (machine *Machine) lastPushTo(host *linkedHost) int64 {
	if host.awaitingViews {
		return 0
	}
	return machine.leader.viewRelays.number
}

// awaitReset makes a host that awaits all views get them from the scheduler after the next append.
func (machine *Machine) awaitReset(host *linkedHost) {
	leader := machine.leader
	if !host.awaitingViews || slices.Contains(leader.pendingResets, host) ||
		leader.inflight != nil && slices.Contains(leader.inflight.resetHosts, host) {
		return
	}
	leader.pendingResets = append(leader.pendingResets, host)
}

// viewRelayLoads returns the relays with the numbers of their viewers, sorted by name.
func (machine *Machine) viewRelayLoads() []almondcross.ViewRelay {
	viewers := map[string]int{}
	for _, host := range machine.linkedHosts {
		viewers[host.views.relay]++
	}
	var loads []almondcross.ViewRelay
	for _, host := range machine.sortedLinkedHosts() {
		if host.views.relaying {
			loads = append(loads, almondcross.NewViewRelay(almondcross.ViewRelayConfig{
				Host: host.relayHost(), Viewers: viewers[host.name], Ready: !host.awaitingViews,
			}))
		}
	}
	return loads
}

// addViewer changes the number of viewers of a relay.
func addViewer(loads []almondcross.ViewRelay, relay string, change int) {
	for index, load := range loads {
		if load.Host().Name() == relay {
			loads[index] = load.WithViewers(load.Viewers() + change)
		}
	}
}

// routeViews chooses the relays of the hosts that have none. A host without a relay for it gets views from the scheduler.
func (machine *Machine) routeViews() {
	loads := machine.viewRelayLoads()
	for _, host := range machine.sortedLinkedHosts() {
		if host.standby || host.views.relaying || host.views.relay != "" {
			continue
		}
		relay, found := machine.chooseViewRelay(host, loads)
		if !found {
			if host.awaitingViews && !slices.Contains(machine.leader.pendingResets, host) {
				machine.assignViews(host, 0)
			}
			machine.awaitReset(host)
			continue
		}
		host.views.relay = relay
		addViewer(loads, relay, 1)
		machine.assignViews(host, machine.lastPushTo(host))
		host.awaitingViews = false
		machine.leader.pendingResets = slices.DeleteFunc(machine.leader.pendingResets, func(other *linkedHost) bool { return other == host })
	}
}

// chooseViewRelay returns the relay for a host, and false if the scheduler sends it the views.
func (machine *Machine) chooseViewRelay(host *linkedHost, loads []almondcross.ViewRelay) (string, bool) {
	if host.views.format == 0 || machine.now.Before(host.views.directUntil) {
		return "", false
	}
	if len(host.views.missed) > 0 {
		loads = slices.DeleteFunc(slices.Clone(loads), func(load almondcross.ViewRelay) bool {
			at, missed := host.views.missed[load.Host().Name()]
			return missed && machine.now.Sub(at) < viewRelayBackoff
		})
	}
	return machine.config.ViewRelays.Assign(host.relayHost(), loads)
}

// balanceViewers gives some hosts another relay: one in their data centre, or one with fewer viewers.
func (machine *Machine) balanceViewers() {
	loads, moves := machine.viewRelayLoads(), 0
	for _, host := range machine.sortedLinkedHosts() {
		if host.views.relay == "" || moves == maxViewMoves {
			continue
		}
		better, found := machine.chooseViewRelay(host, loads)
		if !found || better == host.views.relay || !machine.improves(host, better, loads) {
			continue
		}
		addViewer(loads, host.views.relay, -1)
		addViewer(loads, better, 1)
		host.views.relay = better
		machine.assignViews(host, 0)
		moves++
	}
}

// improves reports whether a ready relay is worth a new link of a host.
func (machine *Machine) improves(host *linkedHost, better string, loads []almondcross.ViewRelay) bool {
	viewers := func(name string) int {
		index := slices.IndexFunc(loads, func(load almondcross.ViewRelay) bool { return load.Host().Name() == name })
		if index < 0 {
			return 0
		}
		return loads[index].Viewers()
	}
	present, next := machine.linkedHosts[host.views.relay], machine.linkedHosts[better]
	if present == nil || next.awaitingViews || next.views.reporter != "" && machine.now.Sub(next.views.reportedAt) < viewRelayBackoff {
		return false
	}
	near := func(relay *linkedHost) bool { return relay.views.dataCentre == host.views.dataCentre }
	return near(next) && !near(present) || near(next) == near(present) && viewers(host.views.relay)-viewers(better) > 1
}

// viewHostChanged handles a host that has linked or left, whose earlier link is given.
func (machine *Machine) viewHostChanged(previous *linkedHost) {
	if previous != nil && previous.views.relaying {
		machine.config.Log.Record("view_relay_ended", almondcross.Text("relay", previous.name))
		machine.releaseViewers(previous.name)
	}
	machine.leader.viewRelays.due = true
}

// viewsMissed gives a host that gets no views from its relay another way, and replaces a relay that several hosts get none from.
func (machine *Machine) viewsMissed(missed almondcross.ViewsMissed) {
	host := machine.linkedHosts[missed.Host()]
	if machine.leader == nil || host == nil || missed.Epoch() != machine.leader.epoch || missed.Relay() == "" || host.views.relay != missed.Relay() {
		return
	}
	machine.config.Log.Record("views_missed", almondcross.Text("by", host.name), almondcross.Text("relay", missed.Relay()),
		almondcross.Text("reason", missed.Reason()))
	if host.views.missed == nil {
		host.views.missed = map[string]time.Time{}
	}
	maps.DeleteFunc(host.views.missed, func(_ string, at time.Time) bool { return machine.now.Sub(at) >= viewRelayBackoff })
	host.views.missed[missed.Relay()] = machine.now
	if len(host.views.missed) >= maxMissedRelays {
		host.views.directUntil = machine.now.Add(viewRelayBackoff)
	}
	if relay := machine.linkedHosts[missed.Relay()]; relay != nil && relay.views.relaying {
		alone := !slices.ContainsFunc(machine.sortedLinkedHosts(), func(other *linkedHost) bool { return other != host && other.views.relay == relay.name })
		confirmed := relay.views.reporter != "" && relay.views.reporter != host.name && machine.now.Sub(relay.views.reportedAt) < missedReportPeriod
		if confirmed || alone {
			// Its own links may be at fault, so that it would get no views from another relay either.
			relay.views.unfitUntil = machine.now.Add(viewRelayBackoff)
			relay.views.directUntil = relay.views.unfitUntil
			machine.endRelaying(relay)
		}
		relay.views.reporter, relay.views.reportedAt = host.name, machine.now
	}
	host.views.relay, host.awaitingViews = "", true
	machine.leader.viewRelays.due = true
}

// leaveViewRelays makes a host that becomes a standby get views from the scheduler, and relay none.
func (machine *Machine) leaveViewRelays(host *linkedHost) {
	switch {
	case host.views.relaying:
		machine.endRelaying(host)
	case host.views.relay != "":
		host.views.relay, host.awaitingViews = "", true
		machine.assignViews(host, 0)
		machine.awaitReset(host)
	case machine.leader.viewRelays.active:
		machine.assignViews(host, 0)
		machine.awaitReset(host)
	}
}

// endViewRelays makes all hosts get views from the scheduler.
func (machine *Machine) endViewRelays() {
	machine.config.Log.Record("view_relays_ended", almondcross.Number("hosts", len(machine.linkedHosts)-1))
	machine.leader.viewRelays.active = false
	machine.tellStandbys()
	for _, host := range machine.sortedLinkedHosts() {
		switch {
		case host.views.relaying:
			machine.endRelaying(host)
		case host.views.relay != "":
			machine.leaveViewRelays(host)
		}
	}
	for _, host := range machine.sortedLinkedHosts() {
		if host.awaitingViews {
			machine.assignViews(host, 0)
		}
		machine.awaitReset(host)
	}
}

// provideViews makes a newly linked host get all views. In a cell with relays, its route is chosen next.
func (machine *Machine) provideViews(host *linkedHost) {
	host.awaitingViews = true
	if machine.leader.viewRelays.active && !host.standby && host.views.format > 0 {
		machine.leader.viewRelays.due = true
		return
	}
	machine.awaitReset(host)
}

// sendViews sends changed views to the hosts that get them from the scheduler, and the number of the push to the others.
func (machine *Machine) sendViews(hosts []string, pushed almondcross.ViewsPushed) {
	relays := &machine.leader.viewRelays
	relays.number++
	if !relays.active {
		machine.emit(PushViews{Hosts: hosts, Pushed: pushed})
		return
	}
	var direct, relayed []string
	for _, name := range hosts {
		if machine.linkedHosts[name].views.relay == "" {
			direct = append(direct, name)
		} else {
			relayed = append(relayed, name)
		}
	}
	machine.emit(PushViews{Hosts: direct, Pushed: pushed.WithEpoch(machine.leader.epoch).WithNumber(relays.number)})
	machine.emit(SendNumber{Hosts: relayed, Numbered: almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{
		Epoch: machine.leader.epoch, Number: relays.number, Complete: pushed.Complete(),
	})})
}

// sendAllViews sends all views to hosts, as of an append that has succeeded, in parts if they are large. Hosts of the version
// before know no parts.
func (machine *Machine) sendAllViews(hosts []*linkedHost, changes []almondcross.JobViewChange) {
	var whole, inParts []string
	for _, host := range hosts {
		if host.views.relay != "" {
			continue // It has got a relay since the append.
		}
		if machine.linkedHosts[host.name] != host {
			continue // It has left, or awaits all views over a new link.
		}
		host.awaitingViews = false
		if host.views.format == 0 {
			whole = append(whole, host.name)
		} else {
			inParts = append(inParts, host.name)
		}
	}
	pushed := almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: changes})
	parts := splitViews(pushed)
	if len(parts) == 1 {
		whole, inParts = append(whole, inParts...), nil
		slices.Sort(whole)
	}
	if relays := machine.leader.viewRelays; relays.active {
		pushed = pushed.WithEpoch(machine.leader.epoch).WithNumber(relays.number)
	}
	if len(whole) > 0 {
		machine.emit(PushViews{Hosts: whole, Pushed: pushed})
	}
	if len(inParts) > 0 {
		for _, part := range parts {
			machine.emit(PushViews{Hosts: inParts, Pushed: part.WithEpoch(pushed.Epoch()).WithNumber(pushed.Number())})
		}
	}
}

// splitViews divides all views into messages that fit in a frame.
func splitViews(all almondcross.ViewsPushed) []almondcross.ViewsPushed {
	var parts []almondcross.ViewsPushed
	changes, size := all.Changes(), 0
	for index := 0; index < len(changes); index++ {
		size += len(changes[index].ID()) + viewIDOverhead
		if size > maxViewBytes && index > 0 {
			parts = append(parts, all.WithChanges(changes[:index:index]).WithMore(true))
			changes, size, index = changes[index:], 0, -1
		}
	}
	return append(parts, all.WithChanges(changes))
}

// sendDuePeers sends all hosts the addresses of the others if there are new ones.
func (machine *Machine) sendDuePeers() {
	relays := &machine.leader.viewRelays
	if !relays.peersDue || machine.now.Sub(relays.peersSentAt) < peersInterval {
		return
	}
	relays.peersDue, relays.peersSentAt = false, machine.now
	var hosts []string
	for _, host := range machine.sortedLinkedHosts() {
		hosts = append(hosts, host.name)
	}
	machine.emitPeers(hosts)
}
