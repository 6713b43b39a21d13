package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// waitingStage is a stage that is ready to start and has tasks to place.
type waitingStage struct {
	job    *job
	stage  *stage
	advice *stageAdvice // advice is nil before the first query.
	// slowSince is when only slow workers first had room for all tasks to place, zero if they never did.
	slowSince time.Time
	// isolationSince is when a task of the stage first waited for a worker of its own, zero if none waits.
	isolationSince time.Time
	quota          quotaWait
	share          shareEntry // share is the entry whose stage waits.
	putBackLogged  bool       // putBackLogged is set once the log has told that the stage waits behind other workspaces.
	priority       int        // priority is that of the queue by the configuration in force.
	order          almondcross.OrderQuery
	rank           almondcross.OrderRank // rank is that of the last pass.
}

// placementInterval returns the minimum time between two placement passes.
func (leader *leader) placementInterval() time.Duration {
	return max(minPlacementInterval, time.Duration(len(leader.waitingStages))*stagePlacementInterval)
}

// placeStages assigns tasks to workers in the order of the stages and requests missing advice.
func (machine *Machine) placeStages() {
	leader := machine.leader
	machine.startPass()
	machine.rankStages()
	var isolatedStages []*waitingStage
	machine.visitInShareOrder(func(waiting *waitingStage) {
		switch {
		case !waiting.job.ready(waiting.stage):
		case machine.quarantine(waiting):
			isolatedStages = append(isolatedStages, waiting)
		default:
			machine.placeStage(waiting)
		}
	})
	// Isolated stages wait long, as few workers are left for them. The newest ones can still be in time, and show first
	// whether the jobs of the queue still crash workers. Those that have waited for too long go before them all the same.
	for _, waiting := range isolatedStages {
		if waiting.rank.Overdue() {
			machine.placeStage(waiting)
		}
	}
	for _, waiting := range slices.Backward(isolatedStages) {
		if !waiting.rank.Overdue() {
			machine.placeStage(waiting)
		}
	}
	machine.dropPlacedStages()
	machine.config.Metrics.Examined(leader.examinedWorkers)
}

// dropPlacedStages removes the stages without tasks to place from the waiting ones.
func (machine *Machine) dropPlacedStages() {
	leader := machine.leader
	stillWaiting := leader.waitingStages[:0]
	for _, waiting := range leader.waitingStages {
		if waiting.job.ready(waiting.stage) {
			stillWaiting = append(stillWaiting, waiting)
			continue
		}
		machine.endQuotaWait(waiting)
		waiting.share.leave()
		delete(leader.queued, waiting.stage.id)
		delete(leader.quarantined, waiting.stage.id)
		if waiting.stage.remainingTasks == 0 || waiting.job.state.Final() {
			machine.dropAdvice(waiting.stage.id)
		}
	}
	clear(leader.waitingStages[len(stillWaiting):])
	leader.waitingStages = stillWaiting
}

// startPass collects the workers and the hosts that may be used in a placement pass.
func (machine *Machine) startPass() {
	leader := machine.leader
	leader.usableWorkers, leader.ownWorkers, leader.faultyWorkers = leader.usableWorkers[:0], leader.ownWorkers[:0], leader.faultyWorkers[:0]
	leader.reservedCPU, leader.usableCPU, leader.heldWorkers = 0, 0, 0
	leader.examinedWorkers = len(leader.sortedWorkers)
	leader.shares.clearCapacity()
	for _, worker := range leader.sortedWorkers {
		worker.reserved, worker.held = almondcross.Resources{}, false
		reason := worker.unusable(machine.now)
		if reason == obstacleFaulty {
			leader.faultyWorkers = append(leader.faultyWorkers, worker)
		}
		if worker.inPass = reason == ""; worker.inPass {
			leader.usableWorkers = append(leader.usableWorkers, worker)
			leader.usableCPU += worker.info.Capacity().MilliCPU()
			leader.shares.addCapacity(worker.info)
			if worker.isolatedRuns > 0 || len(worker.assignments) == 0 {
				leader.ownWorkers = append(leader.ownWorkers, worker)
			}
		}
	}
	clear(leader.roomBounds)
	clear(leader.crowdedPools)
	leader.quotas.startPass()
	leader.shares.setTotals(machine.now)
	machine.limitIsolation()
	machine.collectHosts()
}

// allowedWorkers returns the usable workers that advice allows for a stage. There are far fewer of them than workers,
// and a pass under load looks at them for each waiting stage.
func (machine *Machine) allowedWorkers(advice *stageAdvice) []*worker {
	leader := machine.leader
	leader.allowedWorkers = leader.allowedWorkers[:0]
	for _, id := range advice.allowed {
		if worker := leader.workers[id]; worker != nil && worker.inPass {
			leader.allowedWorkers = append(leader.allowedWorkers, worker)
		}
	}
	return leader.allowedWorkers
}

func (machine *Machine) placeStage(waiting *waitingStage) {
	queue := machine.queue(waiting.job)
	switch {
	case queue.Pool() == "":
	case machine.awaitQuota(waiting):
	case !queue.AdviceSettings().Required():
		if !machine.placeIfRoom(queue, waiting) && waiting.stage.spec.Gang() && machine.quotaAllows(waiting) {
			machine.reserveRoom(queue, waiting, nil)
		}
	default:
		if waiting.advice == nil {
			waiting.advice = machine.ensureAdvice(waiting.stage.id)
		}
		if waiting.advice.anyTicketValid(machine.now) {
			if machine.placeTasks(queue, waiting, waiting.advice) {
				return
			}
		}
		if !machine.quotaAllows(waiting) {
			return
		}
		if waiting.stage.spec.Gang() {
			machine.reserveRoom(queue, waiting, waiting.advice)
		}
		machine.requestAdvice(queue, waiting, waiting.advice)
	}
}

// candidates returns the usable workers on which at least one task of a stage fits that is under the given suspicion.
// With advice, it returns only those with a valid ticket.
func (machine *Machine) candidates(queue almondcross.Queue, job *job, stage *stage, suspicion suspicion, advice *stageAdvice) []almondcross.WorkerCapacity {
	query := &placementQuery{
		queue: queue, job: job, stage: stage, suspicion: suspicion, advice: advice, avoided: machine.avoidedWorkers(queue, stage),
	}
	workers := machine.leader.usableWorkers
	switch {
	case advice != nil:
		workers = machine.allowedWorkers(advice)
	case suspicion == isolated:
		workers = machine.leader.ownWorkers
	}
	candidates := machine.candidatesAmong(workers, query)
	if suspicion == unsuspected && machine.mayUseFaulty(queue, stage, candidates) {
		query.lastResort = true
		candidates = append(candidates, machine.candidatesAmong(machine.leader.faultyWorkers, query)...)
	}
	return candidates
}

// candidatesAmong returns the workers among some on which at least one task of a stage fits.
func (machine *Machine) candidatesAmong(workers []*worker, query *placementQuery) []almondcross.WorkerCapacity {
	machine.leader.examinedWorkers += len(workers)
	var candidates []almondcross.WorkerCapacity
	for _, worker := range workers {
		count, _ := machine.fit(worker, query)
		if count == 0 {
			continue
		}
		candidates = append(candidates, almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{
			Worker: worker.id, Rack: worker.info.Rack(), Free: machine.unreserved(worker, query.queue, query.stage), Capacity: worker.info.Capacity(),
			Tasks: count, Speed: worker.pace(),
		}))
	}
	return candidates
}

// runCount returns how many runs of a stage the worker has.
func (worker *worker) runCount(stage almondcross.StageID) int {
	count := 0
	for task := range worker.assignments {
		if task.Stage == stage {
			count++
		}
	}
	return count
}

// tasksIn returns how many tasks of a stage may run in some resources of the worker beside its runs of the stage, at most limit.
func (worker *worker) tasksIn(room almondcross.Resources, stage *stage, limit int) int {
	count := maxTasks(room, stage.spec.Resources(), limit)
	if count == 0 || stage.spec.PerWorker() == 0 {
		return count
	}
	return min(count, max(stage.spec.PerWorker()-worker.runCount(stage.id), 0))
}

// eventualTasks returns how many tasks of a stage may run on the worker once all runs other than services have ended.
func (worker *worker) eventualTasks(stage *stage) int {
	count := maxTasks(worker.info.Capacity().Sub(worker.usedByServices), stage.spec.Resources(), stage.spec.Count())
	if count == 0 || stage.spec.PerWorker() == 0 {
		return count
	}
	limit := stage.spec.PerWorker()
	if stage.spec.Service() {
		limit -= worker.runCount(stage.id)
	}
	return min(count, max(limit, 0))
}

// mayEverRun reports whether the worker is of the kind of a step, and advice, nil for none, allows it or has not decided.
func (worker *worker) mayEverRun(queue almondcross.Queue, step almondcross.Step, advice *stageAdvice) bool {
	if !worker.isOfKind(queue, step) {
		return false
	}
	if advice == nil {
		return true
	}
	allowed, decided := advice.decisions[worker.id]
	return allowed || !decided
}

// maxTasks returns how many tasks with the given need fit in the available resources, at most limit.
func maxTasks(available, need almondcross.Resources, limit int) int {
	count := int64(limit)
	for _, pair := range [...][2]int64{
		{available.MilliCPU(), need.MilliCPU()}, {available.MemoryMB(), need.MemoryMB()}, {available.Accelerators(), need.Accelerators()},
	} {
		if pair[1] > 0 {
			count = min(count, max(pair[0], 0)/pair[1])
		}
	}
	return int(count)
}

// placeTasks places as many tasks of a stage as it can, or a whole gang or nothing. It reports whether no task
// is left to place.
func (machine *Machine) placeTasks(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) bool {
	complete := true
	for level, wanted := range machine.unplacedTasks(waiting.job, waiting.stage) {
		suspicion := suspicion(level)
		if len(wanted) == 0 {
			continue
		}
		var placed bool
		if waiting.stage.spec.Gang() {
			placed = machine.placeGang(queue, waiting, wanted, suspicion, advice)
		} else {
			placed = machine.placeSingles(queue, waiting, wanted, suspicion, advice)
		}
		complete = complete && placed
		if suspicion == isolated {
			machine.awaitIsolation(queue, waiting, advice, placed)
		}
	}
	return complete
}

// placeSingles places tasks of a stage that is no gang, on slow workers only as trials or if others have no room for long.
func (machine *Machine) placeSingles(queue almondcross.Queue, waiting *waitingStage, wanted []int, suspicion suspicion, advice *stageAdvice) bool {
	candidates := machine.cautiousCandidates(queue, waiting, suspicion, advice)
	if suspicion != unsuspected {
		return machine.placeGroup(waiting.job, waiting.stage, wanted, candidates)
	}
	if trials := machine.placeTrials(waiting, machine.withinQuota(waiting.job, waiting.stage, wanted), candidates); trials > 0 {
		wanted = wanted[trials:]
		candidates = machine.cautiousCandidates(queue, waiting, suspicion, advice) // The trials have taken room.
	}
	return machine.placeGroup(waiting.job, waiting.stage, wanted, machine.withoutSlow(queue, waiting, len(wanted), advice, candidates))
}

// placeGroup places tasks of a stage that are under the same suspicion.
func (machine *Machine) placeGroup(job *job, stage *stage, wanted []int, candidates []almondcross.WorkerCapacity) bool {
	complete := len(wanted)
	wanted = machine.withinQuota(job, stage, wanted)
	if len(candidates) == 0 || len(wanted) == 0 {
		return false
	}
	chosen := machine.config.Picker.Pick(almondcross.NewPickQuery(almondcross.PickQueryConfig{
		Count: len(wanted), Need: stage.spec.Resources(), AllOrNothing: stage.spec.Gang(),
		SameRack: stage.spec.SameRack(), Rack: stage.spec.DataRack(),
		SinceReady: machine.now.Sub(stage.readyAt),
	}), candidates)
	if stage.spec.Gang() && len(chosen) < len(wanted) {
		return false
	}
	run := stage.gangRun + 1
	for position, id := range chosen {
		index := wanted[position]
		if !stage.spec.Gang() {
			run = stage.tasks.at(index).Run() + 1
		}
		machine.assign(job, stage, index, run, machine.leader.workers[id])
	}
	return len(chosen) == complete
}

// replaceGangMember assigns a gang member that never started to another worker, under the same run number,
// while the started members still wait for it.
func (machine *Machine) replaceGangMember(missing *assignment) bool {
	stage, job := missing.stage, missing.job
	if missing.stopReason != "" || stage.activeTasks == 0 || missing.run != stage.gangRun || machine.now.Sub(missing.placedAt) > memberReplaceTimeout {
		return false
	}
	if !machine.mayReplace(missing) {
		return false
	}
	queue := machine.queue(job)
	var advice *stageAdvice
	if queue.AdviceSettings().Required() {
		if advice = machine.leader.advice[stage.id]; advice == nil {
			return false
		}
	}
	chosen := machine.config.Picker.Pick(almondcross.NewPickQuery(almondcross.PickQueryConfig{
		Count: 1, Need: stage.spec.Resources(), AllOrNothing: true,
	}), machine.candidates(queue, job, stage, machine.suspicion(job, stage, missing.task.Index), advice))
	if len(chosen) == 0 {
		return false
	}
	machine.assign(job, stage, missing.task.Index, missing.run, machine.leader.workers[chosen[0]])
	machine.leader.workers[chosen[0]].assignments[missing.task].placedAt = missing.placedAt
	return true
}

// memberReplaceTimeout is how long after its placement a gang member may be assigned to another worker. The
// other members wait for it for at least three seconds.
const memberReplaceTimeout = 1800 * time.Millisecond

// assign records the assignment of a run to a worker and sends the start order once the journal holds it.
func (machine *Machine) assign(job *job, stage *stage, index, run int, worker *worker) {
	task := almondcross.JobTask{Stage: stage.id, Index: index}
	assigned := &assignment{
		task: task, run: run, resources: stage.spec.Resources(), job: job, stage: stage, phase: phaseCommitting, placedAt: machine.now,
		suspicion: machine.suspicion(job, stage, index), missingEnd: almondcross.EndVoid,
	}
	if assigned.suspicion == isolated && worker.isolatedRuns == 0 {
		machine.leader.isolatedWorkers++
	}
	worker.assign(assigned)
	machine.chargeShare(assigned)
	change := almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: run, Worker: worker.id}
	if address := worker.address(); machine.state.busyAddresses[worker.id] != address {
		change.Address, change.Zone = address.address, address.zone
	}
	machine.recordChange(change)
	machine.config.Log.Record("run_placed", almondcross.Text("task", task.String()), almondcross.Number("run", run),
		almondcross.Text("worker", worker.id), almondcross.Number("free_cpu", worker.free().MilliCPU()),
		almondcross.Millis("list_age_ms", machine.now.Sub(worker.lastAnswerAt)))
	machine.afterCommit(func() { machine.sendStart(worker, assigned) })
}

// sortByTasks sorts candidates by the number of tasks that fit, highest first.
func sortByTasks(candidates []almondcross.WorkerCapacity) {
	slices.SortStableFunc(candidates, func(a, b almondcross.WorkerCapacity) int { return b.Tasks() - a.Tasks() })
}
