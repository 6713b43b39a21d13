package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// orderKind is a kind of order to a worker.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderLease
)

// delivery describes how an order reached its worker.
type delivery struct {
	sender *modelHost
	sentAt time.Duration
	// knownIncarnation is the incarnation of the worker whose report the sender had read last, 0 for none.
	knownIncarnation int64
	late             bool // late is set if the worker carries out the order seconds after it was sent, without a response.
}

// workerOrder is an order to a worker with what happens on the worker and on the sending host.
type workerOrder struct {
	worker      almondcross.Worker // worker is the announced identity that the order is for.
	incarnation int64              // incarnation is the incarnation that the order is for, 0 for any.
	fence       int64
	listOnly    bool // listOnly is set for a lease order that neither extends the lease nor acknowledges ends.
	kind        orderKind
	task        almondcross.JobTask // task and run are zero for a lease order.
	run         int
	timeout     time.Duration
	// execute carries out the order on the worker. It calls reply with what the host does on the response.
	execute func(worker *modelWorker, delivered delivery, reply func(handleResponse func()))
	// onRestarted handles the answer of another incarnation to the report request that precedes the order on a new connection.
	onRestarted func(report almondcross.WorkerReport, result almondcross.OrderResult)
	// onFailure handles an order that got no response or reached another identity.
	onFailure func(result almondcross.OrderResult)
}

// sendOrder sends an order to the worker at the order's address. Faults may lose the order or its response, or make
// the worker carry it out late. A worker that has restarted under another identity refuses it. One that is for an
// incarnation reaches no other: it goes over connections on which that incarnation has named itself, and only the process
// that has read it carries it out late. One for any incarnation may reach a later one, also late: hosts of earlier versions
// send these, and the platform's pages do not say that an order ends with the process that has read it.
func (modelhost *modelHost) sendOrder(order workerOrder) {
	simulation := modelhost.simulation
	worker := simulation.workerAt(order.worker.Address())
	delivered := delivery{sender: modelhost, sentAt: simulation.now, knownIncarnation: modelhost.readIncarnations[worker.id]}
	random := func(purpose string) *rand.Rand {
		return simulation.randomFor(purpose, modelhost.name, worker.id, order.kind, order.task, order.run, delivered.sentAt)
	}
	request := func() (time.Duration, bool) {
		fault := simulation.faults.pathFault(simulation.now, modelhost, worker)
		return fault.delay, worker.up && !occurs(fault.orderLoss, random, "order")
	}
	response := func() (time.Duration, bool) {
		fault := simulation.faults.pathFault(simulation.now, modelhost, worker)
		return fault.delay + simulation.faults.answerDelay(simulation.now, random), !occurs(fault.responseLoss, random, "response")
	}
	series := simulation.faults.orders[worker]
	affected := series.affects(simulation.now, order.kind, random)
	switch {
	case affected && series.reset:
		modelhost.schedule(2*linkDelay, func() { order.onFailure(almondcross.OrderUnknown) })
		return
	case affected && series.answersLost:
		response = lost
	case affected:
		request = lost
	}
	modelhost.call(order.timeout, request, response, func(reply func(func())) {
		if worker.up && worker.id == order.worker.ID() && !order.isFor(worker) {
			modelhost.sendToRestarted(order, worker, random, reply)
			return
		}
		if delay := simulation.faults.orderDelay(simulation.now, order.kind, random); delay > 0 {
			delivered.late = true
			simulation.schedule(delay, func() {
				if worker.up && worker.id == order.worker.ID() && order.isFor(worker) {
					simulation.traceOrder(order, worker, delivered)
					order.execute(worker, delivered, func(func()) {})
				}
			})
			return
		}
		switch {
		case !worker.up: // The order was delayed on its path until the worker had crashed.
		case worker.id != order.worker.ID():
			reply(func() { order.onFailure(almondcross.OrderReplaced) })
		default:
			simulation.traceOrder(order, worker, delivered)
			order.execute(worker, delivered, reply)
		}
	}, func() { order.onFailure(almondcross.OrderUnknown) })
}

// isFor reports whether the worker's incarnation may carry out the order.
func (workerorder workerOrder) isFor(worker *modelWorker) bool {
	return workerorder.incarnation == 0 || workerorder.incarnation == worker.bootMillis
}

// openConnectionShare is the fraction of the orders for an earlier incarnation that go over a connection to it, if its crash has
// not closed the connections. The others go over new ones.
const openConnectionShare = 0.5

// sendToRestarted sends an order for an earlier incarnation of a worker. Over a connection to that one it is lost. On a new one
// the current incarnation answers the report request with which the connection begins, and the order is not sent.
func (modelhost *modelHost) sendToRestarted(order workerOrder, worker *modelWorker, random func(purpose string) *rand.Rand, reply func(func())) {
	if worker.crashedSilently && occurs(openConnectionShare, random, "connection") {
		return
	}
	report, result := worker.lease(modelhost.simulation.now, almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Fence: order.fence}))
	reply(func() { order.onRestarted(report, result) })
}

// restartedResult returns the result of an order whose report request another incarnation has answered.
func restartedResult(result almondcross.OrderResult) almondcross.OrderResult {
	if result == almondcross.OrderDone {
		return almondcross.OrderRestarted
	}
	return result
}

// lost is the way of a message that does not get through.
func lost() (time.Duration, bool) { return 0, false }

func (modelhost *modelHost) renewLease(order almondcross.LeaseOrder) {
	simulation := modelhost.simulation
	simulation.observe(LeaseSent)
	sentAt := simulation.wallTime()
	deliverResult := func(report almondcross.WorkerReport, result almondcross.OrderResult) {
		simulation.meter.workerAnswered(modelhost, result)
		if result == almondcross.OrderDone {
			modelhost.noteReport(report)
		}
		modelhost.deliver(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: result, Report: report, Sent: sentAt, Received: simulation.wallTime(),
		}))
	}
	modelhost.sendOrder(workerOrder{
		worker: order.Worker(), incarnation: order.Incarnation(), fence: order.Fence(), kind: orderLease, timeout: order.Wait() + leaseTimeout,
		listOnly: order.Until() == 0 && order.Acknowledged() == 0, onRestarted: deliverResult,
		execute: func(worker *modelWorker, _ delivery, reply func(func())) {
			worker.answerLease(order, func(report almondcross.WorkerReport, result almondcross.OrderResult) {
				reply(func() { deliverResult(report, result) })
			})
		},
		onFailure: func(result almondcross.OrderResult) { deliverResult(almondcross.WorkerReport{}, result) },
	})
}

func (modelhost *modelHost) startRun(order almondcross.StartOrder) {
	simulation := modelhost.simulation
	simulation.observe(StartSent)
	incarnation := order.Incarnation()
	if simulation.config.UnboundStarts {
		incarnation = 0
	}
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{
			Order: order, Result: result, Received: simulation.wallTime(), Incarnation: incarnation,
		}))
	}
	modelhost.sendOrder(workerOrder{
		worker: order.Worker(), incarnation: incarnation, fence: order.Fence(), kind: orderStart, task: order.Task(), run: order.Run(), timeout: orderTimeout,
		onRestarted: func(_ almondcross.WorkerReport, result almondcross.OrderResult) {
			deliverResult(restartedResult(result))
		}, onFailure: deliverResult,
		execute: func(worker *modelWorker, delivered delivery, reply func(func())) {
			result := worker.start(simulation.now, order, delivered)
			reply(func() { deliverResult(result) })
		},
	})
}

func (modelhost *modelHost) stopRun(order almondcross.StopOrder) {
	simulation := modelhost.simulation
	simulation.observe(StopSent)
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{Order: order, Result: result}))
	}
	modelhost.sendOrder(workerOrder{
		worker: order.Worker(), incarnation: order.Incarnation(), fence: order.Fence(), kind: orderStop, task: order.Task(), run: order.Run(), timeout: orderTimeout,
		onRestarted: func(_ almondcross.WorkerReport, result almondcross.OrderResult) {
			deliverResult(restartedResult(result))
		}, onFailure: deliverResult,
		execute: func(worker *modelWorker, _ delivery, reply func(func())) {
			result := worker.stop(simulation.now, order)
			reply(func() { deliverResult(result) })
		},
	})
}
