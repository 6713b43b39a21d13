package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// lostAt returns when everything on a silent worker has ended for lack of a lease. A worker that still renews
// its announcement is alive, and what it has finished will be known once it can be reached again, so that it
// is waited for somewhat longer.
func (machine *Machine) lostAt(worker *worker) time.Time {
	lapsed := machine.lapsedAt(worker)
	if worker.listed && machine.now.Sub(worker.heardAt) < announcementLimit {
		return lapsed.Add(cutPatience)
	}
	return lapsed
}

// lapsedAt returns when the lease of a silent worker has certainly ended.
func (machine *Machine) lapsedAt(worker *worker) time.Time {
	if silence, noted := machine.state.silent[worker.id]; noted {
		return silence.lapsed
	}
	if worker.clockAt.IsZero() {
		// An earlier scheduler may have extended the lease until it noticed that it had been replaced.
		return machine.leader.since.Add(leadershipLimit + stretch(leaseLength) + lossMargin)
	}
	return worker.clockAt.Add(stretch(max(worker.maxUntil-worker.clock, leaseLength)) + lossMargin)
}

// stretch returns how long a span on the slowest worker clock lasts.
func stretch(span time.Duration) time.Duration {
	return time.Duration(float64(span) / (1 - clockSlack))
}

// noteSilence puts it into the journal that a worker with runs does not answer, once its lease is no longer
// extended, so that a successor knows when the lease ends.
func (machine *Machine) noteSilence(worker *worker) {
	heardAt := worker.clockAt
	if heardAt.IsZero() {
		heardAt = machine.leader.since
	}
	if _, noted := machine.state.silent[worker.id]; noted || len(worker.assigned) == 0 || machine.now.Sub(heardAt) <= extendLimit {
		return
	}
	lapse := max(machine.lapsedAt(worker).Sub(machine.now).Truncate(time.Millisecond)+time.Millisecond, 0)
	worker.unextended = true
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeSilent, Worker: worker.id, Lapse: lapse})
	machine.config.Log.Record("worker_silent", almondcross.Text("worker", worker.id), almondcross.Millis("age_ms", machine.now.Sub(heardAt)),
		almondcross.Millis("lapse_ms", lapse), almondcross.Number("runs", len(worker.assigned)))
}

// endSilence allows the lease of a worker to be extended again once the journal tells that it has been heard.
func (machine *Machine) endSilence(worker *worker) {
	if _, noted := machine.state.silent[worker.id]; !noted {
		return
	}
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeHeard, Worker: worker.id})
	machine.afterCommit(func() {
		_, worker.unextended = machine.state.silent[worker.id]
	})
}
