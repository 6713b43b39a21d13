package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// seeker is what a machine keeps while it looks for the scheduler, or is linked to it without following the
// journal.
type seeker struct {
	since    time.Time // since is when the search began, zero until the first Advance.
	pushed   time.Time // pushed is when views last came over the link.
	pointer  almondcross.SchedulerPointer
	distance time.Duration // distance is the shortest time that a read of the pointer took.
	answered bool          // answered tells that the store has answered since the search began.
	// viaPeer tells that this host found the scheduler through another one, since the store did not answer it.
	viaPeer bool
	asking  bool      // asking tells that a question for the scheduler is under way.
	askedAt time.Time // askedAt is when a host that is linked last asked which host schedules.
}

// strength returns how well this host could schedule: its own, less its distance from the store, since every
// start waits for an append.
func (machine *Machine) strength() int {
	if machine.stopping || machine.seeker.viaPeer {
		return 0
	}
	return max(0, machine.config.Strength-int(min(machine.seeker.distance, longestDistance).Milliseconds()))
}

// seek looks for the scheduler. A host that finds it keeps only views, unless the scheduler wants it as a
// standby; a host that does not find it loads the state and may be elected.
func (machine *Machine) seek() {
	machine.role = roleSeeking
	machine.seeker.since, machine.seeker.pointer, machine.seeker.answered = time.Time{}, almondcross.SchedulerPointer{}, false
	machine.do(Lead{})
	machine.readPointer(0)
}

// readPointer asks which host schedules, unless a question is under way.
func (machine *Machine) readPointer(pause time.Duration) {
	if machine.seeker.asking {
		return
	}
	machine.seeker.asking = true
	peers := slices.Clone(machine.peers)
	machine.config.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	machine.do(ReadPointer{Query: almondcross.NewPointerQuery(almondcross.PointerQueryConfig{
		Pause: pause, Peers: peers[:min(len(peers), askedPeers)],
	})})
}

func (machine *Machine) pointerRead(read almondcross.PointerRead) {
	machine.seeker.asking = false
	if read.Stored() && (machine.seeker.distance == 0 || read.Took() < machine.seeker.distance) {
		machine.seeker.distance = read.Took()
	}
	switch machine.role {
	case roleSeeking:
		machine.seekingRead(read)
	case roleFollower:
		if read.Found() && read.Pointer().Epoch() > machine.state.elected && read.Pointer().Host() != machine.config.Host {
			machine.role = roleSeeking
			machine.seeker.since, machine.seeker.answered = machine.now, false
			machine.seekingRead(read)
		}
	case roleLight:
		if read.Stored() && machine.seeker.viaPeer {
			// The scheduler learns by a new link that this host may be a standby again.
			machine.seeker.viaPeer = false
			machine.config.Log.Record("store_answers_again")
			machine.do(Lead{Pointer: machine.seeker.pointer, Strength: machine.strength()})
		}
	case roleLoading, roleCandidate, roleLeader:
	}
}

// seekingRead follows the pointer of a host that looks for the scheduler.
func (machine *Machine) seekingRead(read almondcross.PointerRead) {
	pointer := read.Pointer()
	machine.seeker.answered = machine.seeker.answered || read.Stored()
	switch {
	case read.Err() != nil:
	case read.Stored() && (!read.Found() || pointer.Host() == machine.config.Host):
		// Nobody schedules: there is no pointer, or it leads to an earlier life of this host.
		machine.load(0)
		return
	case read.Found() && pointer != machine.seeker.pointer && pointer.Epoch() >= machine.seeker.pointer.Epoch():
		machine.seeker.pointer, machine.seeker.viaPeer = pointer, !read.Stored()
		machine.config.Log.Record("scheduler_found", almondcross.Text("host", pointer.Host()), almondcross.Number("epoch", pointer.Epoch()),
			almondcross.Text("from_store", yesNo(read.Stored())))
		machine.do(Lead{Pointer: pointer, Strength: machine.strength()})
	}
	machine.readPointer(pointerPause)
}

// considerMoving lets a standby that neither the store nor the scheduler reaches ask other hosts which one schedules
// now.
func (machine *Machine) considerMoving() {
	if machine.follower.failing && machine.now.Sub(machine.follower.lastPush) > lightSilence && machine.now.Sub(machine.seeker.askedAt) > movePause {
		machine.seeker.askedAt = machine.now
		machine.readPointer(0)
	}
}

// peersKnown takes the addresses of other hosts that the scheduler knows.
func (machine *Machine) peersKnown(addresses []string) {
	machine.peers = slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == machine.config.Address })
}

// tellPeers tells a host that is newly linked where others accept links, and the others about it.
func (machine *Machine) tellPeers(added *adviser) {
	hosts := []string{added.name}
	if added.address != "" && !slices.Contains(machine.peers, added.address) {
		machine.peers = append(machine.peers, added.address)
		machine.peers = machine.peers[max(0, len(machine.peers)-keptPeers):]
		hosts = slices.DeleteFunc(slices.Sorted(maps.Keys(machine.advisers)), func(name string) bool { return name == machine.config.Host })
	}
	machine.do(TellPeers{Hosts: hosts, Peers: almondcross.NewPeersKnown(almondcross.PeersKnownConfig{
		Addresses: append(slices.Clone(machine.peers), machine.config.Address),
	})})
}

// considerLoading gives up the search.
func (machine *Machine) considerLoading() {
	if machine.seeker.since.IsZero() {
		machine.seeker.since = machine.now
	}
	limit := seekLimit
	if !machine.seeker.answered {
		limit = silentSeekLimit
	}
	limit += time.Duration(fullStrength-min(machine.strength(), fullStrength)) * seekDelay
	if machine.now.Sub(machine.seeker.since) > limit {
		machine.config.Log.Record("scheduler_not_found", almondcross.Millis("after_ms", machine.now.Sub(machine.seeker.since)))
		machine.load(0)
	}
}

// considerSeeking looks for the scheduler again when the link is silent.
func (machine *Machine) considerSeeking() {
	if silence := machine.now.Sub(machine.seeker.pushed); silence > lightSilence {
		machine.config.Log.Record("scheduler_silent", almondcross.Millis("silence_ms", silence))
		machine.seek()
		return
	}
	if machine.seeker.viaPeer && machine.now.Sub(machine.seeker.askedAt) > viaPeerPause {
		machine.seeker.askedAt = machine.now
		machine.readPointer(0)
	}
}

// assigned takes the scheduler's word on what this host keeps.
func (machine *Machine) assigned(assigned almondcross.Assigned) {
	machine.config.Log.Record("assigned", almondcross.Text("standby", yesNo(assigned.Standby())))
	switch {
	case assigned.Standby() && (machine.role == roleSeeking || machine.role == roleLight):
		machine.load(0)
	case !assigned.Standby() && (machine.role == roleSeeking || machine.role == roleFollower || machine.role == roleLoading):
		machine.role = roleLight
		machine.seeker.pushed = machine.now
		machine.state = newState(machine.config.Retain)
		machine.follower = follower{}
	}
}

func (machine *Machine) viewsPushed(pushed almondcross.ViewsPushed) {
	if machine.role != roleLight {
		return
	}
	machine.seeker.pushed = machine.now
	if pushed.Reset() {
		machine.config.Publisher.Reset()
	}
	machine.publish(pushed.Changes())
	machine.config.Publisher.Refreshed(machine.now, pushed.Complete())
}

// linked decides what a newly linked host keeps.
func (machine *Machine) linked(host *adviser) {
	host.standby = host.strength >= weakStrength && machine.standbys() < wantedStandbys
	machine.tellAssignment(host)
}

func (machine *Machine) standbys() int {
	count := 0
	for _, other := range machine.advisers {
		if other.standby {
			count++
		}
	}
	return count
}

func (machine *Machine) tellAssignment(host *adviser) {
	if machine.leader == nil || host.name == machine.config.Host {
		return
	}
	machine.do(Assign{Host: host.name, Assigned: almondcross.NewAssigned(almondcross.AssignedConfig{Standby: host.standby})})
	if host.standby {
		return
	}
	changes := make([]almondcross.JobViewChange, 0, len(machine.state.jobs))
	for id, job := range machine.state.jobs {
		changes = append(changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: id, Known: true, View: job.view()}))
	}
	host.resetting = true
	machine.leader.resets = append(machine.leader.resets, viewsReset{host: host, pushed: almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Reset: true, Changes: changes,
	})})
}

// viewsReset is a set of views for a host that keeps no state. It may tell of jobs that are not in the journal
// yet, whose submissions must not be acknowledged, so it is sent once the next append is answered.
type viewsReset struct {
	host   *adviser
	pushed almondcross.ViewsPushed
}

// sendResets sends views whose changes are in the journal.
func (machine *Machine) sendResets(resets []viewsReset) {
	for _, reset := range resets {
		reset.host.resetting = false
		machine.do(PushViews{Hosts: []string{reset.host.name}, Pushed: reset.pushed})
	}
}

// fillStandbys makes the strongest of the other hosts standbys in place of those that are gone.
func (machine *Machine) fillStandbys() {
	for machine.standbys() < wantedStandbys {
		var best *adviser
		for _, other := range machine.advisers {
			if other.name != machine.config.Host && !other.standby && other.strength > 0 &&
				(best == nil || other.strength > best.strength || other.strength == best.strength && other.name < best.name) {
				best = other
			}
		}
		if best == nil {
			return
		}
		best.standby = true
		machine.tellAssignment(best)
	}
}

// pushHosts returns the standbys and the other linked hosts.
func (machine *Machine) pushHosts() (standbys, lights []string) {
	for name, other := range machine.advisers {
		switch {
		case name == machine.config.Host:
		case other.resetting && !other.standby:
			// Later views would make the host believe that it knows all jobs.
		case other.standby:
			standbys = append(standbys, name)
		default:
			lights = append(lights, name)
		}
	}
	return standbys, lights
}

// outmatched reports whether a standby could schedule much better than this host.
func (machine *Machine) outmatched() bool {
	if machine.now.Sub(machine.leader.since) < handoverPause {
		return false
	}
	for name, other := range machine.advisers {
		if name != machine.config.Host && other.standby && other.strength >= machine.strength()+handoverGain {
			return true
		}
	}
	return false
}
