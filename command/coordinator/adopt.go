package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// adopt accepts a running task of a new holder. If the key has ended or runs elsewhere, it refuses the task, and
// the holder stops it. A member that is not the key's coordinator, or does not have a valid link lease from
// every peer, does not reply; the holder retries.
func (machine *Machine) adopt(message almondcross.AdoptTask, now time.Time) {
	if !machine.view.HasLinkLeases(now) {
		// Another member may be the coordinator by now and start the key again.
		return
	}
	key := message.Task().ID().Key()
	coordinator, ok := machine.view.Coordinator(key)
	record, known := machine.keys[key]
	if !known || !record.inProgress() && record.phase != phaseEnded {
		if !ok || coordinator.ID() != machine.self() {
			return
		}
	}
	switch {
	case !known:
		machine.takeOverKey(message, nil, now)
	case record.phase == phaseEnded:
		machine.answerAdoption(message, false)
	case record.inProgress():
		machine.adoptKnown(record, message, now)
	default:
		machine.takeOverKey(message, record, now)
	}
}

// adoptKnown accepts a task of the current attempt unless it has ended, was started on another target, or was
// started on the same target under a newer term.
func (machine *Machine) adoptKnown(record *record, message almondcross.AdoptTask, now time.Time) {
	id := message.Task().ID()
	current, task := machine.findTask(id, message.Task().Attempt())
	if current == nil {
		if id.Index() < len(record.tasks) || len(record.tasks) == 0 || message.Task().Attempt() != record.attempt {
			machine.answerAdoption(message, false)
			return
		}
		machine.extendTasks(record, message.Task())
		task = &record.tasks[id.Index()]
	}
	otherTarget := task.started && task.target != message.Target()
	staleTerm := task.started && task.target == message.Target() && message.Term().Less(task.term)
	if task.ended || otherTarget || staleTerm {
		machine.answerAdoption(message, false)
		return
	}
	record.everStarted, record.startedAt = true, now
	task.task = message.Task().WithCoordinator(machine.self())
	task.started, task.holder, task.target, task.term = true, message.Holder(), message.Target(), message.Term()
	machine.watchHolders(record, now)
	machine.recordDecision(record, "adopted", almondcross.CodeNone, message.Target(), now)
	machine.answerAdoption(message, true)
	machine.stopReported(record, task)
	if record.allStarted() {
		record.phase = phaseRunning
	}
}

// takeOverKey takes over a key whose coordinator was lost. The waiters of an existing record, whose key was not
// placed by this member, are kept.
func (machine *Machine) takeOverKey(message almondcross.AdoptTask, existing *record, now time.Time) {
	task := message.Task()
	adopted := existing
	if adopted == nil {
		adopted = &record{submittedAt: now}
		adopted.request = almondcross.NewRequest(almondcross.RequestConfig{
			Key: task.ID().Key(), Entry: task.Entry(), Payload: task.Payload(),
		})
		machine.keys[task.ID().Key()] = adopted
	}
	adopted.service = task.ID().Key().Caller() == serviceCaller
	adopted.entry = machine.entryOf(task)
	adopted.attempt = task.Attempt()
	adopted.lostBefore, adopted.lostAttempts = task.LostTargets(), nil
	adopted.claimed = !task.Repeatable()
	adopted.pendingLookups = nil
	adopted.tasks = nil
	machine.extendTasks(adopted, task)
	adopted.phase = phasePlaced
	machine.adoptKnown(adopted, message, now)
}

// entryOf returns the current entry of a task, or one with the fields of the task if the catalogue no longer has the entry.
func (machine *Machine) entryOf(task almondcross.Task) almondcross.Entry {
	if entry, ok := machine.catalogue.Entry(task.Entry()); ok {
		return entry
	}
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: task.Entry(), Owner: task.Owner(), Class: task.Class(), Resources: task.Resources(),
		Tasks: task.Size(), Repeatable: task.Repeatable(), Urgent: task.Urgent(),
		MaxRun: task.MaxRun(), MaxRunning: task.MaxRunning(), ExpectedRun: task.ExpectedRun(),
	})
}

// extendTasks adds the missing task states of an adopted request, up to its number of tasks.
func (machine *Machine) extendTasks(record *record, task almondcross.Task) {
	for index := len(record.tasks); index < max(task.Size(), task.ID().Index()+1); index++ {
		sibling := task.WithID(task.ID().WithIndex(index)).WithCoordinator(machine.self())
		record.tasks = append(record.tasks, taskState{task: sibling, missing: true})
	}
}

func (machine *Machine) answerAdoption(message almondcross.AdoptTask, accepted bool) {
	holder := message.Holder()
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: message.Task().ID(), Attempt: message.Task().Attempt(), Target: message.Target(), Term: message.Term(),
		Accepted: accepted, Coordinator: machine.self(),
	})
	if holder.Name() == machine.self().Name() {
		machine.emit(NotifyPlacer{Message: answer})
		return
	}
	machine.emit(Send{Member: holder.Name(), Message: answer})
}
