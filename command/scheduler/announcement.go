package scheduler

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// ensureWorker returns the entry of a worker and adds one if it is unknown.
func (machine *Machine) ensureWorker(id string) *worker {
	leader := machine.leader
	if known := leader.workers[id]; known != nil {
		return known
	}
	_, silent := machine.state.silentWorkers[id]
	added := &worker{
		id: id, assignments: map[almondcross.JobTask]*assignment{}, extensionBlocked: silent,
		fence: max(firstFence(leader.epoch), leader.removedFence),
	}
	leader.workers[id] = added
	index, _ := slices.BinarySearchFunc(leader.sortedWorkers, added, func(a, b *worker) int { return strings.Compare(a.id, b.id) })
	leader.sortedWorkers = slices.Insert(leader.sortedWorkers, index, added)
	return added
}

// workersRead applies changes of the announced workers.
func (machine *Machine) workersRead(read almondcross.WorkersRead) {
	machine.reads.workers = false
	switch {
	case machine.leader == nil:
		return
	case machine.reads.workersEpoch != machine.leader.epoch:
		machine.readWorkers(-1, 0) // The read was sent in an earlier epoch of this host, which knew other workers.
		return
	case errors.Is(read.Err(), almondcross.ErrStoreTrimmed):
		machine.readWorkers(-1, storeRetryDelay)
		return
	case read.Err() != nil:
		machine.readWorkers(read.Next(), storeRetryDelay)
		return
	}
	seen := map[string]bool{}
	for _, change := range read.Changes() {
		seen[change.ID()] = change.Present()
		machine.workerChanged(change)
	}
	if read.Complete() {
		machine.leader.workersListed = true
		for _, known := range slices.Clone(machine.leader.sortedWorkers) {
			if seen[known.id] {
				continue
			}
			machine.workerChanged(almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: known.id}))
			machine.recordUnlisted(known) // Its announcement may have ended before this scheduler read the first list.
		}
	}
	machine.readWorkers(read.Next(), workersReadInterval)
}

func (machine *Machine) workerChanged(change almondcross.WorkerChange) {
	if !change.Present() {
		if known := machine.leader.workers[change.ID()]; known != nil && known.announced {
			known.announced = false
			machine.recordUnlisted(known)
			machine.config.Log.Record("worker_unlisted", almondcross.Text("worker", change.ID()), almondcross.Number("runs", len(known.assignments)))
		}
		return
	}
	worker := machine.ensureWorker(change.ID())
	if worker.announced && worker.info.Draining() != change.Worker().Draining() {
		machine.config.Log.Record("worker_draining", almondcross.Text("worker", worker.id), almondcross.Text("draining", yesNo(change.Worker().Draining())))
	}
	if !worker.announced {
		machine.config.Log.Record("worker_listed", almondcross.Text("worker", worker.id), almondcross.Text("address", change.Worker().Address()),
			almondcross.Text("rack", change.Worker().Rack()))
	}
	addressChanged := worker.info.Address() != change.Worker().Address()
	worker.info, worker.announced, worker.announcedAt = change.Worker(), true, machine.now
	if worker.info.Draining() && !worker.drained {
		worker.drained = true
		machine.recordAddress(worker) // A successor would otherwise treat the worker's end as a crash.
	}
	machine.endUnlisted(worker)
	if !worker.managed || addressChanged {
		worker.managed = true
		machine.emit(ManageWorker{Worker: worker.info})
	}
	if addressChanged {
		worker.forgetStartAnswers()
	}
	if !worker.leasePending || addressChanged {
		// The duty that awaits the answer to a pending order ends with the old address.
		machine.sendLease(worker, 0, 0)
	}
	machine.leader.placementDue = true
}

// forgetStartAnswers leaves the outcome of pending start orders to a report under a higher fencing token. Their answers may be
// lost with the duty of the worker's old address.
func (worker *worker) forgetStartAnswers() {
	for _, assignment := range worker.assignments {
		if assignment.phase == phaseSent {
			assignment.phase = phaseUnknown
			worker.noteUnanswered(assignment.fence)
		}
	}
}
