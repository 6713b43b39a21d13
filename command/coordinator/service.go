package coordinator

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// reconcileServices begins the missing replicas of services whose keys this member coordinates and
// stops replicas that are no longer in the catalogue.
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
	for _, record := range machine.sorted(func(record *record) bool { return record.standing }) {
		if !machine.wanted(record) {
			machine.retire(record, now)
			continue
		}
		machine.leaveMoved(record)
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
	if found, ok := machine.elsewhere[key]; ok && now.Sub(found) < searchAgain {
		return
	}
	record := &record{standing: true, submittedAt: now}
	record.request = almondcross.NewRequest(almondcross.RequestConfig{Key: key, Entry: entry.Name()})
	machine.add(record, now)
	machine.begin(record, now)
}

// wanted reports whether the catalogue still asks for a replica.
func (machine *Machine) wanted(record *record) bool {
	entry, ok := machine.catalogue.Entry(record.request.Entry())
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

// retire ends a replica that is no longer wanted.
func (machine *Machine) retire(record *record, now time.Time) {
	if !record.inProgress() {
		machine.drop(record)
		return
	}
	if !record.removed {
		record.removed = true
		machine.tell(record, "removed", almondcross.CodeCancelled, "", now)
		machine.stopTasks(record, almondcross.CodeCancelled)
	}
}

// backOff places a service replica again after a pause that grows with each failure.
func (machine *Machine) backOff(record *record, code almondcross.Code, now time.Time) {
	coordinator, ok := machine.view.Coordinator(record.request.Key())
	if record.removed || ok && coordinator.ID() != machine.self() {
		machine.drop(record)
		return
	}
	record.failures++
	if code == almondcross.CodeTargetLost || code == almondcross.CodePreemptedUrgent {
		record.failures = 0
	}
	pause := min(serviceBackoff<<min(record.failures, 6), mostServiceBackoff)
	record.retryAt = now.Add(pause)
	record.tasks = nil
	record.phase = phaseBackoff
	machine.tell(record, "backing_off", code, "", now)
	machine.wakeKey(record.request.Key(), record.retryAt)
}
