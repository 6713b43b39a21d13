package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillScheduler       FaultKind = "kill_scheduler"   // KillScheduler kills the scheduler's process and restarts it.
	KillHosts           FaultKind = "kill_hosts"       // KillHosts kills the processes of some hosts and restarts them.
	FreezeScheduler     FaultKind = "freeze_scheduler" // FreezeScheduler pauses the scheduler's process.
	IsolateScheduler    FaultKind = "cut_scheduler"    // IsolateScheduler partitions the scheduler from the store.
	StoreDown           FaultKind = "store_down"       // StoreDown makes the store unreachable for all hosts.
	StoreSlow           FaultKind = "store_slow"       // StoreSlow makes calls to the store take longer.
	StoreLosesResponses FaultKind = "store_loses"      // StoreLosesResponses loses responses to writes; the writes are executed, some late.
	StoreUnreachable    FaultKind = "store_refuses"    // StoreUnreachable makes the store unreachable for some hosts.
	CrashWorkers        FaultKind = "crash_workers"    // CrashWorkers crashes some workers, which restart under the same ID.
	IsolateWorkers      FaultKind = "cut_workers"      // IsolateWorkers partitions some workers from all hosts; they keep running.
	FailWorkers         FaultKind = "fail_workers"     // FailWorkers makes all runs that start on some workers fail.
	HangWorkers         FaultKind = "hang_workers"     // HangWorkers makes all runs that start on some workers hang.
	DrainWorkers        FaultKind = "drain_workers"    // DrainWorkers drains some workers, which crash 3 s later and then restart.
	DelayOrders         FaultKind = "orders_late"      // DelayOrders executes some orders late and without a response.
	HideAnnouncements   FaultKind = "lapse_entries"    // HideAnnouncements hides the announcements of all workers.
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		KillScheduler, KillHosts, FreezeScheduler, IsolateScheduler, StoreDown, StoreSlow, StoreLosesResponses, StoreUnreachable,
		CrashWorkers, IsolateWorkers, FailWorkers, HangWorkers, DrainWorkers, DelayOrders, HideAnnouncements,
	}
}

// Fault is one fault to inject.
type Fault struct {
	Kind       FaultKind
	StartsAt   time.Duration // StartsAt is the time since the end of the warm-up.
	Duration   time.Duration
	Share      float64 // Share is the fraction of hosts, workers, responses or orders that are affected.
	SlowFactor float64 // SlowFactor multiplies the duration of calls to a slow store.
}

// String returns the fault as it appears in reports.
func (fault Fault) String() string {
	return fmt.Sprintf("%s at %s for %s share %.2f", fault.Kind, fault.StartsAt, fault.Duration, fault.Share)
}

// RandomFaults returns count random faults that start within a time; the same seed gives the same faults.
func RandomFaults(seed uint64, count int, submitTime time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 77)) //nolint:gosec // A model needs no secrecy.
	kinds := FaultKinds()
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			StartsAt: time.Duration(random.Int64N(int64(submitTime))).Round(time.Millisecond),
			Duration: (time.Second + time.Duration(random.Int64N(int64(5*time.Second)))).Round(time.Millisecond),
			Share:    0.05 + 0.3*random.Float64(), SlowFactor: 10 + 50*random.Float64(),
		})
	}
	return faults
}

// activeFaults holds the end time and the strength of each active fault.
type activeFaults struct {
	storeDownUntil              time.Duration
	storeSlowUntil              time.Duration
	storeSlowFactor             float64
	responseLossUntil           time.Duration
	responseLossShare           float64
	storeUnreachableUntil       map[*modelHost]time.Duration
	workerIsolatedUntil         map[*modelWorker]time.Duration
	orderDelayUntil             time.Duration
	orderDelayShare             float64
	allAnnouncementsHiddenUntil time.Duration
	workerHiddenUntil           map[*modelWorker]time.Duration
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

func (activefaults *activeFaults) workerIsolated(_ *modelHost, worker *modelWorker, now time.Duration) bool {
	return now < activefaults.workerIsolatedUntil[worker]
}

// orderDelay returns the delay before an order is executed, 0 for none. Lease orders are delayed ten times less
// often, since each one raises the fence, which rejects other delayed orders and so hides their effects.
func (activefaults *activeFaults) orderDelay(simulation *Simulation, lease bool) time.Duration {
	share := activefaults.orderDelayShare
	if lease {
		share /= 10
	}
	if simulation.now >= activefaults.orderDelayUntil || simulation.random.Float64() >= share {
		return 0
	}
	return time.Second + time.Duration(simulation.random.Int64N(int64(10*time.Second)))
}

func (activefaults *activeFaults) announced(worker *modelWorker, now time.Duration) bool {
	return worker.up && now >= activefaults.allAnnouncementsHiddenUntil && now >= activefaults.workerHiddenUntil[worker]
}

// scheduler returns the host that leads, or a random host if none does.
func (simulation *Simulation) scheduler() *modelHost {
	for _, host := range simulation.hosts {
		if host.up && host.machine.Leads() {
			return host
		}
	}
	return simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
}

// randomShare returns a random fraction of a list, at least one element.
func randomShare[T any](simulation *Simulation, list []T, share float64) []T {
	count := max(1, int(share*float64(len(list))))
	sample := make([]T, 0, count)
	for _, index := range simulation.random.Perm(len(list))[:count] {
		sample = append(sample, list[index])
	}
	return sample
}

func (simulation *Simulation) injectFault(fault Fault) {
	activefaults, until := &simulation.faults, simulation.now+fault.Duration
	if activefaults.storeUnreachableUntil == nil {
		activefaults.storeUnreachableUntil = map[*modelHost]time.Duration{}
		activefaults.workerIsolatedUntil, activefaults.workerHiddenUntil = map[*modelWorker]time.Duration{}, map[*modelWorker]time.Duration{}
	}
	switch fault.Kind {
	case KillScheduler:
		simulation.restartHost(simulation.scheduler(), fault.Duration)
	case KillHosts:
		for _, host := range randomShare(simulation, simulation.hosts, 3*fault.Share) {
			simulation.restartHost(host, fault.Duration)
		}
	case FreezeScheduler:
		simulation.scheduler().frozenUntil = until
	case IsolateScheduler:
		activefaults.storeUnreachableUntil[simulation.scheduler()] = until
	case StoreDown:
		activefaults.storeDownUntil = until
	case StoreSlow:
		activefaults.storeSlowUntil, activefaults.storeSlowFactor = until, fault.SlowFactor
	case StoreLosesResponses:
		activefaults.responseLossUntil, activefaults.responseLossShare = until, fault.Share
	case StoreUnreachable:
		for _, host := range randomShare(simulation, simulation.hosts, 2*fault.Share) {
			activefaults.storeUnreachableUntil[host] = until
		}
	case DelayOrders:
		activefaults.orderDelayUntil, activefaults.orderDelayShare = until, fault.Share
	case HideAnnouncements:
		activefaults.allAnnouncementsHiddenUntil = until
	default:
		for _, worker := range randomShare(simulation, simulation.workers, fault.Share) {
			simulation.injectWorkerFault(worker, fault, until)
		}
	}
}

func (simulation *Simulation) restartHost(host *modelHost, faultDuration time.Duration) {
	if !host.up {
		return
	}
	host.kill()
	simulation.schedule(faultDuration/4, func() {
		if !host.up {
			host.boot()
		}
	})
}

func (simulation *Simulation) injectWorkerFault(worker *modelWorker, fault Fault, until time.Duration) {
	switch fault.Kind {
	case CrashWorkers:
		simulation.crashWorker(worker, fault.Duration)
	case IsolateWorkers:
		simulation.faults.workerIsolatedUntil[worker] = until
	case FailWorkers:
		worker.failsRuns = true
		simulation.schedule(fault.Duration, func() { worker.failsRuns = false })
	case HangWorkers:
		worker.stallsRuns = true
		simulation.schedule(fault.Duration, func() { worker.stallsRuns = false })
	case DrainWorkers:
		worker.announcement = worker.announcement.WithDraining(true)
		simulation.schedule(3*time.Second, func() {
			simulation.crashWorker(worker, fault.Duration)
			worker.announcement = worker.announcement.WithDraining(false)
		})
	}
}

func (simulation *Simulation) crashWorker(worker *modelWorker, downtime time.Duration) {
	if !worker.up {
		return
	}
	worker.advance(simulation.now)
	worker.crash(simulation.now)
	simulation.schedule(downtime, func() {
		if !worker.up {
			worker.boot(simulation.now)
		}
	})
}

var _ almondcross.EventLog = noLog{}
