package cell_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// worker is a fake worker. As docs/platform.md specifies, it grants one lease with a term, gives each task
// a lease of its own and returns an inventory with each grant.
type worker struct {
	cell           *cell
	name           string
	boot           uint64
	termCounter    uint64
	holder         almondcross.MemberID
	leaseUntil     time.Time
	unreachable    bool
	failsTasks     bool
	crashOutage    time.Duration // crashOutage is how long the worker is unreachable after a task of the entry bomb crashed it.
	leaving        bool
	tasks          map[almondcross.TaskID]*runningTask
	endedTasks     []endedTask
	lastEventIndex uint64
}

type runningTask struct {
	task       almondcross.Task
	leaseUntil time.Time
}

type endedTask struct {
	index  uint64
	task   almondcross.Task
	result almondcross.TaskResult
}

func newWorker(cell *cell, name string) *worker {
	return &worker{cell: cell, name: name, boot: 1, tasks: map[almondcross.TaskID]*runningTask{}}
}

func (worker *worker) term() almondcross.Term {
	return almondcross.NewTerm(almondcross.TermConfig{Boot: worker.boot, Counter: worker.termCounter})
}

func (worker *worker) capacity() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{Slots: workerSlots})
}

func (worker *worker) leaseValid(term almondcross.Term) bool {
	return term == worker.term() && worker.cell.now.Before(worker.leaseUntil)
}

func (worker *worker) acquire(holder almondcross.MemberID) (almondcross.Grant, bool) {
	now := worker.cell.now
	if now.Before(worker.leaseUntil) && worker.holder != holder {
		return almondcross.Grant{}, false
	}
	worker.termCounter++
	worker.holder, worker.leaseUntil = holder, now.Add(almondcross.HolderLease)
	worker.cell.tracef("%s grants its lease to %s/%d in term %d.%d", worker.name, holder.Name(), holder.Incarnation(), worker.boot, worker.termCounter)
	var items []almondcross.InventoryItem
	// Sorted, because map iteration is random and a seed must reproduce the same history.
	for _, running := range slices.SortedFunc(maps.Values(worker.tasks), func(first, second *runningTask) int {
		firstID, secondID := first.task.ID(), second.task.ID()
		return cmp.Or(firstID.Key().Compare(secondID.Key()), cmp.Compare(firstID.Index(), secondID.Index()))
	}) {
		items = append(items, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{Task: running.task}))
	}
	for _, ended := range worker.endedTasks {
		items = append(items, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{
			Task: ended.task, Finished: true, Result: ended.result,
		}))
	}
	return almondcross.NewGrant(almondcross.GrantConfig{
		Target: worker.name, Term: worker.term(), Capacity: worker.capacity(), Leaving: worker.leaving,
		Inventory: items, Events: worker.lastEventIndex,
	}), true
}

func (worker *worker) renew(term almondcross.Term, ids []almondcross.TaskID) bool {
	if !worker.leaseValid(term) {
		return false
	}
	worker.leaseUntil = worker.cell.now.Add(almondcross.HolderLease)
	for _, id := range ids {
		if running, ok := worker.tasks[id]; ok {
			running.leaseUntil = worker.cell.now.Add(almondcross.TaskLease)
			worker.scheduleExpiry(id, running)
		}
	}
	return true
}

func (worker *worker) start(term almondcross.Term, task almondcross.Task) (accepted, stale bool) {
	if !worker.leaseValid(term) {
		return false, true
	}
	if running, ok := worker.tasks[task.ID()]; ok {
		return running.task.Attempt() == task.Attempt(), false
	}
	if worker.hasEnded(task) {
		return true, false
	}
	used := task.Resources()
	for _, running := range worker.tasks {
		used = used.Add(running.task.Resources())
	}
	if !used.Fits(worker.capacity()) {
		worker.cell.checker.fail("P1: %s was sent %s beyond its capacity", worker.name, task.ID())
		return false, false
	}
	if worker.leaving {
		return false, false
	}
	running := &runningTask{task: task, leaseUntil: worker.cell.now.Add(almondcross.TaskLease)}
	worker.tasks[task.ID()] = running
	worker.cell.tracef("%s starts %s attempt %d for %s/%d", worker.name, task.ID(), task.Attempt(),
		task.Coordinator().Name(), task.Coordinator().Incarnation())
	worker.cell.checker.recordStart(worker.cell, worker, task)
	worker.scheduleExpiry(task.ID(), running)
	if task.Entry() == "bomb" {
		worker.cell.runAfter(worker.runTime(task)/100, worker.crash)
		return true, false
	}
	if task.Class() != almondcross.ClassService {
		worker.cell.runAfter(worker.runTime(task), func() { worker.finish(task.ID(), task.Attempt(), worker.resultCode()) })
	}
	return true, false
}

// runTime draws the run time of a task: mostly under 200 ms, but up to 40 s for one task in eight, which
// spans several leases. A tally takes 30 s to 60 s.
func (worker *worker) runTime(task almondcross.Task) time.Duration {
	if task.Entry() == "tally" {
		return 30*time.Second + time.Duration(worker.cell.random.Int64N(int64(30*time.Second)))
	}
	if worker.cell.random.IntN(8) == 0 {
		return time.Duration(worker.cell.random.Int64N(int64(40 * time.Second)))
	}
	return time.Duration(worker.cell.random.Int64N(int64(200 * time.Millisecond)))
}

func (worker *worker) resultCode() almondcross.Code {
	if worker.failsTasks {
		return almondcross.CodeTaskFailed
	}
	return almondcross.CodeNone
}

func (worker *worker) hasEnded(task almondcross.Task) bool {
	for _, ended := range worker.endedTasks {
		if ended.task.ID() == task.ID() && ended.task.Attempt() == task.Attempt() {
			return true
		}
	}
	return false
}

// scheduleExpiry stops a task when its lease expires unless the lease was renewed.
func (worker *worker) scheduleExpiry(id almondcross.TaskID, running *runningTask) {
	until := running.leaseUntil
	worker.cell.runAt(until, func() {
		if worker.tasks[id] == running && running.leaseUntil.Equal(until) {
			worker.finish(id, running.task.Attempt(), almondcross.CodeTaskStopped)
		}
	})
}

func (worker *worker) finish(id almondcross.TaskID, attempt int, code almondcross.Code) {
	running, ok := worker.tasks[id]
	if !ok || running.task.Attempt() != attempt {
		return
	}
	delete(worker.tasks, id)
	worker.cell.checker.recordStop(worker, id)
	worker.cell.tracef("%s finishes %s attempt %d %s", worker.name, id, attempt, code)
	result := almondcross.TaskResultConfig{ID: id, Attempt: attempt, Code: code}
	if code == almondcross.CodeNone {
		result.Answer = answerOf(id.Key())
	}
	worker.lastEventIndex++
	worker.endedTasks = append(worker.endedTasks, endedTask{
		index: worker.lastEventIndex, task: running.task, result: almondcross.NewTaskResult(result),
	})
}

func answerOf(key almondcross.Key) []byte { return []byte("answer of " + key.String()) }

// restart starts a new boot, which ends the lease and resets the term counter; the tasks are kept or lost.
func (worker *worker) restart(keepTasks bool) {
	worker.boot++
	worker.termCounter = 0
	worker.leaseUntil = time.Time{}
	worker.cell.tracef("%s restarts, tasks kept: %v", worker.name, keepTasks)
	if keepTasks {
		return
	}
	for id := range worker.tasks {
		delete(worker.tasks, id)
		worker.cell.checker.recordStop(worker, id)
	}
	worker.endedTasks = nil
}

// crash restarts the worker without its tasks; it cannot be reached for crashOutage.
func (worker *worker) crash() {
	worker.restart(false)
	if worker.crashOutage > 0 {
		worker.disconnect(worker.crashOutage)
	}
}

// disconnect makes the worker unreachable for a time, in which it keeps its tasks.
func (worker *worker) disconnect(duration time.Duration) {
	worker.unreachable = true
	worker.cell.runAfter(duration, func() { worker.unreachable = false })
}

// eventsAfter returns the finished tasks with a higher event index and discards the others.
func (worker *worker) eventsAfter(index uint64) []endedTask {
	later := worker.endedTasks[:0]
	for _, ended := range worker.endedTasks {
		if ended.index > index {
			later = append(later, ended)
		}
	}
	worker.endedTasks = later
	return append([]endedTask(nil), later...)
}
