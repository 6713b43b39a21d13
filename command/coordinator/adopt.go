package coordinator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// mostHandedOver bounds the keys whose new coordinator is remembered for late reports.
const mostHandedOver = 10_000

// adopt confirms a running task under a new holder, or has it stopped when the key has ended or
// runs elsewhere. A member that is not the key's coordinator, or has no standing, does not answer;
// the holder asks again.
func (machine *Machine) adopt(message almondcross.AdoptTask, now time.Time) {
	key := message.Task().Id().Key()
	coordinator, ok := machine.view.Coordinator(key)
	record, known := machine.keys[key]
	if !known || !record.inProgress() && record.phase != phaseEnded {
		if !ok || coordinator.Id() != machine.self() || !machine.view.HasStanding(now) {
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
	id := message.Task().Id()
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
			Key: task.Id().Key(), Entry: task.Entry(), Payload: task.Payload(),
		})
		machine.keys[task.Id().Key()] = adopted
	}
	adopted.standing = task.Id().Key().Caller() == serviceCaller
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
	for index := len(record.tasks); index < max(task.Size(), task.Id().Index()+1); index++ {
		sibling := task.WithId(task.Id().WithIndex(index)).WithCoordinator(machine.self())
		record.tasks = append(record.tasks, taskState{task: sibling})
	}
}

func (machine *Machine) answerAdoption(message almondcross.AdoptTask, accepted bool) {
	answer := almondcross.NewAdoptAnswered(almondcross.AdoptAnsweredConfig{
		Id: message.Task().Id(), Attempt: message.Task().Attempt(), Target: message.Target(), Term: message.Term(),
		Accepted: accepted, Coordinator: machine.self(),
	})
	machine.toHolder(message.Holder(), answer)
}

func (machine *Machine) toHolder(holder almondcross.MemberID, answer almondcross.AdoptAnswered) {
	if holder.Name() == machine.self().Name() {
		machine.do(Place{Message: answer})
		return
	}
	machine.do(Send{Member: holder.Name(), Message: answer})
}

// offerHandover passes a running key to the member that coordinates it after a change of the members.
func (machine *Machine) offerHandover(record *record, now time.Time) {
	coordinator, ok := machine.view.Coordinator(record.request.Key())
	if !ok || coordinator.Id() == machine.self() || record.phase != phaseRunning {
		return
	}
	if len(record.tasks) > 1 && record.anyEnded() || !record.lostAt.IsZero() {
		// Results that were already received would be lost; the key stays until it ends.
		return
	}
	if now.Sub(record.handoverAt) < handoverRepeat {
		return
	}
	record.handoverAt = now
	for _, task := range record.tasks {
		machine.do(Send{Member: coordinator.Id().Name(), Message: almondcross.NewPeerHandover(almondcross.PeerHandoverConfig{
			From: machine.self(), Request: record.request, Task: task.task,
			Holder: task.holder, Target: task.target, Term: task.term,
		})})
	}
	machine.wakeKey(record.request.Key(), now.Add(handoverRepeat))
}

// receiveHandover takes a running key from its former coordinator and tells the holder.
func (machine *Machine) receiveHandover(message almondcross.PeerHandover, now time.Time) {
	key := message.Request().Key()
	coordinator, ok := machine.view.Coordinator(key)
	if !ok || coordinator.Id() != machine.self() || !machine.view.HasStanding(now) {
		return
	}
	existing, known := machine.keys[key]
	repeated := known && existing.inProgress() && existing.attempt == message.Task().Attempt()
	if known && !repeated && (existing.inProgress() || existing.phase == phaseEnded) {
		return
	}
	adoption := almondcross.NewAdoptTask(almondcross.AdoptTaskConfig{
		Task: message.Task(), Holder: message.Holder(), Target: message.Target(), Term: message.Term(),
	})
	switch {
	case repeated:
		machine.adoptKnown(existing, adoption, now)
	case known:
		machine.adoptUnknown(adoption, existing, now)
	default:
		machine.adoptUnknown(adoption, nil, now)
	}
	taken := machine.keys[key]
	taken.request = message.Request()
	machine.do(Send{Member: message.From().Name(), Message: almondcross.NewPeerHandoverAck(almondcross.PeerHandoverAckConfig{
		Key: key, Coordinator: machine.self(),
	})})
}

// handoverConfirmed routes the callers that still wait to the new coordinator.
func (machine *Machine) handoverConfirmed(message almondcross.PeerHandoverAck, now time.Time) {
	record, ok := machine.keys[message.Key()]
	if !ok || record.phase != phaseRunning || record.handoverAt.IsZero() {
		return
	}
	machine.drop(record)
	machine.handedOver[message.Key()] = message.Coordinator()
	machine.handed = append(machine.handed, message.Key())
	if len(machine.handed) > mostHandedOver {
		delete(machine.handedOver, machine.handed[0])
		machine.handed = machine.handed[1:]
	}
	for _, waiter := range record.waiters {
		machine.forwardRequest(record.request, message.Coordinator(), waiter.replier, waiter.deadline, now)
	}
}
