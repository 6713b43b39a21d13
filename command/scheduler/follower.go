package scheduler

import (
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// follower holds what a machine needs to follow the journal.
type follower struct {
	nextOffset       int64     // nextOffset is the journal offset after the last applied batch.
	caughtUp         bool      // caughtUp is set when the last read reached the end of the journal.
	intakesCurrent   bool      // intakesCurrent is set if the scheduler had read every intake partition recently at the last batch.
	lastBatchAt      time.Time // lastBatchAt is when the last batch arrived.
	lastFreshBatchAt time.Time // lastFreshBatchAt is when the last batch not older than freshBatchAge arrived.
	lastReadAt       time.Time // lastReadAt is when the last read was answered.
	electionAt       time.Time // electionAt is the earliest time of the next election, zero if none is scheduled.
	lostElectionEnd  int64     // lostElectionEnd is the end of the journal that this host had read at its last lost election.
	ended            endedScheduler
	linkLost         bool      // linkLost is set while the link to the scheduler is lost.
	lastPushAt       time.Time // lastPushAt is when batches last arrived over the link.
	pushed           pushedBatch
	readDueAt        time.Time // readDueAt is when the next read is due while batches arrive over the link, zero if a read is pending.
	readFailing      bool      // readFailing is set if the last read failed.
	loadStartedAt    time.Time // loadStartedAt is when the current load of the state began.
	trimmedReads     int       // trimmedReads counts consecutive reads whose records had been deleted.
	incomplete       bool      // incomplete is set if the state lacks batches that were deleted.
	pushedEnd        int64     // pushedEnd is the highest end of the journal that the scheduler's pushes have shown.
	published        bool      // published is set once the published views are those of the state.
}

// loadState starts to load the state from the newest snapshot.
func (machine *Machine) loadState(pause time.Duration) {
	if machine.role != roleLoading {
		machine.follower.loadStartedAt = machine.now
	}
	machine.role = roleLoading
	machine.readSnapshot(machine.gapPause(pause))
}

func (machine *Machine) snapshotRead(read almondcross.SnapshotRead) {
	machine.reads.snapshot = false
	if machine.role != roleLoading {
		return
	}
	switch {
	case errors.Is(read.Err(), almondcross.ErrStateTooLarge):
		machine.giveUpLargeState(read.Err().Error())
		return
	case read.Err() != nil && machine.now.Sub(machine.follower.loadStartedAt) > loadTimeout:
		// Another host may know the scheduler.
		machine.config.Log.Record("state_not_loaded", almondcross.Text("reason", read.Err().Error()))
		machine.discoverScheduler()
		return
	case read.Err() != nil:
		machine.loadState(storeRetryDelay)
		return
	}
	machine.snapshotKeys = read.Keys()
	trimmed := machine.follower.trimmedReads
	machine.resetState()
	machine.follower = follower{trimmedReads: trimmed, pushedEnd: machine.follower.pushedEnd}
	if read.Found() {
		machine.state = restore(read.Snapshot(), machine.config.Retention, machine.now, machine.state.knownSilences)
		machine.follower.nextOffset = read.Snapshot().Next()
	}
	// The earlier views stay published, with their age, until the state has caught up with the journal.
	machine.role = roleFollower
	machine.config.Log.Record("state_loaded", almondcross.Number("next", machine.follower.nextOffset),
		almondcross.Number("jobs", len(machine.state.jobs)), almondcross.Number("epoch", machine.state.highestEpoch))
	machine.readJournal(0)
}

// resetState empties the state. What this host knows of silences is kept: the leases of these workers end no later
// because it loads the state again.
func (machine *Machine) resetState() {
	known := machine.state.knownSilences
	if known == nil {
		known = map[string]silence{}
	}
	maps.Copy(known, machine.state.silentWorkers)
	maps.DeleteFunc(known, func(_ string, silence silence) bool {
		return machine.now.Sub(silence.leaseExpiredAt) > machine.config.Retention // The journal no longer holds its record.
	})
	machine.state = newState(machine.config.Retention)
	machine.state.knownSilences = known
}

func (machine *Machine) journalRead(read almondcross.JournalRead) {
	machine.reads.journal = false
	if machine.role != roleFollower {
		// A candidate must not apply its own election before the append is answered; it reads again
		// afterwards.
		return
	}
	trimmed := errors.Is(read.Err(), almondcross.ErrStoreTrimmed)
	if read.From() > machine.follower.nextOffset || trimmed && read.From() < machine.follower.nextOffset {
		// The read was sent before this host reloaded the state, or before batches arrived over the link.
		machine.readJournal(0)
		return
	}
	if read.From() < machine.follower.nextOffset {
		read = skipApplied(read, machine.follower.nextOffset)
	}
	switch {
	case trimmed:
		machine.journalTrimmed(read)
		return
	case read.Err() != nil:
		if !machine.follower.readFailing {
			machine.config.Log.Record("journal_not_read", almondcross.Number("from", read.From()), almondcross.Text("reason", read.Err().Error()))
		}
		machine.follower.readFailing = true
		machine.readJournal(storeRetryDelay)
		return
	}
	machine.follower.trimmedReads = 0
	if machine.follower.readFailing {
		// The scheduler may have been unable to write while this host was unable to read,
		// so it gets the full electionTimeout again.
		machine.follower.readFailing, machine.follower.lastBatchAt, machine.follower.electionAt = false, machine.now, time.Time{}
		machine.follower.pushed = pushedBatch{}
	}
	machine.applyBatches(read, machine.now, machine.reads.journalSentAt)
	if machine.role != roleFollower {
		return
	}
	pause := journalReadInterval
	switch {
	case !machine.follower.caughtUp:
		pause = 0
	case machine.schedulerEnded():
		pause = endedReadInterval
	case machine.now.Sub(machine.follower.lastPushAt) < freshPushAge:
		machine.follower.readDueAt = machine.now.Add(pushedReadInterval)
		return
	}
	machine.readJournal(pause)
}

// readDueJournal reads the journal once its next read is due, or at once if pushes have stopped: the last scheduler may have
// appended batches that it did not push, and its silence counts from when they are read.
func (machine *Machine) readDueJournal() {
	due := machine.follower.readDueAt
	if due.IsZero() || machine.now.Before(due) && machine.now.Sub(machine.follower.lastPushAt) < freshPushAge {
		return
	}
	machine.follower.readDueAt = time.Time{}
	machine.readJournal(0)
}

// skipApplied drops the batches that arrived over the link while the read was pending.
func skipApplied(read almondcross.JournalRead, next int64) almondcross.JournalRead {
	applied := min(next-read.From(), int64(len(read.Batches())))
	return read.WithFrom(next).WithNext(max(next, read.Next())).WithBatches(read.Batches()[applied:])
}

// journalPushed applies batches that arrived over the link. The store is still read, though less often, since
// only a read distinguishes a silent scheduler from a broken link.
func (machine *Machine) journalPushed(pushed almondcross.JournalPushed) {
	next := pushed.From() + int64(len(pushed.Batches()))
	machine.follower.pushedEnd = max(machine.follower.pushedEnd, next)
	if machine.role != roleFollower || pushed.From() > machine.follower.nextOffset {
		return
	}
	if next <= machine.follower.nextOffset {
		return
	}
	machine.follower.lastPushAt, machine.follower.linkLost, machine.follower.pushed = machine.now, false, pushedBatch{}
	machine.applyBatches(almondcross.NewJournalRead(almondcross.JournalReadConfig{
		From: machine.follower.nextOffset, Next: next, End: next, Batches: pushed.Batches()[machine.follower.nextOffset-pushed.From():],
	}), machine.follower.lastReadAt, machine.pushedAsOf(pushed))
	machine.follower.pushed = pushedBatch{epoch: machine.state.schedulerEpoch, at: machine.state.batchTime, arrivedAt: machine.now}
}

// pushedAsOf returns the time as of which pushed batches reach the end of the journal, zero if that is unknown. A push may
// have waited while this host was paused.
func (machine *Machine) pushedAsOf(pushed almondcross.JournalPushed) time.Time {
	batches := pushed.Batches()
	if len(batches) == 0 || machine.now.Sub(batches[len(batches)-1].At()) >= freshBatchAge {
		return time.Time{}
	}
	return machine.now
}

// applyBatches applies batches. readAt is when the store was last read, and asOf a time as of which the batches reach the
// end that they name, zero if none is known.
func (machine *Machine) applyBatches(read almondcross.JournalRead, readAt, asOf time.Time) {
	applied := 0
	for _, batch := range read.Batches() {
		if !batch.Readable() {
			continue
		}
		applied++
		machine.state.applyBatch(machine.asRead(batch), machine.now)
		machine.follower.intakesCurrent = batch.Current()
		if machine.now.Sub(batch.At()) < freshBatchAge {
			machine.follower.lastFreshBatchAt = machine.now
		}
	}
	machine.follower.nextOffset = read.Next()
	catchingUp := !machine.follower.caughtUp
	if applied > 0 {
		machine.follower.electionAt = time.Time{} // The scheduler is alive; the next silence gets its own delay.
	}
	// Views that arrived over the link may already include pushed batches that the store does not return yet.
	machine.follower.caughtUp = read.Next() >= read.End() && read.Next() >= machine.follower.pushedEnd
	machine.follower.lastReadAt = readAt
	if applied > 0 || machine.follower.lastBatchAt.IsZero() {
		machine.follower.lastBatchAt = machine.appendedAt()
	}
	if catchingUp && machine.follower.caughtUp && machine.now.Sub(machine.state.batchTime) > leadershipTimeout {
		// No host has scheduled for so long that there is no scheduler to wait for.
		machine.follower.lastBatchAt = machine.now.Add(-electionTimeout)
	}
	if catchingUp && machine.follower.caughtUp && machine.state.schedulerHost == machine.config.Host && !machine.state.resigned {
		// The last scheduler was this host, which no longer schedules. It stands for election at once,
		// because the other hosts still wait for it to be silent. If it resigned, they know that, and a stronger
		// host should be elected first.
		machine.follower.lastBatchAt, machine.follower.electionAt = machine.now.Add(-electionTimeout), machine.now
	}
	if machine.checkIncompleteState() {
		return
	}
	machine.checkFormat()
	machine.publishState(asOf)
	if machine.follower.caughtUp {
		machine.gap.since = time.Time{}
		machine.announceScheduler()
	}
}

// pushedBatch is the last batch that arrived over the link. From the time between it and a later batch of the same scheduler, on
// that scheduler's clock, follows when the later one would have arrived.
type pushedBatch struct {
	epoch     int64
	at        time.Time // at is the time of the batch, on the scheduler's clock.
	arrivedAt time.Time
}

// appendedAt returns when the last batch counts as written. A batch that is read some time after the pushes have stopped would have
// arrived earlier, and the scheduler has been silent since then.
func (machine *Machine) appendedAt() time.Time {
	pushed := machine.follower.pushed
	if pushed.epoch == 0 || pushed.epoch != machine.state.schedulerEpoch || machine.state.highestEpoch != pushed.epoch {
		return machine.now
	}
	expected := pushed.arrivedAt.Add(machine.state.batchTime.Sub(pushed.at))
	if expected.After(machine.now) {
		return machine.now
	}
	return expected
}

// publishState publishes the views of the state, from when it first caught up with the journal. asOf is the time as of which
// it has caught up, zero if that is unknown.
func (machine *Machine) publishState(asOf time.Time) {
	follower := &machine.follower
	changes := machine.takeViewChanges()
	switch {
	case !machine.readsFormat():
		return
	case follower.published:
		machine.publish(changes)
	case follower.caughtUp:
		follower.published = true
		machine.replaceViews(machine.allViews())
	default:
		return
	}
	if follower.caughtUp && !asOf.IsZero() {
		alive := machine.now.Sub(follower.lastFreshBatchAt) < electionTimeout
		machine.config.Publisher.Refreshed(asOf, follower.intakesCurrent && alive)
	}
}

// announceScheduler emits an AnnounceScheduler effect when the scheduler has changed.
func (machine *Machine) announceScheduler() {
	host, address := machine.Leader()
	pointer := almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: machine.state.schedulerEpoch, Host: host, Address: address})
	if pointer == machine.discovery.pointer || host == machine.config.Host && machine.role != roleLeader {
		return
	}
	machine.discovery.pointer = pointer
	machine.config.Log.Record("scheduler_known", almondcross.Text("host", host), almondcross.Number("epoch", pointer.Epoch()))
	machine.emit(AnnounceScheduler{Pointer: pointer, Own: machine.role == roleLeader, Strength: machine.strength(), Ends: machine.endsToForward()})
}
