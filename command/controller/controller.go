package controller

import (
	"context"
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
	// orderCapacity is the most orders that wait for one worker; it has far fewer tasks.
	orderCapacity = 256
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
	orders  *ring.Ring[order]
}

// pausedLease is a lease order with the pause before it.
type pausedLease struct {
	order almondcross.LeaseOrder
	pause time.Duration
}

// order is a start, a stop or a look.
type order struct {
	start almondcross.StartOrder
	stop  almondcross.StopOrder
	look  almondcross.LeaseOrder
	kind  orderKind
}

// orderKind tells what an order holds.
type orderKind int

const (
	orderStart orderKind = iota
	orderStop
	orderLook
)

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
		orders: ring.New[order](ring.Config{Name: "orders", Capacity: orderCapacity}),
	}
	controller.workers[worker.ID()] = opened
	go func() { _ = ring.Serve(ctx, opened.leases, controller.lease) }()
	go func() { _ = ring.Serve(ctx, opened.orders, controller.order) }()
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
		return known.orders.Offer(order{look: lease, kind: orderLook})
	}
	return known.leases.Offer(pausedLease{order: lease, pause: pause})
}

// Start sends a start order.
func (controller *Controller) Start(start almondcross.StartOrder) bool {
	known := controller.workers[start.Worker().ID()]
	return known != nil && known.orders.Offer(order{start: start})
}

// Stop sends a stop order.
func (controller *Controller) Stop(stop almondcross.StopOrder) bool {
	known := controller.workers[stop.Worker().ID()]
	return known != nil && known.orders.Offer(order{stop: stop, kind: orderStop})
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

func (controller *Controller) order(ctx context.Context, order order) {
	if order.kind == orderLook {
		controller.lease(ctx, pausedLease{order: order.look})
		return
	}
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sent := controller.config.Clock.Now()
	var answer almondcross.SchedulerMessage
	if order.kind == orderStop {
		result, err := controller.config.Orderer.Stop(limited, order.stop)
		controller.note("stop", order.stop.Worker(), result, err, controller.config.Clock.Now().Sub(sent))
		answer = almondcross.NewRunStopped(almondcross.RunStoppedConfig{Order: order.stop, Result: result})
	} else {
		result, err := controller.config.Orderer.Start(limited, order.start)
		received := controller.config.Clock.Now()
		controller.note("start", order.start.Worker(), result, err, received.Sub(sent))
		answer = almondcross.NewRunStarted(almondcross.RunStartedConfig{Order: order.start, Result: result, Received: received})
	}
	_ = controller.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
}

func (controller *Controller) note(kind string, worker almondcross.Worker, result almondcross.OrderResult, err error, took time.Duration) {
	controller.config.Meters.Ordered(kind, took)
	if err != nil {
		controller.config.Log.Record("order_failed", almondcross.Text("kind", kind), almondcross.Text("worker", worker.ID()),
			almondcross.Text("result", string(result)), almondcross.Millis("took_ms", took), almondcross.Text("reason", err.Error()))
	}
}
