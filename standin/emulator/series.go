package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Faults that last for longer than others.
const (
	// killSeriesFactor makes some series of lost schedulers longer than the time for which the store keeps records.
	killSeriesFactor = 3
	// The time between two kills of a series is at least minKillInterval and less than the sum of both.
	minKillInterval   = 900 * time.Millisecond
	killIntervalRange = 2600 * time.Millisecond
	// maxKillDowntime is how long a host of such a series is down at most.
	maxKillDowntime = time.Second
	// orderSeriesFactor makes a series of unanswered orders so long that more than a thousand of them may go to one worker.
	orderSeriesFactor = 25
	// burstFactor is how many times the usual rate of submissions comes in a burst of a share of 1.
	burstFactor = 14
	// burstDivisor is what part of a fault's duration a burst lasts.
	burstDivisor = 2
	// takeoverBurstShare is the fraction of the kills of a series after which callers come back all at once.
	takeoverBurstShare  = 0.25
	takeoverBurstFactor = 4
	takeoverBurstTime   = 2 * time.Second
	// settleTime is how long after the end of a long fault accepted jobs have to end.
	settleTime = 35 * time.Second
)

// extend makes the simulation last until accepted jobs had settleTime to end after a time.
func (simulation *Simulation) extend(until time.Duration) {
	simulation.end = max(simulation.end, until+settleTime)
}

// killSchedulers kills the scheduler again and again until a time.
func (simulation *Simulation) killSchedulers(until time.Duration) {
	if simulation.now >= until {
		return
	}
	host, downtime := simulation.scheduler(), randomDuration(simulation.random, maxKillDowntime)
	simulation.restartHost(host, downtime)
	if simulation.random.Float64() < takeoverBurstShare {
		simulation.scheduleJobs(simulation.now, takeoverBurstTime, simulation.config.JobsPerSec*takeoverBurstFactor, "")
	}
	simulation.disturbances.disturbHost(host, simulation.now+downtime)
	simulation.schedule(minKillInterval+randomDuration(simulation.random, killIntervalRange), func() { simulation.killSchedulers(until) })
}

// addBurst lets many callers come at once.
func (simulation *Simulation) addBurst(fault Fault) {
	span := fault.Duration / burstDivisor
	simulation.scheduleJobs(simulation.now, span, simulation.config.JobsPerSec*burstFactor*fault.Share, "")
	simulation.extend(simulation.now + span)
}

// orderFault is a fault of the orders to one worker by all hosts. Other calls of the worker work.
type orderFault struct {
	until      time.Duration
	share      float64 // share is the fraction of start and stop orders that are affected.
	leaseShare float64
	// reset is set if affected orders fail at once and without effect. Else they or their answers are lost.
	reset       bool
	answersLost bool
}

// loseOrders makes the busiest worker leave a part of its orders unanswered for long, while callers go on submitting jobs.
func (simulation *Simulation) loseOrders(fault Fault, until time.Duration) {
	worker := slices.MaxFunc(simulation.workers, func(a, b *modelWorker) int { return len(a.runs) - len(b.runs) })
	added := orderFault{until: until, share: min(3*fault.Share, 1), leaseShare: fault.LeaseShare}
	switch simulation.random.IntN(3) {
	case 0:
		added.reset = true
	case 1:
		added.answersLost = true
	}
	simulation.faults.orders[worker] = added
	simulation.disturbances.disturb(until)
	if from := max(simulation.now, warmUp+simulation.config.SubmitTime); from < until {
		simulation.scheduleJobs(from, until-from, simulation.config.JobsPerSec, "")
	}
	simulation.extend(until)
}

// affects draws whether an order is affected.
func (orderfault orderFault) affects(now time.Duration, kind orderKind, random func(purpose string) *rand.Rand) bool {
	share := orderfault.share
	if kind == orderLease {
		share = orderfault.leaseShare
	}
	return now < orderfault.until && occurs(share, random, "series")
}

// changeKind crashes a worker, which restarts under its identity as another kind.
func (simulation *Simulation) changeKind(worker *modelWorker, downtime time.Duration) {
	if !worker.up {
		return
	}
	worker.nextKind = kinds[0]
	if worker.kindPeriods[len(worker.kindPeriods)-1].kind == kinds[0] {
		worker.nextKind = kinds[1]
	}
	simulation.crashWorker(worker, downtime, false)
}

// kinds are the labels of which each worker has one.
var kinds = []string{"a", "b"}

// kindPeriod is a kind of a worker and when it came into force.
type kindPeriod struct {
	from time.Duration
	kind string
}

func (modelworker *modelWorker) setKind(now time.Duration, kind, rack string) {
	modelworker.announcement = modelworker.announcement.WithLabels([]string{kind, rack})
	modelworker.kindPeriods = append(modelworker.kindPeriods, kindPeriod{from: now, kind: kind})
}

// hadKind reports whether the worker had a kind at any time since a time. It is true for the empty kind.
func (modelworker *modelWorker) hadKind(kind string, since time.Duration) bool {
	for index, period := range modelworker.kindPeriods {
		inForce := index+1 == len(modelworker.kindPeriods) || modelworker.kindPeriods[index+1].from > since
		if inForce && (kind == "" || period.kind == kind) {
			return true
		}
	}
	return false
}

// submitElsewhere submits the identity of an accepted job or, in half of the cases, its cancellation on another queue.
// Which of both submissions counts is not defined: the job may have that queue's limits, or be cancelled, but it must not
// run twice or without end.
func (simulation *Simulation) submitElsewhere(job *modelJob) {
	queues := []string{queueUrgent, queueBatch}
	other := queues[simulation.random.IntN(len(queues))]
	if other == job.spec.Queue() || job.otherQueue != "" {
		return
	}
	job.otherQueue = other
	cancel := simulation.random.IntN(2) == 0
	if cancel && job.cancelSentAt == 0 {
		job.cancelSentAt = simulation.now
	}
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	submitted := job.spec.WithQueue(other).WithSubmitted(simulation.wallTime())
	if !host.answers() {
		return
	}
	settings, known := host.settingsOf(submitted)
	if !known {
		return
	}
	caller, err := host.identify(submitted, job.key)
	if err != nil {
		return
	}
	submitted = submitted.WithWorkspace(caller.Workspace())
	if cancel {
		submitted, settings = submitted.WithSteps(nil).WithPayload(""), almondcross.QueueSettings{}
	}
	host.storeIntake(almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted, Settings: settings, Cancel: cancel}), func() {}, func() {}, func() {})
}
