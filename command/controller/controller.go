package controller

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// leaseTimeout bounds a lease order beyond the time for which its answer may wait.
	leaseTimeout = 400 * time.Millisecond
	// silentTimeout bounds an order that extends no lease, to a worker that did not answer the last one. The way
	// to it may be slow rather than cut.
	silentTimeout = 900 * time.Millisecond
	// startTimeout bounds a start or a stop, which a worker answers at once: a few times the way to
	// another region and back. What became of an order without an answer is learned by a look.
	startTimeout = 250 * time.Millisecond
	// orderLanes is the number of orders that may be under way to one worker. One at a time would keep the tasks of a
	// wide job waiting for each other's answers from another region.
	orderLanes = 3
	// orderCapacity is the most orders that wait in one lane; a worker has far fewer tasks.
	orderCapacity = 128
	// leaseCapacity is one order under way and one of an earlier epoch.
	leaseCapacity = 2
)

// Config holds what a controller needs.
type Config struct {
	Orderer almondcross.WorkerOrderer
	Sink    almondcross.Sink[almondcross.SchedulerMessage]
	Clock   almondcross.Clock
	Log     almondcross.EventLog
	Meters  Meters
}

// Meters measures orders.
type Meters interface {
	// Ordered records how long an order to a worker took.
	Ordered(kind string, took time.Duration)
}

// Controller manages the duties of workers.
type Controller struct {
	config  Config
	ctx     context.Context //nolint:containedctx // The context ends the duties of all workers.
	workers map[string]*managed
}

// managed is one worker with its rings.
type managed struct {
	address string
	cancel  context.CancelFunc
	leases  *ring.Ring[pausedLease]
	lanes   [orderLanes]*ring.Ring[call]
}

// call carries out a start, a stop or a look.
type call func(ctx context.Context)

// lane returns the ring of the orders for a task, so that a stop never overtakes the start before it.
func (managed *managed) lane(task almondcross.JobTask) *ring.Ring[call] {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task.Stage.Job))
	return managed.lanes[(hash.Sum32()+uint32(task.Stage.Step)+uint32(task.Index))%orderLanes] //nolint:gosec // Only the remainder counts.
}

// pausedLease is a lease order with the pause before it.
type pausedLease struct {
	order almondcross.LeaseOrder
	pause time.Duration
}

// New returns a controller whose duties end with the context.
func New(ctx context.Context, config Config) *Controller {
	return &Controller{config: config, ctx: ctx, workers: map[string]*managed{}}
}

// Manage opens the duties of a worker. A worker at a new address gets new ones.
func (controller *Controller) Manage(worker almondcross.Worker) {
	if known := controller.workers[worker.ID()]; known != nil {
		if known.address == worker.Address() {
			return
		}
		known.cancel()
	}
	ctx, cancel := context.WithCancel(controller.ctx)
	opened := &managed{
		address: worker.Address(), cancel: cancel,
		leases: ring.New[pausedLease](ring.Config{Name: "leases", Capacity: leaseCapacity}),
	}
	controller.workers[worker.ID()] = opened
	go func() { _ = ring.Serve(ctx, opened.leases, controller.lease) }()
	for index := range opened.lanes {
		lane := ring.New[call](ring.Config{Name: "orders", Capacity: orderCapacity})
		opened.lanes[index] = lane
		go func() { _ = ring.Serve(ctx, lane, func(ctx context.Context, call call) { call(ctx) }) }()
	}
}

// Release ends the duties of a worker.
func (controller *Controller) Release(worker string) {
	if known := controller.workers[worker]; known != nil {
		known.cancel()
		delete(controller.workers, worker)
	}
}

// Lease sends a lease order after a pause. A look goes the way of starts and stops.
func (controller *Controller) Lease(lease almondcross.LeaseOrder, pause time.Duration) bool {
	known := controller.workers[lease.Worker().ID()]
	if known == nil {
		return false
	}
	if lease.Look() {
		return known.lanes[0].Offer(func(ctx context.Context) { controller.lease(ctx, pausedLease{order: lease}) })
	}
	return known.leases.Offer(pausedLease{order: lease, pause: pause})
}

// Start sends a start order.
func (controller *Controller) Start(start almondcross.StartOrder) bool {
	known := controller.workers[start.Worker().ID()]
	return known != nil && known.lane(start.Task()).Offer(func(ctx context.Context) { controller.start(ctx, start) })
}

// Stop sends a stop order.
func (controller *Controller) Stop(stop almondcross.StopOrder) bool {
	known := controller.workers[stop.Worker().ID()]
	return known != nil && known.lane(stop.Task()).Offer(func(ctx context.Context) { controller.stop(ctx, stop) })
}

func (controller *Controller) lease(ctx context.Context, paused pausedLease) {
	if !ring.Pause(ctx, paused.pause) {
		return
	}
	timeout := paused.order.Wait() + leaseTimeout
	if paused.order.Until() == 0 && !paused.order.Look() {
		timeout = silentTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	list, result, err := controller.config.Orderer.Lease(limited, paused.order)
	if ctx.Err() != nil {
		return
	}
	received := controller.config.Clock.Now()
	controller.note("lease", paused.order.Worker(), result, err, received.Sub(sent)-paused.order.Wait())
	_ = controller.config.Sink.Put(ctx, almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
		Order: paused.order, Result: result, List: list, Sent: sent, Received: received,
	})) // Put fails only when the context has ended.
}

func (controller *Controller) start(ctx context.Context, order almondcross.StartOrder) {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	result, err := controller.config.Orderer.Start(limited, order)
	received := controller.config.Clock.Now()
	controller.note("start", order.Worker(), result, err, received.Sub(sent))
	_ = controller.config.Sink.Put(ctx, almondcross.NewRunStarted(almondcross.RunStartedConfig{
		Order: order, Result: result, Received: received,
	})) // Put fails only when the context has ended.
}

func (controller *Controller) stop(ctx context.Context, order almondcross.StopOrder) {
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	result, err := controller.config.Orderer.Stop(limited, order)
	controller.note("stop", order.Worker(), result, err, controller.config.Clock.Now().Sub(sent))
	// Put fails only when the context has ended.
	_ = controller.config.Sink.Put(ctx, almondcross.NewRunStopped(almondcross.RunStoppedConfig{Order: order, Result: result}))
}

func (controller *Controller) note(kind string, worker almondcross.Worker, result almondcross.OrderResult, err error, took time.Duration) {
	controller.config.Meters.Ordered(kind, took)
	if err != nil {
		controller.config.Log.Record("order_failed", almondcross.Text("kind", kind), almondcross.Text("worker", worker.ID()),
			almondcross.Text("result", string(result)), almondcross.Millis("took_ms", took), almondcross.Text("reason", err.Error()))
	}
}
