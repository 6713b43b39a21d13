package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// transmission is one order on its way.
type transmission struct {
	sender        *modelHost
	process       int // process is the incarnation of the sender that sends the order.
	worker        *modelWorker
	order         workerOrder
	delivered     delivery
	newConnection bool // newConnection is set if the worker has to name its incarnation first.
	identified    bool // identified is set once it has done so.
	failed        bool // failed is set once the sender has given up.
	lost          bool // lost is set if a series of faults keeps the order, but not the report request, from the worker.
}

// random returns random numbers that depend only on the seed, the order and their purpose.
func (transmission *transmission) random(purpose string) *rand.Rand {
	order := transmission.order
	return transmission.sender.simulation.randomFor(purpose, transmission.sender.name, transmission.worker.id, order.kind, order.task, order.run, transmission.delivered.sentAt)
}

// send sends the order, after a report request if the connection is new.
func (transmission *transmission) send() {
	simulation, order := transmission.sender.simulation, transmission.order
	request, response := transmission.request, transmission.response
	series := simulation.faults.orders[transmission.worker]
	affected := series.affects(simulation.now, order.kind, transmission.random)
	switch {
	case affected && series.reset:
		transmission.sender.schedule(2*linkDelay, func() { order.onFailure(almondcross.OrderUnknown) })
		return
	case affected && series.answersLost:
		response = lost
	case affected && transmission.newConnection:
		transmission.lost = true
	case affected:
		request = lost
	}
	transmission.sender.call(order.timeout, request, response, transmission.arrive, transmission.fail)
}

// request returns the way of the first message to the worker: the order, or the report request on a new connection.
func (transmission *transmission) request() (time.Duration, bool) {
	fault := transmission.pathFault()
	if transmission.newConnection {
		return fault.delay, transmission.worker.up && !transmission.sender.identificationLost(transmission.worker, transmission.random)
	}
	return fault.delay, transmission.worker.up && !occurs(fault.orderLoss, transmission.random, "order")
}

// response returns the way of the answer.
func (transmission *transmission) response() (time.Duration, bool) {
	fault, simulation := transmission.pathFault(), transmission.sender.simulation
	return fault.delay + simulation.faults.answerDelay(simulation.now, transmission.random), !occurs(fault.responseLoss, transmission.random, "response")
}

func (transmission *transmission) pathFault() pathFault {
	simulation := transmission.sender.simulation
	return simulation.faults.pathFault(simulation.now, transmission.sender, transmission.worker)
}

// arrive handles the arrival of the first message.
func (transmission *transmission) arrive(reply func(handleResponse func())) {
	worker, order := transmission.worker, transmission.order
	switch {
	case !worker.up: // The order was delayed on its path until the worker had crashed.
	case worker.id != order.worker.ID():
		reply(func() { order.onFailure(almondcross.OrderReplaced) })
	case transmission.newConnection:
		report, result := order.identify(worker)
		if result != almondcross.OrderDone || !order.isFor(worker) {
			reply(func() { order.onRefused(report, result) })
			return
		}
		transmission.follow(reply)
	case order.isFor(worker): // Else the connection leads to a process that has ended.
		transmission.execute(reply)
	}
}

// follow sends the order after the report request, unless the sender has given up before the report reaches it.
func (transmission *transmission) follow(reply func(handleResponse func())) {
	simulation, delay := transmission.sender.simulation, transmission.pathFault().delay
	after(simulation, delay, func() {
		if transmission.failed || transmission.sender.incarnation != transmission.process {
			return
		}
		transmission.identified = true
		if transmission.lost || occurs(transmission.pathFault().orderLoss, transmission.random, "order") {
			return
		}
		after(simulation, delay, func() {
			if transmission.worker.up && transmission.order.isFor(transmission.worker) {
				transmission.execute(reply)
			}
		})
	})
}

// after runs an action after a delay, at once if it is 0.
func after(simulation *Simulation, delay time.Duration, action func()) {
	if delay == 0 {
		action()
		return
	}
	simulation.schedule(delay, action)
}

// execute carries out the order, now or late and without a response.
func (transmission *transmission) execute(reply func(handleResponse func())) {
	simulation, worker, order := transmission.sender.simulation, transmission.worker, transmission.order
	delay := simulation.faults.orderDelay(simulation.now, order.kind, transmission.random)
	if delay == 0 {
		simulation.traceOrder(order, worker, transmission.delivered)
		order.execute(worker, transmission.delivered, func(handleResponse func()) {
			reply(func() {
				transmission.sender.returnConnection(worker, order.incarnation)
				handleResponse()
			})
		})
		return
	}
	transmission.delivered.late = true
	simulation.schedule(delay, func() {
		if worker.up && worker.id == order.worker.ID() && order.isFor(worker) {
			simulation.traceOrder(order, worker, transmission.delivered)
			order.execute(worker, transmission.delivered, func(func()) {})
		}
	})
}

// fail handles an order without a response.
func (transmission *transmission) fail() {
	transmission.failed = true
	if transmission.newConnection && !transmission.identified {
		transmission.order.onFailure(almondcross.OrderNotSent)
		return
	}
	transmission.order.onFailure(almondcross.OrderUnknown)
}

// isFor reports whether the worker's incarnation may carry out the order.
func (workerorder workerOrder) isFor(worker *modelWorker) bool {
	return workerorder.incarnation == 0 || workerorder.incarnation == worker.bootMillis
}
