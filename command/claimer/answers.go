package claimer

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// appended handles the answers to appends. Taken records are waited for in the stream.
func (machine *Machine) appended(message almondcross.AppendAnswered, now time.Time) []Effect {
	var effects []Effect
	for _, id := range message.IDs() {
		if machine.checkpoints.answered(id, message.Outcome(), now.Add(machine.config.CheckpointRetry)) {
			continue
		}
		key, ok := machine.sent[id]
		if !ok {
			continue
		}
		delete(machine.sent, id)
		if message.Outcome() == almondcross.AppendTaken {
			continue
		}
		if waiting, ok := machine.requests[nameOf(key)]; ok {
			effects = append(effects, machine.failed(key, waiting, id, message.Outcome(), now)...)
			continue
		}
		if waiting, ok := machine.settlements[key]; ok {
			waiting.sentAt = time.Time{}
			machine.settlements[key] = waiting
		}
	}
	return effects
}

// failed handles a claim or void that the log refused or that has no answer.
func (machine *Machine) failed(
	key almondcross.Key, waiting request, id string, outcome almondcross.AppendResult, now time.Time,
) []Effect {
	claim := id == waiting.claimID
	switch {
	case claim && outcome == almondcross.AppendRefused:
		// The log certainly lacks the claim. A void that was asked for before is of no use any more.
		delete(machine.requests, nameOf(key))
		return machine.refuse(key, almondcross.CodeLogDown, almondcross.ClaimRecord{})
	case claim:
		waiting.needsVoid = true
		machine.requests[nameOf(key)] = waiting
		return machine.appendVoid(key, now)
	case waiting.claimID == "" && outcome == almondcross.AppendRefused:
		delete(machine.requests, nameOf(key))
		return machine.refuse(key, almondcross.CodeLogDown, almondcross.ClaimRecord{})
	default:
		// The void of an unanswered claim, or an unanswered void, is repeated.
		waiting.sentAt = time.Time{}
		machine.requests[nameOf(key)] = waiting
		return nil
	}
}

// tick repeats what has no answer, expires keys and writes checkpoints. It goes through maps in order,
// since a seed must give the same history each time.
func (machine *Machine) tick(message almondcross.ClaimTick, now time.Time) []Effect {
	machine.table.expire(now)
	for name := range machine.followed {
		if _, known := machine.table.claims[name]; !known {
			delete(machine.followed, name)
		}
	}
	machine.checkpoints.age(now, machine.config.Horizon+expiryMargin)
	if message.LogDown() {
		return nil
	}
	var effects []Effect
	for _, name := range slices.SortedFunc(maps.Keys(machine.requests), claimName.compare) {
		waiting := machine.requests[name]
		if now.Sub(waiting.sentAt) >= machine.config.AnswerLimit {
			waiting.needsVoid = true
			machine.requests[name] = waiting
			effects = append(effects, machine.appendVoid(waiting.key, now)...)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(machine.settlements), almondcross.Key.Compare) {
		waiting := machine.settlements[key]
		if now.Sub(waiting.sentAt) < machine.config.AnswerLimit {
			continue
		}
		if current, _ := machine.table.of(key); current.ended && !supersedesStatus(waiting.outcome.Status(), current.settled) {
			delete(machine.settlements, key)
			continue
		}
		effects = append(effects, machine.settle(waiting.outcome, now)...)
	}
	if !message.Writer() {
		return effects
	}
	if machine.checkpoints.due(now, machine.config.CheckpointAge, machine.config.CheckpointRetry) && len(machine.table.claims) > 0 {
		records := machine.table.records()
		machine.checkpoints.begin(machine.nextID(), records, machine.config.PartSize, machine.read, now)
	}
	for _, part := range machine.checkpoints.take(partsPerTick) {
		effects = append(effects, AppendPart{ID: partID(part), Part: part})
	}
	return effects
}

// supersedesStatus reports whether a settlement with a status would replace the one in the log.
func supersedesStatus(status almondcross.Status, current almondcross.ClaimRecord) bool {
	return current.Status() == almondcross.StatusUnknown && status != almondcross.StatusUnknown
}

// readCheckpoint merges one part of a checkpoint.
func (machine *Machine) readCheckpoint(message almondcross.ClaimCheckpointRead, now time.Time) []Effect {
	part := message.Checkpoint()
	var effects []Effect
	for _, record := range part.Claims() {
		effects = append(effects, machine.merge(record, now)...)
	}
	machine.read = max(machine.read, part.Offset())
	machine.checkpoints.seen(part, message.Appended())
	return effects
}
