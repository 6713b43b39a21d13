package emulator

import (
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// TakeoverScenario is a disturbance of the scheduler whose cost in time is measured.
type TakeoverScenario struct {
	Name   string
	Faults []Fault // Faults start when the scenario does.
}

// takeoverCutTime is how long the partitions and the outages of the scenarios last. It is as long as the outage of the
// journal's partition on the users' worst day.
const takeoverCutTime = 6 * time.Second

// TakeoverScenarios returns all scenarios, the undisturbed one first.
func TakeoverScenarios() []TakeoverScenario {
	one := func(name string, kind FaultKind, duration time.Duration) TakeoverScenario {
		return TakeoverScenario{Name: name, Faults: []Fault{{Kind: kind, Duration: duration}}}
	}
	return []TakeoverScenario{
		one("none", NoDisturbance, 0),
		one("kill", KillScheduler, killDowntimeDivisor*500*time.Millisecond),
		one("lose", LoseScheduler, 0),
		one("freeze-0.5", FreezeScheduler, 500*time.Millisecond),
		one("freeze-3", FreezeScheduler, 3*time.Second),
		one("freeze-9", FreezeScheduler, 9*time.Second),
		one("cut-standbys", CutLinks, takeoverCutTime),
		one("cut-store", IsolateScheduler, takeoverCutTime),
		one("refused", RefuseScheduler, takeoverCutTime),
		one("journal-down", JournalDown, takeoverCutTime),
		one("store-down", StoreDown, takeoverCutTime),
		one("stop", StopScheduler, 0),
		one("rolling-stop", StopHosts, 0),
	}
}

// Timing of the simulations of a scenario.
const (
	takeoverStart      = 6 * time.Second // takeoverStart is the earliest start of the scenario; takeoverStartRange is added by the seed.
	takeoverStartRange = time.Second
	takeoverTail       = 5 * time.Second // takeoverTail is how long jobs are submitted after a rolling stop.
	takeoverDrain      = 25 * time.Second
)

// Apply returns the settings of a simulation of the scenario. With loseWorker, the busiest worker is lost at the same moment.
// Nothing but the scenario ends or delays runs: no run fails and no job is cancelled.
func (takeoverscenario TakeoverScenario) Apply(config Config, loseWorker bool) Config {
	at := takeoverStart + randomDuration(randomFor(config.Seed, "takeover"), takeoverStartRange)
	config.FailShare, config.PoisonShare, config.CancelShare = 0, 0, 0
	config.DrainTime, config.Faults = takeoverDrain, slices.Clone(takeoverscenario.Faults)
	if loseWorker {
		config.Faults = append(config.Faults, Fault{Kind: LoseWorker, Duration: config.SubmitTime + takeoverDrain})
	}
	for index := range config.Faults {
		config.Faults[index].StartsAt = at
		if config.Faults[index].Kind == StopHosts {
			config.SubmitTime = max(config.SubmitTime, at+time.Duration(config.Hosts)*stopInterval+takeoverTail)
		}
	}
	return config
}

// Timing of planned stops.
const (
	stopInterval = time.Second // stopInterval is the time between two stops of a rolling stop.
	// hostStopTime is how long a host keeps running after the order to stop: half of the platform's grace period.
	hostStopTime = 1250 * time.Millisecond
	// hostRestartTime is the time from the end of a stopped process to the start of the next one.
	hostRestartTime = 250 * time.Millisecond
)

// injectTakeoverFault injects the faults that the measurements of takeovers need beyond those that are drawn.
func (simulation *Simulation) injectTakeoverFault(fault Fault, until time.Duration) {
	host := simulation.scheduler()
	switch fault.Kind {
	case LoseScheduler:
		simulation.meter.begin(host, false)
		host.lose()
		simulation.disturbances.disturbHost(host, simulation.now)
	case CutLinks:
		simulation.meter.begin(host, false)
		simulation.faults.linksCutUntil[host] = until
		for _, other := range simulation.hosts {
			simulation.disturbances.disturbHost(other, until)
		}
	case RefuseScheduler:
		simulation.meter.begin(host, false)
		simulation.faults.storeRefusesUntil[host] = until
		simulation.disturbances.disturbHost(host, until)
	case JournalDown:
		simulation.meter.begin(host, false)
		simulation.faults.journalDownUntil = until
		simulation.disturbances.disturbStore(until)
	case StopScheduler:
		simulation.stopHost(host)
	case StopHosts:
		for index, stopped := range simulation.hosts {
			simulation.schedule(time.Duration(index)*stopInterval, func() { simulation.stopHost(stopped) })
		}
	case LoseWorker:
		worker := slices.MaxFunc(simulation.workers, func(a, b *modelWorker) int { return len(a.runs) - len(b.runs) })
		simulation.disturbances.disturb(until)
		simulation.crashWorker(worker, fault.Duration, false)
	default:
		simulation.meter.begin(host, false)
	}
}

// stopHost stops a host as planned, which resigns if it schedules, and starts it again.
func (simulation *Simulation) stopHost(host *modelHost) {
	if !host.up {
		return
	}
	if host.machine.Leads() {
		simulation.meter.begin(host, true)
	}
	simulation.disturbances.disturbHost(host, simulation.now+hostStopTime+hostRestartTime)
	host.deliver(almondcross.StopScheduling{})
	incarnation := host.incarnation
	simulation.schedule(hostStopTime, func() {
		if host.incarnation == incarnation {
			simulation.restartHost(host, hostRestartTime)
		}
	})
}
