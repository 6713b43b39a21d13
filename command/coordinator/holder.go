package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// watchHolders notes when a holder of the key's tasks is lost. Its tasks then have a new holder,
// which asks for their adoption, or have stopped after the hold-back, since nobody renews them.
func (machine *Machine) watchHolders(record *record, now time.Time) {
	if !record.inProgress() {
		return
	}
	for _, task := range record.tasks {
		if task.ended || task.holder.Name() == "" || machine.view.Contains(task.holder) {
			continue
		}
		if record.lostAt.IsZero() {
			record.lostAt = now.Add(almondcross.HoldBack)
			machine.wakeKey(record.request.Key(), record.lostAt)
		}
		return
	}
	record.lostAt = time.Time{}
}

// loseHolders ends the tasks of lost holders that no other holder adopted in time.
func (machine *Machine) loseHolders(record *record, now time.Time) {
	if record.lostAt.IsZero() || now.Before(record.lostAt) {
		return
	}
	record.lostAt = time.Time{}
	for index := range record.tasks {
		task := &record.tasks[index]
		if task.ended || task.holder.Name() == "" || machine.view.Contains(task.holder) {
			continue
		}
		machine.tell(record, "holder_lost", almondcross.CodeTargetLost, task.target, now)
		record.ran = record.ran || task.started
		record.doubtful = true
		task.started, task.ended = true, true
		task.result = failedResult(task.task, almondcross.CodeTargetLost)
	}
	machine.conclude(record, now)
}

// leaveMoved gives up a service replica that is not running when its key has another coordinator.
func (machine *Machine) leaveMoved(record *record) {
	coordinator, ok := machine.view.Coordinator(record.request.Key())
	if !record.standing || !ok || coordinator.ID() == machine.self() {
		return
	}
	switch record.phase {
	case phasePlaced:
		machine.stopTasks(record, almondcross.CodeNotHere)
	case phaseBackoff, phaseHeld, phaseLooking:
		machine.drop(record)
	}
}
