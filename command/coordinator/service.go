package coordinator

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// reconcileServices starts the missing service replicas whose keys this member coordinates, and stops replicas
// that are no longer in the catalogue.
func (machine *Machine) reconcileServices(now time.Time) {
	if machine.catalogue.Offset() < 0 || machine.draining || now.Before(machine.view.ReadyAt()) {
		return
	}
	dataCentre := machine.view.Self().DataCentre()
	for _, entry := range machine.services {
		if !entry.RunsIn(dataCentre) {
			continue
		}
		for replica := range entry.Replicas() {
			machine.ensureReplica(entry, replicaKey(entry.Name(), dataCentre, replica), now)
		}
	}
	for _, record := range machine.sortedRecords(func(record *record) bool { return record.service }) {
		if !machine.replicaConfigured(record) {
			machine.stopReplica(record, now)
			continue
		}
		machine.releaseMovedReplica(record, now)
	}
}

func replicaKey(entry, dataCentre string, replica int) almondcross.Key {
	return almondcross.NewKey(almondcross.KeyConfig{
		Caller: serviceCaller, Origin: dataCentre,
		Name: "service/" + entry + "/" + dataCentre + "/" + strconv.Itoa(replica),
	})
}

func (machine *Machine) ensureReplica(entry almondcross.Entry, key almondcross.Key, now time.Time) {
	coordinator, ok := machine.view.Coordinator(key)
	if !ok || coordinator.ID() != machine.self() {
		return
	}
	if _, ok := machine.keys[key]; ok {
		return
	}
	if foundAt, ok := machine.foundElsewhere[key]; ok && now.Sub(foundAt) < replicaLookupInterval {
		return
	}
	record := &record{service: true, submittedAt: now}
	record.request = almondcross.NewRequest(almondcross.RequestConfig{Key: key, Entry: entry.Name()})
	machine.addRecord(record, now)
	machine.begin(record, now)
}

// replicaConfigured reports whether the catalogue still contains a replica. A replica that waits after it lost its
// targets is started anew when its entry was changed.
func (machine *Machine) replicaConfigured(record *record) bool {
	entry, ok := machine.catalogue.Entry(record.request.Entry())
	if record.phase == phaseBackoff && record.lostTargets() >= almondcross.MaxLostTargets && entry.Version() != record.entry.Version() {
		return false
	}
	dataCentre := machine.view.Self().DataCentre()
	if !ok || entry.Class() != almondcross.ClassService || !entry.RunsIn(dataCentre) {
		return false
	}
	for replica := range entry.Replicas() {
		if record.request.Key() == replicaKey(entry.Name(), dataCentre, replica) {
			return true
		}
	}
	return false
}

// stopReplica stops a replica that the catalogue no longer contains.
func (machine *Machine) stopReplica(record *record, now time.Time) {
	if !record.inProgress() {
		machine.dropRecord(record)
		return
	}
	if !record.stopped {
		record.stopped = true
		machine.recordDecision(record, "removed", almondcross.CodeCancelled, "", now)
		machine.stopTasks(record, almondcross.CodeCancelled, now)
	}
}

// backOff places a service replica again after a delay that doubles with each failure, up to maxServiceBackoff.
// A lost target or a preemption by an urgent task resets the delay, but a replica under which targets were lost in a
// row waits for crashBackoff or more. A replica that was stopped or has another coordinator is dropped.
func (machine *Machine) backOff(record *record, code almondcross.Code, now time.Time) {
	coordinator, ok := machine.view.Coordinator(record.request.Key())
	if record.stopped || ok && coordinator.ID() != machine.self() {
		machine.dropRecord(record)
		return
	}
	record.failures++
	if code == almondcross.CodeTargetLost || code == almondcross.CodePreemptedUrgent {
		record.failures = 0
	}
	delay := min(serviceBackoff<<min(record.failures, 6), maxServiceBackoff)
	if losses := record.lostTargets() - almondcross.MaxLostTargets; losses >= 0 {
		delay, code = min(crashBackoff<<min(losses, 5), maxCrashBackoff), almondcross.CodeTargetsCrashed
		machine.accountReason(record, code, now)
	}
	record.retryAt = now.Add(delay)
	record.tasks = nil
	record.phase = phaseBackoff
	machine.recordDecision(record, "backing_off", code, "", now)
	machine.scheduleKey(record.request.Key(), record.retryAt)
}
