package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// phase is what is known of a run on its worker.
type phase int

const (
	phaseCommitting phase = iota // phaseCommitting waits for the journal; no order was sent.
	phaseSent                    // phaseSent waits for the answer to the start order.
	phaseUnknown                 // phaseUnknown means that the order may or may not be carried out.
	phasePresent                 // phasePresent means that the worker has the run.
)

// assignment is one run given to a worker. It takes room until its end is recorded.
type assignment struct {
	task       almondcross.JobTask
	run        int
	need       almondcross.Resources
	job        *job
	stage      *stage
	phase      phase
	fence      int64     // fence is the fencing token of the start order.
	placed     time.Time // placed is when the run was given to the worker.
	present    time.Time // present is when the worker was known to have the run.
	stopping   bool      // stopping tells that the run is no longer wanted.
	stopAt     time.Time // stopAt is when the stop order is sent again.
	stopSent   time.Time // stopSent is when the stop order under way was given out, zero for none.
	checkpoint string    // checkpoint is the last one that the worker reported.
	progress   int       // progress is the last reported progress in percent.
	progressAt time.Time // progressAt is when the progress last changed.
}

// worker is what the scheduler knows of one worker.
type worker struct {
	id       string
	worker   almondcross.Worker
	listed   bool      // listed tells that the worker is announced.
	heardAt  time.Time // heardAt is when its announcement was last renewed.
	managed  bool      // managed tells that its duties are open.
	assigned map[almondcross.JobTask]*assignment
	used     almondcross.Resources
	kept     almondcross.Resources // kept is the part of used that belongs to gangs.
	held     almondcross.Resources // held is the room that is kept for waiting gangs in the present pass.

	born         int64
	acknowledged int64         // acknowledged is the last end of this life that is in the journal.
	clock        time.Duration // clock is the worker's clock at clockAt.
	clockAt      time.Time     // clockAt is when the last answer came, zero for never.
	maxUntil     time.Duration // maxUntil is the latest end of a lease that was sent, on the worker's clock.
	fence        int64
	raiseFence   bool // raiseFence makes the next lease order void all orders before it.
	leasing      bool // leasing tells that a lease order is under way or follows the next commit.
	silent       bool // silent tells that the last lease order had no answer.
	unhealthy    time.Time
	// unextended tells that the journal may still hold the silence of this worker, so that its lease is not extended.
	unextended bool
	// given holds the runs that were taken for gone without word from the worker, with their numbers.
	given map[almondcross.JobTask]int
	// ackLimit is the last end that may be acknowledged in this life, 0 for no limit: a success behind it came
	// to light after its task had been started again, and must not count as noted.
	ackLimit int64
	failures int // failures counts failed runs since the last success.
}

// room returns what is free on the worker.
func (worker *worker) room() almondcross.Resources { return worker.worker.Capacity().Sub(worker.used) }

func (worker *worker) assign(assignment *assignment) {
	worker.assigned[assignment.task] = assignment
	worker.used = worker.used.Add(assignment.need)
	if assignment.stage.spec.Gang() {
		worker.kept = worker.kept.Add(assignment.need)
	}
}

func (worker *worker) free(assignment *assignment) {
	if worker.assigned[assignment.task] == assignment {
		delete(worker.assigned, assignment.task)
		worker.used = worker.used.Sub(assignment.need)
		if assignment.stage.spec.Gang() {
			worker.kept = worker.kept.Sub(assignment.need)
		}
	}
}

// usable reports whether the worker may be given new work.
func (worker *worker) usable(now time.Time) bool {
	return worker.listed && !worker.worker.Draining() && !worker.silent && worker.ackLimit == 0 && !worker.clockAt.IsZero() &&
		now.Sub(worker.clockAt) < contactLimit && !now.Before(worker.unhealthy)
}

// clockNow returns an estimate of the worker's clock that is never ahead of it by more than its slack.
func (worker *worker) clockNow(now time.Time) time.Duration {
	return worker.clock + now.Sub(worker.clockAt)
}

// worker returns the entry of a worker, a new one when it is not known.
func (machine *Machine) worker(id string) *worker {
	leader := machine.leader
	if known := leader.workers[id]; known != nil {
		return known
	}
	_, silent := machine.state.silent[id]
	added := &worker{
		id: id, assigned: map[almondcross.JobTask]*assignment{}, given: map[almondcross.JobTask]int{},
		fence: leader.epoch << fenceCounterBits, unextended: silent,
	}
	leader.workers[id] = added
	index, _ := slices.BinarySearchFunc(leader.order, added, func(a, b *worker) int { return strings.Compare(a.id, b.id) })
	leader.order = slices.Insert(leader.order, index, added)
	return added
}

// workersRead takes changes of the announced workers.
func (machine *Machine) workersRead(read almondcross.WorkersRead) {
	query := almondcross.WorkersQueryConfig{From: read.Next(), Pause: workersPause}
	if read.Err() != nil {
		query.Pause = retryPause
		if errors.Is(read.Err(), almondcross.ErrStoreTrimmed) {
			query.From = -1
		}
		machine.do(ReadWorkers{Query: almondcross.NewWorkersQuery(query)})
		return
	}
	seen := map[string]bool{}
	for _, change := range read.Changes() {
		seen[change.ID()] = change.Present()
		machine.workerChanged(change)
	}
	if read.Whole() {
		for id, known := range machine.leader.workers {
			if known.listed && !seen[id] {
				machine.workerChanged(almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id}))
			}
		}
	}
	machine.do(ReadWorkers{Query: almondcross.NewWorkersQuery(query)})
}

func (machine *Machine) workerChanged(change almondcross.WorkerChange) {
	if !change.Present() {
		if known := machine.leader.workers[change.ID()]; known != nil && known.listed {
			known.listed = false
			machine.config.Log.Record("worker_unlisted", almondcross.Text("worker", change.ID()), almondcross.Number("runs", len(known.assigned)))
		}
		return
	}
	entry := machine.worker(change.ID())
	if entry.listed && entry.worker.Draining() != change.Worker().Draining() {
		machine.config.Log.Record("worker_draining", almondcross.Text("worker", entry.id), almondcross.Text("draining", yesNo(change.Worker().Draining())))
	}
	if !entry.listed {
		machine.config.Log.Record("worker_listed", almondcross.Text("worker", entry.id), almondcross.Text("address", change.Worker().Address()),
			almondcross.Text("rack", change.Worker().Rack()))
	}
	moved := entry.worker.Address() != change.Worker().Address()
	entry.worker, entry.listed, entry.heardAt = change.Worker(), true, machine.now
	if !entry.managed || moved {
		entry.managed = true
		machine.do(ManageWorker{Worker: entry.worker})
	}
	if !entry.leasing {
		machine.lease(entry, 0, 0)
	}
	machine.leader.dirty = true
}

// lease sends the next lease order of a worker.
func (machine *Machine) lease(worker *worker, wait, pause time.Duration) {
	if !worker.managed {
		return
	}
	if worker.raiseFence {
		worker.fence++
		worker.raiseFence = false
	}
	worker.leasing = true
	machine.do(SendLease{Pause: pause, Order: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
		Worker: worker.worker, Fence: worker.fence, Acknowledged: worker.acknowledged,
		Until: machine.leaseEnd(worker), Wait: wait,
	})})
}

// leaseEnd returns the end of a lease on the worker's clock, 0 when it must not be extended.
func (machine *Machine) leaseEnd(worker *worker) time.Duration {
	leader := machine.leader
	if worker.unextended || worker.clockAt.IsZero() || machine.now.Sub(worker.clockAt) > extendLimit || machine.now.Sub(leader.lastCommit) > leadershipLimit {
		return 0
	}
	until := worker.clockNow(machine.now) + min(leaseLength, machine.config.MaxLease)
	worker.maxUntil = max(worker.maxUntil, until)
	return until
}

// leaseAnswered takes what a worker holds and sends the next lease order.
func (machine *Machine) leaseAnswered(answer almondcross.LeaseAnswered) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil || answer.Order().Fence()>>fenceCounterBits != machine.leader.epoch {
		return
	}
	if answer.Order().Look() && answer.Result() != almondcross.OrderFenced {
		machine.looked(worker, answer)
		return
	}
	switch {
	case answer.Result() == almondcross.OrderFenced && answer.Order().Fence() < worker.fence:
		if !answer.Order().Look() {
			machine.lease(worker, 0, 0) // A look with a higher fence overtook it.
		}
		return
	case answer.Result() == almondcross.OrderFenced:
		machine.stopLeading("worker " + worker.id + " has seen a higher fencing token")
		return
	case answer.Result() != almondcross.OrderDone:
		if !worker.silent {
			worker.silent = true
			machine.config.Log.Record("worker_lost_contact", almondcross.Text("worker", worker.id), almondcross.Text("result", string(answer.Result())),
				almondcross.Millis("age_ms", machine.now.Sub(worker.clockAt)), almondcross.Number("runs", len(worker.assigned)))
		}
		worker.raiseFence = true
		pause := leaseRetry
		if machine.now.Sub(worker.clockAt) > retryLongAfter {
			pause = leaseRetryLong
		}
		machine.lease(worker, 0, pause)
		return
	}
	if worker.silent {
		worker.silent = false
		machine.config.Log.Record("worker_regained", almondcross.Text("worker", worker.id))
	}
	machine.takeList(worker, answer)
}

// look asks a worker under a raised fence what it holds, beside the lease order that waits for an end.
func (machine *Machine) look(worker *worker) {
	if !worker.managed || worker.silent {
		worker.raiseFence = true
		return
	}
	worker.fence++
	machine.do(SendLease{Order: almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{
		Worker: worker.worker, Fence: worker.fence, Acknowledged: worker.acknowledged, Look: true,
	})})
}

// looked takes the list of a look. A look without an answer is left to the next lease order.
func (machine *Machine) looked(worker *worker, answer almondcross.LeaseAnswered) {
	if answer.Result() != almondcross.OrderDone {
		worker.raiseFence = true
		return
	}
	machine.takeList(worker, answer)
}

// takeList compares what a worker holds with what it was given.
func (machine *Machine) takeList(worker *worker, answer almondcross.LeaseAnswered) {
	list := answer.List()
	if worker.born != list.Born() {
		if worker.born != 0 {
			machine.config.Log.Record("worker_restarted", almondcross.Text("worker", worker.id), almondcross.Number("runs", len(worker.assigned)))
		}
		machine.newLife(worker, list.Born())
	}
	worker.clock, worker.clockAt = list.Clock(), answer.Received()
	machine.endSilence(worker)
	machine.leader.dirty = true
	acknowledged := machine.takeEnds(worker, list.Ended())
	listed := map[almondcross.JobTask]bool{}
	for _, running := range list.Running() {
		known := worker.assigned[running.Task()]
		if known == nil || known.run != running.Run() {
			machine.stopStray(worker, running)
			continue
		}
		listed[running.Task()] = true
		machine.runPresent(known, running)
	}
	if len(list.Ended()) < listLimit {
		machine.voidMissing(worker, answer, listed)
	}
	if !answer.Order().Look() {
		// The ends in a look are acknowledged by the lease order that lists them too.
		machine.leaseNext(worker, acknowledged)
	}
}

// takeEnds records the ends of a worker's list and returns up to which of them it may be told that they are.
func (machine *Machine) takeEnds(worker *worker, ends []almondcross.EndedTask) int64 {
	acknowledged := worker.acknowledged
	for _, end := range ends {
		acknowledged = max(acknowledged, end.Sequence())
		if known := worker.assigned[end.Task()]; known != nil && known.run == end.Run() {
			machine.endRun(worker, known, end.Kind(), end.Checkpoint())
		} else if worker.given[end.Task()] == end.Run() && end.Run() > 0 {
			machine.lateEnd(worker, end)
		}
	}
	if worker.ackLimit > 0 {
		return min(acknowledged, worker.ackLimit-1)
	}
	return acknowledged
}

// leaseNext sends the lease order that follows a list: after the commit of its ends, if there are new ones.
func (machine *Machine) leaseNext(worker *worker, acknowledged int64) {
	switch {
	case acknowledged > worker.acknowledged:
		epoch, born := machine.leader.epoch, worker.born
		machine.afterCommit(func() {
			if machine.leader != nil && machine.leader.epoch == epoch && worker.born == born {
				worker.acknowledged = max(worker.acknowledged, acknowledged)
			}
			machine.lease(worker, leaseWait, leasePause)
		})
	case worker.ackLimit > 0:
		// Its answer does not wait while ends are listed.
		machine.lease(worker, 0, leaseWait)
	case worker.raiseFence:
		machine.lease(worker, 0, 0)
	default:
		machine.lease(worker, leaseWait, 0)
	}
}

// lateEnd takes the end of a run that was taken for gone. A success counts if the task was not started again
// since; otherwise it must not be noted any more.
func (machine *Machine) lateEnd(worker *worker, end almondcross.EndedTask) {
	if end.Kind() != almondcross.EndDone {
		delete(worker.given, end.Task())
		return
	}
	job := machine.state.jobs[end.Task().Stage.Job]
	if job == nil {
		return
	}
	stage := job.stage(end.Task().Stage)
	if stage == nil || end.Task().Index >= len(stage.tasks) {
		return
	}
	record := stage.tasks[end.Task().Index]
	outcome := "already done"
	switch {
	case !record.Done() && !record.Active() && record.Run() == end.Run():
		outcome = "counted"
		delete(worker.given, end.Task())
		machine.change(almondcross.ChangeConfig{
			Kind: almondcross.ChangeEnd, Task: end.Task(), Run: end.Run(), End: almondcross.EndDone, Worker: worker.id,
		})
		if job.state.Final() {
			machine.finished(job)
		}
		machine.watchJob(job)
	case record.Run() > end.Run() && worker.ackLimit == 0:
		outcome = "started again before"
		worker.ackLimit = end.Sequence()
	}
	machine.config.Log.Record("late_success", almondcross.Text("task", end.Task().String()), almondcross.Number("run", end.Run()),
		almondcross.Text("worker", worker.id), almondcross.Text("outcome", outcome))
}

// newLife forgets what belonged to the earlier life of a worker. Orders sent to it may still be
// carried out by the new one, so they are settled only by a list with a higher fence.
func (machine *Machine) newLife(worker *worker, born int64) {
	if worker.born != 0 {
		for _, assignment := range worker.assigned {
			if assignment.phase != phaseCommitting {
				assignment.phase = phaseUnknown
			}
		}
		worker.raiseFence = true
	}
	worker.born, worker.acknowledged, worker.maxUntil, worker.failures, worker.ackLimit = born, 0, 0, 0, 0
	clear(worker.given)
}

func (machine *Machine) runPresent(known *assignment, running almondcross.RunningTask) {
	if known.phase != phasePresent {
		known.phase, known.present = phasePresent, machine.now
		known.progressAt = machine.now
	}
	if running.Checkpoint() != "" {
		known.checkpoint = running.Checkpoint()
	}
	if running.Progress() != known.progress {
		known.progress, known.progressAt = running.Progress(), machine.now
	}
}

// voidMissing ends the runs that a worker certainly does not have: it had the run before the list was
// asked for, or its fence shuts out the order that was not answered.
func (machine *Machine) voidMissing(worker *worker, answer almondcross.LeaseAnswered, listed map[almondcross.JobTask]bool) {
	for _, assignment := range slices.Collect(maps.Values(worker.assigned)) {
		if listed[assignment.task] {
			continue
		}
		gone := assignment.phase == phasePresent && assignment.present.Before(answer.Sent()) ||
			assignment.phase == phaseUnknown && assignment.fence < answer.Order().Fence()
		if gone {
			machine.endRun(worker, assignment, almondcross.EndVoid, assignment.checkpoint)
		}
	}
}

// stopStray stops a run that the worker was not given by this scheduler's state.
func (machine *Machine) stopStray(worker *worker, running almondcross.RunningTask) {
	machine.config.Log.Record("stray_run", almondcross.Text("worker", worker.id), almondcross.Text("task", running.Task().String()),
		almondcross.Number("run", running.Run()))
	machine.do(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
		Worker: worker.worker, Task: running.Task(), Run: running.Run(), Fence: worker.fence,
	})})
}

// stop orders the end of a run that is no longer wanted.
func (machine *Machine) stop(worker *worker, assignment *assignment) {
	assignment.stopping = true
	if assignment.phase == phaseCommitting {
		return
	}
	assignment.stopAt, assignment.stopSent = machine.now.Add(stopRetry), machine.now
	machine.afterCommit(func() {
		if worker.assigned[assignment.task] != assignment || !worker.managed {
			return // A worker that is not announced yet gets the order with the next sweep.
		}
		machine.do(SendStop{Order: almondcross.NewStopOrder(almondcross.StopOrderConfig{
			Worker: worker.worker, Task: assignment.task, Run: assignment.run, Fence: worker.fence,
		})})
	})
}

func (machine *Machine) runStopped(answer almondcross.RunStopped) {
	worker := machine.leader.workers[answer.Order().Worker().ID()]
	if worker == nil {
		return
	}
	known := worker.assigned[answer.Order().Task()]
	if known == nil || known.run != answer.Order().Run() {
		return
	}
	known.stopAt, known.stopSent = machine.now.Add(stopRetry), time.Time{}
	if answer.Result() == almondcross.OrderUnknown {
		worker.raiseFence = true
	}
}

// endRun records the end of a run and frees its room.
func (machine *Machine) endRun(worker *worker, assignment *assignment, kind almondcross.EndKind, checkpoint string) {
	worker.free(assignment)
	task := assignment.task
	over := assignment.job.state.Final()
	machine.change(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: task, Run: assignment.run, End: kind, Checkpoint: checkpoint, Worker: worker.id,
	})
	machine.config.Meters.Ended(kind)
	machine.config.Log.Record("run_ended", almondcross.Text("task", task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Text("end", string(kind)), almondcross.Millis("after_ms", machine.now.Sub(assignment.placed)))
	machine.judge(worker, kind)
	job := assignment.job
	if job.state.Final() {
		if !over {
			machine.finished(job)
		}
		return
	}
	if assignment.stage.spec.Gang() && assignment.stage.open > 0 {
		if kind == almondcross.EndVoid && assignment.present.IsZero() && machine.replaceMember(assignment) {
			return
		}
		machine.stopMembers(assignment.stage)
	}
	machine.watchJob(job)
	machine.leader.dirty = true
}

// finished tells the end of a job once and stops what still runs of it.
func (machine *Machine) finished(job *job) {
	if job.active > 0 {
		machine.jobEnded(job.job.ID())
	}
	delete(machine.leader.timed, job.job.ID())
	machine.config.Log.Record("job_finished", almondcross.Text("job", string(job.job.ID())), almondcross.Text("state", string(job.state)),
		almondcross.Millis("after_ms", machine.now.Sub(job.job.Submitted())))
	machine.config.Meters.Finished(job.job.Queue(), job.state)
}

// stopMembers stops the members of a gang whose run cannot succeed any more.
func (machine *Machine) stopMembers(broken *stage) {
	for index, record := range broken.tasks {
		if !record.Active() {
			continue
		}
		worker := machine.leader.workers[record.Worker()]
		if worker == nil {
			continue
		}
		if member := worker.assigned[almondcross.JobTask{Stage: broken.id, Index: index}]; member != nil && !member.stopping {
			machine.stop(worker, member)
		}
	}
}

// judge keeps work away for a while from a worker on which run after run fails.
func (machine *Machine) judge(worker *worker, kind almondcross.EndKind) {
	switch kind {
	case almondcross.EndDone:
		worker.failures = 0
	case almondcross.EndFailed:
		worker.failures++
		if worker.failures >= failureLimit {
			worker.unhealthy = machine.now.Add(time.Duration(worker.failures) * failurePause)
			machine.config.Log.Record("worker_avoided", almondcross.Text("worker", worker.id), almondcross.Number("failures", worker.failures))
		}
	default:
	}
}

// stopDue reports whether the stop order of a run has to be given out again. One that is still under way is not
// repeated: many of them would hold up the other orders to a worker that is far away.
func (assignment *assignment) stopDue(now time.Time) bool {
	underWay := !assignment.stopSent.IsZero() && now.Sub(assignment.stopSent) < stopLimit
	return assignment.stopping && assignment.phase != phaseCommitting && !now.Before(assignment.stopAt) && !underWay
}

// stalled reports whether a run makes no progress although its worker answers.
func (assignment *assignment) stalled(worker *worker, now time.Time) bool {
	limit := stallLimit
	if assignment.progress >= fullProgress {
		limit = overdueLimit
	}
	return assignment.phase == phasePresent && !assignment.stopping && !assignment.stage.spec.Service() && !worker.silent &&
		now.Sub(assignment.progressAt) > limit && worker.clockAt.Sub(assignment.progressAt) > limit
}

// stopStalled stops a run that makes no progress, so that it starts again elsewhere.
func (machine *Machine) stopStalled(worker *worker, assignment *assignment) {
	machine.config.Log.Record("run_stalled", almondcross.Text("task", assignment.task.String()), almondcross.Number("run", assignment.run),
		almondcross.Text("worker", worker.id), almondcross.Number("progress", assignment.progress),
		almondcross.Millis("unchanged_ms", machine.now.Sub(assignment.progressAt)))
	worker.unhealthy = machine.now.Add(stallPause)
	machine.stop(worker, assignment)
}

// sweepWorkers repeats what was not answered and takes the runs of silent workers for gone.
func (machine *Machine) sweepWorkers() {
	for _, worker := range slices.Clone(machine.leader.order) {
		unheard := worker.silent || worker.clockAt.IsZero()
		if unheard {
			machine.noteSilence(worker)
		}
		lost := unheard && machine.now.After(machine.lostAt(worker))
		for _, assignment := range slices.Collect(maps.Values(worker.assigned)) {
			switch {
			case lost && assignment.phase != phaseCommitting:
				worker.given[assignment.task] = assignment.run
				machine.endRun(worker, assignment, almondcross.EndVoid, assignment.checkpoint)
			case assignment.stalled(worker, machine.now):
				machine.stopStalled(worker, assignment)
			case assignment.stopDue(machine.now) && worker.managed && !worker.silent:
				machine.stop(worker, assignment)
			}
		}
		if !worker.listed && len(worker.assigned) == 0 && machine.now.Sub(worker.clockAt) > forgetWorker && machine.now.Sub(machine.leader.since) > forgetWorker {
			machine.endSilence(worker)
			machine.do(ReleaseWorker{Worker: worker.id})
			delete(machine.leader.workers, worker.id)
			machine.leader.order = slices.DeleteFunc(machine.leader.order, worker.is)
		}
	}
}

func (worker *worker) is(other *worker) bool { return worker == other }
