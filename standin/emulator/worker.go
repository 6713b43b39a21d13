package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing of the modelled workers.
const (
	stopTime           = 400 * time.Millisecond
	gangTimeout        = 3 * time.Second
	maxLease           = 10 * time.Second
	maxFailTime        = 2 * time.Second // maxFailTime is how long a run that fails works at most.
	checkpointInterval = 500 * time.Millisecond
	clockRate          = 0.985 // clockRate is the rate of a worker's clock; a clock may be up to 2% slow.
)

// modelRun is one run on a modelled worker.
type modelRun struct {
	task         almondcross.JobTask
	number       int
	job          *modelJob
	step         almondcross.Step
	startedAt    time.Duration
	worker       *modelWorker
	requiredWork time.Duration // requiredWork is the time that the run needs on the usual worker, less that saved by its checkpoint.
	countedWork  time.Duration // countedWork is the work done until countedFrom, when the speed of the worker last changed, 0 if it did not.
	countedFrom  time.Duration
	willFail     bool
	stalled      bool
	stopping     bool
	stopsAt      time.Duration
	gang         *modelGang
	late         bool // late is set if the worker carried out the start order late.
	reported     bool // reported is set once the checker has reported that the run of a cancelled job goes on.
}

// modelGang is one run of a gang across workers.
type modelGang struct {
	members   map[almondcross.JobTask]*modelWorker
	size      int
	startedAt time.Duration // startedAt is when all members were present, 0 before.
	createdAt time.Duration
	ended     bool
}

func (modelgang *modelGang) sortedMembers() []almondcross.JobTask {
	return slices.SortedFunc(maps.Keys(modelgang.members), func(a, b almondcross.JobTask) int { return a.Index - b.Index })
}

// awaitsGang reports whether the run waits for other members of its gang: it makes no progress until all are present, and with drawn speeds
// the gang ends with its slowest member.
func (modelrun *modelRun) awaitsGang(now time.Duration) bool {
	gang := modelrun.gang
	return gang != nil && (gang.startedAt == 0 || modelrun.worker.simulation.config.DrawnSpeeds && !modelrun.willFail && !gang.workDone(now))
}

// workDone reports whether all present members have done their work.
func (modelgang *modelGang) workDone(now time.Duration) bool {
	for task, member := range modelgang.members {
		if run := member.runs[task]; run != nil && run.workDone(now) < run.requiredWork {
			return false
		}
	}
	return true
}

// modelWorker is a worker with a lease, a fencing token and a list of ended tasks. It keeps its address when it
// restarts, and may get another identity.
type modelWorker struct {
	simulation   *Simulation
	address      string
	id           string
	renames      int // renames counts the restarts under another identity.
	announcement almondcross.Worker
	// fullCapacity is the capacity without faults, capacityPeriods what was in force since when.
	fullCapacity    almondcross.Resources
	capacityPeriods []capacityPeriod
	kindPeriods     []kindPeriod
	nextKind        string // nextKind is the kind with which the worker restarts, empty for the same one.
	up              bool
	bootMillis      int64
	bootedAt        time.Duration
	fence           int64
	leaseUntil      time.Duration // leaseUntil is on the worker's clock.
	runs            map[almondcross.JobTask]*modelRun
	endedTasks      []almondcross.EndedTask
	sequence        int64
	readThrough     int64                       // readThrough is the last end of this incarnation that a host has read.
	blockedThrough  map[almondcross.JobTask]int // blockedThrough holds the highest run that was stopped or ended here; no later start up to it is accepted.
	durationFactor  float64
	failsRuns       bool
	stallsRuns      bool
	crashedSilently bool          // crashedSilently is set if calls of the last incarnation get no answer.
	leaseExpiredAt  time.Duration // leaseExpiredAt is when the lease was last found expired.
}

func (modelworker *modelWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-modelworker.bootedAt)*clockRate) + time.Second
}

// start executes a start order.
func (modelworker *modelWorker) start(now time.Duration, order almondcross.StartOrder, delivered delivery) almondcross.OrderResult {
	modelworker.advance(now)
	clock := modelworker.clock(now)
	switch {
	case order.Fence() < modelworker.fence:
		return almondcross.OrderFenced
	case order.Until() <= clock:
		return almondcross.OrderLeaseExpired
	}
	modelworker.fence = order.Fence()
	modelworker.leaseUntil = max(modelworker.leaseUntil, min(order.Until(), clock+maxLease))
	if existing := modelworker.runs[order.Task()]; existing != nil {
		if existing.number == order.Run() {
			return almondcross.OrderDone
		}
		return almondcross.OrderRunEnded
	}
	if order.Run() <= modelworker.blockedThrough[order.Task()] {
		return almondcross.OrderRunEnded
	}
	if modelworker.simulation.needsAdvice(order.Task().Stage) && !modelworker.simulation.advice.validTicket(order.Task().Stage, modelworker, order.Ticket(), now) {
		return almondcross.OrderTicketInvalid
	}
	job := modelworker.simulation.jobs[order.Task().Stage.Job]
	modelworker.simulation.checker.checkStart(now, modelworker, order, job, delivered)
	if job == nil || order.Task().Stage.Step >= len(job.spec.Steps()) {
		return almondcross.OrderDone
	}
	modelworker.beginRun(now, order, job, delivered)
	return almondcross.OrderDone
}

func (modelworker *modelWorker) beginRun(now time.Duration, order almondcross.StartOrder, job *modelJob, delivered delivery) {
	step := job.spec.Steps()[order.Task().Stage.Step]
	run := &modelRun{
		task: order.Task(), number: order.Run(), job: job, step: step, startedAt: now, worker: modelworker,
		requiredWork: job.runTime(order.Task()),
		willFail:     job.poison || modelworker.failsRuns || modelworker.simulation.randomFor("fail", modelworker.id, order.Task(), order.Run()).Float64() < modelworker.simulation.config.FailShare,
		stalled:      modelworker.stallsRuns, late: delivered.late,
	}
	if saved, err := time.ParseDuration(order.Checkpoint()); err == nil && step.Checkpoints() {
		run.requiredWork = max(run.requiredWork-saved, 0)
	}
	if run.willFail {
		run.requiredWork = min(run.requiredWork, maxFailTime)
	}
	if step.Gang() {
		run.gang = modelworker.simulation.gang(order, step.Count(), now)
		run.gang.members[order.Task()] = modelworker
		if len(run.gang.members) == run.gang.size {
			run.gang.startedAt = now
		}
	}
	modelworker.runs[order.Task()] = run
	if !job.started {
		job.started, job.startedAt = true, now
	}
	modelworker.simulation.recordStart(modelworker, run, delivered)
	modelworker.simulation.scheduleCrash(modelworker, run)
}

// stop executes a stop order.
func (modelworker *modelWorker) stop(now time.Duration, order almondcross.StopOrder) almondcross.OrderResult {
	modelworker.advance(now)
	if order.Fence() < modelworker.fence {
		return almondcross.OrderFenced
	}
	modelworker.fence = order.Fence()
	existing := modelworker.runs[order.Task()]
	if existing == nil || existing.number != order.Run() {
		modelworker.blockedThrough[order.Task()] = max(modelworker.blockedThrough[order.Task()], order.Run())
		return almondcross.OrderDone
	}
	if !existing.stopping {
		existing.stopping, existing.stopsAt = true, now+stopTime
	}
	return almondcross.OrderDone
}

// lease renews the lease, drops the acknowledged ends, and returns the running and ended tasks.
func (modelworker *modelWorker) lease(now time.Duration, order almondcross.LeaseOrder) (almondcross.WorkerReport, almondcross.OrderResult) {
	modelworker.advance(now)
	if order.Fence() < modelworker.fence {
		return almondcross.WorkerReport{}, almondcross.OrderFenced
	}
	modelworker.fence = order.Fence()
	clock := modelworker.clock(now)
	if order.Until() > 0 {
		modelworker.leaseUntil = max(modelworker.leaseUntil, min(order.Until(), clock+maxLease))
	}
	for _, end := range modelworker.endedTasks {
		if end.Sequence() <= order.Acknowledged() {
			modelworker.traceUnreadEnd(end, order.Acknowledged())
			modelworker.simulation.checker.checkAcknowledgedEnd(modelworker, end)
		}
	}
	modelworker.endedTasks = slices.DeleteFunc(modelworker.endedTasks, func(end almondcross.EndedTask) bool { return end.Sequence() <= order.Acknowledged() })
	report := almondcross.WorkerReportConfig{ID: modelworker.id, Incarnation: modelworker.bootMillis, Clock: clock, Ended: slices.Clone(modelworker.endedTasks)}
	for _, run := range modelworker.sortedRuns() {
		report.Running = append(report.Running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{
			Task: run.task, Run: run.number, Checkpoint: run.checkpoint(now), Progress: run.progress(now),
		}))
	}
	return almondcross.NewWorkerReport(report), almondcross.OrderDone
}

// answerLease executes a lease order and answers once a run has ended, the order is refused or its wait is over. If
// the worker crashes before, the connection breaks, or there is no answer.
func (modelworker *modelWorker) answerLease(order almondcross.LeaseOrder, answer func(almondcross.WorkerReport, almondcross.OrderResult)) {
	simulation, incarnation := modelworker.simulation, modelworker.bootMillis
	until := simulation.now + order.Wait()
	report, result := modelworker.lease(simulation.now, order)
	if result != almondcross.OrderDone || len(report.Ended()) > 0 || order.Wait() == 0 {
		answer(report, result)
		return
	}
	var poll func()
	poll = func() {
		if !modelworker.up || modelworker.bootMillis != incarnation {
			if !modelworker.crashedSilently {
				answer(almondcross.WorkerReport{}, almondcross.OrderUnknown)
			}
			return
		}
		modelworker.advance(simulation.now)
		if order.Fence() == modelworker.fence && len(modelworker.endedTasks) == 0 && simulation.now < until {
			simulation.schedule(pollInterval, poll)
			return
		}
		answer(modelworker.lease(simulation.now, order.WithUntil(0)))
	}
	simulation.schedule(pollInterval, poll)
}

func (modelworker *modelWorker) sortedRuns() []*modelRun {
	if len(modelworker.runs) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(modelworker.runs), func(a, b *modelRun) int { return a.task.Compare(b.task) })
}

// workDone returns the work that the run has done, in the time that it takes on the usual worker.
func (modelrun *modelRun) workDone(now time.Duration) time.Duration {
	since := max(modelrun.startedAt, modelrun.countedFrom)
	if modelrun.gang != nil {
		if modelrun.gang.startedAt == 0 {
			return 0
		}
		since = max(since, modelrun.gang.startedAt)
	}
	if modelrun.stalled {
		return 0
	}
	return modelrun.countedWork + time.Duration(float64(now-since)/modelrun.worker.durationFactor)
}

// setDurationFactor changes the speed of the worker.
func (modelworker *modelWorker) setDurationFactor(now time.Duration, factor float64) {
	modelworker.advance(now)
	for _, run := range modelworker.sortedRuns() {
		run.countedWork, run.countedFrom = run.workDone(now), now
	}
	modelworker.durationFactor = factor
}

func (modelrun *modelRun) checkpoint(now time.Duration) string {
	if !modelrun.step.Checkpoints() {
		return ""
	}
	if saved := modelrun.workDone(now).Truncate(checkpointInterval); saved > 0 {
		return saved.String()
	}
	return ""
}

// progress returns the progress in percent of the caller's estimate. It stays at 100 when the run takes longer.
func (modelrun *modelRun) progress(now time.Duration) int {
	if modelrun.step.Estimate() <= 0 {
		return 100
	}
	return int(min(100, modelrun.workDone(now)*100/modelrun.step.Estimate()))
}

// advance ends the runs that are due by a time, or all runs if the lease has expired.
func (modelworker *modelWorker) advance(now time.Duration) {
	if !modelworker.up {
		return
	}
	if modelworker.clock(now) > modelworker.leaseUntil {
		modelworker.leaseExpiredAt = now
		for _, run := range modelworker.sortedRuns() {
			modelworker.endRun(now, run, almondcross.EndLeaseExpired)
		}
		return
	}
	for _, run := range modelworker.sortedRuns() {
		switch {
		case modelworker.runs[run.task] != run:
		case run.stopping && now >= run.stopsAt:
			modelworker.endRun(now, run, almondcross.EndStopped)
		case run.gang != nil && run.gang.startedAt == 0 && now-run.startedAt > gangTimeout:
			modelworker.endRun(now, run, almondcross.EndGangIncomplete)
		case run.awaitsGang(now):
		case run.workDone(now) >= run.requiredWork && run.willFail:
			modelworker.endRun(now, run, almondcross.EndFailed)
		case run.workDone(now) >= run.requiredWork:
			modelworker.endRun(now, run, almondcross.EndDone)
		}
	}
}

// endRun moves a run to the ended tasks. The end of one member ends the runs of its whole gang, unless the
// member ends as incomplete before the gang has started.
func (modelworker *modelWorker) endRun(now time.Duration, run *modelRun, kind almondcross.EndKind) {
	delete(modelworker.runs, run.task)
	modelworker.blockedThrough[run.task] = max(modelworker.blockedThrough[run.task], run.number)
	modelworker.sequence++
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{
		Sequence: modelworker.sequence, Task: run.task, Run: run.number, Kind: kind, Checkpoint: run.checkpoint(now),
	})
	modelworker.endedTasks = append(modelworker.endedTasks, ended)
	modelworker.simulation.checker.recordEnd(now, modelworker, run, kind)
	gang := run.gang
	if gang == nil || gang.ended {
		return
	}
	if kind != almondcross.EndGangIncomplete || gang.startedAt != 0 {
		gang.ended = true
	}
	delete(gang.members, run.task)
	if !gang.ended {
		return
	}
	memberEndKind := almondcross.EndGangBroken
	if kind == almondcross.EndDone {
		memberEndKind = almondcross.EndDone
	}
	for _, task := range gang.sortedMembers() {
		member := gang.members[task]
		if member.up && member.runs[task] != nil && member.runs[task].gang == gang {
			member.endRun(now, member.runs[task], memberEndKind)
		}
	}
}

// end drops all runs without listing them as ended. The gangs of these runs end as broken on other workers.
func (modelworker *modelWorker) end(now time.Duration, crashed bool) {
	modelworker.up = false
	for _, run := range modelworker.sortedRuns() {
		modelworker.simulation.checker.recordLostRun(modelworker, run, crashed)
		delete(modelworker.runs, run.task)
		if gang := run.gang; gang != nil && !gang.ended {
			gang.ended = true
			delete(gang.members, run.task)
			for _, task := range gang.sortedMembers() {
				member := gang.members[task]
				if member.up && member.runs[task] != nil && member.runs[task].gang == gang {
					member.endRun(now, member.runs[task], almondcross.EndGangBroken)
				}
			}
		}
	}
}

// rename gives the worker another identity at the same address.
func (modelworker *modelWorker) rename() {
	modelworker.renames++
	modelworker.id = fmt.Sprintf("%s.%d", modelworker.address, modelworker.renames)
	modelworker.announcement = modelworker.announcement.WithID(modelworker.id)
}

// boot starts a new incarnation with empty state.
func (modelworker *modelWorker) boot(now time.Duration) {
	modelworker.up, modelworker.bootedAt = true, now
	if modelworker.nextKind != "" {
		modelworker.setKind(now, modelworker.nextKind, modelworker.announcement.Rack())
		modelworker.nextKind = ""
	}
	modelworker.bootMillis = modelworker.simulation.startTime.Add(now).UnixMilli()
	modelworker.announcement = modelworker.announcement.WithIncarnation(modelworker.bootMillis)
	modelworker.fence, modelworker.leaseUntil, modelworker.sequence, modelworker.readThrough = 0, 0, 0, 0
	modelworker.runs, modelworker.endedTasks = map[almondcross.JobTask]*modelRun{}, nil
	modelworker.blockedThrough = map[almondcross.JobTask]int{}
}
