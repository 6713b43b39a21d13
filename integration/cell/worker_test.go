package cell_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// worker is the fake of one worker. It follows docs/platform.md: one lease with a term, a lease for
// each task, and an inventory with each grant.
type worker struct {
	world       *world
	name        string
	boot        uint64
	counter     uint64
	holder      almondcross.MemberID
	leaseUntil  time.Time
	unreachable bool
	failing     bool
	leaving     bool
	tasks       map[almondcross.TaskID]*runningTask
	ended       []endedTask
	events      uint64
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

func newWorker(world *world, name string) *worker {
	return &worker{world: world, name: name, boot: 1, tasks: map[almondcross.TaskID]*runningTask{}}
}

func (worker *worker) term() almondcross.Term {
	return almondcross.NewTerm(almondcross.TermConfig{Boot: worker.boot, Counter: worker.counter})
}

func (worker *worker) capacity() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{Slots: workerSlots})
}

func (worker *worker) inForce(term almondcross.Term) bool {
	return term == worker.term() && worker.world.now.Before(worker.leaseUntil)
}

func (worker *worker) acquire(holder almondcross.MemberID) (almondcross.Grant, bool) {
	now := worker.world.now
	if now.Before(worker.leaseUntil) && worker.holder != holder {
		return almondcross.Grant{}, false
	}
	worker.counter++
	worker.holder, worker.leaseUntil = holder, now.Add(almondcross.HolderLease)
	worker.world.note("%s granted to %s/%d as %d.%d", worker.name, holder.Name(), holder.Incarnation(), worker.boot, worker.counter)
	var items []almondcross.InventoryItem
	// A seed must give the same history each time, and Go's map order is random.
	for _, running := range slices.SortedFunc(maps.Values(worker.tasks), func(first, second *runningTask) int {
		one, two := first.task.ID(), second.task.ID()
		return cmp.Or(one.Key().Compare(two.Key()), cmp.Compare(one.Index(), two.Index()))
	}) {
		items = append(items, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{Task: running.task}))
	}
	for _, ended := range worker.ended {
		items = append(items, almondcross.NewInventoryItem(almondcross.InventoryItemConfig{
			Task: ended.task, Finished: true, Result: ended.result,
		}))
	}
	return almondcross.NewGrant(almondcross.GrantConfig{
		Target: worker.name, Term: worker.term(), Capacity: worker.capacity(), Leaving: worker.leaving,
		Inventory: items, Events: worker.events,
	}), true
}

func (worker *worker) renew(term almondcross.Term, ids []almondcross.TaskID) bool {
	if !worker.inForce(term) {
		return false
	}
	worker.leaseUntil = worker.world.now.Add(almondcross.HolderLease)
	for _, id := range ids {
		if running, ok := worker.tasks[id]; ok {
			running.leaseUntil = worker.world.now.Add(almondcross.TaskLease)
			worker.watch(id, running)
		}
	}
	return true
}

func (worker *worker) start(term almondcross.Term, task almondcross.Task) (accepted, stale bool) {
	if !worker.inForce(term) {
		return false, true
	}
	if running, ok := worker.tasks[task.ID()]; ok {
		return running.task.Attempt() == task.Attempt(), false
	}
	if worker.knowsEnded(task) {
		return true, false
	}
	used := task.Resources()
	for _, running := range worker.tasks {
		used = used.Add(running.task.Resources())
	}
	if !used.Fits(worker.capacity()) {
		worker.world.checks.fail("P1: %s was sent %s beyond its capacity", worker.name, task.ID())
		return false, false
	}
	if worker.leaving {
		return false, false
	}
	running := &runningTask{task: task, leaseUntil: worker.world.now.Add(almondcross.TaskLease)}
	worker.tasks[task.ID()] = running
	worker.world.note("%s starts %s attempt %d for %s/%d", worker.name, task.ID(), task.Attempt(),
		task.Coordinator().Name(), task.Coordinator().Incarnation())
	worker.world.checks.started(worker.world, worker, task)
	worker.watch(task.ID(), running)
	if task.Class() != almondcross.ClassService {
		worker.world.after(worker.runTime(), func() { worker.finish(task.ID(), task.Attempt(), worker.code()) })
	}
	return true, false
}

// runTime is mostly short; one task in eight is a straggler that outlives several leases.
func (worker *worker) runTime() time.Duration {
	if worker.world.random.IntN(8) == 0 {
		return time.Duration(worker.world.random.Int64N(int64(40 * time.Second)))
	}
	return time.Duration(worker.world.random.Int64N(int64(200 * time.Millisecond)))
}

func (worker *worker) code() almondcross.Code {
	if worker.failing {
		return almondcross.CodeTaskFailed
	}
	return almondcross.CodeNone
}

func (worker *worker) knowsEnded(task almondcross.Task) bool {
	for _, ended := range worker.ended {
		if ended.task.ID() == task.ID() && ended.task.Attempt() == task.Attempt() {
			return true
		}
	}
	return false
}

// watch stops a task when its lease ends.
func (worker *worker) watch(id almondcross.TaskID, running *runningTask) {
	until := running.leaseUntil
	worker.world.at(until, func() {
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
	worker.world.checks.stopped(worker, id)
	worker.world.note("%s ends %s attempt %d %s", worker.name, id, attempt, code)
	result := almondcross.TaskResultConfig{ID: id, Attempt: attempt, Code: code}
	if code == almondcross.CodeNone {
		result.Answer = answerOf(id.Key())
	}
	worker.events++
	worker.ended = append(worker.ended, endedTask{
		index: worker.events, task: running.task, result: almondcross.NewTaskResult(result),
	})
}

func answerOf(key almondcross.Key) []byte { return []byte("answer of " + key.String()) }

// restart begins a new boot; its tasks survive or vanish.
func (worker *worker) restart(keepTasks bool) {
	worker.boot++
	worker.counter = 0
	worker.leaseUntil = time.Time{}
	worker.world.note("%s restarts, tasks kept: %v", worker.name, keepTasks)
	if keepTasks {
		return
	}
	for id := range worker.tasks {
		delete(worker.tasks, id)
		worker.world.checks.stopped(worker, id)
	}
	worker.ended = nil
}

// eventsAfter returns the ends after an index and forgets the earlier ones.
func (worker *worker) eventsAfter(after uint64) []endedTask {
	kept := worker.ended[:0]
	for _, ended := range worker.ended {
		if ended.index > after {
			kept = append(kept, ended)
		}
	}
	worker.ended = kept
	return append([]endedTask(nil), kept...)
}
