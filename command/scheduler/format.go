package scheduler

import (
	"slices"

	"github.com/almondcross/almondcross"
)

// journalFormat is the number of the format of the journal and of snapshots that this version writes, and the highest one that it
// reads. Hosts of the version before write none. A version that raises it first lands with code that only reads the new format,
// so that two neighbouring versions read each other's journal (docs/decisions/mixed-versions.md).
const journalFormat = 1

// Format returns the highest number of a format of the journal that this host reads. It writes this one.
func (machine *Machine) Format() int { return machine.format() }

func (machine *Machine) format() int { return journalFormat + machine.config.FormatAbove }

func (machine *Machine) formatChange() almondcross.ChangeConfig {
	return almondcross.ChangeConfig{Kind: almondcross.ChangeFormat, Format: machine.format()}
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
