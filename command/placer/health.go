package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// ejectAfter is the number of consecutive failures that ejects a target.
	ejectAfter = 5
	// ejectFraction bounds the ejected targets to 1 in 3 of the data centre, so that faulty tasks or
	// the failure of a shared service cannot eject the whole cluster.
	ejectFraction = 3
	// initialProbeDelay is the time until an ejected target is probed with one task. It doubles
	// with each failed probe, up to maxProbeDelay.
	initialProbeDelay = 10 * time.Second
	maxProbeDelay     = 5 * time.Minute
	// entryFaultAfter is the number of different targets on which an entry fails without a success
	// before its failures are attributed to the entry and no longer count against targets.
	entryFaultAfter = 3
)

// health tracks the failures of tasks on a target, and its ejection.
type health struct {
	failures        int
	firstEntry      string // the first entry that failed since the last success
	multipleEntries bool   // at least one other entry failed as well
	ejected         bool
	probing         bool // one task may start
	probes          int  // the number of tasks started since the probe began
	probeDelay      time.Duration
}

func (health *health) allows() bool { return !health.ejected || (health.probing && health.probes == 0) }

func (health *health) countStart() {
	if health.probing {
		health.probes++
	}
}

// entryFailure holds the targets on which an entry failed since its last success.
type entryFailure struct {
	targets map[string]bool
}

func (machine *Machine) recordSuccess(target *target, attempt *attempt) {
	delete(machine.entryFailures, attempt.task.Entry())
	machine.provenEntries[attempt.task.Entry()] = true
	target.health.failures, target.health.multipleEntries = 0, false
	if target.health.ejected {
		machine.ejectedCount--
		target.health = health{}
		machine.recordDecision(attempt.task, "target_restored", almondcross.CodeNone, target.info.Name(), "")
		machine.updateFree(target)
	}
}

func (machine *Machine) recordFailure(target *target, attempt *attempt) {
	failure, ok := machine.entryFailures[attempt.task.Entry()]
	if !ok {
		failure = &entryFailure{targets: map[string]bool{}}
		machine.entryFailures[attempt.task.Entry()] = failure
	}
	if len(failure.targets) < entryFaultAfter {
		failure.targets[target.info.Name()] = true
	}
	if target.health.ejected {
		machine.scheduleProbe(target)
		return
	}
	if len(failure.targets) >= entryFaultAfter {
		delete(machine.provenEntries, attempt.task.Entry())
		return
	}
	if target.health.failures == 0 {
		target.health.firstEntry = attempt.task.Entry()
	}
	target.health.failures++
	target.health.multipleEntries = target.health.multipleEntries || target.health.firstEntry != attempt.task.Entry()
	// The failure of an entry that never succeeded on any target is no evidence against this one.
	if !target.health.multipleEntries && !machine.provenEntries[attempt.task.Entry()] {
		return
	}
	if target.health.failures < ejectAfter || !machine.mayEject() {
		return
	}
	machine.ejectedCount++
	// scheduleProbe doubles the delay.
	target.health.ejected, target.health.probeDelay = true, initialProbeDelay/2
	machine.account(attempt.task, almondcross.AccountEventConfig{Code: almondcross.CodeTargetEjected, Count: 1})
	machine.recordDecision(attempt.task, "target_ejected", almondcross.CodeTargetEjected, target.info.Name(), "")
	machine.scheduleProbe(target)
}

// mayEject reports whether one more target may be ejected. The bound applies to the whole data centre,
// because a host of a small data centre may hold fewer targets than the bound requires for one ejection.
func (machine *Machine) mayEject() bool {
	ejected, held := machine.ejectedCount, machine.heldCount
	for _, peer := range machine.peers {
		if peer.Member().DataCentre() == machine.dataCentre() {
			ejected += peer.Summary().Ejected()
			held += peer.Summary().Held()
		}
	}
	return (ejected+1)*ejectFraction <= held
}

func (machine *Machine) scheduleProbe(target *target) {
	target.health.probing, target.health.probes = false, 0
	target.health.probeDelay = min(2*target.health.probeDelay, maxProbeDelay)
	machine.setTimer(target.health.probeDelay, timer{kind: timerProbe, target: target})
	machine.updateFree(target)
}

// startProbe allows one task to start on an ejected target.
func (machine *Machine) startProbe(target *target) {
	if !target.health.ejected || target.health.probing {
		return
	}
	target.health.probing, target.health.probes = true, 0
	machine.updateFree(target)
}
