package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// gap holds what a host knows of a gap between the newest snapshot and the oldest record of the journal. It outlives reloads
// of the state.
type gap struct {
	since              time.Time // since is when this host met the gap, zero for none.
	schedulerContactAt time.Time // schedulerContactAt is when this host last received something from a scheduler or saw its batches.
}

// journalTrimmed loads the state again, since a newer snapshot may have been stored meanwhile.
func (machine *Machine) journalTrimmed(read almondcross.JournalRead) {
	machine.follower.trimmedReads++
	machine.config.Log.Record("journal_trimmed", almondcross.Number("from", read.From()), almondcross.Number("first", read.Next()))
	if machine.follower.trimmedReads < maxTrimmedReads {
		machine.loadState(storeRetryDelay)
		return
	}
	machine.journalGap(read)
}

// journalGap handles a newest snapshot that is older than the oldest record of the journal. A host that continues from that
// record would have a part of the state, and as the scheduler it would run finished jobs again and forget accepted ones. So it
// looks for the scheduler, which stores a snapshot when the last one is old, or for a newer snapshot. A host that has the state
// is elected within seconds. Only after stateLossTimeout without any scheduler is the state treated as lost.
func (machine *Machine) journalGap(read almondcross.JournalRead) {
	if machine.gap.since.IsZero() {
		machine.gap.since = machine.now
		machine.config.Log.Record("journal_gap", almondcross.Number("from", read.From()), almondcross.Number("first", read.Next()))
	}
	since := machine.gap.since
	if machine.gap.schedulerContactAt.After(since) {
		since = machine.gap.schedulerContactAt
	}
	if waited := machine.now.Sub(since); waited < stateLossTimeout {
		machine.discoverScheduler()
		return
	}
	machine.config.Log.Record("state_lost", almondcross.Number("from", read.From()), almondcross.Number("first", read.Next()),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Millis("after_ms", machine.now.Sub(machine.gap.since)))
	machine.state.restoreLeaderships(machine.now)
	machine.state.electionsMissed = true
	machine.follower.nextOffset, machine.follower.incomplete = read.Next(), true
	machine.readJournal(0)
}

// checkIncompleteState loads the state again if a host that has skipped a gap finds that a scheduler is at work: that one may
// have the whole state.
func (machine *Machine) checkIncompleteState() bool {
	if !machine.follower.incomplete || machine.follower.lastFreshBatchAt.IsZero() {
		return false
	}
	machine.gap.schedulerContactAt = machine.now
	machine.loadState(gapRetryDelay)
	return true
}

// gapPause returns the pause before the state is loaded: a host that has met a gap waits for a newer snapshot.
func (machine *Machine) gapPause(pause time.Duration) time.Duration {
	if machine.gap.since.IsZero() {
		return pause
	}
	return max(pause, gapRetryDelay)
}
