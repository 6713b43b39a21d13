package claimer

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// appendAnswered processes the result of an append. A request or settlement whose record was appended stays pending
// until the record is read back from the stream.
func (machine *Machine) appendAnswered(message almondcross.AppendAnswered, now time.Time) []Effect {
	var effects []Effect
	for _, id := range message.IDs() {
		if machine.checkpoints.partAnswered(id, message.Result(), now.Add(machine.config.CheckpointRetry)) {
			continue
		}
		key, ok := machine.pendingAppends[id]
		if !ok {
			continue
		}
		delete(machine.pendingAppends, id)
		if message.Result() == almondcross.AppendAccepted {
			continue
		}
		if request, ok := machine.pendingRequests[nameOf(key)]; ok {
			effects = append(effects, machine.appendFailed(key, request, id, message.Result(), now)...)
			continue
		}
		if settlement, ok := machine.pendingSettlements[key]; ok {
			settlement.sentAt = time.Time{}
			machine.pendingSettlements[key] = settlement
		}
	}
	return effects
}

// appendFailed handles a claim or void that the log refused or whose append has an uncertain result.
func (machine *Machine) appendFailed(
	key almondcross.Key, request pendingRequest, id string, result almondcross.AppendResult, now time.Time,
) []Effect {
	isClaim := id == request.claimID
	switch {
	case isClaim && result == almondcross.AppendRefused:
		// The claim is certainly not in the log, so a void that was requested before is not needed any more.
		delete(machine.pendingRequests, nameOf(key))
		return machine.refuse(key, almondcross.CodeLogDown, almondcross.ClaimRecord{})
	case isClaim:
		request.needsVoid = true
		machine.pendingRequests[nameOf(key)] = request
		return machine.appendVoid(key, now)
	case request.claimID == "" && result == almondcross.AppendRefused:
		delete(machine.pendingRequests, nameOf(key))
		return machine.refuse(key, almondcross.CodeLogDown, almondcross.ClaimRecord{})
	default:
		// The next tick appends the void again: it was refused although its claim may be in the log, or its own
		// append has an uncertain result.
		request.sentAt = time.Time{}
		machine.pendingRequests[nameOf(key)] = request
		return nil
	}
}

// tick repeats unanswered appends, expires keys and writes checkpoints. It iterates over maps in sorted order, so that
// a simulation is reproducible from its seed.
func (machine *Machine) tick(message almondcross.ClaimTick, now time.Time) []Effect {
	machine.table.expire(now)
	for name := range machine.awaitedSettlements {
		if _, known := machine.table.claims[name]; !known {
			delete(machine.awaitedSettlements, name)
		}
	}
	machine.checkpoints.expireGap(now, machine.config.Horizon+expiryMargin)
	if message.LogDown() {
		return nil
	}
	var effects []Effect
	for _, name := range slices.SortedFunc(maps.Keys(machine.pendingRequests), claimName.compare) {
		request := machine.pendingRequests[name]
		if now.Sub(request.sentAt) >= machine.config.AppendTimeout {
			request.needsVoid = true
			machine.pendingRequests[name] = request
			effects = append(effects, machine.appendVoid(request.key, now)...)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(machine.pendingSettlements), almondcross.Key.Compare) {
		settlement := machine.pendingSettlements[key]
		if now.Sub(settlement.sentAt) < machine.config.AppendTimeout {
			continue
		}
		if current, _ := machine.table.lookup(key); current.hasSettlement && !statusSupersedes(settlement.outcome.Status(), current.settlement) {
			delete(machine.pendingSettlements, key)
			continue
		}
		effects = append(effects, machine.settle(settlement.outcome, now)...)
	}
	if !message.Writer() {
		return effects
	}
	if machine.checkpoints.due(now, machine.config.CheckpointAge, machine.config.CheckpointRetry) && len(machine.table.claims) > 0 {
		records := machine.table.records()
		machine.checkpoints.begin(machine.nextID(), records, machine.config.PartSize, machine.lastRead, now)
	}
	for _, part := range machine.checkpoints.nextParts(partsPerTick) {
		effects = append(effects, AppendPart{ID: partID(part), Part: part})
	}
	return effects
}

// statusSupersedes reports whether a settlement with a status would replace the one in the log.
func statusSupersedes(status almondcross.Status, current almondcross.ClaimRecord) bool {
	return current.Status() == almondcross.StatusUnknown && status != almondcross.StatusUnknown
}

// applyCheckpoint merges the records of one part of a checkpoint into the table.
func (machine *Machine) applyCheckpoint(message almondcross.ClaimCheckpointRead, now time.Time) []Effect {
	part := message.Checkpoint()
	var effects []Effect
	for _, record := range part.Claims() {
		effects = append(effects, machine.mergeRecord(record, now)...)
	}
	machine.lastRead = max(machine.lastRead, part.Offset())
	machine.checkpoints.partRead(part, message.Appended())
	return effects
}
