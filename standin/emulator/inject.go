package emulator

import (
	"math/rand/v2"
	"time"
)

// activeFaults holds the end time and the strength of each active fault.
type activeFaults struct {
	storeDownUntil           time.Duration
	storeSlowUntil           time.Duration
	storeSlowFactor          float64
	responseLossUntil        time.Duration
	responseLossShare        float64
	storeUnreachableUntil    map[*modelHost]time.Duration
	workerIsolatedUntil      map[*modelWorker]time.Duration
	paths                    map[path]pathFault
	orders                   map[*modelWorker]orderFault
	orderDelayUntil          time.Duration
	orderDelayShare          float64
	leaseDelayShare          float64
	answersHeldUntil         time.Duration
	answersHeldShare         float64
	announcementsHiddenUntil time.Duration
	unannouncedUntil         map[*modelWorker]time.Duration // unannouncedUntil is until when a worker cannot reach the store.
	journalDownUntil         time.Duration
	storeRefusesUntil        map[*modelHost]time.Duration
	linksCutUntil            map[*modelHost]time.Duration
	viewLinksCutUntil        map[*modelHost]time.Duration // viewLinksCutUntil is until when the links for views of a host are cut.
}

func newActiveFaults() activeFaults {
	return activeFaults{
		storeUnreachableUntil: map[*modelHost]time.Duration{}, workerIsolatedUntil: map[*modelWorker]time.Duration{}, paths: map[path]pathFault{},
		orders: map[*modelWorker]orderFault{}, storeRefusesUntil: map[*modelHost]time.Duration{}, linksCutUntil: map[*modelHost]time.Duration{},
		unannouncedUntil: map[*modelWorker]time.Duration{}, viewLinksCutUntil: map[*modelHost]time.Duration{},
	}
}

func (activefaults *activeFaults) storeUnreachable(host *modelHost, now time.Duration) bool {
	return now < activefaults.storeDownUntil || now < activefaults.storeUnreachableUntil[host]
}

func (activefaults *activeFaults) storeDelayFactor(now time.Duration) float64 {
	if now < activefaults.storeSlowUntil {
		return activefaults.storeSlowFactor
	}
	return 1
}

func (activefaults *activeFaults) loseResponse(simulation *Simulation) bool {
	return simulation.now < activefaults.responseLossUntil && simulation.random.Float64() < activefaults.responseLossShare
}

// executionDelay returns the extra delay before a call whose response is lost is executed, 0 in half of the cases.
func (activefaults *activeFaults) executionDelay(simulation *Simulation) time.Duration {
	if simulation.random.Float64() < 0.5 {
		return 0
	}
	return time.Second + time.Duration(simulation.random.Int64N(int64(5*time.Second)))
}

// Delays of orders that are executed late.
const (
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// orderDelay returns the delay before an order is executed, 0 for none.
func (activefaults *activeFaults) orderDelay(now time.Duration, kind orderKind, random func(purpose string) *rand.Rand) time.Duration {
	share := activefaults.orderDelayShare
	if kind == orderLease {
		share = activefaults.leaseDelayShare
	}
	if now >= activefaults.orderDelayUntil || !occurs(share, random, "late") {
		return 0
	}
	return minOrderDelay + randomDuration(random("delay"), maxOrderDelay-minOrderDelay)
}

// maxAnswerHold is how long an answer is held up at most. A lease order waits a second for its answer.
const maxAnswerHold = 900 * time.Millisecond

// answerDelay returns how long the answer to an order is held up, 0 for not at all.
func (activefaults *activeFaults) answerDelay(now time.Duration, random func(purpose string) *rand.Rand) time.Duration {
	if now >= activefaults.answersHeldUntil || !occurs(activefaults.answersHeldShare, random, "held") {
		return 0
	}
	return randomDuration(random("hold"), maxAnswerHold)
}

// scheduler returns the host that leads, or a random host if none does.
func (simulation *Simulation) scheduler() *modelHost {
	if host := simulation.leader(); host != nil {
		return host
	}
	return simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
}

// leader returns the host that leads, nil if none does.
func (simulation *Simulation) leader() *modelHost {
	for _, host := range simulation.hosts {
		if host.up && host.machine.Leads() {
			return host
		}
	}
	return nil
}

// randomShare returns a random fraction of a list, at least one element.
func randomShare[T any](simulation *Simulation, list []T, share float64) []T {
	count := min(max(1, int(share*float64(len(list)))), len(list))
	sample := make([]T, 0, count)
	for _, index := range simulation.random.Perm(len(list))[:count] {
		sample = append(sample, list[index])
	}
	return sample
}

func (simulation *Simulation) injectFault(fault Fault) {
	until := simulation.now + fault.lasting()
	switch fault.Kind {
	case KillScheduler, KillHosts, FreezeScheduler, FreezeHosts, IsolateScheduler, StoreUnreachable, BreakPaths:
		simulation.injectHostFault(fault, until)
	case LoseScheduler, CutLinks, RefuseScheduler, JournalDown, StopScheduler, StopHosts, LoseWorker, NoDisturbance:
		simulation.injectTakeoverFault(fault, until)
	case KillRelays, LoseRelays, FreezeRelays, CutViewLinks:
		simulation.injectRelayFault(fault, until)
	case KillSeries:
		simulation.killSchedulers(until)
		simulation.extend(until)
	case ChangeRoutes:
		simulation.changeRoutes(until)
	case RevokeKeys:
		simulation.revokeKeys(until)
	case Burst:
		simulation.addBurst(fault)
	case LoseOrders:
		simulation.loseOrders(fault, until)
	case StoreDown, StoreSlow, StoreLosesResponses:
		simulation.injectStoreFault(fault, until)
	case KillAfterMoment, FreezeAfterMoment, IsolateAfterMoment:
		simulation.waitingFaults = append(simulation.waitingFaults, fault)
	case DelayOrders:
		simulation.faults.orderDelayUntil, simulation.faults.orderDelayShare, simulation.faults.leaseDelayShare = until, fault.Share, fault.LeaseShare
		simulation.disturbances.disturb(until)
	case HideAnnouncements:
		simulation.faults.announcementsHiddenUntil = until
		simulation.announcements.removeOlder(simulation.now, simulation.now+1)
		simulation.disturbances.disturb(until)
	case CrashTasks:
		simulation.addCrashingTasks(fault, until)
	case RestartAndCut:
		simulation.restartAndCut(fault, until)
	default:
		for _, worker := range randomShare(simulation, simulation.workers, fault.Share) {
			simulation.injectWorkerFault(worker, fault, until)
		}
	}
}

func (simulation *Simulation) injectHostFault(fault Fault, until time.Duration) {
	var hosts []*modelHost
	switch fault.Kind {
	case BreakPaths:
		simulation.breakPaths(fault, until)
	case KillHosts, FreezeHosts:
		hosts = randomShare(simulation, simulation.hosts, 3*fault.Share)
	case StoreUnreachable:
		hosts = randomShare(simulation, simulation.hosts, 2*fault.Share)
	default:
		hosts = []*modelHost{simulation.scheduler()}
		simulation.meter.begin(hosts[0], false)
	}
	for _, host := range hosts {
		switch fault.Kind {
		case KillScheduler, KillHosts:
			until = simulation.now + fault.Duration/killDowntimeDivisor
			simulation.restartHost(host, fault.Duration/killDowntimeDivisor)
		case FreezeScheduler, FreezeHosts:
			host.frozenUntil = until
		default:
			simulation.faults.storeUnreachableUntil[host] = until
		}
		simulation.disturbances.disturbHost(host, until)
	}
}

func (simulation *Simulation) injectStoreFault(fault Fault, until time.Duration) {
	activefaults := &simulation.faults
	switch fault.Kind {
	case StoreDown:
		simulation.meter.begin(simulation.leader(), false)
		activefaults.storeDownUntil = until
	case StoreSlow:
		activefaults.storeSlowUntil, activefaults.storeSlowFactor = until, fault.SlowFactor
	default:
		activefaults.responseLossUntil, activefaults.responseLossShare = until, fault.Share
	}
	simulation.disturbances.disturbStore(until)
}

// killDowntimeDivisor is what part of a fault's duration a killed process is down.
const killDowntimeDivisor = 4

func (simulation *Simulation) restartHost(host *modelHost, downtime time.Duration) {
	if !host.up {
		return
	}
	host.kill()
	simulation.schedule(downtime, func() {
		if !host.up {
			host.boot()
		}
	})
}

// drainNotice is how long a worker is announced as draining before it exits.
const drainNotice = 3 * time.Second

func (simulation *Simulation) injectWorkerFault(worker *modelWorker, fault Fault, until time.Duration) {
	switch fault.Kind {
	case CrashWorkers:
		simulation.crashWorker(worker, fault.Duration, false)
	case ChangeKinds:
		simulation.changeKind(worker, fault.Duration/killDowntimeDivisor)
	case IsolateWorkers:
		simulation.faults.workerIsolatedUntil[worker] = until
	case FailWorkers:
		worker.failsRuns = true
		simulation.schedule(fault.Duration, func() { worker.failsRuns = false })
	case HangWorkers:
		worker.stallsRuns = true
		simulation.schedule(fault.Duration, func() { worker.stallsRuns = false })
	case ShrinkWorkers:
		simulation.shrinkWorker(worker, fault)
		return
	case DrainWorkers:
		worker.announcement = worker.announcement.WithDraining(true)
		simulation.announce(worker)
		simulation.disturbances.disturbWithExit(until + drainNotice)
		simulation.schedule(drainNotice, func() {
			simulation.endWorker(worker, fault.Duration, false, false)
			worker.announcement = worker.announcement.WithDraining(false)
		})
		return
	default:
	}
	simulation.disturbances.disturb(until)
}
