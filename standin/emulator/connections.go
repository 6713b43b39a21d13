package emulator

import (
	"math/rand/v2"

	"github.com/almondcross/almondcross"
)

// idleConnections counts the connections of a host to one incarnation of a worker that carry no order.
type idleConnections struct {
	incarnation int64
	count       int
}

// takeConnection takes an idle connection to an incarnation of a worker and reports whether there is one. A crash closes the
// connections, unless it is silent.
func (modelhost *modelHost) takeConnection(worker *modelWorker, incarnation int64) bool {
	idle := modelhost.connections[worker]
	closed := !worker.crashedSilently && (!worker.up || worker.bootMillis != incarnation)
	if idle.incarnation != incarnation || idle.count == 0 || closed {
		modelhost.connections[worker] = idleConnections{incarnation: incarnation}
		return false
	}
	idle.count--
	modelhost.connections[worker] = idle
	return true
}

// returnConnection notes that the order of a connection has been answered. The connection of an order without an answer is closed.
func (modelhost *modelHost) returnConnection(worker *modelWorker, incarnation int64) {
	if idle := modelhost.connections[worker]; incarnation != 0 && idle.incarnation == incarnation {
		idle.count++
		modelhost.connections[worker] = idle
	}
}

// identificationLost draws whether the report request with which a connection begins gets no answer.
func (modelhost *modelHost) identificationLost(worker *modelWorker, random func(purpose string) *rand.Rand) bool {
	simulation := modelhost.simulation
	identifying := func(purpose string) *rand.Rand { return random("identify " + purpose) }
	fault := simulation.faults.pathFault(simulation.now, modelhost, worker)
	return occurs(fault.orderLoss, identifying, "order") || occurs(fault.responseLoss, identifying, "response") ||
		simulation.faults.orders[worker].affects(simulation.now, orderLease, identifying) ||
		simulation.faults.orderDelay(simulation.now, orderLease, identifying) > 0
}

// identify answers the report request with which a connection for an order begins. The request takes no time of its own.
func (workerorder workerOrder) identify(worker *modelWorker) (almondcross.WorkerReport, almondcross.OrderResult) {
	return worker.lease(worker.simulation.now, almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Fence: workerorder.fence}))
}

// restartedResult returns the result of an order whose report request another incarnation has answered.
func restartedResult(result almondcross.OrderResult) almondcross.OrderResult {
	if result == almondcross.OrderDone {
		return almondcross.OrderRestarted
	}
	return result
}
