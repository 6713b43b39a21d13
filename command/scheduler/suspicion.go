package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// suspicion is how careful the scheduler is with a task under which workers have crashed. All tasks on a worker that
// crashes come under suspicion, and one of them may crash the next worker too.
type suspicion int

const (
	unsuspected suspicion = iota // unsuspected tasks share workers with any others.
	suspected                    // suspected tasks have seen one crash. Each gets a worker without another suspect, so that a second crash tells them apart.
	isolated                     // isolated tasks have seen several crashes. Each runs alone, so that a further crash costs no other run.

	suspicionLevels = 3
)

const (
	// isolationCrashes is the number of crashes from which a task is isolated.
	isolationCrashes = 2
	// isolationTimeout is how long a task waits for a worker of its own before it is placed like a suspected one. Most
	// runs end within it, so that a worker that gets no new work is empty by then.
	isolationTimeout = 2 * time.Second
	// maxIsolationShare is the maximum share of the usable workers that isolated tasks may occupy.
	maxIsolationShare = 0.125
)

// suspicion returns the suspicion of a task. The members of a gang run together and share the highest one.
func (stage *stage) suspicion(index int) suspicion {
	crashes := stage.tasks[index].Crashes()
	if stage.spec.Gang() {
		crashes = stage.maxCrashes
	}
	switch {
	case crashes == 0:
		return unsuspected
	case crashes < isolationCrashes:
		return suspected
	default:
		return isolated
	}
}

// unplacedTasks returns the indices of the tasks to place, by their suspicion.
func (stage *stage) unplacedTasks() [suspicionLevels][]int {
	var unplaced [suspicionLevels][]int
	for index, record := range stage.tasks {
		if !record.Done() && !record.Active() {
			level := stage.suspicion(index)
			unplaced[level] = append(unplaced[level], index)
		}
	}
	return unplaced
}

// waitingSuspicion returns the highest suspicion of the tasks to place.
func (stage *stage) waitingSuspicion() suspicion {
	highest := unsuspected
	for index, record := range stage.tasks {
		if !record.Done() && !record.Active() {
			highest = max(highest, stage.suspicion(index))
		}
	}
	return highest
}

// accepts reports whether the worker may get a task under a suspicion, beside the runs that it has.
func (worker *worker) accepts(suspicion suspicion) bool {
	if worker.isolatedRuns > 0 {
		return false
	}
	switch suspicion {
	case suspected:
		return worker.suspectRuns == 0
	case isolated:
		return len(worker.assignments) == 0
	default:
		return true
	}
}

// cautiousCandidates returns the candidates for the tasks of a stage under a suspicion. Tasks that cannot be kept apart
// are placed like others: an innocent one must not wait for long.
func (machine *Machine) cautiousCandidates(queue almondcross.Queue, waiting *waitingStage, level suspicion, advice *stageAdvice) []almondcross.WorkerCapacity {
	if level == isolated {
		if waiting.isolationSince.IsZero() || machine.now.Sub(waiting.isolationSince) < isolationTimeout {
			return machine.isolatedCandidates(queue, waiting.stage, advice)
		}
		level = suspected
	}
	found := machine.candidates(queue, waiting.stage, level, advice)
	if len(found) == 0 && level == suspected {
		return machine.candidates(queue, waiting.stage, unsuspected, advice)
	}
	return found
}

// isolatedCandidates returns the empty workers that isolated tasks of a stage may use. A gang gets as many as it needs.
func (machine *Machine) isolatedCandidates(queue almondcross.Queue, stage *stage, advice *stageAdvice) []almondcross.WorkerCapacity {
	found := machine.candidates(queue, stage, isolated, advice)
	if stage.spec.Gang() {
		return found
	}
	return found[:min(len(found), machine.spareIsolation())]
}

// spareIsolation returns how many more workers isolated tasks may occupy.
func (machine *Machine) spareIsolation() int {
	leader := machine.leader
	return max(0, max(1, int(maxIsolationShare*float64(len(leader.usableWorkers))))-leader.isolatedWorkers)
}

// awaitIsolation notes since when tasks of a stage wait for workers of their own, and keeps the least occupied worker
// that they may use free of further runs in this pass.
func (machine *Machine) awaitIsolation(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice, placed bool) {
	if placed {
		waiting.isolationSince = time.Time{}
		return
	}
	if waiting.isolationSince.IsZero() {
		waiting.isolationSince = machine.now
	}
	if waiting.stage.spec.Gang() || machine.spareIsolation() == 0 {
		return
	}
	var emptiest *worker
	for _, candidate := range machine.candidates(queue, waiting.stage, suspected, advice) {
		worker := machine.leader.workers[candidate.Worker()]
		if emptiest == nil || len(worker.assignments) < len(emptiest.assignments) {
			emptiest = worker
		}
	}
	if emptiest != nil {
		emptiest.inPass = false
		machine.leader.isolatedWorkers++
	}
}
