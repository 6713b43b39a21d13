package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// commitCallback is a function to run once the first changes of the pending ones are in the journal.
type commitCallback struct {
	changes int // changes is the number of pending changes when the callback was added.
	run     func()
}

// inflightAppend is a pending append to the journal.
type inflightAppend struct {
	commit         almondcross.JournalCommit
	sentAt         time.Time // sentAt is when the append was first sent. It may have been stored then, and its repeats get the same answer.
	callbacks      []commitCallback
	resetHosts     []*linkedHost // resetHosts holds the hosts that get resetViews, all views.
	resetViews     []almondcross.JobViewChange
	views          []almondcross.JobViewChange
	intakesCurrent bool // intakesCurrent is set if every intake partition had been read recently and the append has all their jobs.
	snapshot       *almondcross.StateSnapshot
}

// recordChange applies a change and adds it to the next append.
func (machine *Machine) recordChange(config almondcross.ChangeConfig) {
	machine.beginBatch()
	// While the store does not answer, the pending batch may have begun long ago.
	machine.state.applyTime = machine.now
	change := machine.state.decide(almondcross.NewChange(config))
	machine.leader.pendingChanges = append(machine.leader.pendingChanges, change)
}

// beginBatch starts the next append with the current time, so that followers compute the same times.
func (machine *Machine) beginBatch() {
	if len(machine.leader.pendingChanges) > 0 {
		return
	}
	at := machine.now.Truncate(time.Millisecond)
	if at.Before(machine.state.batchTime) {
		at = machine.state.batchTime
	}
	machine.state.beginBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: machine.leader.epoch, At: at}), machine.now)
}

// afterCommit runs a function once all changes so far are in the journal.
func (machine *Machine) afterCommit(callback func()) {
	leader := machine.leader
	leader.pendingCallbacks = append(leader.pendingCallbacks, commitCallback{changes: len(leader.pendingChanges), run: callback})
}

// appendPending sends the next append unless one is pending.
func (machine *Machine) appendPending() {
	leader := machine.leader
	if machine.now.Sub(leader.lastAppendAt) < minAppendInterval {
		return
	}
	idle := len(leader.pendingChanges) == 0 && len(leader.pendingIntake) == 0 && len(leader.pendingCallbacks) == 0 && len(leader.pendingResets) == 0
	if leader.inflight != nil || idle && machine.now.Sub(leader.lastCommitAt) < heartbeatInterval {
		return
	}
	machine.recordStarts()
	machine.recordAddresses()
	machine.recordLeaseBounds()
	machine.beginBatch()
	leader.lastAppendAt = machine.now
	leader.sequence++
	inflight := &inflightAppend{sentAt: machine.now}
	pending := len(leader.pendingChanges)
	groups := machine.takeChanges()
	inflight.callbacks = leader.takeCallbacks(pending - len(leader.pendingChanges))
	var intake map[int]int64
	if len(leader.pendingChanges) == 0 {
		intake = leader.pendingIntake
		machine.completeAppend(inflight)
	}
	inflight.commit = almondcross.NewJournalCommit(almondcross.JournalCommitConfig{
		Epoch: leader.epoch, Sequence: leader.sequence, Batches: machine.newBatches(groups, intake, inflight.intakesCurrent),
	})
	leader.inflight = inflight
	machine.emit(Commit{Request: inflight.commit})
}

// takeChanges removes the first pending changes, as many as fit in an append, and returns those of each batch. The store
// limits the size of records and appends, and refuses one that is too large however often it is sent again. The number of changes is
// limited by their size alone: with a slow store, the changes of half a second wait for each append.
func (machine *Machine) takeChanges() [][]almondcross.Change {
	leader := machine.leader
	var groups [][]almondcross.Change
	for remaining := min(machine.config.BatchesPerAppend*machine.config.RecordBytes, maxAppendBytes); len(leader.pendingChanges) > 0; {
		count, size := machine.countInBatch(leader.pendingChanges)
		if remaining -= size; remaining < 0 && len(groups) > 0 {
			break
		}
		groups = append(groups, leader.pendingChanges[:count:count])
		leader.pendingChanges = leader.pendingChanges[count:]
	}
	return groups
}

// countInBatch returns how many of the first changes one batch may have, at least one, and an upper bound of its size in bytes.
func (machine *Machine) countInBatch(changes []almondcross.Change) (count, size int) {
	size = batchOverheadBytes
	for index, change := range changes[:min(len(changes), maxBatchChanges)] {
		added := maxChangeBytes(change)
		if size+added > machine.config.RecordBytes && index > 0 {
			return index, size
		}
		size += added
	}
	return min(len(changes), maxBatchChanges), size
}

// maxAppendBytes is the maximum size in bytes of the batches of one append, which are pushed to the standbys in one message of at
// most a mebibyte.
const maxAppendBytes = 1_000_000

// Upper bounds of the sizes in bytes of parts of a record, without their strings.
const (
	batchOverheadBytes  = 4 << 10
	changeOverheadBytes = 400
	stepOverheadBytes   = 150
	dependencyBytes     = 3
)

// maxChangeBytes returns an upper bound of the size of a change in a record.
func maxChangeBytes(change almondcross.Change) int {
	job, queue := change.Job(), change.Settings().Queue()
	size := changeOverheadBytes + len(change.Worker()) + len(change.Checkpoint()) + len(change.End()) + len(change.Host()) + len(change.Address()) + len(change.Zone()) +
		len(job.Payload()) + len(job.Queue()) + len(queue.Name()) + len(queue.Host()) + len(queue.Prefix()) + len(queue.Pool())
	for _, step := range job.Steps() {
		size += stepOverheadBytes + dependencyBytes*len(step.After()) + len(step.Label()) + len(step.DataRack()) + len(step.Image())
	}
	return size
}

// takeCallbacks removes and returns the callbacks that wait for no more than the changes of an append.
func (leader *leader) takeCallbacks(changes int) []commitCallback {
	var taken, remaining []commitCallback
	for _, callback := range leader.pendingCallbacks {
		if callback.changes <= changes {
			taken = append(taken, callback)
		} else {
			remaining = append(remaining, commitCallback{changes: callback.changes - changes, run: callback.run})
		}
	}
	leader.pendingCallbacks = remaining
	return taken
}

// completeAppend adds to an append with all pending changes what presumes them: views, the intake offsets and, when
// one is due, a snapshot of the state.
func (machine *Machine) completeAppend(inflight *inflightAppend) {
	leader := machine.leader
	inflight.views, inflight.intakesCurrent = machine.takeViewChanges(), machine.intakesCurrent()
	if len(leader.pendingResets) > 0 {
		inflight.resetHosts, inflight.resetViews = leader.pendingResets, machine.allViews()
	}
	maps.Copy(machine.state.intakeOffsets, leader.pendingIntake)
	if machine.snapshotDue() {
		snapshot := machine.state.snapshot(0, machine.now)
		inflight.snapshot = &snapshot
		leader.snapshotTriedAt = machine.now
		leader.addressesDue, leader.leaseBoundsDue = leader.busyWorkers(), true
	}
	leader.pendingChanges, leader.pendingIntake, leader.pendingResets = nil, map[int]int64{}, nil
}

// newBatches returns the batches of an append: one for each group of changes, at least one. The last one has the intake
// offsets.
func (machine *Machine) newBatches(groups [][]almondcross.Change, intake map[int]int64, current bool) []almondcross.JournalBatch {
	batches := make([]almondcross.JournalBatch, max(len(groups), 1))
	for index := range batches {
		config := almondcross.JournalBatchConfig{Epoch: machine.leader.epoch, At: machine.state.batchTime, Current: current}
		if index < len(groups) {
			config.Changes = groups[index]
		}
		if index == len(batches)-1 {
			config.Intake = intake
		}
		batches[index] = almondcross.NewJournalBatch(config)
	}
	return batches
}

// committed handles the answer to an append.
func (machine *Machine) committed(answer almondcross.JournalCommitted) {
	if answer.Commit().Election() {
		machine.electionAnswered(answer)
		return
	}
	leader := machine.leader
	if leader == nil || leader.inflight == nil || answer.Commit().Epoch() != leader.epoch ||
		answer.Commit().Sequence() != leader.inflight.commit.Sequence() {
		return
	}
	switch {
	case errors.Is(answer.Err(), almondcross.ErrStoreFenced), errors.Is(answer.Err(), almondcross.ErrStoreSequence):
		machine.stopLeading(answer.Err().Error())
		return
	case answer.Err() != nil:
		// The store applies a sequence number only once, so the append is safe to resend whether or not it
		// succeeded.
		machine.config.Metrics.CommitRepeated()
		machine.config.Log.Record("commit_repeated", almondcross.Number("sequence", leader.sequence), almondcross.Text("reason", answer.Err().Error()),
			almondcross.Millis("age_ms", machine.now.Sub(leader.inflight.sentAt)))
		leader.inflight.intakesCurrent = false // Jobs that arrived since the append was made are not in it.
		machine.emit(Commit{Request: leader.inflight.commit.WithPause(storeRetryDelay)})
		return
	}
	inflight := leader.inflight
	leader.inflight = nil
	machine.sendResets(inflight)
	standbys, viewers := machine.pushHosts()
	machine.emit(PushBatches{Hosts: standbys, Pushed: almondcross.NewJournalPushed(almondcross.JournalPushedConfig{
		From: answer.Appended().Offset(), Batches: inflight.commit.Batches(),
	})})
	machine.pushViews(viewers, inflight)
	leader.lastCommitAt = inflight.sentAt
	machine.follower.nextOffset = answer.Appended().End()
	machine.publish(inflight.views)
	// The answer may have waited while this host was paused, so the views count as of when the append was sent.
	machine.config.Publisher.Refreshed(inflight.sentAt, inflight.intakesCurrent)
	if inflight.snapshot != nil {
		machine.storeWithFormat(inflight.snapshot.WithNext(answer.Appended().End()))
	}
	for _, callback := range inflight.callbacks {
		if machine.leader != leader {
			return
		}
		callback.run()
	}
}

// pushViews passes the committed views to the viewers. In a large cell it collects those of several appends, since each
// viewer costs a message.
func (machine *Machine) pushViews(viewers []string, inflight *inflightAppend) {
	leader := machine.leader
	for _, change := range inflight.views {
		leader.unpushedViews[change.ID()] = change
	}
	interval := min(time.Duration(len(viewers))*time.Second/maxViewMessagesPerSecond, maxViewInterval)
	if machine.now.Sub(leader.viewsPushedAt) < interval {
		return
	}
	changes := make([]almondcross.JobViewChange, 0, len(leader.unpushedViews))
	for _, id := range slices.Sorted(maps.Keys(leader.unpushedViews)) {
		changes = append(changes, leader.unpushedViews[id])
	}
	machine.sendViews(viewers, almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Complete: inflight.intakesCurrent, Changes: changes}))
	leader.viewsPushedAt = machine.now
	clear(leader.unpushedViews)
}

// snapshotDue reports whether to take a snapshot. The time of the last one is replicated, so that snapshots are stored also
// while no scheduler lasts for the time between two of them.
func (machine *Machine) snapshotDue() bool {
	leader := machine.leader
	return !machine.snapshotPending && machine.now.Sub(leader.electedAt) >= snapshotDelay && machine.now.Sub(leader.snapshotTriedAt) >= snapshotRetryDelay &&
		machine.state.batchTime.Sub(machine.state.snapshotAt) >= machine.config.SnapshotInterval
}

// storeSnapshot stores a snapshot and removes those of earlier epochs.
func (machine *Machine) storeSnapshot(snapshot almondcross.StateSnapshot) {
	machine.snapshotPending = true
	machine.emit(StoreSnapshot{Request: almondcross.NewSnapshotStore(almondcross.SnapshotStoreConfig{
		Snapshot: snapshot, EarlierKeys: machine.snapshotKeys, EarlierEpochs: slices.Clone(machine.state.earlierEpochs),
	})})
}

// snapshotStored handles the answer to a snapshot, which may be one of an earlier epoch of this host.
func (machine *Machine) snapshotStored(stored almondcross.SnapshotStored) {
	machine.snapshotPending = false
	if stored.Err() != nil {
		machine.config.Log.Record("snapshot_failed", almondcross.Number("next", stored.Next()), almondcross.Text("reason", stored.Err().Error()))
		return
	}
	if machine.leader != nil && stored.Epoch() == machine.leader.epoch {
		machine.snapshotKeys = nil
		machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeSnapshotStored})
	}
}
