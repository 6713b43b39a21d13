package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

// Figures of the modelled workers.
const (
	stopLength     = 400 * time.Millisecond
	gangLimit      = 3 * time.Second
	maxLease       = 10 * time.Second
	checkpointStep = 500 * time.Millisecond
	clockRate      = 0.985 // clockRate is the rate of a worker's clock; workers may be 2% slow.
)

// modelRun is one run on a modelled worker.
type modelRun struct {
	task     almondcross.JobTask
	run      int
	job      *modelJob
	step     almondcross.Step
	started  time.Duration
	work     time.Duration // work is what the run still needs.
	fails    bool
	hangs    bool
	stopping bool
	stopAt   time.Duration
	gang     *modelGang
}

// modelGang is one run of a gang across workers.
type modelGang struct {
	members map[almondcross.JobTask]*modelWorker
	count   int
	began   time.Duration // began is when all members were present, 0 before.
	first   time.Duration
	over    bool
}

// modelWorker is a worker with leases, fences and a list of ends.
type modelWorker struct {
	day      *Day
	id       string
	announce almondcross.Worker
	up       bool
	born     int64
	bornAt   time.Duration
	fence    int64
	until    time.Duration // until is on the worker's clock.
	runs     map[almondcross.JobTask]*modelRun
	ended    []almondcross.EndedTask
	sequence int64
	barred   map[almondcross.JobTask]int // barred holds the highest run that was stopped or ended here.
	speed    float64
	failing  bool
	hanging  bool
	lapsedAt time.Duration // lapsedAt is when the lease was last found to have ended.
}

func (modelworker *modelWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-modelworker.bornAt)*clockRate) + time.Second
}

// start carries out a start order.
func (modelworker *modelWorker) start(now time.Duration, order almondcross.StartOrder) almondcross.OrderResult {
	modelworker.advance(now)
	clock := modelworker.clock(now)
	switch {
	case order.Fence() < modelworker.fence:
		return almondcross.OrderFenced
	case order.Until() <= clock:
		return almondcross.OrderLate
	}
	modelworker.fence = order.Fence()
	modelworker.until = max(modelworker.until, min(order.Until(), clock+maxLease))
	if present := modelworker.runs[order.Task()]; present != nil {
		if present.run == order.Run() {
			return almondcross.OrderDone
		}
		return almondcross.OrderOld
	}
	if order.Run() <= modelworker.barred[order.Task()] {
		return almondcross.OrderOld
	}
	if !modelworker.day.advice.valid(order.Task().Stage, modelworker, order.Ticket(), now) {
		return almondcross.OrderTicket
	}
	job := modelworker.day.jobs[order.Task().Stage.Job]
	modelworker.day.judge.started(now, modelworker, order, job)
	if job == nil || order.Task().Stage.Step >= len(job.job.Steps()) {
		return almondcross.OrderDone
	}
	modelworker.begin(now, order, job)
	return almondcross.OrderDone
}

func (modelworker *modelWorker) begin(now time.Duration, order almondcross.StartOrder, job *modelJob) {
	step := job.job.Steps()[order.Task().Stage.Step]
	run := &modelRun{
		task: order.Task(), run: order.Run(), job: job, step: step, started: now,
		work:  time.Duration(float64(job.work(order.Task())) * modelworker.speed),
		fails: job.poison || modelworker.failing || modelworker.day.random.Float64() < modelworker.day.config.FailShare,
		hangs: modelworker.hanging,
	}
	if saved, err := time.ParseDuration(order.Checkpoint()); err == nil && step.Checkpoints() {
		run.work = max(run.work-saved, 0)
	}
	if step.Gang() {
		run.gang = modelworker.day.gang(order, step.Count(), now)
		run.gang.members[order.Task()] = modelworker
		if len(run.gang.members) == run.gang.count {
			run.gang.began = now
		}
	}
	modelworker.runs[order.Task()] = run
}

// stop carries out a stop order.
func (modelworker *modelWorker) stop(now time.Duration, order almondcross.StopOrder) almondcross.OrderResult {
	modelworker.advance(now)
	if order.Fence() < modelworker.fence {
		return almondcross.OrderFenced
	}
	modelworker.fence = order.Fence()
	present := modelworker.runs[order.Task()]
	if present == nil || present.run != order.Run() {
		modelworker.barred[order.Task()] = max(modelworker.barred[order.Task()], order.Run())
		return almondcross.OrderDone
	}
	if !present.stopping {
		present.stopping, present.stopAt = true, now+stopLength
	}
	return almondcross.OrderDone
}

// lease renews the lease and lists what the worker holds.
func (modelworker *modelWorker) lease(now time.Duration, order almondcross.LeaseOrder) (almondcross.WorkerList, almondcross.OrderResult) {
	modelworker.advance(now)
	if order.Fence() < modelworker.fence {
		return almondcross.WorkerList{}, almondcross.OrderFenced
	}
	modelworker.fence = order.Fence()
	clock := modelworker.clock(now)
	if order.Until() > 0 {
		modelworker.until = max(modelworker.until, min(order.Until(), clock+maxLease))
	}
	for _, end := range modelworker.ended {
		if end.Sequence() <= order.Acknowledged() {
			modelworker.day.judge.noted(modelworker, end)
		}
	}
	modelworker.ended = slices.DeleteFunc(modelworker.ended, func(end almondcross.EndedTask) bool { return end.Sequence() <= order.Acknowledged() })
	list := almondcross.WorkerListConfig{ID: modelworker.id, Born: modelworker.born, Clock: clock, Ended: slices.Clone(modelworker.ended)}
	for _, run := range modelworker.sorted() {
		list.Running = append(list.Running, almondcross.NewRunningTask(almondcross.RunningTaskConfig{
			Task: run.task, Run: run.run, Checkpoint: run.checkpoint(now), Progress: run.progress(now),
		}))
	}
	return almondcross.NewWorkerList(list), almondcross.OrderDone
}

func (modelworker *modelWorker) sorted() []*modelRun {
	return slices.SortedFunc(maps.Values(modelworker.runs), func(a, b *modelRun) int { return strings.Compare(a.task.String(), b.task.String()) })
}

func (modelrun *modelRun) worked(now time.Duration) time.Duration {
	since := modelrun.started
	if modelrun.gang != nil {
		if modelrun.gang.began == 0 {
			return 0
		}
		since = modelrun.gang.began
	}
	if modelrun.hangs {
		return 0
	}
	return now - since
}

func (modelrun *modelRun) checkpoint(now time.Duration) string {
	if !modelrun.step.Checkpoints() {
		return ""
	}
	if saved := modelrun.worked(now).Truncate(checkpointStep); saved > 0 {
		return saved.String()
	}
	return ""
}

func (modelrun *modelRun) progress(now time.Duration) int {
	if modelrun.work == 0 {
		return 100
	}
	return int(min(100, modelrun.worked(now)*100/modelrun.work))
}

// advance ends what has ended by a time.
func (modelworker *modelWorker) advance(now time.Duration) {
	if !modelworker.up {
		return
	}
	if modelworker.clock(now) > modelworker.until {
		modelworker.lapsedAt = now
		for _, run := range modelworker.sorted() {
			modelworker.end(now, run, almondcross.EndLapsed)
		}
		return
	}
	for _, run := range modelworker.sorted() {
		switch {
		case modelworker.runs[run.task] != run:
		case run.stopping && now >= run.stopAt:
			modelworker.end(now, run, almondcross.EndStopped)
		case run.gang != nil && run.gang.began == 0 && now-run.started > gangLimit:
			modelworker.end(now, run, almondcross.EndAlone)
		case run.gang != nil && run.gang.began == 0:
			// A gang works only together.
		case run.worked(now) >= run.work && run.fails:
			modelworker.end(now, run, almondcross.EndFailed)
		case run.worked(now) >= run.work:
			modelworker.end(now, run, almondcross.EndDone)
		}
	}
}

// end lists an end; the end of one member ends the run of its gang.
func (modelworker *modelWorker) end(now time.Duration, run *modelRun, kind almondcross.EndKind) {
	delete(modelworker.runs, run.task)
	modelworker.barred[run.task] = max(modelworker.barred[run.task], run.run)
	modelworker.sequence++
	ended := almondcross.NewEndedTask(almondcross.EndedTaskConfig{
		Sequence: modelworker.sequence, Task: run.task, Run: run.run, Kind: kind, Checkpoint: run.checkpoint(now),
	})
	modelworker.ended = append(modelworker.ended, ended)
	modelworker.day.judge.ended(now, modelworker, run, kind)
	gang := run.gang
	if gang == nil || gang.over {
		return
	}
	if kind != almondcross.EndAlone || gang.began != 0 {
		gang.over = true
	}
	delete(gang.members, run.task)
	if !gang.over {
		return
	}
	other := almondcross.EndBroken
	if kind == almondcross.EndDone {
		other = almondcross.EndDone
	}
	for _, task := range slices.SortedFunc(maps.Keys(gang.members), func(a, b almondcross.JobTask) int { return a.Index - b.Index }) {
		member := gang.members[task]
		if member.up && member.runs[task] != nil && member.runs[task].gang == gang {
			member.end(now, member.runs[task], other)
		}
	}
}

// crash ends everything without a trace.
func (modelworker *modelWorker) crash(now time.Duration) {
	modelworker.up = false
	for _, run := range modelworker.sorted() {
		modelworker.day.judge.vanished(modelworker, run)
		delete(modelworker.runs, run.task)
		if gang := run.gang; gang != nil && !gang.over {
			gang.over = true
			delete(gang.members, run.task)
			for task, member := range gang.members {
				if member.up && member.runs[task] != nil && member.runs[task].gang == gang {
					member.end(now, member.runs[task], almondcross.EndBroken)
				}
			}
		}
	}
}

// boot begins a new life that knows nothing of the earlier one.
func (modelworker *modelWorker) boot(now time.Duration) {
	modelworker.up, modelworker.bornAt = true, now
	modelworker.born = modelworker.day.start.Add(now).UnixMilli()
	modelworker.fence, modelworker.until, modelworker.sequence = 0, 0, 0
	modelworker.runs, modelworker.ended = map[almondcross.JobTask]*modelRun{}, nil
	modelworker.barred = map[almondcross.JobTask]int{}
}

// adviceModel allows a part of the workers for each stage and gives tickets for a life of a worker.
type adviceModel struct {
	share    float64
	validity time.Duration
	seed     uint64
	issued   map[string]issuedTicket
	next     int
}

type issuedTicket struct {
	stage  almondcross.StageID
	worker string
	born   int64
	until  time.Duration
}

func (advicemodel *adviceModel) allows(stage almondcross.StageID, worker string) bool {
	hash := advicemodel.seed
	for _, letter := range stage.String() + worker {
		hash = (hash ^ uint64(letter)) * 1099511628211
	}
	return rand.New(rand.NewPCG(hash, 1)).Float64() < advicemodel.share //nolint:gosec // A model needs no secrecy.
}

func (advicemodel *adviceModel) valid(stage almondcross.StageID, worker *modelWorker, secret string, now time.Duration) bool {
	if advicemodel.share == 0 {
		return true
	}
	given, known := advicemodel.issued[secret]
	return known && given.stage == stage && given.worker == worker.id && given.born == worker.born && now <= given.until
}
