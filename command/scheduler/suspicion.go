package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// suspicion is how careful the scheduler is with a task under which workers have crashed. All tasks on a worker that
// crashes come under suspicion, and one of them may crash the next worker too.
type suspicion int

const (
	unsuspected suspicion = iota // unsuspected tasks share workers with any others.
	suspected                    // suspected tasks have seen one crash. Each gets an empty worker, or one without another suspect, so that a second crash shows which of them is the cause.
	isolated                     // isolated tasks have seen several crashes, or are of a queue whose tasks crash workers. They share a worker only with others of their job, so that a crash costs no other run.

	suspicionLevels = 3
)

const (
	// isolationCrashes is the count of crashes from which a task is isolated.
	isolationCrashes = 2
	// isolationTimeout is how long a task waits for a worker of its own before it is placed like a suspected one. Most
	// runs end within it, so that a worker that gets no new work is empty by then.
	isolationTimeout = 2 * time.Second
	// probation is how long a run of a suspected task has to be at work until its worker is shared again. A task that
	// crashes its workers does so soon after its start.
	probation = 3 * time.Second
	// blamedIsolationTimeout replaces isolationTimeout for a task, other than a service, of a queue whose tasks crash workers.
	// Nearly all runs end within it, so only on a cluster whose workers are never empty is there none.
	blamedIsolationTimeout = 10 * time.Second
	// maxQuarantine is how long a stage is isolated because of its queue. Ever new runs may occupy every worker for longer,
	// and newer stages go first. In trials with 30 s the jobs that crash workers, let go together, cost the blamed queue of
	// crash-frequent .05 of its worth (docs/incidents/crashing-task.md).
	maxQuarantine = time.Minute
	// minIsolationShare and maxIsolationShare bound the share of the workers that isolated tasks may occupy, crashed
	// workers included. Between them the share is what shared work leaves when it grows to maxSharedUse of its workers.
	minIsolationShare, maxIsolationShare, maxSharedUse = 0.125, 0.75, 0.75
)

// suspicion returns the suspicion of a task by its own crashes. The members of a gang run together and share the highest
// one.
func (stage *stage) suspicion(index int) suspicion {
	crashes := stage.tasks.at(index).Crashes()
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

// suspicion returns the suspicion of a task, by its own crashes and by those of its queue.
func (machine *Machine) suspicion(job *job, stage *stage, index int) suspicion {
	return max(machine.queueSuspicion(job, stage), stage.suspicion(index))
}

// quarantine reports whether a waiting stage is isolated because of its queue. A stage that has waited while its queue was
// blamed stays isolated: the jobs that crash workers wait among those of that time.
func (machine *Machine) quarantine(waiting *waitingStage) bool {
	if _, known := machine.leader.quarantined[waiting.stage.id]; !known && machine.queueCrashing(waiting.job) {
		machine.leader.quarantined[waiting.stage.id] = machine.now
	}
	return machine.isQuarantined(waiting.job, waiting.stage)
}

// queueSuspicion returns the suspicion of the tasks of a stage by their queue. A stage that has been isolated for
// maxQuarantine is suspected from then on.
func (machine *Machine) queueSuspicion(job *job, stage *stage) suspicion {
	since, known := machine.leader.quarantined[stage.id]
	switch {
	case known && machine.now.Sub(since) >= maxQuarantine:
		return suspected
	case known || machine.queueCrashing(job):
		return isolated
	default:
		return unsuspected
	}
}

// isQuarantined reports whether the tasks of a stage are isolated because of their queue.
func (machine *Machine) isQuarantined(job *job, stage *stage) bool {
	return machine.queueSuspicion(job, stage) == isolated
}

// unplacedTasks returns the indices of the tasks to place, by their suspicion.
func (machine *Machine) unplacedTasks(job *job, stage *stage) [suspicionLevels][]int {
	var unplaced [suspicionLevels][]int
	lowest := machine.queueSuspicion(job, stage)
	for index := range stage.tasks.len() {
		if record := stage.tasks.at(index); record.Done() || record.Active() {
			continue
		}
		level := max(lowest, stage.suspicion(index))
		unplaced[level] = append(unplaced[level], index)
	}
	return unplaced
}

// waitingSuspicion returns the highest suspicion of the tasks to place.
func (machine *Machine) waitingSuspicion(job *job, stage *stage) suspicion {
	highest := machine.queueSuspicion(job, stage)
	if highest == isolated || stage.maxCrashes == 0 {
		return highest
	}
	for index := range stage.tasks.len() {
		if record := stage.tasks.at(index); !record.Done() && !record.Active() {
			highest = max(highest, stage.suspicion(index))
		}
	}
	return highest
}

// accepts reports whether the worker may get a task of a job under a suspicion, beside the runs that it has.
func (worker *worker) accepts(job *job, suspicion suspicion) bool {
	if worker.isolatedRuns > 0 {
		return worker.isolatedFor == job
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

// cautiousCandidates returns the candidates for single tasks of a stage under a suspicion. Tasks that cannot be kept apart
// are placed like others, since innocent ones must not wait for long. Those of a queue whose tasks crash workers wait longer
// and then get the workers that have been occupied by the same runs for as long, which are not going to be empty soon.
func (machine *Machine) cautiousCandidates(queue almondcross.Queue, waiting *waitingStage, level suspicion, advice *stageAdvice) []almondcross.WorkerCapacity {
	if level == unsuspected {
		return machine.candidates(queue, waiting.job, waiting.stage, unsuspected, advice)
	}
	if found := machine.isolatedCandidates(queue, waiting, advice); len(found) > 0 || level == isolated && machine.mayWaitForIsolation(waiting) {
		return found
	}
	if machine.isQuarantined(waiting.job, waiting.stage) {
		return machine.longOccupiedCandidates(queue, waiting, advice)
	}
	if found := machine.candidates(queue, waiting.job, waiting.stage, suspected, advice); len(found) > 0 {
		return found
	}
	return machine.candidates(queue, waiting.job, waiting.stage, unsuspected, advice)
}

// longOccupiedCandidates returns the candidates all of whose runs are older than the time for which the stage has to wait,
// no more than isolated tasks may still occupy.
func (machine *Machine) longOccupiedCandidates(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) []almondcross.WorkerCapacity {
	limit := machine.spareIsolation()
	if limit == 0 {
		return nil
	}
	placedBefore := machine.now.Add(-machine.isolationTimeout(waiting))
	found := slices.DeleteFunc(machine.candidates(queue, waiting.job, waiting.stage, suspected, advice), func(candidate almondcross.WorkerCapacity) bool {
		return machine.leader.workers[candidate.Worker()].hasRunSince(placedBefore)
	})
	return found[:min(len(found), limit)]
}

// hasRunSince reports whether a run was assigned to the worker after a time.
func (worker *worker) hasRunSince(limit time.Time) bool {
	for _, assignment := range worker.assignments {
		if assignment.placedAt.After(limit) {
			return true
		}
	}
	return false
}

// placeGang places a gang under a suspicion on workers of its own if these have room for all members. Otherwise, it places
// it like others, as cautiousCandidates does.
func (machine *Machine) placeGang(queue almondcross.Queue, waiting *waitingStage, wanted []int, level suspicion, advice *stageAdvice) bool {
	job, stage := waiting.job, waiting.stage
	if level != unsuspected {
		if machine.placeGroup(job, stage, wanted, machine.candidates(queue, job, stage, isolated, advice)) {
			return true
		}
		if level == isolated && machine.mayWaitForIsolation(waiting) {
			return false
		}
		if machine.placeGroup(job, stage, wanted, machine.candidates(queue, job, stage, suspected, advice)) {
			return true
		}
	}
	candidates := machine.candidates(queue, job, stage, unsuspected, advice)
	return machine.placeGroup(job, stage, wanted, machine.withoutSlow(queue, waiting, len(wanted), advice, candidates))
}

// mayWaitForIsolation reports whether an isolated task of a stage may continue to wait for a worker of its own.
func (machine *Machine) mayWaitForIsolation(waiting *waitingStage) bool {
	return waiting.isolationSince.IsZero() || machine.now.Sub(waiting.isolationSince) < machine.isolationTimeout(waiting)
}

// isolationTimeout returns how long an isolated task of a stage waits for a worker of its own.
func (machine *Machine) isolationTimeout(waiting *waitingStage) time.Duration {
	if machine.isQuarantined(waiting.job, waiting.stage) && !waiting.stage.spec.Service() {
		return blamedIsolationTimeout
	}
	return isolationTimeout
}

// isolatedCandidates returns the workers that isolated tasks of a stage may use: those with runs of the same job alone,
// and empty ones.
func (machine *Machine) isolatedCandidates(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) []almondcross.WorkerCapacity {
	found := machine.candidates(queue, waiting.job, waiting.stage, isolated, advice)
	return found[:min(len(found), machine.spareIsolation())]
}

// limitIsolation counts the workers that isolated tasks occupy, and sets how many they may occupy.
func (machine *Machine) limitIsolation() {
	leader := machine.leader
	leader.isolatedWorkers = 0
	var present int
	var sharedCPU, presentCPU int64
	for _, worker := range leader.sortedWorkers {
		if !worker.announced && len(worker.assignments) == 0 {
			continue
		}
		present++
		presentCPU += worker.info.Capacity().MilliCPU()
		if worker.isolatedRuns > 0 {
			leader.isolatedWorkers++
		} else {
			sharedCPU += worker.used.MilliCPU()
		}
	}
	spare := 1 - float64(sharedCPU)/(maxSharedUse*float64(max(presentCPU, 1)))
	leader.isolationLimit = max(1, int(min(max(spare, minIsolationShare), maxIsolationShare)*float64(present)))
}

// spareIsolation returns how many more workers isolated tasks may occupy.
func (machine *Machine) spareIsolation() int {
	return max(0, machine.leader.isolationLimit-machine.leader.isolatedWorkers)
}

// awaitIsolation notes since when tasks of a stage wait for workers of their own, and keeps the least occupied worker
// that they may use free of further runs in this pass. Jobs of a queue whose tasks crash workers are placed last in a pass,
// too late to keep one free.
func (machine *Machine) awaitIsolation(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice, placed bool) {
	if placed {
		waiting.isolationSince = time.Time{}
		return
	}
	if waiting.isolationSince.IsZero() {
		waiting.isolationSince = machine.now
	}
	if waiting.stage.spec.Gang() || machine.spareIsolation() == 0 || machine.isQuarantined(waiting.job, waiting.stage) {
		return
	}
	var emptiest *worker
	for _, candidate := range machine.candidates(queue, waiting.job, waiting.stage, suspected, advice) {
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

// endProbation trusts a run of a suspected task that has worked for the probation, and lets others share its worker.
func (machine *Machine) endProbation(worker *worker, assignment *assignment) {
	if assignment.suspicion == unsuspected || assignment.confirmedAt.IsZero() || machine.now.Sub(assignment.confirmedAt) < probation {
		return
	}
	if assignment.suspicion == isolated {
		worker.isolatedRuns--
	}
	worker.suspectRuns--
	assignment.suspicion = unsuspected
}
