package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// A gang starts only when all of its tasks fit at the same time, and smaller tasks take room as soon as it is released. The stages
// behind a waiting gang therefore do not see the free room on the workers that may run it, as far as the gang needs it. While that is
// not enough, stages of a lower priority do not see these workers at all. The room is found anew in each pass: with dozens of waiting
// gangs, the room on named workers that all of them wait for stays free for much longer than the first gang needs to find enough on any.
//
// A gang may wait for workers that are not released for hours. A stage that must start soon therefore uses all free room once it has
// waited for maxIdleWait, and held workers are used by any stage that has waited for maxHold.

// Parameters of the room that is kept free for waiting gangs.
const (
	// maxReservedShare is the maximum share of the CPU capacity that is kept free in a pass. Room that is kept for many gangs at
	// the same time stays idle.
	maxReservedShare = 0.35
	// maxHeldShare is the maximum share of the workers that stages of a lower priority than a waiting gang do not use.
	maxHeldShare = 0.9
	// maxHold is how long a stage waits for gangs of a higher priority. Batch work has time for it, and is not held off altogether
	// while gangs keep arriving.
	maxHold = 5 * time.Second
)

// reserveRoom keeps room for a waiting gang from the stages behind it in this pass, on workers that advice allows if the queue
// needs advice. A gang for which not enough workers are known yet reserves nothing.
func (machine *Machine) reserveRoom(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) {
	workers := machine.gangWorkers(queue, waiting, advice)
	wanted, capacity := waiting.stage.remainingTasks-waiting.stage.activeTasks, 0
	for _, worker := range workers {
		capacity += worker.eventualTasks(waiting.stage)
	}
	// An isolated gang waits for empty workers instead.
	if capacity < wanted || machine.waitingSuspicion(waiting.job, waiting.stage) == isolated {
		return
	}
	// A caller may ask for any amount, and the product may be out of the range of int64.
	demand := float64(wanted) * float64(waiting.stage.spec.Resources().MilliCPU())
	if float64(machine.leader.reservedCPU)+demand <= maxReservedShare*float64(machine.leader.usableCPU) {
		if wanted = machine.reserveFree(workers, waiting.stage, wanted, advice); wanted == 0 {
			return // The gang waits only for tickets.
		}
	}
	for _, worker := range workers {
		machine.holdWorker(worker, queue.Priority())
	}
}

// reserveFree reserves the free room for a number of tasks of a gang, first on the workers with tickets, since other room may be gone
// before the gang has one. It returns for how many tasks there is none.
func (machine *Machine) reserveFree(workers []*worker, stage *stage, tasks int, advice *stageAdvice) int {
	if advice == nil {
		return machine.reserveOn(workers, stage, tasks)
	}
	var ready, others []*worker
	for _, worker := range workers {
		if advice.hasTicket(worker, machine.now) {
			ready = append(ready, worker)
		} else {
			others = append(others, worker)
		}
	}
	return machine.reserveOn(others, stage, machine.reserveOn(ready, stage, tasks))
}

// gangWorkers returns the workers that may run a waiting gang.
func (machine *Machine) gangWorkers(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) []*worker {
	candidates := machine.leader.usableWorkers
	if advice != nil {
		candidates = machine.allowedWorkers(advice)
	}
	machine.leader.examinedWorkers += len(candidates)
	failed := machine.avoidedWorkers(queue, waiting.stage)
	workers := machine.leader.gangWorkers[:0]
	for _, worker := range candidates {
		if worker.inPass && !failed[worker.id] && worker.isOfKind(queue, waiting.stage.spec) && worker.accepts(waiting.job, unsuspected) {
			workers = append(workers, worker)
		}
	}
	machine.leader.gangWorkers = workers
	return workers
}

// holdWorker keeps a worker from stages of a lower priority in this pass.
func (machine *Machine) holdWorker(worker *worker, priority int) {
	leader := machine.leader
	if worker.held || float64(leader.heldWorkers+1) > maxHeldShare*float64(len(leader.usableWorkers)) {
		return
	}
	worker.held, worker.heldPriority = true, priority
	leader.heldWorkers++
}

// reserveOn reserves the free room for a number of tasks on workers and returns for how many tasks there was none. Slow workers are
// left out: the whole gang would be as slow as they are.
func (machine *Machine) reserveOn(workers []*worker, stage *stage, tasks int) int {
	for _, worker := range workers {
		if tasks == 0 {
			break
		}
		if worker.slow {
			continue
		}
		fit := worker.tasksIn(worker.free().Sub(worker.reserved), stage, tasks)
		reserved := stage.spec.Resources().Scale(int64(fit))
		worker.reserved = worker.reserved.Add(reserved)
		machine.leader.reservedCPU += reserved.MilliCPU()
		tasks -= fit
	}
	return tasks
}

// unreserved returns the free resources of a worker for a stage in this pass.
func (machine *Machine) unreserved(worker *worker, queue almondcross.Queue, stage *stage) almondcross.Resources {
	if machine.ignoresReservations(queue, stage) {
		return worker.free()
	}
	if worker.held && queue.Priority() > worker.heldPriority && machine.now.Sub(stage.readyAt) < maxHold {
		return almondcross.Resources{}
	}
	return worker.free().Sub(worker.reserved)
}

// ignoresReservations reports whether a stage has waited long enough to use the room that is kept for gangs.
func (machine *Machine) ignoresReservations(queue almondcross.Queue, stage *stage) bool {
	return machine.now.Sub(stage.readyAt) >= maxIdleWait && machine.mustStartSoon(queue, stage)
}
