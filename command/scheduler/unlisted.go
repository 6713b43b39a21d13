package scheduler

import (
	"maps"
	"slices"

	"github.com/almondcross/almondcross"
)

// workerAddress is where a worker is reached. It is part of the replicated state while the worker has runs: a successor needs
// it for their stops and leases, also if the worker has lost its way to the store and is not announced any more.
type workerAddress struct {
	address, zone string
	leaving       bool // leaving is set once the worker has announced that it leaves: its end is no crash.
}

func (worker *worker) address() workerAddress {
	return workerAddress{address: worker.info.Address(), zone: worker.info.Zone(), leaving: worker.drained}
}

// recordAddress records where a worker with runs is and whether it leaves.
func (machine *Machine) recordAddress(worker *worker) {
	if len(worker.assignments) == 0 || worker.info.Address() == "" {
		return
	}
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeWorkerAddress, Worker: worker.id, Address: worker.info.Address(), Zone: worker.info.Zone(), End: worker.leavingEnd(),
	})
}

// leavingEnd returns the end that stands for a worker that leaves in the records of its address.
func (worker *worker) leavingEnd() almondcross.EndKind {
	if worker.drained {
		return almondcross.EndVoid
	}
	return ""
}

// recordUnlisted records the address of a worker whose announcement has ended while it has runs. A host that loads the state
// from a snapshot has it from there.
func (machine *Machine) recordUnlisted(worker *worker) {
	_, recorded := machine.state.unlistedWorkers[worker.id]
	if recorded || len(worker.assignments) == 0 || worker.info.Address() == "" {
		return
	}
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeWorkerUnlisted, Worker: worker.id, Address: worker.info.Address(), Zone: worker.info.Zone(), End: worker.leavingEnd(),
	})
}

// endUnlisted records that an unlisted worker is announced again or is removed.
func (machine *Machine) endUnlisted(worker *worker) {
	if _, recorded := machine.state.unlistedWorkers[worker.id]; recorded {
		machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerListed, Worker: worker.id})
	}
}

// maxAddressesPerAppend bounds how many addresses an append has, so that the changes behind them do not wait.
const maxAddressesPerAppend = 20

// busyWorkers returns the workers with runs.
func (leader *leader) busyWorkers() []string {
	var busy []string
	for _, worker := range leader.sortedWorkers {
		if len(worker.assignments) > 0 {
			busy = append(busy, worker.id)
		}
	}
	return busy
}

// recordAddresses records addresses of the workers that had runs when the last snapshot was taken, some with each append. A
// host that loads the snapshot has them from the journal behind it, also those of workers that get no further runs.
func (machine *Machine) recordAddresses() {
	leader := machine.leader
	count := min(len(leader.addressesDue), maxAddressesPerAppend)
	for _, id := range leader.addressesDue[:count] {
		if worker := leader.workers[id]; worker != nil {
			machine.recordAddress(worker)
		}
	}
	leader.addressesDue = leader.addressesDue[count:]
}

// restoreAddresses sends lease orders to the workers with runs whose addresses the state has, as the scheduler before did,
// without waiting for the list of the announced workers. The answers tell which of the runs go on.
func (machine *Machine) restoreAddresses() {
	for _, id := range slices.Sorted(maps.Keys(machine.state.unlistedWorkers)) {
		unlisted := machine.state.unlistedWorkers[id]
		machine.restoreAddress(id, workerAddress{address: unlisted.Address(), zone: unlisted.Zone(), leaving: unlisted.Leaving()})
	}
	for _, id := range slices.Sorted(maps.Keys(machine.state.busyAddresses)) {
		if _, unlisted := machine.state.unlistedWorkers[id]; !unlisted {
			machine.restoreAddress(id, machine.state.busyAddresses[id])
		}
	}
}

// restoreAddress begins to send orders to a worker that this scheduler has not read the announcement of.
func (machine *Machine) restoreAddress(id string, address workerAddress) {
	worker := machine.ensureWorker(id)
	worker.info = almondcross.NewWorker(almondcross.WorkerConfig{
		ID: id, Address: address.address, Zone: address.zone, Draining: address.leaving, // The first report reads it from here.
	})
	worker.drained, worker.managed = address.leaving, true
	machine.emit(ManageWorker{Worker: worker.info})
	machine.sendLease(worker, 0, 0)
}
