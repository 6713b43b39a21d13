package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// watchHolders starts a timeout when a holder of the key's tasks is lost, or is not known in an adopted gang. By its
// end the tasks have a new holder, which requested their adoption, or have stopped, because no holder renews their
// leases.
func (machine *Machine) watchHolders(record *record, now time.Time) {
	if !record.inProgress() {
		return
	}
	for index := range record.tasks {
		if !record.tasks[index].holderLost(machine.view) {
			continue
		}
		if record.holderTimeoutAt.IsZero() {
			record.holderTimeoutAt = now.Add(almondcross.HoldBack)
			machine.scheduleKey(record.request.Key(), record.holderTimeoutAt)
		}
		return
	}
	record.holderTimeoutAt = time.Time{}
}

// expireHolders marks the tasks of lost holders as failed if no other holder adopted them before the timeout.
func (machine *Machine) expireHolders(record *record, now time.Time) {
	if record.holderTimeoutAt.IsZero() || now.Before(record.holderTimeoutAt) {
		return
	}
	record.holderTimeoutAt = time.Time{}
	for index := range record.tasks {
		task := &record.tasks[index]
		if !task.holderLost(machine.view) {
			continue
		}
		machine.recordDecision(record, "holder_lost", almondcross.CodeTargetLost, task.target, now)
		record.everStarted = record.everStarted || task.started
		record.mayHaveRun = true
		task.started, task.ended = true, true
		task.result = failedResult(task.task, almondcross.CodeTargetLost)
	}
	machine.finishAttempt(record, now)
}

// releaseMovedReplica releases a service replica that is not running if its key has another coordinator.
func (machine *Machine) releaseMovedReplica(record *record, now time.Time) {
	coordinator, ok := machine.view.Coordinator(record.request.Key())
	if !record.service || !ok || coordinator.ID() == machine.self() {
		return
	}
	switch record.phase {
	case phasePlaced:
		machine.stopTasks(record, almondcross.CodeNotHere, now)
	case phaseBackoff, phaseHeld, phaseLookup:
		machine.dropRecord(record)
	}
}
