package emulator

import (
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
	// onRefused handles an answer to the report request on a new connection after which the order is not sent: the worker has
	// seen a higher fencing token, or another incarnation answers.
	onRefused func(report almondcross.WorkerReport, result almondcross.OrderResult)
	// onFailure handles an order that got no response or reached another identity.
	onFailure func(result almondcross.OrderResult)
}

// sendOrder sends an order to the worker at the order's address. Faults may lose the order or its response, or make
// the worker carry it out late. A worker that has restarted under another identity refuses it. One that is for an
// incarnation reaches no other: it goes over connections on which that incarnation has named itself, and only the process
// that has read it carries it out late. One for any incarnation may reach a later one, also late: hosts of earlier versions
// send these, and the platform's pages do not say that an order ends with the process that has read it.
func (modelhost *modelHost) sendOrder(order workerOrder) {
	worker := modelhost.simulation.workerAt(order.worker.Address())
	transmission := &transmission{
		sender: modelhost, process: modelhost.incarnation, worker: worker, order: order,
		delivered:     delivery{sender: modelhost, sentAt: modelhost.simulation.now, knownIncarnation: modelhost.readIncarnations[worker.id]},
		newConnection: order.incarnation != 0 && !modelhost.takeConnection(worker, order.incarnation),
	}
	transmission.send()
}

// lost is the way of a message that does not get through.
func lost() (time.Duration, bool) { return 0, false }

func (modelhost *modelHost) renewLease(order almondcross.LeaseOrder) {
	simulation := modelhost.simulation
	simulation.observe(LeaseSent)
	sentAt := simulation.wallTime()
	deliverResult := func(report almondcross.WorkerReport, result almondcross.OrderResult) {
		simulation.meter.workerAnswered(modelhost, result)
		if report.Incarnation() != 0 {
			modelhost.noteReport(report)
		}
		modelhost.deliver(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: result, Report: report, Sent: sentAt, Received: simulation.wallTime(),
		}))
	}
	modelhost.sendOrder(workerOrder{
		worker: order.Worker(), incarnation: order.Incarnation(), fence: order.Fence(), kind: orderLease, timeout: order.Wait() + leaseTimeout,
		listOnly: order.Until() == 0 && order.Acknowledged() == 0, onRefused: deliverResult,
		onFailure: func(result almondcross.OrderResult) { deliverResult(almondcross.WorkerReport{}, result) },
		execute: func(worker *modelWorker, _ delivery, reply func(func())) {
			worker.answerLease(order, func(report almondcross.WorkerReport, result almondcross.OrderResult) {
				reply(func() { deliverResult(report, result) })
			})
		},
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
		onRefused: func(_ almondcross.WorkerReport, result almondcross.OrderResult) {
			deliverResult(restartedResult(result))
		},
		onFailure: deliverResult,
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
		onRefused: func(_ almondcross.WorkerReport, result almondcross.OrderResult) {
			deliverResult(restartedResult(result))
		},
		onFailure: deliverResult,
		execute: func(worker *modelWorker, _ delivery, reply func(func())) {
			result := worker.stop(simulation.now, order)
			reply(func() { deliverResult(result) })
		},
	})
}
