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
	worker  almondcross.Worker // worker is the announced identity that the order is for.
	kind    orderKind
	task    almondcross.JobTask // task and run are zero for a lease order.
	run     int
	timeout time.Duration
	// execute carries out the order on the worker. It calls reply with what the host does on the response.
	execute func(worker *modelWorker, delivered delivery, reply func(handleResponse func()))
	// onFailure handles an order that got no response or reached another identity.
	onFailure func(result almondcross.OrderResult)
}

// sendOrder sends an order to the worker at the order's address. Faults may lose the order or its response, or make
// the worker carry it out late. A worker that has restarted under another identity refuses it.
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
		if delay := simulation.faults.orderDelay(simulation.now, order.kind, random); delay > 0 {
			delivered.late = true
			simulation.schedule(delay, func() {
				if worker.up && worker.id == order.worker.ID() {
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
		worker: order.Worker(), kind: orderLease, timeout: order.Wait() + leaseTimeout,
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
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Result: result, Received: simulation.wallTime()}))
	}
	modelhost.sendOrder(workerOrder{
		worker: order.Worker(), kind: orderStart, task: order.Task(), run: order.Run(), timeout: orderTimeout, onFailure: deliverResult,
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
		worker: order.Worker(), kind: orderStop, task: order.Task(), run: order.Run(), timeout: orderTimeout, onFailure: deliverResult,
		execute: func(worker *modelWorker, _ delivery, reply func(func())) {
			result := worker.stop(simulation.now, order)
			reply(func() { deliverResult(result) })
		},
	})
}
