package scheduler

import (
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
}

// strength returns how well this host could schedule: its own, less its distance from the store, since every
// start waits for an append.
func (machine *Machine) strength() int {
	if machine.stopping {
		return 0
	}
	return max(0, machine.config.Strength-int(min(machine.seeker.distance, longestDistance).Milliseconds()))
}

// seek looks for the scheduler. A host that finds it keeps only views, unless the scheduler wants it as a
// standby; a host that does not find it loads the state and may be elected.
func (machine *Machine) seek() {
	machine.role = roleSeeking
	machine.seeker.since, machine.seeker.pointer = time.Time{}, almondcross.SchedulerPointer{}
	machine.do(Lead{})
	machine.readPointer(0)
}

func (machine *Machine) readPointer(pause time.Duration) {
	machine.do(ReadPointer{Query: almondcross.NewPointerQuery(almondcross.PointerQueryConfig{Pause: pause})})
}

func (machine *Machine) pointerRead(read almondcross.PointerRead) {
	if read.Err() == nil && (machine.seeker.distance == 0 || read.Took() < machine.seeker.distance) {
		machine.seeker.distance = read.Took()
	}
	if machine.role != roleSeeking {
		return
	}
	pointer := read.Pointer()
	switch {
	case read.Err() != nil:
	case !read.Found(), pointer.Host() == machine.config.Host:
		// Nobody schedules: there is no pointer, or it leads to an earlier life of this host.
		machine.load(0)
		return
	case pointer != machine.seeker.pointer:
		machine.seeker.pointer = pointer
		machine.config.Log.Record("scheduler_found", almondcross.Text("host", pointer.Host()), almondcross.Number("epoch", pointer.Epoch()))
		machine.do(Lead{Host: pointer.Host(), Address: pointer.Address(), Strength: machine.strength()})
	}
	machine.readPointer(pointerPause)
}

// considerLoading gives up the search.
func (machine *Machine) considerLoading() {
	if machine.seeker.since.IsZero() {
		machine.seeker.since = machine.now
	}
	limit := seekLimit + time.Duration(fullStrength-min(machine.strength(), fullStrength))*seekDelay
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
