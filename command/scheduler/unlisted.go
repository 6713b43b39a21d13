package scheduler

import (
	"maps"
	"slices"

	"github.com/almondcross/almondcross"
)

// recordUnlisted records the address of a worker whose announcement has ended while it has runs. It may have lost only its way
// to the store.
func (machine *Machine) recordUnlisted(worker *worker) {
	if len(worker.assignments) == 0 {
		return
	}
	end := almondcross.EndKind("")
	if worker.drained {
		end = almondcross.EndVoid
	}
	machine.recordChange(almondcross.ChangeConfig{
		Kind: almondcross.ChangeWorkerUnlisted, Worker: worker.id, Address: worker.info.Address(), Zone: worker.info.Zone(), End: end,
	})
}

// endUnlisted records that an unlisted worker is announced again or is removed.
func (machine *Machine) endUnlisted(worker *worker) {
	if _, recorded := machine.state.unlistedWorkers[worker.id]; recorded {
		machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeWorkerListed, Worker: worker.id})
	}
}

// restoreUnlistedWorkers sends lease orders to the unlisted workers, as the scheduler before did. The answers tell which of
// their runs go on.
func (machine *Machine) restoreUnlistedWorkers() {
	for _, id := range slices.Sorted(maps.Keys(machine.state.unlistedWorkers)) {
		unlisted := machine.state.unlistedWorkers[id]
		worker := machine.ensureWorker(id)
		worker.info = almondcross.NewWorker(almondcross.WorkerConfig{
			ID: id, Address: unlisted.Address(), Zone: unlisted.Zone(), Draining: unlisted.Leaving(), // The first report reads it from here.
		})
		worker.drained, worker.managed = unlisted.Leaving(), true
		machine.emit(ManageWorker{Worker: worker.info})
		machine.sendLease(worker, 0, 0)
	}
}
