package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// cellCount is small by default, since a cell has as many processes as hosts and takes most of a processor.
var cellCount = flag.Int("cells", 1, "the number of seeds that run at the same time, in tests whose seeds mostly wait")

const (
	// restartedWorkers of the workers restart in a day. The others run the tasks that are started again.
	restartedWorkers = 6
	// restartLoad is how long jobs are sent. The workers restart from restartsFrom to restartsUntil of that time.
	restartLoad, restartsFrom, restartsUntil = 5 * time.Second, time.Second, 3 * time.Second
	// restartJobPause is the mean pause between two jobs. Starts are under way to each worker at most times.
	restartJobPause = 15 * time.Millisecond
	// restartTimeout is how long the jobs may take after the load: the last cut, the wait for the leases and a second run.
	restartTimeout = 60 * time.Second
)

// hostFault is what happens to the scheduling host between the restart of a worker and its cut.
type hostFault int

const (
	hostRuns hostFault = iota
	hostKilled
	hostPaused

	hostFaults = 3
)

// workerDeath is how the connections of a worker's earlier incarnation end.
type workerDeath int

const (
	closesConnections workerDeath = iota // closesConnections means that its clients see the end, as of a process that was killed.
	fallsSilent                          // fallsSilent means that they see it once the worker is back, as of a machine that lost power.

	workerDeaths = 2
)

// restart is the restart of a worker under its identity and its cut from the hosts.
type restart struct {
	at        time.Duration // at is when the worker dies, from the start of the load.
	death     workerDeath
	downtime  time.Duration
	lostFor   time.Duration // lostFor is how long its answers are lost from its return on.
	cutAfter  time.Duration // cutAfter is how long after its return it is cut.
	cut       mode
	cutLength time.Duration
	host      hostFault // host is the fault of the scheduling host between the return and the cut.
	hostFor   time.Duration
}

// drawBetween returns a random duration in a range.
func drawBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// drawRestart draws a restart, with a fault of the scheduling host if that is allowed.
func drawRestart(random *rand.Rand, withHostFault bool) restart {
	drawn := restart{
		at: drawBetween(random, restartsFrom, restartsUntil), death: workerDeath(random.IntN(workerDeaths)),
		downtime:  drawBetween(random, 30*time.Millisecond, 800*time.Millisecond),
		cutAfter:  drawBetween(random, 0, 2500*time.Millisecond),
		cut:       []mode{blockAll, blockResponses}[random.IntN(2)],
		cutLength: drawBetween(random, 6*time.Second, 13*time.Second),
	}
	if random.IntN(3) == 0 {
		drawn.cutAfter /= 20 // Before any host has seen the restart.
	}
	if random.IntN(3) == 0 {
		drawn.lostFor = drawBetween(random, 0, drawn.cutAfter+1)
	}
	fault := hostFault(random.IntN(hostFaults))
	if withHostFault {
		drawn.host, drawn.hostFor = fault, drawBetween(random, 100*time.Millisecond, 2500*time.Millisecond)
	}
	return drawn
}

// String describes the restart.
func (restart restart) String() string {
	return fmt.Sprintf("dies at %s (silent %t), back after %s, answers lost for %s, cut %s after its return (answers only %t) for %s, host fault %d for %s",
		restart.at, restart.death == fallsSilent, restart.downtime, restart.lostFor, restart.cutAfter, restart.cut == blockResponses, restart.cutLength,
		restart.host, restart.hostFor)
}

// restart restarts the worker under its identity.
func (slot *workerSlot) restart(death workerDeath, downtime time.Duration) error {
	worker := slot.current.Load()
	if death == fallsSilent {
		slot.proxy.mode.Store(int32(blockAll))
	} else {
		slot.proxy.refuseConnections()
	}
	worker.Crash(slot.cell.ctx)
	<-time.After(downtime)
	worker.Crash(slot.cell.ctx) // The clock of the next incarnation begins with its return.
	if death == fallsSilent {
		slot.proxy.resets.Add(1)
		slot.proxy.mode.Store(int32(passThrough))
	} else {
		slot.proxy.acceptConnections(slot.cell.ctx)
	}
	return slot.announce(worker)
}

// restartAndCut carries out a restart.
func (cell *cell) restartAndCut(slot *workerSlot, restart restart, start time.Time) {
	<-time.After(time.Until(start.Add(restart.at)))
	if err := slot.restart(restart.death, restart.downtime); err != nil {
		cell.checker.reportFault(err)
		return
	}
	back := time.Now()
	if restart.lostFor > 0 {
		slot.proxy.injectFault(cell.ctx, blockResponses, restart.lostFor)
	}
	<-time.After(restart.cutAfter / 2)
	switch host := cell.hosts[cell.schedulingHost()]; restart.host {
	case hostKilled:
		host.kill(restart.hostFor / 4)
	case hostPaused:
		host.pause(restart.hostFor)
	default:
	}
	<-time.After(time.Until(back.Add(restart.cutAfter)))
	slot.proxy.injectFault(cell.ctx, restart.cut, restart.cutLength)
}

// sendRestartJobs sends jobs for restartLoad and returns them: some with tasks of about 12 s, the others with short ones whose ends
// are acknowledged to the earlier incarnations.
func (cell *cell) sendRestartJobs(random *rand.Rand) []*job {
	var jobs []*job
	var group sync.WaitGroup
	for until := time.Now().Add(restartLoad); time.Now().Before(until); <-time.After(drawBetween(random, 0, 2*restartJobPause)) {
		job := newJob(random)
		job.milliCPU, job.counts = 20+random.Int64N(40), []int{1 + random.IntN(3)}
		if random.IntN(2) == 0 {
			job.duration = drawBetween(random, 8*time.Second, 12500*time.Millisecond)
		}
		cell.jobs.Store(job.id, job)
		jobs = append(jobs, job)
		first := random.IntN(hostCount)
		group.Go(func() { cell.submit(job, first, 0) })
	}
	group.Wait()
	return jobs
}

// Guards against orders for an earlier incarnation of a worker that the next one carries out (issue 45): a task that runs on two
// workers at once since the scheduler knows neither of the run nor of its lease, and an end that is acknowledged under the numbers
// of the earlier incarnation, after which its task runs again.
func TestRestartedWorkersThatAreCutOff(t *testing.T) {
	t.Parallel()
	slots := make(chan struct{}, *cellCount)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runRestarts(t, seed)
		})
	}
}

func runRestarts(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startCell(ctx, t, seed)
	start := time.Now()
	var group sync.WaitGroup
	var faults []string
	for index, place := range cell.random.Perm(workerCount)[:restartedWorkers] {
		restart := drawRestart(cell.random, index == 0)
		faults = append(faults, fmt.Sprintf("\n  w-%d %s", place, restart))
		group.Go(func() { cell.restartAndCut(cell.workers[place], restart, start) })
	}
	jobs := cell.sendRestartJobs(rand.New(rand.NewPCG(seed, 4)))
	group.Wait()
	defer cell.logHistories(start)
	cell.checkResults(jobs, faults, time.Now().Add(restartTimeout))
}

// logHistories logs the events of the tasks that a violation names.
func (cell *cell) logHistories(start time.Time) {
	cell.checker.mutex.Lock()
	defer cell.checker.mutex.Unlock()
	for task := range cell.checker.history {
		for _, violation := range cell.checker.violations {
			if strings.Contains(violation, task+" ") || strings.Contains(violation, task+":") {
				cell.t.Log(cell.checker.describeHistory(task, start))
				break
			}
		}
	}
}

// describeHistory describes the events of a task.
func (checker *checker) describeHistory(task string, start time.Time) string {
	lines := []string{task}
	for _, event := range checker.history[task] {
		lines = append(lines, fmt.Sprintf("  %7.3f s: run %d on %s (incarnation %7.3f s): %s", event.At.Sub(start).Seconds(), event.Run, event.Worker,
			time.UnixMilli(event.Incarnation).Sub(start).Seconds(), event.Kind))
	}
	return strings.Join(lines, "\n")
}
