package controller

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// leaseTimeout bounds a lease order, in addition to the time for which the worker may delay its answer.
	leaseTimeout = 400 * time.Millisecond
	// unresponsiveTimeout bounds a lease order that extends no lease, which goes to a worker that did not answer the
	// last one. It is longer because the network path may be slow rather than broken.
	unresponsiveTimeout = 900 * time.Millisecond
	// commandTimeout bounds a start or a stop, which a worker answers immediately: a few round trips to another
	// region. A list-only order (LeaseOrder.ListOnly) determines the outcome of an order without an answer.
	commandTimeout = 250 * time.Millisecond
	// orderQueues is the number of orders that may be in flight to one worker. With one at a time, each task of a
	// wide job would wait for the answers to the tasks before it from a worker in another region.
	orderQueues = 3
	// orderQueueCapacity is the maximum number of waiting orders in one queue; a worker has far fewer tasks.
	orderQueueCapacity = 128
	// leaseQueueCapacity is enough for the next order and one of an earlier epoch; an order in flight has left the queue.
	leaseQueueCapacity = 2
)

// Config holds the dependencies of a controller.
type Config struct {
	Orderer almondcross.WorkerOrderer
	Sink    almondcross.Sink[almondcross.SchedulerMessage]
	Clock   almondcross.Clock
	Log     almondcross.EventLog
	Metrics Metrics
}

// Metrics records metrics of orders.
type Metrics interface {
	// Ordered records how long an order to a worker took.
	Ordered(kind string, took time.Duration)
}

// Controller manages the duties of workers. Only the scheduler duty calls its methods.
type Controller struct {
	config  Config
	ctx     context.Context //nolint:containedctx // Cancelling the context stops the duties of all workers.
	workers map[string]*managedWorker
}

// managedWorker holds the rings of a worker's duties and the function that stops them.
type managedWorker struct {
	address string
	cancel  context.CancelFunc
	retired chan struct{} // retired is closed when no further orders follow.
	leases  *ring.Ring[delayedLease]
	orders  [orderQueues]*ring.Ring[call]
}

// call sends a start, a stop or a list-only order to a worker and reports the answer to the scheduler.
type call func(ctx context.Context)

// queueOf returns the queue for the orders of a task. All orders of a task use the same queue, so that a stop never
// overtakes the start before it.
func (managedworker *managedWorker) queueOf(task almondcross.JobTask) *ring.Ring[call] {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task.Stage.Job))
	return managedworker.orders[(hash.Sum32()+uint32(task.Stage.Step)+uint32(task.Index))%orderQueues] //nolint:gosec // Only the remainder counts.
}

// delayedLease is a lease order with the delay before it is sent.
type delayedLease struct {
	order almondcross.LeaseOrder
	delay time.Duration
}

// New returns a controller without workers; its duties stop when the context ends.
func New(ctx context.Context, config Config) *Controller {
	return &Controller{config: config, ctx: ctx, workers: map[string]*managedWorker{}}
}

// Manage starts the duties of a worker, or restarts them if the worker has a new address.
func (controller *Controller) Manage(worker almondcross.Worker) {
	if known := controller.workers[worker.ID()]; known != nil {
		if known.address == worker.Address() {
			return
		}
		known.cancel()
	}
	ctx, cancel := context.WithCancel(controller.ctx)
	managed := &managedWorker{
		address: worker.Address(), cancel: cancel, retired: make(chan struct{}),
		leases: ring.New[delayedLease](ring.Config{Name: "leases", Capacity: leaseQueueCapacity}),
	}
	controller.workers[worker.ID()] = managed
	var running atomic.Int32
	running.Store(1 + orderQueues)
	end := func() {
		if running.Add(-1) == 0 {
			cancel() // The context of a retired worker would otherwise stay until the controller ends.
		}
	}
	go func() {
		defer end()
		_ = ring.ServeUntil(ctx, managed.retired, managed.leases, controller.lease)
	}()
	for index := range managed.orders {
		queue := ring.New[call](ring.Config{Name: "orders", Capacity: orderQueueCapacity})
		managed.orders[index] = queue
		go func() {
			_ = ring.ServeUntil(ctx, managed.retired, queue, func(ctx context.Context, call call) { call(ctx) })
		}()
	}
}

// Retire ends the duties of a worker after the orders that they have. Another host sends the following orders.
func (controller *Controller) Retire(worker string) {
	if known := controller.workers[worker]; known != nil {
		close(known.retired)
		delete(controller.workers, worker)
	}
}

// Release stops the duties of a worker. Its queued orders are discarded.
func (controller *Controller) Release(worker string) {
	if known := controller.workers[worker]; known != nil {
		known.cancel()
		delete(controller.workers, worker)
	}
}

// Lease queues a lease order that is sent after a pause. A list-only order (LeaseOrder.ListOnly) uses a queue of
// starts and stops, without a pause. Lease reports false when the worker is unknown or the queue is full.
func (controller *Controller) Lease(lease almondcross.LeaseOrder, pause time.Duration) bool {
	known := controller.workers[lease.Worker().ID()]
	if known == nil {
		return false
	}
	if lease.ListOnly() {
		return known.orders[0].Offer(func(ctx context.Context) { controller.lease(ctx, delayedLease{order: lease}) })
	}
	return known.leases.Offer(delayedLease{order: lease, delay: pause})
}

// Start queues a start order. It reports false when the worker is unknown or the queue is full.
func (controller *Controller) Start(start almondcross.StartOrder) bool {
	known := controller.workers[start.Worker().ID()]
	return known != nil && known.queueOf(start.Task()).Offer(func(ctx context.Context) { controller.start(ctx, start) })
}

// Stop queues a stop order. It reports false when the worker is unknown or the queue is full.
func (controller *Controller) Stop(stop almondcross.StopOrder) bool {
	known := controller.workers[stop.Worker().ID()]
	return known != nil && known.queueOf(stop.Task()).Offer(func(ctx context.Context) { controller.stop(ctx, stop) })
}

func (controller *Controller) lease(ctx context.Context, delayed delayedLease) {
	if !ring.Pause(ctx, delayed.delay) {
		return
	}
	timeout := delayed.order.Wait() + leaseTimeout
	if delayed.order.Until() == 0 && !delayed.order.ListOnly() {
		timeout = unresponsiveTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	report, result, err := controller.config.Orderer.Lease(callCtx, delayed.order)
	if ctx.Err() != nil {
		return
	}
	received := controller.config.Clock.Now()
	controller.recordOrder("lease", delayed.order.Worker(), result, err, received.Sub(sent)-delayed.order.Wait())
	_ = controller.config.Sink.Put(ctx, almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: delayed.order, Result: result, Report: report, Sent: sent, Received: received,
	})) // Put fails only when the context has ended.
}

func (controller *Controller) start(ctx context.Context, order almondcross.StartOrder) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	result, err := controller.config.Orderer.Start(callCtx, order)
	received := controller.config.Clock.Now()
	controller.recordOrder("start", order.Worker(), result, err, received.Sub(sent))
	_ = controller.config.Sink.Put(ctx, almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{
		Order: order, Result: result, Received: received, Incarnation: order.Incarnation(),
	})) // Put fails only when the context has ended.
}

func (controller *Controller) stop(ctx context.Context, order almondcross.StopOrder) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	result, err := controller.config.Orderer.Stop(callCtx, order)
	controller.recordOrder("stop", order.Worker(), result, err, controller.config.Clock.Now().Sub(sent))
	// Put fails only when the context has ended.
	_ = controller.config.Sink.Put(ctx, almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{Order: order, Result: result}))
}

func (controller *Controller) recordOrder(kind string, worker almondcross.Worker, result almondcross.OrderResult, err error, took time.Duration) {
	controller.config.Metrics.Ordered(kind, took)
	if err != nil {
		controller.config.Log.Record("order_failed", almondcross.Text("kind", kind), almondcross.Text("worker", worker.ID()),
			almondcross.Text("result", string(result)), almondcross.Millis("took_ms", took), almondcross.Text("reason", err.Error()))
	}
}
