package scheduler

import (
	"maps"
	"slices"

	"github.com/almondcross/almondcross"
)

// The numbers of the formats of the journal and of snapshots that this version writes. Hosts of the versions before the first
// number write none (docs/decisions/mixed-versions.md).
const (
	// plainFormat is the number while the journal has no workspace: all its records are those of the version before.
	plainFormat = 1
	// workspaceFormat is the number from the first workspace on. A host of plainFormat skips workspaces, so its views would show
	// jobs to callers of other workspaces, and it would schedule without quotas.
	workspaceFormat = 2
	// journalFormat is the highest number that this version reads.
	journalFormat = workspaceFormat
)

// Format returns the highest number of a format of the journal that this host reads.
func (machine *Machine) Format() int { return machine.format() }

func (machine *Machine) format() int { return journalFormat + machine.config.FormatAbove }

// writtenFormat returns the number of the format in which this host writes as the scheduler: that of the journal so far, since
// what follows from its workspaces outlives their last job.
func (machine *Machine) writtenFormat() int {
	if machine.config.FormatAbove > 0 {
		return machine.format()
	}
	return max(plainFormat, machine.state.format)
}

func (machine *Machine) formatChange() almondcross.ChangeConfig {
	return almondcross.ChangeConfig{Kind: almondcross.ChangeFormat, Format: machine.writtenFormat()}
}

// recordWorkspaceFormat raises the number before the first change with a workspace, so that no host of an earlier version
// shows or schedules what follows.
func (machine *Machine) recordWorkspaceFormat(job almondcross.Job) {
	if job.Workspace() == "" || machine.state.format >= workspaceFormat {
		return
	}
	machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeFormat, Format: workspaceFormat})
	for _, name := range slices.Sorted(maps.Keys(machine.linkedHosts)) {
		if host := machine.linkedHosts[name]; host.standby && host.format < workspaceFormat {
			host.standby, host.rank = false, 0
			machine.hostLinked(host)
		}
	}
	machine.fillStandbys()
	machine.rankStandbys()
	machine.config.Log.Record("journal_format_raised", almondcross.Number("format", workspaceFormat), almondcross.Text("job", string(job.ID())))
}

// limitStrength makes a linked host unfit as a standby that cannot read the journal in full. Such a host becomes a viewer by itself
// once it has read the number, but one that loads the state would not get that far: it cannot read the jobs with workspaces in
// the snapshot, and the journal before that may have been deleted.
func (machine *Machine) limitStrength(host *linkedHost) {
	if machine.state.format >= workspaceFormat && host.format < machine.state.format {
		host.strength = 0
	}
}

// readsFormat reports whether this host knows every format that its state was read from. With a higher number, it may have
// skipped changes or applied them by other rules, so it must neither schedule by the state nor show it to callers.
func (machine *Machine) readsFormat() bool { return machine.state.format <= machine.format() }

// schedulerUnreadable reports whether the known scheduler is one whose journal this host cannot read in full.
func (machine *Machine) schedulerUnreadable() bool {
	return machine.unreadableEpoch != 0 && machine.unreadableEpoch == machine.discovery.pointer.Epoch()
}

// checkFormat makes a host that cannot read the journal in full a viewer: it publishes nothing from its state and announces a
// strength of 0, so that the scheduler sends it views. It announces its strength to the next scheduler again, since that one may
// be of an earlier version.
func (machine *Machine) checkFormat() {
	if machine.readsFormat() {
		return
	}
	epoch := machine.state.schedulerEpoch
	machine.follower.published = false // From here on, this host publishes the views that the scheduler pushes.
	if !machine.follower.caughtUp || machine.unreadableEpoch == epoch {
		return
	}
	machine.unreadableEpoch, machine.discovery.viewsReceived = epoch, false
	machine.config.Log.Record("journal_format_unknown", almondcross.Number("format", machine.state.format), almondcross.Number("known", machine.format()),
		almondcross.Text("host", machine.state.schedulerHost), almondcross.Number("epoch", epoch))
	machine.config.Metrics.FormatUnknown()
	if machine.schedulerUnreadable() {
		machine.emit(AnnounceScheduler{Pointer: machine.discovery.pointer, Strength: machine.strength(), Ends: machine.endsToForward()})
	}
}

// storeWithFormat stores a snapshot once the number of its format is in the journal behind it. The snapshot has no field for the
// number: its arrays have a fixed length, and the version before would keep the content of any other field for its own snapshots.
func (machine *Machine) storeWithFormat(snapshot almondcross.StateSnapshot) {
	machine.recordChange(machine.formatChange())
	machine.afterCommit(func() { machine.storeSnapshot(snapshot) })
}

// asRead returns a batch as this host reads it. In simulations of a version with other rules, the host concludes that a job goes on
// after a failed run whose record has no verdict.
func (machine *Machine) asRead(batch almondcross.JournalBatch) almondcross.JournalBatch {
	if !machine.config.IgnoresAttemptLimit {
		return batch
	}
	changes := slices.Clone(batch.Changes())
	for index, change := range changes {
		if change.Kind() == almondcross.ChangeEnd && change.End() == almondcross.EndFailed && change.Verdict() == almondcross.VerdictUnknown {
			changes[index] = change.WithVerdict(almondcross.VerdictStarted)
		}
	}
	return batch.WithChanges(changes)
}
