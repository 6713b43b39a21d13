package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/standin"
)

const (
	// longLength is the duration of tasks that have to be stopped before they end.
	longLength = 20 * time.Second
	// startLimit is how long after the acknowledgement of its cancellation a task of a job may still start, and runLimit how
	// long one may run on after that.
	startLimit = 3 * time.Second
	runLimit   = time.Second + standin.StopDelay
	// quietTime is how long after a disturbance these limits hold again.
	quietTime = 4 * time.Second
)

// disturbance is the time of a fault.
type disturbance struct{ begin, end time.Time }

// orderFault is what happens to the orders to a worker while a cancellation is disturbed.
type orderFault int

const (
	ordersDelivered orderFault = iota
	ordersDelayed
	ordersLost

	orderFaults = 3
)

// cancel cancels a job, first at one host and then at the others, until it is acknowledged or the attempts are used up.
func (cell *cell) cancel(job *job, first, attempts int) {
	job.cancelled.Store(true)
	for attempt := range attempts {
		host := cell.hosts[(first+attempt)%hostCount]
		if status, _ := cell.call(http.MethodDelete, host.callersAddress, "/q/"+job.id, ""); status == http.StatusOK {
			now := time.Now()
			job.cancelledAt.Store(&now)
			return
		}
		<-time.After(250 * time.Millisecond)
	}
}

// disturbCancellation cancels jobs with running tasks while orders to some of their workers are lost or delayed, and kills or
// pauses the scheduling host within a second after the acknowledgement.
func (cell *cell) disturbCancellation() string {
	random, begin := cell.random, time.Now()
	delay, downtime := time.Duration(random.Int64N(int64(time.Second))), time.Second+time.Duration(random.Int64N(int64(2*time.Second)))
	kills, first, orderDowntime := random.IntN(2) == 0, random.IntN(hostCount), time.Second+time.Duration(random.Int64N(int64(2*time.Second)))
	var faults [workerCount]orderFault
	for index := range faults {
		faults[index] = orderFault(random.IntN(orderFaults))
	}
	jobs := []*job{newJob(random), newJob(random)}
	for _, job := range jobs {
		job.long, job.counts = true, []int{1 + random.IntN(4)}
		cell.jobs.Store(job.id, job)
		cell.submit(job, first, 0)
	}
	for until := time.Now().Add(2 * time.Second); !cell.checker.allRunning(jobs) && time.Now().Before(until); {
		<-time.After(10 * time.Millisecond)
	}
	scheduling := cell.schedulingHost()
	disturbed := cell.disturbOrders(jobs, faults, orderDowntime)
	ordersEnd := time.Now().Add(orderDowntime)
	for _, job := range jobs {
		cell.cancel(job, scheduling, 20)
	}
	<-time.After(delay)
	host, signal, end := cell.hosts[scheduling], "pause", time.Now()
	if kills {
		signal = "kill"
		host.kill(downtime / 4)
		end = time.Now()
	} else {
		host.pause(downtime)
		end = end.Add(downtime)
	}
	cell.checker.recordDisturbance(begin, slices.MaxFunc([]time.Time{end, ordersEnd}, time.Time.Compare))
	return fmt.Sprintf("cancel %s and %s, %s scheduling host %s %s after it for %s, orders to %s disturbed for %s", jobs[0].id, jobs[1].id, signal,
		host.name, delay, downtime, strings.Join(disturbed, ","), orderDowntime)
}

// disturbOrders injects the drawn faults into the connections to the workers that run tasks of the jobs, and returns those
// workers.
func (cell *cell) disturbOrders(jobs []*job, faults [workerCount]orderFault, duration time.Duration) []string {
	var disturbed []string
	for index, slot := range cell.workers {
		worker := slot.current.Load().ID
		if faults[index] == ordersDelivered || !cell.checker.runsAny(worker, jobs) {
			continue
		}
		if faults[index] == ordersLost {
			slot.proxy.loseAll(cell.ctx, duration)
		} else {
			slot.proxy.injectFault(cell.ctx, blockAll, duration)
		}
		disturbed = append(disturbed, worker)
	}
	return disturbed
}

// schedulingHost returns the index of the host that the stored pointer names, the first one if there is no pointer yet.
func (cell *cell) schedulingHost() int {
	record, err := cell.store.Get(cell.ctx, "keyed.scheduler", "scheduler")
	if err != nil {
		return 0
	}
	codec, err := encoder.NewCodec()
	require.NoError(cell.t, err)
	pointer, err := codec.DecodePointer(record)
	if err != nil {
		return 0
	}
	return max(0, slices.IndexFunc(cell.hosts, func(host *host) bool { return host.name == pointer.Host() }))
}

// allRunning reports whether all tasks of the jobs run.
func (checker *checker) allRunning(jobs []*job) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for _, job := range jobs {
		for index := range job.counts[0] {
			if len(checker.running[fmt.Sprintf("%s.0.0.%d", job.id, index)]) == 0 {
				return false
			}
		}
	}
	return true
}

// runsAny reports whether a worker runs a task of the jobs.
func (checker *checker) runsAny(worker string, jobs []*job) bool {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for key := range checker.openRuns {
		if key.worker == worker && slices.ContainsFunc(jobs, func(job *job) bool { return strings.HasPrefix(key.task, job.id+".") }) {
			return true
		}
	}
	return false
}

func (checker *checker) recordDisturbance(begin, end time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.disturbances = append(checker.disturbances, disturbance{begin: begin, end: end})
	slices.SortFunc(checker.disturbances, func(a, b disturbance) int { return a.begin.Compare(b.begin) })
}

// quietFrom returns the first time from a given one on at which no fault has been present for quietTime.
func (checker *checker) quietFrom(from time.Time) time.Time {
	for _, disturbance := range checker.disturbances {
		if settled := disturbance.end.Add(quietTime); !from.Before(disturbance.begin) && from.Before(settled) {
			from = settled
		}
	}
	return from
}

// checkCancelledJobs waits until the limits hold for all cancelled jobs, and finds tasks that start or run after them.
func (cell *cell) checkCancelledJobs() {
	cancelledAt := map[string]time.Time{}
	cell.jobs.Range(func(_, value any) bool {
		job := value.(*job) //nolint:forcetypeassert // The map holds jobs only.
		if acknowledged := job.cancelledAt.Load(); acknowledged != nil {
			cancelledAt[job.id] = *acknowledged
		}
		return true
	})
	<-time.After(time.Until(cell.checker.judgedFrom(cancelledAt)) + 50*time.Millisecond)
	cell.checker.mutex.Lock()
	defer cell.checker.mutex.Unlock()
	for _, run := range cell.checker.runs {
		id, _, _ := strings.Cut(run.task, ".")
		if acknowledged, cancelled := cancelledAt[id]; cancelled {
			cell.checker.checkCancelledRun(run, acknowledged)
		}
	}
}

// judgedFrom returns when the faults have been over for quietTime and no task of the cancelled jobs may run any more.
func (checker *checker) judgedFrom(cancelledAt map[string]time.Time) time.Time {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	latest := checker.quietFrom(time.Now())
	for _, acknowledged := range cancelledAt {
		if from := checker.quietFrom(acknowledged.Add(startLimit + runLimit)); from.After(latest) {
			latest = from
		}
	}
	return latest
}

func (checker *checker) checkCancelledRun(run *workerRun, acknowledged time.Time) {
	end, runsOn := run.end, run.end.IsZero()
	if runsOn {
		end = time.Now()
	}
	if run.start.After(acknowledged.Add(startLimit)) && !checker.quietFrom(run.start).After(run.start) {
		checker.addViolation("%s run %d starts on %s %s after its cancellation was acknowledged", run.task, run.run, run.worker, run.start.Sub(acknowledged))
	}
	if end.After(checker.quietFrom(acknowledged.Add(startLimit + runLimit))) {
		checker.addViolation("%s run %d on %s goes on %s after its cancellation was acknowledged (still running: %t)", run.task, run.run, run.worker,
			end.Sub(acknowledged), runsOn)
	}
}
