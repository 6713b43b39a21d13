package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// stopCode returns the reason for which the tasks of a key must stop, or CodeNone if they may run: the key was
// cancelled, its replica was removed from the catalogue, or a task of its gang failed. It is derived from the record
// for each task that is reported by a holder, since a holder can be lost before a worker received the stop.
func (record *record) stopCode() almondcross.Code {
	if record.cancelled || record.stopped {
		return almondcross.CodeCancelled
	}
	if failed, code := firstFailure(record); failed && len(record.tasks) > 1 {
		return code
	}
	return almondcross.CodeNone
}

// stopTasks tells the holders of the tasks of a key to stop them.
func (machine *Machine) stopTasks(record *record, code almondcross.Code, now time.Time) {
	for index := range record.tasks {
		machine.stopTask(&record.tasks[index], code)
	}
	record.repeatStopsAt = now.Add(stopRetryInterval)
	machine.scheduleKey(record.request.Key(), record.repeatStopsAt)
}

// stopTask tells the holder of a task to stop it. A task that has not started may be at the local placer, or on its
// way to the holder that the placer forwarded it to, so both are told.
func (machine *Machine) stopTask(task *taskState, code almondcross.Code) {
	if task.ended {
		return
	}
	stop := almondcross.NewStopTask(almondcross.StopTaskConfig{
		ID: task.task.ID(), Attempt: task.task.Attempt(), Code: code,
	})
	atPeer := task.holder.Name() != "" && task.holder.Name() != machine.self().Name()
	if atPeer {
		machine.emit(Send{Member: task.holder.Name(), Message: stop})
	}
	if !atPeer || !task.started {
		machine.emit(NotifyPlacer{Message: stop})
	}
}

// stopReported stops a task that a holder reported, if the tasks of its key must stop.
func (machine *Machine) stopReported(record *record, task *taskState) {
	if code := record.stopCode(); code != almondcross.CodeNone {
		machine.stopTask(task, code)
	}
}

// repeatStops sends the stops again, since a full ring, a broken link or a change of the holder can lose them.
func (machine *Machine) repeatStops(record *record, now time.Time) {
	code := record.stopCode()
	if code == almondcross.CodeNone || !record.inProgress() || now.Before(record.repeatStopsAt) {
		return
	}
	machine.stopTasks(record, code, now)
}
