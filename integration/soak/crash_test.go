package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

const (
	// maxCrashingJobs is the maximum number of crashing jobs of a day, which are drawn among the first earlyJobs jobs because
	// they take seconds to fail.
	maxCrashingJobs, earlyJobs = 3, 8
	// maxCrashes workers may crash under a task, and then it may be started maxLaterRestarts times more, since starts may be
	// under way.
	maxCrashes, maxLaterRestarts = 3, 2
	// crashDelay is less than any task lasts, and long enough for the answer to the start order.
	crashDelay = 30 * time.Millisecond
	// replacementDelay is the time from the crash of a worker until another one listens at its address.
	replacementDelay = 3 * time.Second
)

// workerSlot is an address with the worker that serves it. A worker that a task has crashed is replaced by one
// with another identity.
type workerSlot struct {
	cell    *cell
	index   int
	proxy   *proxy
	current atomic.Pointer[standin.Worker]
}

func newWorkerSlot(cell *cell, index int) *workerSlot {
	slot := &workerSlot{cell: cell, index: index, proxy: newProxy(cell.ctx, cell.t, "")}
	require.NoError(cell.t, slot.start(0))
	return slot
}

// start starts and announces a worker.
func (slot *workerSlot) start(generation int) error {
	worker := &standin.Worker{
		ID: slot.workerID(generation), Service: poolName, Zone: "a", Rack: fmt.Sprintf("r1-%d", slot.index/4), MilliCPU: workerCPU,
		Address: slot.proxy.address, Events: slot.cell.events, TaskSpec: slot.cell.taskWork, Crashes: slot.cell.crashesWorker,
		Fails:   slot.cell.failsTask,
		OnCrash: func() { go slot.replace(generation) },
	}
	address, err := slot.cell.startServer(worker.Server(slot.cell.ctx))
	if err != nil {
		return err
	}
	slot.current.Store(worker)
	slot.proxy.target.Store(&address)
	go func() { _ = worker.Run(slot.cell.ctx) }()
	return slot.announce(worker)
}

// announce announces the current incarnation of a worker. The platform's workers renew their announcements by themselves.
func (slot *workerSlot) announce(worker *standin.Worker) error {
	announcement, err := worker.Announcement(slot.cell.ctx)
	if err != nil {
		return err
	}
	return slot.cell.store.Put(slot.cell.ctx, "keyed.servers", worker.ID, announcement)
}

func (slot *workerSlot) workerID(generation int) string {
	if generation == 0 {
		return fmt.Sprintf("w-%d", slot.index)
	}
	return fmt.Sprintf("w-%d-%d", slot.index, generation)
}

// replace refuses connections for replacementDelay and then starts the next worker.
func (slot *workerSlot) replace(crashed int) {
	slot.proxy.refuseConnections()
	select {
	case <-time.After(replacementDelay):
	case <-slot.cell.ctx.Done():
		return
	}
	err := slot.cell.store.Put(slot.cell.ctx, "keyed.servers", slot.workerID(crashed), nil)
	if err == nil {
		err = slot.start(crashed + 1)
	}
	slot.proxy.acceptConnections(slot.cell.ctx)
	if err != nil && slot.cell.ctx.Err() == nil {
		slot.cell.checker.reportFault(err)
	}
}

// drawCrashingJobs returns the places of the crashing jobs of a day.
func drawCrashingJobs(random *rand.Rand) []int {
	places := make([]int, 1+random.IntN(maxCrashingJobs))
	for index := range places {
		places[index] = random.IntN(earlyJobs)
	}
	return places
}

// makeCrashing gives a job one task that crashes its workers.
func (job *job) makeCrashing(random *rand.Rand) {
	job.crashing, job.counts = true, []int{1}
	if random.IntN(4) > 0 {
		job.crashDelay = crashDelay
	}
}

// crashesWorker reports whether a task crashes its worker, and how long after its start.
func (cell *cell) crashesWorker(task string) (time.Duration, bool) {
	id, _, _ := strings.Cut(task, ".")
	value, ok := cell.jobs.Load(id)
	if !ok {
		return 0, false
	}
	job := value.(*job) //nolint:forcetypeassert // The map holds jobs only.
	return job.crashDelay, job.crashing
}

// checkRestarts finds tasks that are started again and again although they crash their workers.
func (checker *checker) checkRestarts(event standin.Event) {
	switch event.Kind {
	case standin.KindCrashed:
		checker.crashes[event.Task]++
	case "start":
		if checker.crashes[event.Task] < maxCrashes {
			return
		}
		checker.laterRestarts[event.Task]++
		if checker.laterRestarts[event.Task] > maxLaterRestarts {
			checker.addViolation("%s run %d starts on %s, start %d after %d workers have crashed under the task", event.Task, event.Run, event.Worker,
				checker.laterRestarts[event.Task], maxCrashes)
		}
	}
}

// reportFault makes the test fail because a worker could not be replaced.
func (checker *checker) reportFault(err error) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.addViolation("the soak failed to replace a worker: %v", err)
}
