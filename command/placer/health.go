package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// ejectAfter is the number of failures in a row, without a success, that ejects a target.
	ejectAfter = 5
	// ejectFraction bounds the ejected targets to 1 of 3 of the data centre, so that a fault of the work
	// itself or of a shared service cannot eject the cluster.
	ejectFraction = 3
	// probeAfter is the time until an ejected target is probed with one task; it doubles up to
	// probeLimit with each failed probe.
	probeAfter = 10 * time.Second
	probeLimit = 5 * time.Minute
	// blameAfter is the number of targets in a row on which an entry fails before its failures
	// count against the entry only.
	blameAfter = 3
)

// health is what the ends of tasks tell about a target.
type health struct {
	failures int
	entry    string // the entry that failed first since the last success
	several  bool   // another entry failed as well
	ejected  bool
	probing  bool // one task is allowed
	probes   int  // the tasks started since the probe began
	wait     time.Duration
}

func (health *health) allows() bool { return !health.ejected || (health.probing && health.probes == 0) }

func (health *health) started() {
	if health.probing {
		health.probes++
	}
}

// entryFailure counts the targets on which an entry failed since its last success.
type entryFailure struct {
	targets map[string]bool
}

func (machine *Machine) noteSuccess(entry *target, item *job) {
	delete(machine.entryFailures, item.task.Entry())
	machine.proven[item.task.Entry()] = true
	entry.health.failures, entry.health.several = 0, false
	if entry.health.ejected {
		machine.ejected--
		entry.health = health{}
		machine.story(item.task, "target_restored", almondcross.CodeNone, entry.target.Name(), "")
		machine.setRoom(entry)
	}
}

func (machine *Machine) noteFailure(entry *target, item *job) {
	failure, ok := machine.entryFailures[item.task.Entry()]
	if !ok {
		failure = &entryFailure{targets: map[string]bool{}}
		machine.entryFailures[item.task.Entry()] = failure
	}
	if len(failure.targets) < blameAfter {
		failure.targets[entry.target.Name()] = true
	}
	if entry.health.ejected {
		machine.waitProbe(entry)
		return
	}
	if len(failure.targets) >= blameAfter {
		delete(machine.proven, item.task.Entry())
		return
	}
	if entry.health.failures == 0 {
		entry.health.entry = item.task.Entry()
	}
	entry.health.failures++
	entry.health.several = entry.health.several || entry.health.entry != item.task.Entry()
	// An entry that never succeeded anywhere tells nothing about the target.
	if !entry.health.several && !machine.proven[item.task.Entry()] {
		return
	}
	if entry.health.failures < ejectAfter || !machine.mayEject() {
		return
	}
	machine.ejected++
	entry.health.ejected, entry.health.wait = true, probeAfter/2
	machine.account(item.task, almondcross.AccountEventConfig{Code: almondcross.CodeTargetEjected, Count: 1})
	machine.story(item.task, "target_ejected", almondcross.CodeTargetEjected, entry.target.Name(), "")
	machine.waitProbe(entry)
}

// mayEject reports whether one more target may be ejected. The bound is for the data centre, since a
// host of a small one holds fewer targets than the bound needs for one ejection.
func (machine *Machine) mayEject() bool {
	ejected, held := machine.ejected, machine.heldTargets
	for _, peer := range machine.peers {
		if peer.Member().DataCentre() == machine.dataCentre() {
			ejected += peer.Summary().Ejected()
			held += peer.Summary().Held()
		}
	}
	return (ejected+1)*ejectFraction <= held
}

func (machine *Machine) waitProbe(entry *target) {
	entry.health.probing, entry.health.probes = false, 0
	entry.health.wait = min(2*entry.health.wait, probeLimit)
	machine.after(entry.health.wait, timer{kind: timerProbe, target: entry})
	machine.setRoom(entry)
}

// probe lets one task start on an ejected target.
func (machine *Machine) probe(entry *target) {
	if !entry.health.ejected || entry.health.probing {
		return
	}
	entry.health.probing, entry.health.probes = true, 0
	machine.setRoom(entry)
}
