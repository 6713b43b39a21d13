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
	silence, recorded := machine.state.silentWorkers[worker.id]
	if worker.lastAnswerAt.IsZero() {
		expiredAt := later(machine.unheardLeaseExpiredAt(), machine.state.longLeases[worker.id])
		if recorded && silence.leaseExpiredAt.Before(expiredAt) {
			return silence.leaseExpiredAt
		}
		return expiredAt
	}
	if recorded {
		return silence.leaseExpiredAt
	}
	return worker.lastAnswerAt.Add(withClockDrift(max(worker.maxLeaseEnd-worker.clock, leaseDuration)) + lastOrderMargin)
}

// unheardLeaseExpiredAt returns when the leases of the workers have expired for certain that have not answered this scheduler.
// Only earlier schedulers have extended them.
func (machine *Machine) unheardLeaseExpiredAt() time.Time {
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

// addLongLease notes by when the lease of a worker has expired, and forgets those that have.
func (state *state) addLongLease(worker string, expiredAt time.Time) {
	maps.DeleteFunc(state.longLeases, func(_ string, expiredAt time.Time) bool { return expiredAt.Before(state.applyTime) })
	state.longLeases[worker] = expiredAt
}

// recordLongLease records that a restarted worker may hold the longest lease, which a successor that cannot reach it would not
// know.
func (machine *Machine) recordLongLease(worker string, remaining time.Duration) {
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeLongLease, Worker: worker, LeaseRemaining: remaining.Truncate(time.Millisecond) + time.Millisecond,
	})
}

// withClockDrift returns how long a duration on the slowest permitted worker clock lasts.
func withClockDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / (1 - maxClockDrift))
}

// recordSilence records in the journal that a worker with runs does not answer, once its lease is no longer
// extended. A successor then knows when the lease expires.
func (machine *Machine) recordSilence(worker *worker) {
	lastContact := worker.lastAnswerAt
	if lastContact.IsZero() {
		lastContact = machine.leader.electedAt
	}
	if _, recorded := machine.state.silentWorkers[worker.id]; recorded || len(worker.assignments) == 0 || machine.now.Sub(lastContact) <= maxExtensionAge {
		return
	}
	remaining := max(machine.leaseExpiredAt(worker).Sub(machine.now).Truncate(time.Millisecond)+time.Millisecond, 0)
	worker.extensionBlocked = true
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerSilent, Worker: worker.id, LeaseRemaining: remaining})
	machine.config.Log.Record("worker_silent", almondcross.Text("worker", worker.id), almondcross.Millis("age_ms", machine.now.Sub(lastContact)),
		almondcross.Millis("lapse_ms", remaining), almondcross.Number("runs", len(worker.assignments)))
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
