package emulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// RestartPattern describes how RestartAndCut restarts workers under their ID and partitions the same workers soon after.
type RestartPattern struct {
	Rounds         int           // Rounds is how many times the workers are restarted and partitioned.
	Interval       time.Duration // Interval is the time between the starts of two rounds.
	Downtime       time.Duration // Downtime is how long the workers are down.
	Silent         bool          // Silent leaves the calls of the crashed process without an answer instead of breaking their connections.
	AnnounceDelay  time.Duration // AnnounceDelay is the time from the restart of a worker to its first announcement.
	CutDelay       time.Duration // CutDelay is the time from the restart to the partition.
	CutDuration    time.Duration
	CutFromStore   bool          // CutFromStore makes the partition keep the workers from the store, too, so that their announcements lapse.
	SchedulerFault FaultKind     // SchedulerFault is KillScheduler, FreezeScheduler or empty.
	SchedulerDelay time.Duration // SchedulerDelay is the time from the crash to that fault.
	LateShare      float64       // LateShare is the fraction of the orders around the restart that are executed late.
	LateLeaseShare float64       // LateLeaseShare is the same fraction of lease orders.
	HeldShare      float64       // HeldShare is the fraction of the answers around the restart that are held up, so that others overtake them.
}

// Bounds of random patterns. They follow the days of the users' report.
const (
	maxRestartRounds     = 3
	minRestartInterval   = 14 * time.Second
	restartIntervalRange = 6 * time.Second
	minRestartDowntime   = 30 * time.Millisecond
	maxRestartDowntime   = 800 * time.Millisecond
	maxCutDelay          = 2500 * time.Millisecond
	promptCutDelay       = 700 * time.Millisecond // promptCutDelay is the longest delay of the partitions that hit before the restart is known.
	minCutDuration       = 6 * time.Second
	maxCutDuration       = 13 * time.Second
	maxSchedulerPause    = 4 * time.Second
)

// Timing and load of a restart.
const (
	// restartLead is how long jobs with long tasks are submitted before the first restart.
	restartLead = 4 * time.Second
	// orderFaultLead is how long before a crash and after the restart orders are executed late and answers are held up.
	orderFaultLead = 700 * time.Millisecond
	// restartShareFactor scales the share of a fault to the share of the restarted workers.
	restartShareFactor = 2
	// restartJobsPerSec is the rate of the jobs on the route that a restart adds.
	restartJobsPerSec = 2.5
	// longTaskShare is the fraction of these jobs whose tasks take longTaskFactor times as long.
	longTaskShare  = 0.35
	longTaskFactor = 12
	// maxLongTask is the longest run time of a long task, so that the tail of the drawn times does not outlast the simulation.
	maxLongTask = 24 * time.Second
	// longSettleTime is how much longer the simulation lasts, so that two steps with such tasks end.
	longSettleTime = 50 * time.Second
)

// String returns the pattern as it appears in reports.
func (restartpattern RestartPattern) String() string {
	text := fmt.Sprintf("%d times every %s: down %s", restartpattern.Rounds, restartpattern.Interval, restartpattern.Downtime)
	if restartpattern.Silent {
		text += " silently"
	}
	text += fmt.Sprintf(", announced after %s, cut after %s for %s", restartpattern.AnnounceDelay, restartpattern.CutDelay, restartpattern.CutDuration)
	if restartpattern.CutFromStore {
		text += " from the store, too"
	}
	if restartpattern.SchedulerFault != "" {
		text += fmt.Sprintf(", %s %s after the crash", restartpattern.SchedulerFault, restartpattern.SchedulerDelay)
	}
	if restartpattern.LateShare > 0 {
		text += fmt.Sprintf(", late orders %.2f (leases %.2f)", restartpattern.LateShare, restartpattern.LateLeaseShare)
	}
	if restartpattern.HeldShare > 0 {
		text += fmt.Sprintf(", held answers %.2f", restartpattern.HeldShare)
	}
	return text
}

// randomRestart draws a pattern.
func randomRestart(random *rand.Rand) RestartPattern {
	pattern := RestartPattern{
		Rounds: 1 + random.IntN(maxRestartRounds), Interval: minRestartInterval + randomDuration(random, restartIntervalRange),
		Downtime: minRestartDowntime + randomDuration(random, maxRestartDowntime-minRestartDowntime), Silent: random.IntN(4) != 0,
		AnnounceDelay: randomDuration(random, announceInterval), CutDelay: randomDuration(random, maxCutDelay),
		CutDuration: minCutDuration + randomDuration(random, maxCutDuration-minCutDuration), CutFromStore: random.IntN(2) == 0,
	}
	if random.IntN(2) == 0 {
		pattern.CutDelay = randomDuration(random, promptCutDelay)
	}
	if random.IntN(2) == 0 {
		pattern.SchedulerFault = []FaultKind{KillScheduler, FreezeScheduler}[random.IntN(2)]
		pattern.SchedulerDelay = randomDuration(random, pattern.Downtime+pattern.CutDelay+time.Millisecond)
	}
	if random.IntN(2) == 0 {
		pattern.LateShare = 0.1 + 0.7*random.Float64()
		if random.IntN(2) == 0 {
			pattern.LateLeaseShare = pattern.LateShare / 2
		}
	}
	if random.IntN(3) == 0 {
		pattern.HeldShare = 0.1 + 0.5*random.Float64()
	}
	return pattern
}

// lasting returns the time from the start of the fault to the end of the last partition.
func (restartpattern RestartPattern) lasting() time.Duration {
	return restartLead + time.Duration(restartpattern.Rounds-1)*restartpattern.Interval +
		restartpattern.Downtime + restartpattern.CutDelay + restartpattern.CutDuration
}

// restartAndCut restarts a share of the workers under their ID, partitions the same workers from all hosts soon after, and
// repeats this. Meanwhile callers submit jobs with long tasks on a queue without advice: a ticket keeps a start order for an
// earlier incarnation from the next one.
func (simulation *Simulation) restartAndCut(fault Fault, until time.Duration) {
	pattern, workers := fault.Restart, randomShare(simulation, simulation.workers, restartShareFactor*fault.Share)
	simulation.addLongJobs(until)
	for round := range pattern.Rounds {
		simulation.schedule(restartLead+time.Duration(round)*pattern.Interval-orderFaultLead, func() { simulation.disturbOrders(pattern) })
		crashAt := restartLead + time.Duration(round)*pattern.Interval
		cutAt := crashAt + pattern.Downtime + pattern.CutDelay
		if pattern.SchedulerFault != "" {
			pause := Fault{Kind: pattern.SchedulerFault, Duration: time.Second + randomDuration(simulation.random, maxSchedulerPause-time.Second)}
			simulation.schedule(crashAt+pattern.SchedulerDelay, func() { simulation.injectFault(pause) })
		}
		for _, worker := range workers {
			simulation.schedule(crashAt, func() { simulation.crashForRestart(worker, pattern) })
			simulation.schedule(cutAt, func() { simulation.cutWorker(worker, pattern) })
		}
	}
	simulation.extend(until + longSettleTime)
}

// disturbOrders makes a share of the orders late and holds a share of the answers up until some time after the restart.
func (simulation *Simulation) disturbOrders(pattern RestartPattern) {
	lasting := pattern.Downtime + 2*orderFaultLead
	if pattern.LateShare > 0 {
		simulation.injectFault(Fault{Kind: DelayOrders, Duration: lasting, Share: pattern.LateShare, LeaseShare: pattern.LateLeaseShare})
	}
	if pattern.HeldShare > 0 {
		simulation.faults.answersHeldUntil, simulation.faults.answersHeldShare = simulation.now+lasting, pattern.HeldShare
		simulation.disturbances.disturb(simulation.now + lasting)
	}
}

// crashForRestart crashes a worker, which restarts under its ID and announces itself some time later.
func (simulation *Simulation) crashForRestart(worker *modelWorker, pattern RestartPattern) {
	if !worker.up {
		return
	}
	simulation.crashWorker(worker, pattern.Downtime, false)
	worker.crashedSilently = pattern.Silent
	simulation.faults.unannouncedUntil[worker] = max(simulation.faults.unannouncedUntil[worker], simulation.now+pattern.Downtime+pattern.AnnounceDelay)
	simulation.disturbances.disturb(simulation.now + pattern.Downtime)
}

// cutWorker partitions a worker from all hosts and, with CutFromStore, from the store.
func (simulation *Simulation) cutWorker(worker *modelWorker, pattern RestartPattern) {
	until := simulation.now + pattern.CutDuration
	simulation.faults.workerIsolatedUntil[worker] = max(simulation.faults.workerIsolatedUntil[worker], until)
	if pattern.CutFromStore {
		simulation.faults.unannouncedUntil[worker] = max(simulation.faults.unannouncedUntil[worker], until)
	}
	simulation.disturbances.disturb(until)
}

// addLongJobs adds a queue without advice and lets callers submit jobs on it until a time. The tasks of some are long.
func (simulation *Simulation) addLongJobs(until time.Duration) {
	name := fmt.Sprintf("long-%d", simulation.routes.Version())
	added := simulation.newQueue(name, 1, 4, 0, 0).WithAdviceSettings(almondcross.AdviceSettings{})
	simulation.publishRoutes(append(slices.Clone(simulation.routes.Queues()), added)...)
	simulation.scheduleJobs(simulation.now, until-simulation.now, restartJobsPerSec, name)
	for _, id := range slices.Sorted(maps.Keys(simulation.jobs)) {
		job := simulation.jobs[id]
		if job.spec.Queue() != name || simulation.randomFor("long", id).Float64() >= longTaskShare {
			continue
		}
		for task := range job.runTimes {
			job.runTimes[task] = min(job.runTimes[task]*longTaskFactor, max(maxLongTask, job.runTimes[task]))
		}
	}
}
