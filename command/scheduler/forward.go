package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// maxUnrecordedEnds bounds how many ends a former scheduler forwards. Their encoded form is far below the size of a frame
	// between hosts.
	maxUnrecordedEnds = 1000
	// unrecordedEndsRetention is how long a former scheduler forwards the ends: by then, a live worker has reported its ends again,
	// and the runs of a lost one have been presumed lost.
	unrecordedEndsRetention = 30 * time.Second
)

// unrecordedEnds holds the ends of runs that workers reported to this host while it was the scheduler and that may not be in
// the journal. If the worker is lost as well, only this host knows that the run has ended, and the task would run again.
type unrecordedEnds struct {
	ends   []almondcross.Change
	keptAt time.Time
}

// keepUnrecordedEnds keeps the outcomes in the changes that are not known to be in the journal, as this host ceases to be the
// scheduler. Other ends, such as those of runs presumed lost, are left to its successor.
func (machine *Machine) keepUnrecordedEnds() {
	kept := unrecordedEnds{keptAt: machine.now}
	keep := func(changes []almondcross.Change) {
		for _, change := range changes {
			if isReportedOutcome(change) && len(kept.ends) < maxUnrecordedEnds {
				kept.ends = append(kept.ends, change)
			}
		}
	}
	if inflight := machine.leader.inflight; inflight != nil {
		for _, batch := range inflight.commit.Batches() {
			keep(batch.Changes())
		}
	}
	keep(machine.leader.pendingChanges)
	machine.unrecordedEnds = kept
}

// isReportedOutcome reports whether a change records that a worker has reported a success or a failure.
func isReportedOutcome(change almondcross.Change) bool {
	return change.Kind() == almondcross.ChangeEnd && (change.End() == almondcross.EndDone || change.End() == almondcross.EndFailed)
}

// endsToForward returns the ends to forward to the scheduler.
func (machine *Machine) endsToForward() []almondcross.Change {
	if machine.now.Sub(machine.unrecordedEnds.keptAt) > unrecordedEndsRetention {
		machine.unrecordedEnds = unrecordedEnds{}
	}
	return machine.unrecordedEnds.ends
}

// recordForwardedEnds records the ends that a former scheduler has read and forwarded from its host. It skips those of runs that
// are not active on that worker.
func (machine *Machine) recordForwardedEnds(host string, ends []almondcross.Change) {
	recorded := 0
	for _, end := range ends {
		worker := machine.leader.workers[end.Worker()]
		if worker == nil || !isReportedOutcome(end) {
			continue
		}
		if assigned := worker.assignments[end.Task()]; assigned != nil && assigned.run == end.Run() && assigned.phase != phaseCommitting {
			machine.endRun(worker, assigned, end.End(), end.Checkpoint())
			recorded++
		}
	}
	if len(ends) > 0 {
		machine.config.Log.Record("ends_forwarded", almondcross.Text("host", host), almondcross.Number("ends", len(ends)), almondcross.Number("recorded", recorded))
	}
}
