package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// adopt confirms a running task under a new holder, or has it stopped when the key has ended or
// runs elsewhere. A member that is not the key's coordinator, or has no standing, does not answer;
// the holder asks again.
func (machine *Machine) adopt(message almondcross.AdoptTask, now time.Time) {
	if !machine.view.HasStanding(now) {
		// Another member may be about to start the key again.
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
		machine.adoptUnknown(message, nil, now)
	case record.phase == phaseEnded:
		machine.answerAdoption(message, false)
	case record.inProgress():
		machine.adoptKnown(record, message, now)
	default:
		machine.adoptUnknown(message, record, now)
	}
}

// adoptKnown accepts a task that the record has on the same target or has not seen started.
func (machine *Machine) adoptKnown(record *record, message almondcross.AdoptTask, now time.Time) {
	id := message.Task().ID()
	current, task := machine.find(id, message.Task().Attempt())
	if current == nil {
		if id.Index() < len(record.tasks) || len(record.tasks) == 0 || message.Task().Attempt() != record.attempt {
			machine.answerAdoption(message, false)
			return
		}
		machine.growTasks(record, message.Task())
		task = &record.tasks[id.Index()]
	}
	foreign := task.started && task.target != message.Target()
	stale := task.started && task.target == message.Target() && message.Term().Less(task.term)
	if task.ended || foreign || stale {
		machine.answerAdoption(message, false)
		return
	}
	record.ran = true
	task.task = message.Task().WithCoordinator(machine.self())
	task.started, task.holder, task.target, task.term = true, message.Holder(), message.Target(), message.Term()
	machine.watchHolders(record, now)
	machine.tell(record, "adopted", almondcross.CodeNone, message.Target(), now)
	machine.answerAdoption(message, true)
	if record.allStarted() {
		record.phase = phaseRunning
	}
}

// adoptUnknown takes over a key whose coordinator was lost. Callers that already ask for it are kept.
func (machine *Machine) adoptUnknown(message almondcross.AdoptTask, held *record, now time.Time) {
	task := message.Task()
	adopted := held
	if adopted == nil {
		adopted = &record{submittedAt: now}
		adopted.request = almondcross.NewRequest(almondcross.RequestConfig{
			Key: task.ID().Key(), Entry: task.Entry(), Payload: task.Payload(),
		})
		machine.keys[task.ID().Key()] = adopted
	}
	adopted.standing = task.ID().Key().Caller() == serviceCaller
	adopted.entry = machine.entryOf(task)
	adopted.attempt = task.Attempt()
	adopted.claimed = !task.Repeatable()
	adopted.lookups = nil
	adopted.tasks = nil
	machine.growTasks(adopted, task)
	adopted.phase = phasePlaced
	machine.adoptKnown(adopted, message, now)
}

// entryOf returns the current entry of a task, or what the task says of it when it was removed.
func (machine *Machine) entryOf(task almondcross.Task) almondcross.Entry {
	if entry, ok := machine.catalogue.Entry(task.Entry()); ok {
		return entry
	}
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: task.Entry(), Owner: task.Owner(), Class: task.Class(), Resources: task.Resources(),
		Tasks: task.Size(), Repeatable: task.Repeatable(),
	})
}

// growTasks makes room for every task of an adopted request.
func (machine *Machine) growTasks(record *record, task almondcross.Task) {
	for index := len(record.tasks); index < max(task.Size(), task.ID().Index()+1); index++ {
		sibling := task.WithID(task.ID().WithIndex(index)).WithCoordinator(machine.self())
		record.tasks = append(record.tasks, taskState{task: sibling})
	}
}

func (machine *Machine) answerAdoption(message almondcross.AdoptTask, accepted bool) {
	holder := message.Holder()
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		ID: message.Task().ID(), Attempt: message.Task().Attempt(), Target: message.Target(), Term: message.Term(),
		Accepted: accepted, Coordinator: machine.self(),
	})
	if holder.Name() == machine.self().Name() {
		machine.do(Place{Message: answer})
		return
	}
	machine.do(Send{Member: holder.Name(), Message: answer})
}
