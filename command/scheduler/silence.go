package scheduler

import (
	"maps"
	"time"

	"github.com/almondcross/almondcross"
)

// presumedLostAt returns when the runs of an unreachable worker are presumed lost. A worker that still renews
// its announcement is alive and reports its finished runs once it is reachable again, so it gets an additional
// grace period.
func (machine *Machine) presumedLostAt(worker *worker) time.Time {
	expiredAt := machine.leaseExpiredAt(worker)
	if worker.announced && machine.now.Sub(worker.announcedAt) < maxAnnouncementAge {
		return expiredAt.Add(unreachableWorkerGrace)
	}
	return expiredAt
}

// leaseExpiredAt returns when the lease of an unreachable worker has expired for certain.
func (machine *Machine) leaseExpiredAt(worker *worker) time.Time {
	if worker.lastAnswerAt.IsZero() {
		return machine.earlierLeaseExpiredAt(worker)
	}
	if silence, recorded := machine.state.silentWorkers[worker.id]; recorded {
		return silence.leaseExpiredAt
	}
	expiredAt := worker.lastAnswerAt.Add(withClockDrift(max(worker.maxLeaseEnd-worker.clock, leaseDuration)) + lastOrderMargin)
	// An earlier scheduler may have known of a longer lease than this one has given.
	expiredAt = later(expiredAt, machine.state.longLeases[worker.id])
	if worker.hasUnboundStarts() {
		return later(expiredAt, worker.extendedAt.Add(withClockDrift(machine.config.MaxLease)+lastOrderMargin))
	}
	return expiredAt
}

// earlierLeaseExpiredAt returns when the lease of a worker has expired for certain that this scheduler has not extended since the worker
// is in its tables. It removes a worker only once the lease that it has extended before has expired, see hasLeft.
func (machine *Machine) earlierLeaseExpiredAt(worker *worker) time.Time {
	expiredAt := later(machine.earlierLeasesExpiredAt(), machine.state.longLeases[worker.id])
	if silence, recorded := machine.state.silentWorkers[worker.id]; recorded && silence.leaseExpiredAt.Before(expiredAt) {
		return silence.leaseExpiredAt
	}
	return expiredAt
}

// hasUnboundStarts reports whether a run may have been started by an incarnation that has not reported yet. The end of a lease is a
// time on the clock of the known one, which may be far ahead of the clock of the next, so that the run has the longest lease that
// workers grant.
func (worker *worker) hasUnboundStarts() bool {
	for _, assignment := range worker.assignments {
		if assignment.phase != phaseCommitting && assignment.unboundStarts > 0 {
			return true
		}
	}
	return false
}

// awaitsStarts reports whether a start order will be answered soon. The answer tells whether the run may have the longest lease.
func (worker *worker) awaitsStarts(now time.Time) bool {
	for _, assignment := range worker.assignments {
		if assignment.phase == phaseSent && now.Sub(assignment.startSentAt) < maxStartAnswerAge {
			return true
		}
	}
	return false
}

// settleStarts notes that the worker has reported the run. Its incarnation has executed the start order, or one of two. The other one
// counts as delivered if it was sent more than lastOrderMargin before the report was requested.
func (assignment *assignment) settleStarts(requested time.Time) {
	if !assignment.startRepeated || requested.Sub(assignment.startSentAt) > lastOrderMargin {
		assignment.unboundStarts = 0
	}
}

// earlierLeasesExpiredAt returns when the leases have expired for certain that only earlier schedulers have extended.
func (machine *Machine) earlierLeasesExpiredAt() time.Time {
	expiredAt := machine.state.earlierLeadershipsEnd(machine.leader.epoch).Add(longestLease())
	return later(expiredAt, machine.leader.electedAt.Add(firstContactTimeout))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// addLongLease notes by when the long lease of a worker has expired, and removes the long leases that have expired.
func (state *state) addLongLease(worker string, expiredAt time.Time) {
	maps.DeleteFunc(state.longLeases, func(_ string, expiredAt time.Time) bool { return expiredAt.Before(state.applyTime) })
	state.longLeases[worker] = expiredAt
}

// recordLongLease records by when the lease of a restarted worker has expired, which may be the longest that workers grant. A
// successor that cannot reach the worker would otherwise presume its runs lost too early.
func (machine *Machine) recordLongLease(worker string, remaining time.Duration) {
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeLongLease, Worker: worker, LeaseRemaining: remaining.Truncate(time.Millisecond) + time.Millisecond,
	})
}

// recordUnboundStart records that a run may have the longest lease, at most once a second for each worker.
func (machine *Machine) recordUnboundStart(worker *worker) {
	remaining := worker.extendedAt.Add(withClockDrift(machine.config.MaxLease) + lastOrderMargin).Sub(machine.now)
	if machine.state.longLeases[worker.id].Before(machine.now.Add(remaining)) {
		machine.recordLongLease(worker.id, remaining+unboundStartInterval)
	}
}

// withClockDrift returns how long a duration on the slowest permitted worker clock lasts.
func withClockDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - maxClockDrift))
}

// recordSilence records in the journal that a worker with runs does not answer, once its lease is no longer
// extended. A successor then knows when the lease expires.
func (machine *Machine) recordSilence(worker *worker) {
	lastContact := machine.lastContact(worker)
	if _, recorded := machine.state.silentWorkers[worker.id]; recorded || len(worker.assignments) == 0 || machine.now.Sub(lastContact) <= maxExtensionAge {
		return
	}
	if worker.awaitsStarts(machine.now) {
		return
	}
	remaining := max(machine.leaseExpiredAt(worker).Sub(machine.now).Truncate(time.Millisecond)+time.Millisecond, 0)
	worker.extensionBlocked = true
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerSilent, Worker: worker.id, LeaseRemaining: remaining})
	machine.config.Log.Record("worker_silent", almondcross.Text("worker", worker.id), almondcross.Millis("age_ms", machine.now.Sub(lastContact)),
		almondcross.Millis("lapse_ms", remaining), almondcross.Number("runs", len(worker.assignments)))
}

// lastContact returns when the worker last answered this scheduler, or the election if it never did.
func (machine *Machine) lastContact(worker *worker) time.Time {
	return later(worker.lastAnswerAt, machine.leader.electedAt)
}

// endSilence records that a silent worker answers again or is removed. Its lease may be extended once the
// journal holds that record.
func (machine *Machine) endSilence(worker *worker) {
	if _, recorded := machine.state.silentWorkers[worker.id]; !recorded {
		return
	}
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerRegained, Worker: worker.id})
	machine.afterCommit(func() {
		_, worker.extensionBlocked = machine.state.silentWorkers[worker.id]
	})
}
