package scheduler

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// waiting is a stage with work left whose turn has come.
type waiting struct {
	job    *job
	stage  *stage
	advice *stageAdvice // advice is nil before the first query.
}

// place gives work to workers, the stages in their order, and asks for the advice that is missing.
func (machine *Machine) place() {
	leader := machine.leader
	leader.usable = leader.usable[:0]
	leader.heldCPU, leader.roomCPU = 0, 0
	for _, worker := range leader.order {
		if worker.usable(machine.now) {
			worker.held = almondcross.Resources{}
			leader.usable = append(leader.usable, worker)
			leader.roomCPU += worker.worker.Capacity().MilliCPU()
		}
	}
	kept := leader.stages[:0]
	for _, waiting := range leader.stages {
		if waiting.job.ready(waiting.stage) {
			machine.placeStage(waiting)
		}
		if waiting.job.ready(waiting.stage) {
			kept = append(kept, waiting)
			continue
		}
		delete(leader.queued, waiting.stage.id)
		if waiting.stage.open == 0 || waiting.job.state.Final() {
			machine.forgetAdvice(waiting.stage.id)
		}
	}
	clear(leader.stages[len(kept):])
	leader.stages = kept
}

// queue returns the present form of a job's queue.
func (machine *Machine) queue(job *job) almondcross.Queue {
	if queue, known := machine.queues[job.job.Queue()]; known {
		return queue
	}
	return job.queue
}

func (machine *Machine) placeStage(waiting *waiting) {
	queue := machine.queue(waiting.job)
	switch {
	case queue.Service() == "":
	case !queue.Advice().Wanted():
		machine.placeAmong(waiting.job, waiting.stage, machine.candidates(queue, waiting.stage, nil))
	default:
		if waiting.advice == nil {
			waiting.advice = machine.adviceOf(waiting.stage.id)
		}
		if waiting.advice.usable(machine.now) {
			allowed := machine.candidates(queue, waiting.stage, waiting.advice)
			if len(allowed) > 0 && machine.placeAmong(waiting.job, waiting.stage, allowed) {
				return
			}
		}
		machine.requestAdvice(queue, waiting.stage, waiting.advice)
		if waiting.stage.spec.Gang() {
			machine.holdRoom(queue, waiting.stage, waiting.advice)
		}
	}
}

// holdRoom keeps room for a gang that waits, on workers that advice allows for it, out of reach of the
// stages behind it in this pass. Small tasks would otherwise take each piece of room as it gets free.
func (machine *Machine) holdRoom(queue almondcross.Queue, stage *stage, advice *stageAdvice) {
	leader, need := machine.leader, stage.spec.Resources()
	wanted := stage.open - stage.active
	if float64(leader.heldCPU+int64(wanted)*need.MilliCPU()) > mostHeld*float64(leader.roomCPU) {
		return
	}
	var rooms []heldRoom
	for _, worker := range leader.usable {
		if !advice.allow[worker.id] || worker.worker.Pool() != queue.Service() {
			continue
		}
		if tasks := fitting(worker.worker.Capacity().Sub(worker.kept).Sub(worker.held), need, wanted); tasks > 0 {
			rooms = append(rooms, heldRoom{worker: worker, tasks: tasks, free: fitting(worker.room().Sub(worker.held), need, wanted)})
		}
	}
	slices.SortStableFunc(rooms, func(a, b heldRoom) int { return b.free - a.free })
	for _, room := range rooms {
		tasks := min(room.tasks, wanted)
		held := need.Scale(int64(tasks))
		room.worker.held = room.worker.held.Add(held)
		leader.heldCPU += held.MilliCPU()
		if wanted -= tasks; wanted == 0 {
			return
		}
	}
}

// heldRoom is a worker on which room may be kept for a gang.
type heldRoom struct {
	worker *worker
	tasks  int // tasks is how many tasks fit once what does not belong to gangs has ended.
	free   int // free is how many fit now.
}

// mostHeld is the part of the room that may be kept for waiting gangs.
const mostHeld = 0.4

// candidates returns the usable workers on which at least one task of a stage fits, with advice only
// those that hold a usable ticket.
func (machine *Machine) candidates(queue almondcross.Queue, stage *stage, advice *stageAdvice) []almondcross.WorkerRoom {
	spec := stage.spec
	failed := stage.failedOn()
	if len(failed) >= len(machine.leader.usable) {
		failed = nil
	}
	var rooms []almondcross.WorkerRoom
	for _, worker := range machine.leader.usable {
		if advice != nil && !advice.holds(worker, machine.now) || failed[worker.id] {
			continue
		}
		if worker.worker.Pool() != queue.Service() || !worker.worker.HasLabel(spec.Label()) {
			continue
		}
		free := worker.room().Sub(worker.held)
		count := fitting(free, spec.Resources(), spec.Count())
		if count > 0 && spec.PerWorker() > 0 {
			count = min(count, spec.PerWorker()-worker.countOf(stage.id))
		}
		if count <= 0 {
			continue
		}
		rooms = append(rooms, almondcross.NewWorkerRoom(almondcross.WorkerRoomConfig{
			Worker: worker.id, Rack: worker.worker.Rack(), Free: free, Capacity: worker.worker.Capacity(), Tasks: count,
		}))
	}
	return rooms
}

// failedOn returns the workers on which the last run of a task of the stage failed. A worker that fails what it
// starts would otherwise use up all attempts of a task that has room there.
func (stage *stage) failedOn() map[string]bool {
	var failed map[string]bool
	for _, record := range stage.tasks {
		if record.Failures() > 0 && !record.Active() && !record.Done() {
			if failed == nil {
				failed = map[string]bool{}
			}
			failed[record.Worker()] = true
		}
	}
	return failed
}

// countOf returns how many runs of a stage the worker has.
func (worker *worker) countOf(stage almondcross.StageID) int {
	count := 0
	for task := range worker.assigned {
		if task.Stage == stage {
			count++
		}
	}
	return count
}

// fitting returns how many tasks of a need fit a room, at most a limit.
func fitting(room, need almondcross.Resources, limit int) int {
	count := int64(limit)
	for _, pair := range [...][2]int64{
		{room.MilliCPU(), need.MilliCPU()}, {room.MemoryMB(), need.MemoryMB()}, {room.Accelerators(), need.Accelerators()},
	} {
		if pair[1] > 0 {
			count = min(count, max(pair[0], 0)/pair[1])
		}
	}
	return int(count)
}

// placeAmong places what it can of a stage, a gang only as a whole. It reports whether nothing is left
// to place.
func (machine *Machine) placeAmong(job *job, stage *stage, rooms []almondcross.WorkerRoom) bool {
	var wanted []int
	for index, record := range stage.tasks {
		if !record.Done() && !record.Active() {
			wanted = append(wanted, index)
		}
	}
	chosen := machine.config.Picker.Pick(almondcross.NewPickQuery(almondcross.PickQueryConfig{
		Count: len(wanted), Need: stage.spec.Resources(), Whole: stage.spec.Gang(),
		SameRack: stage.spec.SameRack(), Rack: stage.spec.DataRack(),
		Waited: machine.now.Sub(job.job.Submitted()),
	}), rooms)
	if stage.spec.Gang() && len(chosen) < len(wanted) {
		return false
	}
	run := stage.run + 1
	for position, id := range chosen {
		index := wanted[position]
		if !stage.spec.Gang() {
			run = stage.tasks[index].Run() + 1
		}
		machine.assign(job, stage, index, run, machine.leader.workers[id])
	}
	return len(chosen) == len(wanted)
}

// replaceMember gives the place of a gang's member that was never started to another worker, under the same
// run, while the members that are present still wait for it.
func (machine *Machine) replaceMember(missing *assignment) bool {
	stage, job := missing.stage, missing.job
	if missing.stopping || stage.active == 0 || missing.run != stage.run || machine.now.Sub(missing.placed) > replaceLimit {
		return false
	}
	queue := machine.queue(job)
	var advice *stageAdvice
	if queue.Advice().Wanted() {
		if advice = machine.leader.asked[stage.id]; advice == nil {
			return false
		}
	}
	chosen := machine.config.Picker.Pick(almondcross.NewPickQuery(almondcross.PickQueryConfig{
		Count: 1, Need: stage.spec.Resources(), Whole: true,
	}), machine.candidates(queue, stage, advice))
	if len(chosen) == 0 {
		return false
	}
	machine.assign(job, stage, missing.task.Index, missing.run, machine.leader.workers[chosen[0]])
	machine.leader.workers[chosen[0]].assigned[missing.task].placed = missing.placed
	return true
}

// replaceLimit is how long after its placing a gang's member may be given to another worker. The others
// wait for it for three seconds or more.
const replaceLimit = 1800 * time.Millisecond

// assign records that a run is given to a worker, and sends the start order once that is in the journal.
func (machine *Machine) assign(job *job, stage *stage, index, run int, worker *worker) {
	task := almondcross.JobTask{Stage: stage.id, Index: index}
	given := &assignment{
		task: task, run: run, need: stage.spec.Resources(), job: job, stage: stage, phase: phaseCommitting, placed: machine.now,
	}
	worker.assign(given)
	machine.change(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: run, Worker: worker.id})
	machine.config.Log.Record("run_placed", almondcross.Text("task", task.String()), almondcross.Number("run", run),
		almondcross.Text("worker", worker.id), almondcross.Number("free_cpu", worker.room().MilliCPU()),
		almondcross.Millis("list_age_ms", machine.now.Sub(worker.clockAt)))
	machine.afterCommit(func() { machine.start(worker, given) })
}

// start sends the start order of a run that the journal holds.
func (machine *Machine) start(worker *worker, given *assignment) {
	if worker.assigned[given.task] != given || given.phase != phaseCommitting {
		return
	}
	until := machine.leaseEnd(worker)
	if given.stopping || given.job.state.Final() || until == 0 || worker.silent {
		machine.endRun(worker, given, almondcross.EndVoid, "")
		return
	}
	ticket := ""
	if advice := machine.leader.asked[given.task.Stage]; advice != nil {
		ticket = advice.tickets[worker.id].secret
	}
	record := given.stage.tasks[given.task.Index]
	checkpoint := record.Checkpoint()
	if given.stage.spec.Gang() {
		checkpoint = given.stage.checkpoint
	}
	given.phase, given.fence = phaseSent, worker.fence
	machine.do(SendStart{Order: almondcross.NewStartOrder(almondcross.StartOrderConfig{
		Worker: worker.worker, Task: given.task, Run: given.run, Payload: given.job.job.Payload(), Checkpoint: checkpoint,
		Ticket: ticket, Fence: worker.fence, Until: until,
	})})
}

// runStarted takes the answer to a start order.
func (machine *Machine) runStarted(answer almondcross.RunStarted) {
	machine.config.Meters.Started(answer.Result())
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil {
		return
	}
	given := worker.assigned[answer.Order().Task()]
	if given == nil || given.run != answer.Order().Run() || given.phase != phaseSent || given.fence != answer.Order().Fence() {
		return
	}
	if answer.Result() != almondcross.OrderDone {
		machine.config.Log.Record("start_refused", almondcross.Text("task", given.task.String()), almondcross.Number("run", given.run),
			almondcross.Text("worker", worker.id), almondcross.Text("result", string(answer.Result())),
			almondcross.Millis("age_ms", machine.now.Sub(given.placed)))
	}
	switch answer.Result() {
	case almondcross.OrderDone:
		given.phase, given.present, given.progressAt = phasePresent, answer.Received(), machine.now
	case almondcross.OrderUnknown:
		given.phase = phaseUnknown
		machine.look(worker)
	case almondcross.OrderFenced:
		if answer.Order().Fence() >= worker.fence {
			machine.stopLeading("worker " + worker.id + " has seen a higher fencing token")
			return
		}
		machine.endRun(worker, given, almondcross.EndVoid, "")
	case almondcross.OrderTicket:
		if advice := machine.leader.asked[given.task.Stage]; advice != nil {
			delete(advice.tickets, worker.id)
		}
		machine.endRun(worker, given, almondcross.EndVoid, "")
	case almondcross.OrderUnhealthy, almondcross.OrderNotSent, almondcross.OrderReplaced:
		worker.unhealthy = machine.now.Add(refusalPause)
		machine.endRun(worker, given, almondcross.EndVoid, "")
	default:
		machine.endRun(worker, given, almondcross.EndVoid, "")
	}
}

// refusalPause is how long a worker that refused a start gets no other one.
const refusalPause = 500 * time.Millisecond

// sortByRoom orders rooms from the most tasks to the fewest.
func sortByRoom(rooms []almondcross.WorkerRoom) {
	slices.SortStableFunc(rooms, func(a, b almondcross.WorkerRoom) int { return b.Tasks() - a.Tasks() })
}
