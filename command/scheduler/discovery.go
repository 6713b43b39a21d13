package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// discovery holds what a host needs to find the scheduler and, as a viewer, to watch its link to it.
type discovery struct {
	startedAt     time.Time // startedAt is when the search began, zero until the first Advance.
	lastViewsAt   time.Time // lastViewsAt is when views last arrived over the link.
	pointer       almondcross.SchedulerPointer
	storeLatency  time.Duration // storeLatency is the shortest duration of a read of the pointer from the store.
	storeAnswered bool          // storeAnswered is set if the store has answered since the search began.
	// viaPeer is set if this host found the scheduler through another host because it could not reach the
	// store.
	viaPeer     bool
	readPending bool // readPending is set while a read of the pointer is pending.
	// viewsReceived is set once all views have arrived over the present link. Changes alone would leave out what changed
	// before it.
	viewsReceived bool
	rank          int       // rank is the place of this standby in the order of the candidacies, from 1, or 0 if it has none.
	lastQueryAt   time.Time // lastQueryAt is when a linked host or a standby last queried the pointer.
}

// strength returns the scheduling strength of this host: the configured one minus its latency to the store,
// since every start waits for an append.
func (machine *Machine) strength() int {
	if machine.stopping || machine.discovery.viaPeer || machine.schedulerUnreadable() {
		return 0
	}
	return max(0, machine.config.Strength-int(min(machine.discovery.storeLatency, maxLatencyPenalty).Milliseconds()))
}

// discoverScheduler starts to look for the scheduler. A host that finds it keeps only views, unless the
// scheduler makes it a standby; a host that does not find it loads the state and may be elected.
func (machine *Machine) discoverScheduler() {
	machine.role = roleDiscovering
	machine.discovery.startedAt, machine.discovery.pointer, machine.discovery.storeAnswered = time.Time{}, almondcross.SchedulerPointer{}, false
	machine.discovery.viewsReceived, machine.discovery.rank, machine.follower.pushedEnd = false, 0, 0
	machine.leaveViewSource()
	machine.emit(AnnounceScheduler{})
	machine.readPointer(machine.spread(pointerReadInterval))
}

// readPointer queries the current scheduler from the store and some other hosts, unless a read is pending.
func (machine *Machine) readPointer(pause time.Duration) {
	if machine.discovery.readPending {
		return
	}
	machine.discovery.readPending = true
	peers := slices.Clone(machine.peers)
	machine.config.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	machine.emit(ReadPointer{Query: almondcross.NewPointerQuery(almondcross.PointerQueryConfig{
		Pause: pause, Peers: peers[:min(len(peers), maxQueriedPeers)],
	})})
}

func (machine *Machine) pointerRead(read almondcross.PointerRead) {
	machine.discovery.readPending = false
	if read.Stored() && (machine.discovery.storeLatency == 0 || read.Took() < machine.discovery.storeLatency) {
		machine.discovery.storeLatency = read.Took()
	}
	switch machine.role {
	case roleDiscovering:
		machine.discoveryRead(read)
	case roleFollower:
		// While it loads the state, a standby is linked to a scheduler whose election it has not read yet.
		known := max(machine.state.schedulerEpoch, machine.discovery.pointer.Epoch())
		if read.Found() && read.Pointer().Epoch() > known && read.Pointer().Host() != machine.config.Host {
			machine.role = roleDiscovering
			machine.discovery.startedAt, machine.discovery.storeAnswered, machine.discovery.viewsReceived = machine.now, false, false
			machine.discoveryRead(read)
		}
	case roleViewer:
		if read.Stored() && machine.discovery.viaPeer {
			// The new AnnounceScheduler effect makes the link report that this host can be a standby again.
			machine.discovery.viaPeer = false
			machine.config.Log.Record("store_answers_again")
			machine.emit(AnnounceScheduler{Pointer: machine.discovery.pointer, Strength: machine.strength(), Ends: machine.endsToForward()})
		}
	case roleLoading, roleCandidate, roleLeader:
	}
}

// discoveryRead handles the result of a pointer read during discovery.
func (machine *Machine) discoveryRead(read almondcross.PointerRead) {
	pointer := read.Pointer()
	machine.discovery.storeAnswered = machine.discovery.storeAnswered || read.Stored()
	switch {
	case read.Err() != nil:
	case read.Stored() && (!read.Found() || pointer.Host() == machine.config.Host):
		// No host schedules: there is no pointer, or it names this host, which no longer schedules.
		if machine.mayLoadState() {
			machine.loadState(0)
			return
		}
	case read.Found() && pointer != machine.discovery.pointer && pointer.Epoch() >= machine.discovery.pointer.Epoch():
		machine.discovery.pointer, machine.discovery.viaPeer = pointer, !read.Stored()
		machine.config.Log.Record("scheduler_found", almondcross.Text("host", pointer.Host()), almondcross.Number("epoch", pointer.Epoch()),
			almondcross.Text("from_store", yesNo(read.Stored())))
		machine.emit(AnnounceScheduler{Pointer: pointer, Strength: machine.strength(), Ends: machine.endsToForward()})
	}
	machine.readPointer(pointerReadInterval + machine.spread(pointerReadInterval))
}

// checkStandbyContact makes a standby that hears from neither the store nor the scheduler query other hosts
// for the current scheduler.
func (machine *Machine) checkStandbyContact() {
	if machine.follower.readFailing && machine.now.Sub(machine.follower.lastPushAt) > linkTimeout && machine.now.Sub(machine.discovery.lastQueryAt) > standbyQueryInterval {
		machine.discovery.lastQueryAt = machine.now
		machine.readPointer(0)
	}
}

// peersKnown stores the addresses of other hosts sent by the scheduler.
func (machine *Machine) peersKnown(addresses []string) {
	machine.peers = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == machine.config.Address })
}

// sendPeers sends a newly linked host the addresses of the other hosts, and its address to them if it is new.
func (machine *Machine) sendPeers(added *linkedHost) {
	hosts := []string{added.name}
	if added.address != "" && !slices.Contains(machine.peers, added.address) {
		machine.peers = append(machine.peers, added.address)
		machine.peers = machine.peers[max(0, len(machine.peers)-maxPeers):]
		if machine.leader.viewRelays.active {
			machine.leader.viewRelays.peersDue = true
		} else {
			hosts = slices.DeleteFunc(slices.Sorted(maps.Keys(machine.linkedHosts)), func(name string) bool { return name == machine.config.Host })
		}
	}
	machine.emitPeers(hosts)
}

// emitPeers sends hosts the addresses of the others.
func (machine *Machine) emitPeers(hosts []string) {
	machine.emit(SendPeers{Hosts: hosts, Peers: almondcross.NewPeersKnown(almondcross.PeersKnownConfig{
		Addresses: append(slices.Clone(machine.peers), machine.config.Address),
	})})
}

// checkDiscoveryTimeout ends the search after a timeout and loads the state.
func (machine *Machine) checkDiscoveryTimeout() {
	if machine.discovery.startedAt.IsZero() {
		machine.discovery.startedAt = machine.now
	}
	limit := discoveryTimeout
	if !machine.discovery.storeAnswered {
		limit = discoveryTimeoutStoreDown
	}
	limit += time.Duration(fullStrength-min(machine.strength(), fullStrength)) * loadDelayPerPoint
	if machine.now.Sub(machine.discovery.startedAt) > limit && machine.mayLoadState() {
		machine.config.Log.Record("scheduler_not_found", almondcross.Millis("after_ms", machine.now.Sub(machine.discovery.startedAt)))
		machine.loadState(0)
	}
}

// checkSchedulerLink returns to discovery when the link to the scheduler is silent.
func (machine *Machine) checkSchedulerLink() {
	if silence := machine.now.Sub(machine.discovery.lastViewsAt); silence > linkTimeout {
		machine.config.Log.Record("scheduler_silent", almondcross.Millis("silence_ms", silence))
		machine.discoverScheduler()
		return
	}
	if machine.discovery.viaPeer && machine.now.Sub(machine.discovery.lastQueryAt) > viaPeerReadInterval {
		machine.discovery.lastQueryAt = machine.now
		machine.readPointer(0)
	}
}

// roleAssigned makes this host a standby or a viewer, as the scheduler has decided.
func (machine *Machine) roleAssigned(assigned almondcross.RoleAssigned) {
	machine.gap.schedulerContactAt = machine.now
	machine.discovery.rank = min(max(assigned.Rank(), 0), maxStandbys)
	machine.config.Log.Record("assigned", almondcross.Text("standby", yesNo(assigned.Standby())), almondcross.Number("rank", machine.discovery.rank))
	switch {
	case assigned.Standby() && (machine.role == roleDiscovering || machine.role == roleViewer):
		machine.leaveViewSource()
		machine.loadState(0)
	case !assigned.Standby() && (machine.role == roleDiscovering || machine.role == roleFollower || machine.role == roleLoading):
		machine.role = roleViewer
		machine.gap.since = time.Time{}
		machine.discovery.lastViewsAt, machine.discovery.viewsReceived = machine.now, false
		machine.resetState()
		machine.follower = follower{}
	}
}

// viewsPushed publishes views from the scheduler. A standby does so until its own state has caught up with the journal.
func (machine *Machine) viewsPushed(pushed almondcross.ViewsPushed) {
	loads := machine.role == roleLoading || machine.role == roleFollower && !machine.follower.published
	if machine.role != roleViewer && !loads {
		return
	}
	switch {
	case machine.source.relay != "":
		return // They were sent before this host has got a relay.
	case pushed.Reset():
		changes, whole := machine.source.collect(pushed)
		if !whole {
			machine.discovery.lastViewsAt = machine.now
			return
		}
		machine.discovery.viewsReceived = true
		machine.replaceViews(changes)
	case machine.discovery.viewsReceived:
		machine.publish(pushed.Changes())
	default:
		return
	}
	machine.discovery.lastViewsAt, machine.gap.schedulerContactAt = machine.now, machine.now
	machine.config.Publisher.Refreshed(machine.now, pushed.Complete())
	machine.passViewsOn(pushed)
}

// hostLinked decides whether a newly linked host is a standby. Either way it gets all views after the next append: a standby
// has to load the state first, unless it followed the journal before.
func (machine *Machine) hostLinked(host *linkedHost) {
	machine.limitStrength(host)
	if host.strength >= minStandbyStrength && machine.holdsState(host) && machine.standbyCount() < maxStandbys {
		machine.makeStandby(host)
	} else {
		machine.emit(AssignRole{Host: host.name, Assigned: almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{})})
	}
	// The views may include jobs that are not in the journal yet, whose submissions must not be acknowledged, so they
	// are sent only after the next append has succeeded.
	machine.provideViews(host)
}

func (machine *Machine) standbyCount() int {
	count := 0
	for _, other := range machine.linkedHosts {
		if other.standby {
			count++
		}
	}
	return count
}

// makeStandby makes a linked host a standby.
func (machine *Machine) makeStandby(host *linkedHost) {
	host.standby, host.viewsUntil = true, machine.now.Add(standbyLoadTime)
	machine.leaveViewRelays(host)
	machine.rankStandbys()
}

// rankStandbys tells the standbys in which order they stand for election, if it has changed: the strongest first, then by name.
func (machine *Machine) rankStandbys() {
	standbys := slices.SortedFunc(maps.Values(machine.linkedHosts), func(a, b *linkedHost) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(a.name, b.name))
	})
	standbys = slices.DeleteFunc(standbys, func(host *linkedHost) bool { return !host.standby })
	for index, host := range standbys {
		if rank := index + 1; host.rank != rank {
			host.rank = rank
			machine.emit(AssignRole{Host: host.name, Assigned: almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true, Rank: rank})})
		}
	}
}

// allViews returns the views of all jobs in no particular order, since a host replaces all its views by them in one step.
// Sorting the views of 21,000 jobs would take longer than collecting them.
func (machine *Machine) allViews() []almondcross.JobViewChange {
	changes := make([]almondcross.JobViewChange, 0, len(machine.state.jobs))
	for id, job := range machine.state.jobs {
		changes = append(changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: id, Known: true, View: job.view()}))
	}
	return changes
}

// sendResets sends all views, as of an append that has succeeded, to the hosts that wait for them.
func (machine *Machine) sendResets(inflight *inflightAppend) {
	if len(inflight.resetHosts) == 0 {
		return
	}
	machine.sendAllViews(inflight.resetHosts, inflight.resetViews)
}

// fillStandbys replaces standbys that have left by the strongest other hosts.
func (machine *Machine) fillStandbys() {
	for machine.standbyCount() < maxStandbys {
		var best *linkedHost
		for _, other := range machine.linkedHosts {
			machine.limitStrength(other)
			if other.name != machine.config.Host && !other.standby && other.strength > 0 && machine.holdsState(other) &&
				(best == nil || other.strength > best.strength || other.strength == best.strength && other.name < best.name) {
				best = other
			}
		}
		if best == nil {
			return
		}
		machine.makeStandby(best)
	}
}

// pushHosts returns the hosts that get batches and those that get views, sorted.
func (machine *Machine) pushHosts() (standbys, viewers []string) {
	for name, other := range machine.linkedHosts {
		if name == machine.config.Host {
			continue
		}
		if other.standby {
			standbys = append(standbys, name)
		}
		// Before its first views, a host would treat an incomplete set of jobs as complete.
		if !other.awaitingViews && (!other.standby || machine.now.Before(other.viewsUntil)) {
			viewers = append(viewers, name)
		}
	}
	slices.Sort(standbys)
	slices.Sort(viewers)
	return standbys, viewers
}

// strongerStandby reports whether a standby is enough stronger than this host to take over.
func (machine *Machine) strongerStandby() bool {
	if machine.now.Sub(machine.leader.electedAt) < handoverDelay {
		return false
	}
	for name, other := range machine.linkedHosts {
		if name != machine.config.Host && other.standby && other.strength >= machine.strength()+handoverStrengthGain {
			return true
		}
	}
	return false
}
