package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// leadership is one epoch of a scheduler as known to this host. A scheduler extends leases for leadershipTimeout after
// its last commit, but not after it has resigned or its host has linked to a later scheduler. A successor counts the leases of
// the workers that it does not reach from the end of the earlier leaderships.
type leadership struct {
	epoch         int64 // epoch is that of the scheduler, 0 for those before the snapshot from which this host loaded the state.
	host, address string
	endsBy        time.Time // endsBy is until when the scheduler may extend leases, on this host's clock.
}

// WithEndsBy returns a copy with another time by which the scheduler extends no more leases.
func (leadership leadership) WithEndsBy(endsBy time.Time) leadership {
	leadership.endsBy = endsBy
	return leadership
}

// longestLease returns how long after the end of a leadership a lease that it has extended may last.
func longestLease() time.Duration { return withClockDrift(leaseDuration) + lastOrderMargin }

// beginLeadership adds the leadership of the elected scheduler and removes those whose leases have expired.
func (state *state) beginLeadership() {
	state.leaderships = append(slices.DeleteFunc(state.leaderships, func(earlier leadership) bool {
		return earlier.endsBy.Add(longestLease()).Before(state.applyTime)
	}), leadership{
		epoch: state.schedulerEpoch, host: state.schedulerHost, address: state.schedulerAddress, endsBy: state.applyTime.Add(leadershipTimeout),
	})
}

// continueLeadership extends the leadership of a scheduler of which a batch is applied: it was sent no later than now.
func (state *state) continueLeadership(epoch int64) {
	if state.resigned && epoch == state.schedulerEpoch {
		return
	}
	known := slices.ContainsFunc(state.leaderships, func(leadership leadership) bool { return leadership.epoch == epoch })
	for index, leadership := range state.leaderships {
		if leadership.epoch == epoch || !known && state.electionsMissed && leadership.epoch == 0 {
			state.leaderships[index] = leadership.WithEndsBy(state.applyTime.Add(leadershipTimeout))
		}
	}
}

// resignLeadership notes the resignation of the scheduler and the time that it may still extend leases, which a scheduler of an
// earlier version does not record.
func (state *state) resignLeadership(remaining time.Duration) {
	if remaining > 0 {
		state.endLeaderships(state.applyTime.Add(remaining), func(leadership leadership) bool { return leadership.epoch == state.schedulerEpoch })
	}
}

// endLeaderships notes that the leaderships that match end no later than a time.
func (state *state) endLeaderships(by time.Time, match func(leadership leadership) bool) {
	for index, leadership := range state.leaderships {
		if match(leadership) && by.Before(leadership.endsBy) {
			state.leaderships[index] = leadership.WithEndsBy(by)
		}
	}
}

// restoreLeaderships sets the leaderships of a host that loads the state from a snapshot, or that continues without a part of
// the journal: schedulers that it does not know of may extend leases for leadershipTimeout as well.
func (state *state) restoreLeaderships(now time.Time) {
	endsBy := now.Add(leadershipTimeout)
	state.leaderships = []leadership{
		{endsBy: endsBy},
		{epoch: state.schedulerEpoch, host: state.schedulerHost, address: state.schedulerAddress, endsBy: endsBy},
	}
}

// earlierLeadershipsEnd returns until when schedulers before an epoch may extend leases, zero if all their leases have expired.
func (state *state) earlierLeadershipsEnd(epoch int64) time.Time {
	var end time.Time
	for _, leadership := range state.leaderships {
		if leadership.epoch < epoch && leadership.endsBy.After(end) {
			end = leadership.endsBy
		}
	}
	return end
}

// endLeadershipsOf notes that the process at a host's address leads no epoch before one. Any earlier process there has ended.
func (machine *Machine) endLeadershipsOf(host, address string, before int64) {
	machine.state.endLeaderships(machine.now, func(leadership leadership) bool {
		return leadership.epoch < before && leadership.host == host && leadership.address == address
	})
}

// checkEarlierLeaderships has the lease bounds recorded once all earlier leaderships have ended: a host that loads the state later
// cannot tell when a scheduler that did not resign ceased to extend leases.
func (machine *Machine) checkEarlierLeaderships() {
	leader := machine.leader
	if !leader.earlierEnded && !machine.state.earlierLeadershipsEnd(leader.epoch).After(machine.now) {
		leader.earlierEnded, leader.leaseBoundsDue = true, true
	}
}

// recordLeaseBounds records until when the schedulers before this one may extend leases, and the long leases of restarted
// workers, if that is due: after a snapshot, which contains neither, once the earlier leaderships have ended, and before the
// resignation.
func (machine *Machine) recordLeaseBounds() {
	if !machine.leader.leaseBoundsDue {
		return
	}
	machine.leader.leaseBoundsDue = false
	for _, worker := range slices.Sorted(maps.Keys(machine.state.longLeases)) {
		if remaining := machine.state.longLeases[worker].Sub(machine.now); remaining > 0 {
			machine.recordLongLease(worker, remaining)
		}
	}
	remaining := machine.state.earlierLeadershipsEnd(machine.leader.epoch).Sub(machine.now).Truncate(time.Millisecond) + time.Millisecond
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeLeadershipsEnded, LeaseRemaining: max(remaining, 0)})
}
