package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

type jobState int

const (
	jobQueued      jobState = iota
	jobStarting             // the start was sent and is not answered
	jobRunning              // the worker has the task
	jobUnreachable          // the lease of the target ended; the task may still run
	jobDone                 // the job is in no table
)

// jobKey tells the attempts of a task apart.
type jobKey struct {
	id      almondcross.TaskID
	attempt int
}

// job is one attempt of a task that waits or was sent.
type job struct {
	task        almondcross.Task
	state       jobState
	band        almondcross.Band
	long        bool // counted as long work, which leaves the reserve alone
	charged     bool
	short       bool // counted in the demand of short work
	straggler   bool
	unconfirmed bool // the coordinator of the key has not confirmed the task under this holder
	refused     bool // the coordinator refused the task, so that no renewal names it
	forwarded   bool
	line        *line
	gang        *gang
	target      *target
	term        almondcross.Term
	haltCode    almondcross.Code // why the task is being stopped
	waitCode    almondcross.Code // why the task waits
	reclaim     *reclaim         // the room that is being taken for this task
	victimOf    *reclaim         // the reclaim for which this task is being stopped

	sequence    uint64 // the order of starts
	queuedAt    time.Time
	sentAt      time.Time
	startedAt   time.Time
	namedAt     time.Time // the last answered renewal that named the task, or its start
	accountedAt time.Time
}

func (job *job) key() jobKey { return jobKey{job.task.ID(), job.task.Attempt()} }

// mayReserve reports whether the task may use the reserve.
func (job *job) mayReserve() bool { return !job.long || job.task.Urgent() }

// onTarget reports whether the target holds the task under the current lease.
func (job *job) onTarget() bool { return job.state == jobStarting || job.state == jobRunning }

// done ends a job. Timers may keep it for long, so it lets go of the payload.
func (job *job) done() {
	job.state = jobDone
	job.task = job.task.WithPayload(nil)
}

// ended remembers an attempt so that a repeated PlaceTask has no further effect.
type ended struct {
	attempt   int
	code      almondcross.Code     // the code of a refusal
	refused   bool                 // the attempt was refused
	forwarded almondcross.MemberID // the holder that the attempt was forwarded to
	at        time.Time
}

// rememberLimit bounds the memory of ended attempts at about 10 MB.
const rememberLimit = 65536

func (machine *Machine) remember(task almondcross.Task, mark ended) {
	mark.attempt, mark.at = task.Attempt(), machine.now
	if _, ok := machine.ended[task.ID()]; !ok {
		machine.endOrder = append(machine.endOrder, task.ID())
	}
	machine.ended[task.ID()] = mark
	if len(machine.endOrder) > rememberLimit {
		machine.forgetOldest()
	}
	if !machine.forgetSet {
		machine.forgetSet = true
		machine.after(rememberEnded, timer{kind: timerForget})
	}
}

// unremember forgets an attempt that was not forwarded after all.
func (machine *Machine) unremember(id almondcross.TaskID) {
	machine.ended[id] = ended{attempt: -1, at: machine.now}
}

func (machine *Machine) forgetOldest() {
	delete(machine.ended, machine.endOrder[0])
	machine.endOrder = machine.endOrder[1:]
}

func (machine *Machine) forgetEnded() {
	machine.forgetSet = false
	for len(machine.endOrder) > 0 {
		mark := machine.ended[machine.endOrder[0]]
		if wait := mark.at.Add(rememberEnded).Sub(machine.now); wait > 0 {
			machine.forgetSet = true
			machine.after(wait, timer{kind: timerForget})
			return
		}
		machine.forgetOldest()
	}
}

// place takes a task from its coordinator or from another holder.
func (machine *Machine) place(message almondcross.PlaceTask) {
	task := message.Task()
	if _, ok := machine.jobs[jobKey{task.ID(), task.Attempt()}]; ok {
		return
	}
	if mark, ok := machine.ended[task.ID()]; ok && mark.attempt >= task.Attempt() {
		if mark.refused && mark.attempt == task.Attempt() {
			machine.reportRefused(task, mark.code, 0)
		}
		return
	}
	item := &job{task: task, queuedAt: machine.now, forwarded: message.Forwarded()}
	if !machine.view.HasLease(task.Coordinator(), machine.now) {
		// A removed coordinator may have been replaced, so its word starts nothing.
		machine.refuseNew(item, almondcross.CodeNoStanding, 0)
		return
	}
	if machine.draining {
		machine.refuseNew(item, almondcross.CodeStopping, 0)
		return
	}
	machine.setBand(item)
	if task.Size() > 1 {
		machine.joinGang(item)
		return
	}
	machine.enqueue(item)
}

// setBand sets the band of a new job. A service is long work, whatever it declares.
func (machine *Machine) setBand(item *job) {
	item.band = machine.Estimator.Band(item.task.Entry(), item.task.ExpectedRun())
	item.long = item.band != almondcross.BandShort || item.task.Class() == almondcross.ClassService
	if !item.long {
		machine.addShort(item)
	}
}

func (machine *Machine) reportRefused(task almondcross.Task, code almondcross.Code, retryAfter time.Duration) {
	machine.report(task.Coordinator(), almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: machine.self, Code: code, RetryAfter: retryAfter.Milliseconds(),
	}))
}

// refuseNew refuses a task that is in no table.
func (machine *Machine) refuseNew(item *job, code almondcross.Code, retryAfter time.Duration) {
	item.done()
	machine.dropShort(item)
	machine.remember(item.task, ended{code: code, refused: true})
	machine.reportRefused(item.task, code, retryAfter)
	machine.account(item.task, almondcross.AccountEventConfig{Code: code, Count: 1})
	machine.story(item.task, "refused", code, "", "")
}

// refuse takes a waiting task out of its queue and refuses it.
func (machine *Machine) refuse(item *job, code almondcross.Code) {
	if item.state != jobQueued {
		return
	}
	machine.discard(item)
	machine.Admission.Left(item.task.Entry(), machine.now.Sub(item.queuedAt), false, machine.now)
	machine.refuseNew(item, code, 0)
}

// discard takes a waiting task out of every table without a report.
func (machine *Machine) discard(item *job) {
	if waiting := item.line; waiting != nil {
		machine.leaveLine(item)
		machine.passReclaim(item, waiting)
	}
	machine.dropShort(item)
	delete(machine.jobs, item.key())
	item.done()
	if item.gang != nil {
		machine.leaveGang(item)
	}
}

func (machine *Machine) expireQueued(item *job) {
	if item.state != jobQueued {
		return
	}
	if item.gang != nil {
		machine.refuseGang(item.gang, almondcross.CodeTimeout)
		return
	}
	machine.refuse(item, almondcross.CodeTimeout)
}

// stop takes a task out of its queue or stops it on its target.
func (machine *Machine) stop(message almondcross.StopTask) {
	item, ok := machine.jobs[jobKey{message.ID(), message.Attempt()}]
	if !ok {
		machine.stopUnknown(message)
		return
	}
	if item.state == jobQueued {
		if item.gang != nil {
			machine.refuseGang(item.gang, message.Code())
			return
		}
		machine.refuse(item, message.Code())
		return
	}
	machine.halt(item, message.Code())
}

// stopUnknown passes a stop on to the holder that the task was forwarded to. A stop that
// overtakes its PlaceTask is remembered, so that the task does not start later.
func (machine *Machine) stopUnknown(message almondcross.StopTask) {
	mark, ok := machine.ended[message.ID()]
	if ok && mark.attempt == message.Attempt() && mark.forwarded.Name() != "" {
		machine.emit(Effect{Kind: EffectForward, Member: mark.forwarded, Peer: message})
		return
	}
	if ok && mark.attempt >= message.Attempt() {
		return
	}
	code := message.Code()
	if code == almondcross.CodeNone {
		code = almondcross.CodeCancelled
	}
	task := almondcross.NewTask(almondcross.TaskConfig{ID: message.ID(), Attempt: message.Attempt()})
	machine.remember(task, ended{code: code, refused: true})
}

// halt stops a sent task; the stop is repeated until the end is confirmed.
func (machine *Machine) halt(item *job, code almondcross.Code) {
	if code == almondcross.CodeNone {
		code = almondcross.CodeTaskStopped
	}
	item.haltCode = code
	if !item.onTarget() {
		return
	}
	machine.send(item.target.target.Name(), almondcross.NewHaltTask(almondcross.HaltTaskConfig{
		Term: item.target.term, ID: item.task.ID(), Code: code,
	}))
	machine.after(haltInterval, timer{kind: timerHalt, job: item})
}

func (machine *Machine) repeatHalt(item *job) {
	if item.haltCode != almondcross.CodeNone && item.onTarget() {
		machine.halt(item, item.haltCode)
	}
}

func (machine *Machine) expireRun(item *job) {
	if item.onTarget() && item.haltCode == almondcross.CodeNone {
		machine.story(item.task, "stopped", almondcross.CodeMaxRun, item.target.target.Name(), "")
		machine.halt(item, almondcross.CodeMaxRun)
	}
}

// markStraggler counts a task that outlasts its entry's tasks as long work, so that the slots
// it keeps are made up for from those of long work.
func (machine *Machine) markStraggler(item *job) {
	if !item.onTarget() || item.straggler {
		return
	}
	item.straggler = true
	if item.short {
		machine.short = machine.short.Sub(item.task.Resources())
		machine.straggling = machine.straggling.Add(item.task.Resources())
	}
	machine.story(item.task, "straggler", almondcross.CodeNone, item.target.target.Name(), "")
	if !item.long {
		item.long = true
		if item.charged {
			item.target.longUsed = item.target.longUsed.Add(item.task.Resources())
		}
		machine.setRoom(item.target)
	}
}

// watch sets the timers of a task that runs.
func (machine *Machine) watch(item *job) {
	if limit := item.task.MaxRun(); limit > 0 {
		machine.after(limit, timer{kind: timerMaxRun, job: item})
	}
	if item.task.Class() == almondcross.ClassService {
		return
	}
	if limit := machine.Estimator.StragglesAfter(item.task.Entry(), item.task.ExpectedRun()); limit > 0 {
		machine.after(limit, timer{kind: timerStraggler, job: item})
	}
}
