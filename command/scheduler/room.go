package scheduler

import "github.com/almondcross/almondcross"

// roomBound is an upper bound on what fits on one worker of a pool in the current pass. While nothing is free, a pass would
// otherwise look at every worker for each of hundreds of waiting stages. The bound is exact enough to leave out only stages
// for which no worker has room.
type roomBound struct {
	exhausted bool // exhausted is set once a stage has found too little room.
	current   bool // current is set while largest is not above the room of the workers.
	largest   almondcross.Resources
}

// placeIfRoom places tasks of a stage that needs no advice, unless the bound of its pool shows that none fits, and reports whether no
// task is left to place. A stage under suspicion is always looked at, since its wait for a worker of its own counts from then on. The
// bound leaves out what is kept for gangs, and workers that appear to be faulty, so it says nothing of a stage that may use these.
func (machine *Machine) placeIfRoom(queue almondcross.Queue, waiting *waitingStage) bool {
	bound := machine.roomBound(queue.Pool())
	suspected := waiting.stage.maxCrashes > 0 || machine.queueSuspicion(waiting.job, waiting.stage) != unsuspected
	if bound.exhausted && !suspected && !machine.ignoresReservations(queue, waiting.stage) && !machine.mayUseFaulty(queue, waiting.stage, nil) {
		if !bound.current {
			machine.updateRoom(queue.Pool(), bound)
		}
		if !waiting.stage.spec.Resources().Fits(bound.largest) {
			return false
		}
	}
	before := waiting.stage.activeTasks
	complete := machine.placeTasks(queue, waiting, nil)
	bound.exhausted = bound.exhausted || !complete
	bound.current = bound.current && waiting.stage.activeTasks == before
	return complete
}

// roomBound returns the bound of a pool in the current pass.
func (machine *Machine) roomBound(pool string) *roomBound {
	bound := machine.leader.roomBounds[pool]
	if bound == nil {
		bound = &roomBound{}
		machine.leader.roomBounds[pool] = bound
	}
	return bound
}

// updateRoom sets the bound to the most of each resource that a usable worker of the pool has free.
func (machine *Machine) updateRoom(pool string, bound *roomBound) {
	bound.largest, bound.current = almondcross.Resources{}, true
	machine.leader.examinedWorkers += len(machine.leader.usableWorkers)
	for _, worker := range machine.leader.usableWorkers {
		if worker.info.Pool() == pool && worker.inPass {
			bound.largest = bound.largest.Max(worker.free().Sub(worker.reserved))
		}
	}
}
