package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// sendOrder sends an order to a worker, which may be isolated or execute it late. If there is no response within
// the timeout, onFailure gets OrderUnknown.
func (modelhost *modelHost) sendOrder(worker *modelWorker, timeout time.Duration, lease bool, execute func() func(), onFailure func(result almondcross.OrderResult)) {
	simulation := modelhost.simulation
	reachable := func() bool { return worker.up && !simulation.faults.workerIsolated(modelhost, worker, simulation.now) }
	modelhost.call(timeout, reachable, reachable, func(reply func(func())) {
		if delay := simulation.faults.orderDelay(simulation, lease); delay > 0 {
			simulation.schedule(delay, func() {
				if worker.up {
					execute()
				}
			})
			return
		}
		reply(execute())
	}, func(bool) { onFailure(almondcross.OrderUnknown) })
}

func (modelhost *modelHost) renewLease(order almondcross.LeaseOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	sentAt := simulation.wallTime()
	deliverResult := func(report almondcross.WorkerReport, result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: result, Report: report, Sent: sentAt, Received: simulation.wallTime(),
		}))
	}
	leaseExecuted := false
	modelhost.sendOrder(worker, order.Wait()+leaseTimeout, true, func() func() {
		report, result := worker.lease(simulation.now, order)
		leaseExecuted = true
		return func() {
			if result != almondcross.OrderDone || len(report.Ended()) > 0 || order.Wait() == 0 {
				deliverResult(report, result)
				return
			}
			modelhost.waitForEnd(worker, order, simulation.now+order.Wait(), deliverResult)
		}
	}, func(result almondcross.OrderResult) {
		if !leaseExecuted || simulation.faults.workerIsolated(modelhost, worker, simulation.now) || !worker.up {
			deliverResult(almondcross.WorkerReport{}, result)
		}
	})
}

// waitForEnd delivers the result of a lease order once a run has ended, the order fails or its wait is over.
func (modelhost *modelHost) waitForEnd(
	worker *modelWorker, order almondcross.LeaseOrder, until time.Duration, deliverResult func(almondcross.WorkerReport, almondcross.OrderResult),
) {
	simulation := modelhost.simulation
	if !worker.up || simulation.faults.workerIsolated(modelhost, worker, simulation.now) {
		modelhost.schedule(orderTimeout, func() { deliverResult(almondcross.WorkerReport{}, almondcross.OrderUnknown) })
		return
	}
	report, result := worker.lease(simulation.now, order.WithUntil(0))
	if result != almondcross.OrderDone || len(report.Ended()) > 0 || simulation.now >= until {
		modelhost.schedule(linkDelay, func() { deliverResult(report, result) })
		return
	}
	modelhost.schedule(pollInterval, func() { modelhost.waitForEnd(worker, order, until, deliverResult) })
}

func (modelhost *modelHost) startRun(order almondcross.StartOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Result: result, Received: simulation.wallTime()}))
	}
	modelhost.sendOrder(worker, orderTimeout, false, func() func() {
		result := worker.start(simulation.now, order)
		return func() { deliverResult(result) }
	}, deliverResult)
}

func (modelhost *modelHost) stopRun(order almondcross.StopOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{Order: order, Result: result}))
	}
	modelhost.sendOrder(worker, orderTimeout, false, func() func() {
		result := worker.stop(simulation.now, order)
		return func() { deliverResult(result) }
	}, deliverResult)
}
