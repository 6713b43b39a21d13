package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// Parameters of the reservations for waiting gangs.
const (
	// maxReservedShare is the maximum share of the CPU capacity that may be reserved for waiting gangs. The rest stays
	// open to work behind them, which would otherwise stop while gangs keep arriving.
	maxReservedShare = 0.6
	// roomInterval is how often an incomplete reservation is chosen again, since runs take longer than expected.
	roomInterval = 200 * time.Millisecond
	// roomSwitchGain is by how much earlier the room of another worker must be free to replace a reserved one. Expected
	// ends vary by about as much.
	roomSwitchGain = 400 * time.Millisecond
	// ticketGain is by how much earlier room without a ticket must be free to be chosen in the place of room with one. A call
	// takes about as long.
	ticketGain = 400 * time.Millisecond
	// maxRoomChoices is the maximum number of reservations that are chosen in one pass. It bounds the cost of a pass.
	maxRoomChoices = 8
	// runEndsAge is the maximum age of the expected ends of the runs of a worker.
	runEndsAge = 50 * time.Millisecond
	// ticketLead is how long before the expected start of a gang its tickets are to arrive. It is well below their validity,
	// so that they also cover a start that is late.
	ticketLead = 700 * time.Millisecond
	// minSpareWorkers and spareShare tell how many further workers are named in the call for the tickets of a gang, in case a
	// run on a reserved one takes longer than expected.
	minSpareWorkers, spareShare = 4, 0.5
	// overdueShare is the part of the time that a run has taken that it is expected to take further, once it has taken longer
	// than expected.
	overdueShare = 0.25
	// minRemainingTime is the minimum time until the expected end of a run. It covers the report of the end.
	minRemainingTime = 30 * time.Millisecond
	// backfillFactor is the multiple of its expected run time within which a run on reserved room has to end.
	backfillFactor = 1.25
)

// gangRoom is the reservation of a waiting gang: the room on named workers that is kept free for it from pass to pass. It is
// not replicated. It ends with the wait of its stage.
type gangRoom struct {
	shares   []roomShare // shares holds the workers, each once.
	tasks    int         // tasks is the number of tasks that the shares are for.
	spares   []string    // spares holds the next best workers.
	startAt  time.Time   // startAt is when the room is expected to be complete.
	chosenAt time.Time   // chosenAt is when the workers were last chosen.
	since    time.Time   // since is when the reservation was made.
	complete bool        // complete is set while all of the room is free.
	// completed is set once it was complete for the first time.
	completed bool
	slow      bool // slow is set if the room is on slow workers too.
}

// roomShare is the part of a reservation on one worker.
type roomShare struct {
	worker      *worker
	incarnation int64
	tasks       int
}

// roomSlot is room for some tasks of a gang on a worker.
type roomSlot struct {
	worker *worker
	tasks  int
	freeAt time.Time // freeAt is when the room is expected to be free.
	rank   time.Time // rank is freeAt, with what the gang takes longer there, less what makes the worker preferable.
}

// runEnd is the expected end of a run.
type runEnd struct {
	at        time.Time
	task      almondcross.JobTask
	resources almondcross.Resources
}

// mayReserve reports whether a waiting gang may have a reservation. Isolated gangs wait for empty workers instead. A check of the
// quota of the gang's workspace belongs here: a gang without room under it reserves nothing.
func (machine *Machine) mayReserve(waiting *waitingStage) bool {
	return machine.waitingSuspicion(waiting.job, waiting.stage) != isolated
}

// updateRoom makes, checks or drops the reservation of a waiting gang. Stages before it in the order of the pass do not see
// the reservation, so that they may use its room.
func (machine *Machine) updateRoom(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) {
	leader, need := machine.leader, waiting.stage.spec.Resources()
	wanted := waiting.stage.remainingTasks - waiting.stage.activeTasks
	// A caller may ask for any amount, and the product may be out of the range of int64.
	demand := float64(wanted) * float64(need.MilliCPU())
	waiting.roomTried = true
	switch {
	case !machine.mayReserve(waiting):
		machine.dropRoom(waiting, "not_eligible")
		return
	case float64(leader.reservedCPU)+demand > maxReservedShare*float64(leader.usableCPU):
		machine.dropRoom(waiting, "limit")
		return
	}
	room := waiting.room
	if room != nil {
		if machine.checkRoom(waiting) && room.tasks == wanted && (room.complete || machine.now.Sub(room.chosenAt) < roomInterval) {
			return
		}
	}
	if leader.roomChoices >= maxRoomChoices {
		leader.placementDue = true // The next pass chooses the others.
		return
	}
	leader.roomChoices++
	machine.chooseRoom(queue, waiting, advice, wanted)
}

// checkRoom reports whether all workers of a reservation can still be used for it, and updates whether its room is free.
// Workers that cannot are removed from it at once.
func (machine *Machine) checkRoom(waiting *waitingStage) bool {
	room, need := waiting.room, waiting.stage.spec.Resources()
	room.complete = true
	room.shares = slices.DeleteFunc(room.shares, func(share roomShare) bool {
		worker := share.worker
		if !worker.inPass || worker.incarnation != share.incarnation || machine.leader.workers[worker.id] != worker {
			return true
		}
		if maxTasks(worker.free().Sub(worker.reserved), need, share.tasks) < share.tasks {
			room.complete = false
		}
		if worker.slow && !room.slow {
			return true
		}
		return maxTasks(worker.info.Capacity().Sub(worker.reserved), need, share.tasks) < share.tasks
	})
	tasks := 0
	for _, share := range room.shares {
		tasks += share.tasks
	}
	if tasks < room.tasks {
		room.complete = false
		return false
	}
	if room.complete && !room.completed {
		room.completed = true
		machine.config.Metrics.RoomChanged("complete")
		machine.config.Log.Record("room_complete", almondcross.Text("stage", waiting.stage.id.String()),
			almondcross.Millis("after_ms", machine.now.Sub(room.since)), almondcross.Millis("late_ms", machine.now.Sub(room.startAt)))
	}
	return true
}

// chooseRoom reserves the room that is expected to be complete soonest, or none if advice does not allow enough workers yet.
func (machine *Machine) chooseRoom(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice, wanted int) {
	slots := machine.roomSlots(queue, waiting, advice, wanted)
	total := 0
	for _, slot := range slots {
		total += slot.tasks
	}
	if total < wanted {
		machine.dropRoom(waiting, "no_workers")
		return
	}
	// Slots of a worker are in the order of their times, which the sort keeps.
	slices.SortStableFunc(slots, func(a, b roomSlot) int { return a.rank.Compare(b.rank) })
	room := waiting.room
	made := room == nil
	if made {
		room = &gangRoom{since: machine.now}
		waiting.room = room
	}
	room.chosenAt, room.tasks = machine.now, wanted
	room.take(slots, machine.now)
	machine.checkRoom(waiting)
	if made {
		machine.config.Metrics.RoomChanged("reserved")
		machine.config.Log.Record("room_reserved", almondcross.Text("stage", waiting.stage.id.String()), almondcross.Number("tasks", wanted),
			almondcross.Number("workers", len(room.shares)), almondcross.Millis("starts_in_ms", room.startAt.Sub(machine.now)))
	}
}

// take reserves the first ones of the sorted slots, and notes the workers of the next ones as spare.
func (gangroom *gangRoom) take(slots []roomSlot, now time.Time) {
	gangroom.startAt, gangroom.slow = now, false
	gangroom.shares, gangroom.spares = gangroom.shares[:0], gangroom.spares[:0]
	positions, missing := map[*worker]int{}, gangroom.tasks // positions holds the index of the share of each worker.
	for _, slot := range slots {
		position, chosen := positions[slot.worker]
		switch {
		case missing == 0 && len(gangroom.spares) >= max(minSpareWorkers, int(spareShare*float64(len(gangroom.shares)))):
			return
		case missing == 0 && !chosen:
			gangroom.spares = append(gangroom.spares, slot.worker.id)
			positions[slot.worker] = -1
		case missing == 0:
		case !chosen:
			position = len(gangroom.shares)
			positions[slot.worker] = position
			gangroom.shares = append(gangroom.shares, roomShare{worker: slot.worker, incarnation: slot.worker.incarnation})
			fallthrough
		default:
			tasks := min(slot.tasks, missing)
			gangroom.shares[position].tasks += tasks
			missing -= tasks
			gangroom.slow = gangroom.slow || slot.worker.slow
			gangroom.startAt = later(gangroom.startAt, slot.freeAt)
		}
	}
}

// roomSlots returns the room for tasks of a gang on the workers that it may use, with the time when it is expected to be free.
func (machine *Machine) roomSlots(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice, wanted int) []roomSlot {
	leader, spec := machine.leader, waiting.stage.spec
	workers := leader.usableWorkers
	if advice != nil {
		workers = machine.allowedWorkers(advice)
	}
	leader.examinedWorkers += len(workers)
	failed := machine.avoidedWorkers(queue, waiting.stage)
	limit := wanted
	if spec.PerWorker() > 0 {
		limit = min(limit, spec.PerWorker())
	}
	present, runTime := map[*worker]int{}, machine.usualRunTime(waiting.stage)
	if waiting.room != nil {
		for _, share := range waiting.room.shares {
			present[share.worker] = share.tasks
		}
	}
	slots := leader.roomSlots[:0]
	for _, worker := range workers {
		if failed[worker.id] || !worker.inPass || !worker.isOfKind(queue, spec) || !worker.accepts(waiting.job, unsuspected) {
			continue
		}
		first, delay := len(slots), slowDelay(runTime, worker.pace(), maxGangSlowWait)
		slots = machine.appendSlots(slots, worker, spec.Resources(), limit, present[worker])
		tasks := 0
		for index := range slots[first:] {
			slot := &slots[first+index]
			slot.rank = slot.rank.Add(delay)
			if tasks < present[worker] {
				slot.rank = slot.rank.Add(-roomSwitchGain)
			}
			tasks += slot.tasks
			if advice != nil && advice.hasTicket(worker, slot.freeAt) {
				slot.rank = slot.rank.Add(-ticketGain)
			}
		}
	}
	leader.roomSlots = slots
	return slots
}

// appendSlots appends the room for tasks on a worker, the first free one first. A slot is either within the number of tasks of the
// present reservation or beyond it.
func (machine *Machine) appendSlots(slots []roomSlot, worker *worker, need almondcross.Resources, limit, present int) []roomSlot {
	limit = maxTasks(worker.info.Capacity().Sub(worker.reserved), need, limit)
	available, freeAt := worker.free().Sub(worker.reserved), machine.now
	var ends []runEnd
	known := false
	for count := 0; count < limit; {
		if fit := maxTasks(available, need, limit); fit > count {
			added := fit - count
			if count < present {
				added = min(added, present-count)
			}
			slots = append(slots, roomSlot{worker: worker, tasks: added, freeAt: freeAt, rank: freeAt})
			count += added
			continue
		}
		if !known {
			ends, known = machine.runEnds(worker), true
		}
		if len(ends) == 0 {
			break
		}
		available, freeAt = available.Add(ends[0].resources), later(freeAt, ends[0].at)
		ends = ends[1:]
	}
	return slots
}

// runEnds returns the expected ends of the runs of a worker, the first one first. Services are not expected to end.
func (machine *Machine) runEnds(worker *worker) []runEnd {
	if worker.endsKnown && machine.now.Sub(worker.endsAt) < runEndsAge {
		return worker.ends
	}
	worker.ends, worker.endsKnown, worker.endsAt = worker.ends[:0], true, machine.now
	for _, assigned := range worker.assignments {
		if !assigned.stage.spec.Service() || assigned.stopReason != "" {
			worker.ends = append(worker.ends, runEnd{at: machine.expectedEnd(worker, assigned), task: assigned.task, resources: assigned.resources})
		}
	}
	slices.SortFunc(worker.ends, func(a, b runEnd) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return a.task.Compare(b.task)
	})
	return worker.ends
}

// expectedEnd returns when a run is expected to end.
func (machine *Machine) expectedEnd(worker *worker, assigned *assignment) time.Time {
	since := assigned.placedAt
	if !assigned.confirmedAt.IsZero() {
		since = assigned.confirmedAt
	}
	elapsed := machine.now.Sub(since)
	remaining := machine.expectedDuration(worker, assigned) - elapsed
	if remaining <= 0 {
		remaining = time.Duration(overdueShare * float64(elapsed))
	}
	return machine.now.Add(max(remaining, minRemainingTime))
}

// holdRoom keeps the room of a waiting gang from the stages behind it in this pass, unless they are expected to end before the
// gang starts.
func (machine *Machine) holdRoom(waiting *waitingStage) {
	if waiting.room == nil {
		return
	}
	leader, need := machine.leader, waiting.stage.spec.Resources()
	for _, share := range waiting.room.shares {
		worker, reserved := share.worker, need.Scale(int64(share.tasks))
		if worker.reserved == (almondcross.Resources{}) || waiting.room.startAt.Before(worker.reservedFrom) {
			worker.reservedFrom = waiting.room.startAt
		}
		worker.reserved = worker.reserved.Add(reserved)
		leader.reservedCPU += reserved.MilliCPU()
	}
}

// unreserved returns the free resources of a worker for a run of a stage in this pass: those that are not reserved, or all of them if
// the run is expected to end before the first gang starts there.
func (machine *Machine) unreserved(worker *worker, stage *stage) almondcross.Resources {
	if worker.reserved == (almondcross.Resources{}) {
		return worker.free()
	}
	expected := time.Duration(backfillFactor*float64(machine.expectedRunTime(stage, worker))) + minRemainingTime
	if expected > minRemainingTime && machine.now.Add(expected).Before(worker.reservedFrom) {
		return worker.free()
	}
	return worker.free().Sub(worker.reserved)
}

// dropRoom ends the reservation of a gang that has one.
func (machine *Machine) dropRoom(waiting *waitingStage, reason string) {
	room := waiting.room
	if room == nil {
		return
	}
	waiting.room = nil
	machine.config.Metrics.RoomChanged(reason)
	machine.config.Log.Record("room_dropped", almondcross.Text("stage", waiting.stage.id.String()), almondcross.Text("reason", reason),
		almondcross.Text("complete", yesNo(room.complete)), almondcross.Millis("after_ms", machine.now.Sub(room.since)),
		almondcross.Millis("late_ms", machine.now.Sub(room.startAt)))
}

// endRoom ends the reservation of a gang that no longer waits, because it has started or its job has ended.
func (machine *Machine) endRoom(waiting *waitingStage) {
	if waiting.job.state.Final() {
		machine.dropRoom(waiting, "job_final")
	}
	machine.dropRoom(waiting, "started")
}

// ticketsForRoom returns the workers for which a gang with a reservation needs tickets now: those whose tickets do not last
// until its expected start, with some spare ones. It returns none until the start is near.
func (machine *Machine) ticketsForRoom(queue almondcross.Queue, room *gangRoom, advice *stageAdvice) []string {
	count := len(room.shares) + len(room.spares)
	call := callWork(queue.AdviceSettings(), (count+machine.callParts(queue.AdviceSettings(), count)-1)/machine.callParts(queue.AdviceSettings(), count))
	if room.startAt.Sub(machine.now) > call+maxRoundTrip+ticketLead {
		return nil
	}
	startAt := later(room.startAt, machine.now)
	var workers []string
	for _, share := range room.shares {
		if !advice.hasTicket(share.worker, startAt) {
			workers = append(workers, share.worker.id)
		}
	}
	if len(workers) == 0 {
		return nil
	}
	for _, id := range room.spares {
		if worker := machine.leader.workers[id]; worker != nil && !advice.hasTicket(worker, startAt) {
			workers = append(workers, id)
		}
	}
	slices.SortFunc(workers, strings.Compare)
	return workers[:min(len(workers), maxWorkersPerCall)]
}
