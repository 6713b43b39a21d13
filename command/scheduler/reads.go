package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// pendingReads holds which reads of the store are pending, at most one of each kind. It outlives epochs and reloads of the
// state: the duty waits when the ring of a kind of reads is full, so a read of an earlier epoch counts as well. After its
// answer, the machine reads what is due then.
type pendingReads struct {
	journal       bool
	journalSentAt time.Time // journalSentAt is when the last read of the journal was emitted.
	snapshot      bool
	workers       bool
	workersEpoch  int64 // workersEpoch is the epoch in which the last read of the workers was emitted.
	intakes       map[int]bool
}

// readSnapshot reads the newest snapshot, unless a read is pending.
func (machine *Machine) readSnapshot(pause time.Duration) {
	if machine.reads.snapshot {
		return
	}
	machine.reads.snapshot = true
	machine.emit(ReadSnapshot{Query: almondcross.NewSnapshotQuery(almondcross.SnapshotQueryConfig{Pause: pause})})
}

// readJournal reads the journal from the next offset, unless a read is pending. The answer to an earlier read is followed by
// one from the next offset. While the link to the scheduler is lost, reads do not wait for a batch: an election may depend on
// the next one, which has to be sent first.
func (machine *Machine) readJournal(pause time.Duration) {
	if machine.reads.journal {
		return
	}
	machine.reads.journal, machine.reads.journalSentAt = true, machine.now
	wait := journalReadWait
	if machine.follower.linkLost {
		wait = 0
	}
	machine.emit(ReadJournal{Query: almondcross.NewJournalQuery(almondcross.JournalQueryConfig{
		From: machine.follower.nextOffset, Pause: pause, Wait: wait,
	})})
}

// readIntake reads a partition of the intake, unless a read is pending. The first read of an epoch does not wait for a record,
// since no view counts as complete before each partition was read.
func (machine *Machine) readIntake(partition int, from int64, pause, wait time.Duration) {
	if machine.reads.intakes[partition] {
		return
	}
	machine.reads.intakes[partition] = true
	machine.emit(ReadIntake{Query: almondcross.NewIntakeQuery(almondcross.IntakeQueryConfig{
		Partition: partition, From: from, Pause: pause, Wait: wait,
	})})
}

// readWorkers reads the changes of the announced workers from an offset, or all workers, unless a read is pending.
func (machine *Machine) readWorkers(from int64, pause time.Duration) {
	if machine.reads.workers {
		return
	}
	machine.reads.workers, machine.reads.workersEpoch = true, machine.leader.epoch
	machine.emit(ReadWorkers{Query: almondcross.NewWorkersQuery(almondcross.WorkersQueryConfig{From: from, Pause: pause})})
}
