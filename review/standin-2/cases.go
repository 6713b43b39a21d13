package main

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Bounds of the rules, as the pages give them for the deployments.
const (
	finishTime  = 14 * time.Second
	visibleTime = 3 * time.Second
	applyTime   = 2500 * time.Millisecond
	// idleTime is how long a job may have nothing running.
	idleTime = 3 * time.Second
)

// The racks of the workers. Their names are labels of the workers.
const (
	smallRack = "r1-1"
	largeRack = "r1-2"

	smallWorkers, largeWorkers = 2, 8
)

const (
	// taskCPU is what a task of most jobs needs, in thousandths of a core.
	taskCPU = 4000
	// listTime is how long hosts take at most until they have read the announcements of new workers and reached them.
	listTime    = 4 * time.Second
	sampleTime  = 50 * time.Millisecond
	hour        = time.Hour
	stateDone   = "completed"
	stateFailed = "failed"
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(ctx context.Context, cell *cell) (bool, error)

var scenarios = map[string]scenario{
	"cutoff":   cutoff,
	"renamed":  renamed,
	"retry":    retry,
	"reserved": reserved,
}

// firstTime returns a function that reports true on its first call only.
func firstTime() func() bool {
	var calls atomic.Int32
	return func() bool { return calls.Add(1) == 1 }
}

// prepare starts the workers of both racks and waits until the hosts know them.
func (cell *cell) prepare(ctx context.Context) error {
	if err := cell.addWorkers(ctx, smallRack, smallWorkers); err != nil {
		return errors.Trace(err)
	}
	if err := cell.addWorkers(ctx, largeRack, largeWorkers); err != nil {
		return errors.Trace(err)
	}
	cell.record.line("%d workers in rack %s, %d in rack %s, of 16 cores each", smallWorkers, smallRack, largeWorkers, largeRack)
	pause(ctx, listTime)
	return nil
}

// awaitRun waits until a task of a job runs and returns its worker.
func (cell *cell) awaitRun(ctx context.Context, job string) (string, error) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		for task, event := range cell.ledger.running(ctx) {
			if strings.HasPrefix(task, job+".") {
				return event.Worker, nil
			}
		}
		if !pause(ctx, sampleTime) {
			break
		}
	}
	return "", errors.Errorf("job %s does not run", job)
}

// idle reports whether a job has nothing running although a worker of the small rack has room for a task of it twice over, and less than half
// of the capacity of all workers is in use.
func (cell *cell) idle(ctx context.Context, job string) bool {
	used, total := map[string]int64{}, int64(0)
	for name, event := range cell.ledger.running(ctx) {
		if strings.HasPrefix(name, job+".") {
			return false
		}
		task, _ := cell.taskOf(name)
		used[event.Worker] += task.milliCPU
		total += task.milliCPU
	}
	capacity, room := int64(0), false
	for _, worker := range cell.workers {
		if worker.down.Load() {
			continue
		}
		capacity += workerCPU
		room = room || worker.Rack == smallRack && workerCPU-used[worker.ID] >= 2*taskCPU
	}
	return room && 2*total < capacity
}

// staysIdle reports whether a job that is not final is idle for idleTime on end, within twice that time.
func (cell *cell) staysIdle(ctx context.Context, job string) bool {
	idleSince := time.Time{}
	for deadline := time.Now().Add(2 * idleTime); time.Now().Before(deadline); {
		switch {
		case !cell.idle(ctx, job):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) >= idleTime:
			status, state := cell.stateOf(ctx, jobsPrefix, job)
			cell.record.line("job %s has nothing running for %s, with room for it on rack %s", job, time.Since(idleSince).Round(time.Millisecond), smallRack)
			return status == http.StatusOK && state != stateDone && state != stateFailed
		}
		if !pause(ctx, sampleTime) {
			break
		}
	}
	return false
}

// retry has the first run of a task fail whose only other worker is full of a task that lasts.
func retry(ctx context.Context, cell *cell) (bool, error) {
	if err := cell.prepare(ctx); err != nil {
		return false, errors.Trace(err)
	}
	behaviour := task{milliCPU: taskCPU, duration: 4 * time.Second}
	if cell.options.trouble {
		behaviour.fails = firstTime()
	}
	batch, err := cell.submit(ctx, jobsPrefix, "batch.json", behaviour)
	if err != nil {
		return false, errors.Trace(err)
	}
	if _, err := cell.awaitRun(ctx, batch); err != nil {
		return false, errors.Trace(err)
	}
	lasting, err := cell.submit(ctx, jobsPrefix, "lasting.json", task{milliCPU: workerCPU, duration: hour})
	if err != nil {
		return false, errors.Trace(err)
	}
	if _, err := cell.awaitRun(ctx, lasting); err != nil {
		return false, errors.Trace(err)
	}
	cell.record.line("the traffic ends; %s later the jobs are asked for", finishTime)
	pause(ctx, finishTime)
	broken := cell.staysIdle(ctx, batch)
	if broken {
		pause(ctx, 40*time.Second) // Shows whether the job is only late.
	}
	_, state := cell.stateOf(ctx, jobsPrefix, batch)
	cell.record.line("at the end: %s, %d runs failed", state, cell.ledger.ended(ctx, batch, "failed"))
	return broken, nil
}

// reserved has a gang wait for a worker that was lost, and then a job for the room on the other worker.
func reserved(ctx context.Context, cell *cell) (bool, error) {
	if err := cell.prepare(ctx); err != nil {
		return false, errors.Trace(err)
	}
	if cell.options.trouble {
		cell.lose(ctx, cell.workers[0])
		pause(ctx, 2*expiry)
	}
	gang, err := cell.submit(ctx, urgentPrefix, "gang.json", task{milliCPU: 8000, duration: 2 * time.Second})
	if err != nil {
		return false, errors.Trace(err)
	}
	pause(ctx, time.Second)
	batch, err := cell.submit(ctx, jobsPrefix, "batch.json", task{milliCPU: taskCPU, duration: 2 * time.Second})
	if err != nil {
		return false, errors.Trace(err)
	}
	cell.record.line("the traffic ends; %s later the jobs are asked for", finishTime)
	pause(ctx, finishTime)
	broken := cell.staysIdle(ctx, batch)
	if broken {
		pause(ctx, 50*time.Second) // Shows whether the job is only late.
	}
	_, state := cell.stateOf(ctx, jobsPrefix, batch)
	_, gangState := cell.stateOf(ctx, urgentPrefix, gang)
	cell.record.line("at the end: the job is %s, the gang %s", state, gangState)
	return broken, nil
}

// renamed has the operator rename the queue of a job that runs, at the same host and prefix. The job is asked for while it runs and
// after it is done.
func renamed(ctx context.Context, cell *cell) (bool, error) {
	const duration = 10 * time.Second
	if err := cell.prepare(ctx); err != nil {
		return false, errors.Trace(err)
	}
	batch, err := cell.submit(ctx, jobsPrefix, "batch.json", task{milliCPU: taskCPU, duration: duration})
	if err != nil {
		return false, errors.Trace(err)
	}
	pause(ctx, visibleTime+time.Second)
	cell.stateOf(ctx, jobsPrefix, batch)
	name := "jobs"
	if cell.options.trouble {
		name = "tasks"
	}
	if err := cell.configure(ctx, 2, name); err != nil {
		return false, errors.Trace(err)
	}
	pause(ctx, applyTime+time.Second)
	running := cell.anyGone(ctx, batch)
	pause(ctx, duration)
	done := cell.anyGone(ctx, batch)
	return running || done, nil
}

// anyGone asks all hosts for a job and reports whether one answers that there is no such job.
func (cell *cell) anyGone(ctx context.Context, job string) bool {
	gone := false
	for _, host := range cell.hosts {
		status, state := cell.call(ctx, host, http.MethodGet, jobsPrefix+job, nil)
		cell.record.line("GET %s%s at %s: %d %s", jobsPrefix, job, host, status, state)
		gone = gone || status == http.StatusGone
	}
	return gone
}

// lose ends a worker for good.
func (cell *cell) lose(ctx context.Context, worker *worker) {
	cell.record.line("worker %s is lost for good", worker.ID)
	worker.down.Store(true)
	_ = worker.listener.Close()
	worker.Crash(ctx)
}

const (
	// cutTime is the longest cut of workers that the pages name, and secondCut how long after the first one another begins.
	cutTime   = 5500 * time.Millisecond
	secondCut = 3 * time.Second
)

// cutoff cuts a worker off twice, the second time before the first cut ends, while the run of a task ends on it. Later a job comes
// that no other worker has room for.
func cutoff(ctx context.Context, cell *cell) (bool, error) {
	if err := cell.prepare(ctx); err != nil {
		return false, errors.Trace(err)
	}
	first, err := cell.submit(ctx, jobsPrefix, "batch.json", task{milliCPU: taskCPU, duration: 4 * time.Second})
	if err != nil {
		return false, errors.Trace(err)
	}
	id, err := cell.awaitRun(ctx, first)
	if err != nil {
		return false, errors.Trace(err)
	}
	if cell.options.trouble {
		for _, worker := range cell.workers {
			if worker.ID == id {
				cell.cutOffTwice(ctx, worker)
			}
		}
	}
	pause(ctx, 10*time.Second)
	cell.stateOf(ctx, jobsPrefix, first)
	lasting, err := cell.submit(ctx, jobsPrefix, "lasting.json", task{milliCPU: workerCPU, duration: hour})
	if err != nil {
		return false, errors.Trace(err)
	}
	if _, err := cell.awaitRun(ctx, lasting); err != nil {
		return false, errors.Trace(err)
	}
	batch, err := cell.submit(ctx, jobsPrefix, "batch.json", task{milliCPU: taskCPU, duration: 4 * time.Second})
	if err != nil {
		return false, errors.Trace(err)
	}
	cell.record.line("the traffic ends; %s later the jobs are asked for", finishTime)
	pause(ctx, finishTime)
	broken := cell.staysIdle(ctx, batch)
	if broken {
		pause(ctx, 40*time.Second) // Shows whether the job is only late.
	}
	_, state := cell.stateOf(ctx, jobsPrefix, batch)
	cell.record.line("at the end: %s", state)
	return broken, nil
}
