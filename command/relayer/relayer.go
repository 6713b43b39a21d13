package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// silenceTimeout is how long a host may return nothing after the time at which a worker answers the earliest pending
	// order. An order to a worker that doesn't answer takes less.
	silenceTimeout = time.Second
	// orderTimeout bounds a pending order whose host still answers others.
	orderTimeout = 5 * time.Second
	// sweepInterval is the time between two checks for timeouts.
	sweepInterval = 50 * time.Millisecond
	// maxDirectStarts is the number of further workers a second that this host starts to call directly. It then reaches
	// all workers of a cell of current size within a lease.
	maxDirectStarts = 200
	// holdTimeout is how long a lease order is held before it counts as not sent.
	holdTimeout = time.Second
	// maxDrainedMessages is the maximum number of messages handled before the collected orders are sent.
	maxDrainedMessages = 256
	// maxOrdersPerMessage keeps a message with the largest payloads below the maximum size of a frame.
	maxOrdersPerMessage = 100
)

// Metrics counts orders by the way that they take.
type Metrics interface {
	// Relayed counts orders that were passed to another host.
	Relayed(orders int)
	// SentDirectly counts an order that this host sends to its worker.
	SentDirectly()
	// RelayFailed counts orders whose outcome is unknown because a host was lost or silent.
	RelayFailed(orders int)
}

// Config holds the dependencies and settings of a relayer.
type Config struct {
	Ring    *ring.Ring[almondcross.RelayMessage]
	Direct  almondcross.RetiringWorkerManager // Direct sends orders from this host; Run alone uses it.
	Links   almondcross.RelaySender
	Chooser almondcross.RelayChooser
	Sink    almondcross.Sink[almondcross.SchedulerMessage]
	Clock   almondcross.Clock
	Log     almondcross.EventLog
	Metrics Metrics
	// MaxDirectWorkers is the number of workers up to which this host sends all orders itself.
	MaxDirectWorkers int
}

// Relayer implements almondcross.WorkerManager for the scheduler duty.
type Relayer struct {
	config     Config
	hosts      map[string]*host
	candidates []almondcross.RelayHost // candidates holds the hosts that may get orders.
	version    int                     // version counts the changes of candidates.
	workers    map[string]*worker
	direct     map[string]struct{} // direct holds the workers that are called directly.
	leaving    map[string]struct{} // leaving holds the workers that are called directly because they leave, at most MaxDirectWorkers.
	// directStarts counts the workers added to direct since directStartsAt, for at most a second.
	directStarts   int
	directStartsAt time.Time
	pending        map[int64]pendingOrder
	lastNumber     int64
	unsent         map[string][]almondcross.RelayedOrder // unsent holds the collected orders by host.
	unsentHosts    []string                              // unsentHosts holds the hosts in unsent in the order of their first orders.
	held           []heldOrder                           // held holds the lease orders that cannot be sent yet.
}

// host is a linked host.
type host struct {
	relay         almondcross.RelayHost
	lastContactAt time.Time // lastContactAt is when the host last linked or returned answers.
	silent        bool      // silent is set until the host returns answers again; it gets no orders.
}

// worker is a worker that has been sent an order.
type worker struct {
	host    string // host is the host that sends its orders, empty for this host.
	version int    // version is that of the candidates from which the host was chosen.
}

type pendingOrder struct {
	order  almondcross.RelayedOrder
	host   string
	sentAt time.Time
}

// heldOrder is a lease order that waits for a host or for its turn to be sent directly.
type heldOrder struct {
	order almondcross.RelayedOrder
	until time.Time // until is when it counts as not sent.
}

// expectedAt returns when the worker is expected to have answered.
func (pendingorder pendingOrder) expectedAt() time.Time {
	return pendingorder.sentAt.Add(pendingorder.order.Pause() + pendingorder.order.Lease().Wait())
}

// New returns a relayer that is not running; call Run to start it.
func New(config Config) *Relayer {
	return &Relayer{
		config: config, hosts: map[string]*host{}, workers: map[string]*worker{}, direct: map[string]struct{}{}, leaving: map[string]struct{}{}, pending: map[int64]pendingOrder{},
		unsent: map[string][]almondcross.RelayedOrder{},
		// Answers to orders of an earlier process must not match those of this one.
		lastNumber: rand.Int64N(1 << 62), //nolint:gosec // The number needs no secrecy.
	}
}

// Manage does nothing: every order carries its worker.
func (relayer *Relayer) Manage(almondcross.Worker) {}

// Release ends the management of a worker. If the ring is full, idle duties of the worker remain.
func (relayer *Relayer) Release(worker string) {
	relayer.config.Ring.Offer(almondcross.NewWorkerReleased(almondcross.WorkerReleasedConfig{ID: worker}))
}

// Lease queues a lease order and reports false when the ring is full.
func (relayer *Relayer) Lease(order almondcross.LeaseOrder, pause time.Duration) bool {
	return relayer.offer(almondcross.RelayedOrderConfig{Kind: almondcross.OrderLease, Lease: order, Pause: pause})
}

// Start queues a start order and reports false when the ring is full.
func (relayer *Relayer) Start(order almondcross.StartOrder) bool {
	return relayer.offer(almondcross.RelayedOrderConfig{Kind: almondcross.OrderStart, Start: order})
}

// Stop queues a stop order and reports false when the ring is full.
func (relayer *Relayer) Stop(order almondcross.StopOrder) bool {
	return relayer.offer(almondcross.RelayedOrderConfig{Kind: almondcross.OrderStop, Stop: order})
}

func (relayer *Relayer) offer(config almondcross.RelayedOrderConfig) bool {
	return relayer.config.Ring.Offer(almondcross.NewRelayedOrder(config))
}

// Run handles messages until the context ends.
func (relayer *Relayer) Run(ctx context.Context) error {
	messages := relayer.config.Ring.Messages()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-messages:
			relayer.handle(ctx, message)
			relayer.drain(ctx)
		case <-ticker.C:
			// After a pause of this process, answers wait that arrived in time.
			relayer.drain(ctx)
			if len(messages) == 0 {
				relayer.sweep(ctx)
			}
		}
	}
}

// drain handles the messages that wait, up to a limit, and sends the collected orders.
func (relayer *Relayer) drain(ctx context.Context) {
	messages := relayer.config.Ring.Messages()
	for drained := 0; drained < maxDrainedMessages && len(messages) > 0; drained++ {
		relayer.handle(ctx, <-messages)
	}
	relayer.sendCollected(ctx)
}

func (relayer *Relayer) handle(ctx context.Context, message almondcross.RelayMessage) {
	switch message := message.(type) {
	case almondcross.RelayedOrder:
		relayer.route(ctx, message)
	case almondcross.OrdersAnswered:
		relayer.answered(ctx, message)
	case almondcross.HostLinkChanged:
		relayer.linkChanged(ctx, message)
	case almondcross.WorkerReleased:
		delete(relayer.workers, message.ID())
		delete(relayer.direct, message.ID())
		delete(relayer.leaving, message.ID())
		relayer.config.Direct.Release(message.ID())
	}
}

// route collects an order for the host of its worker, or sends it directly.
func (relayer *Relayer) route(ctx context.Context, order almondcross.RelayedOrder) {
	known := relayer.workers[order.Worker().ID()]
	if known == nil {
		known = &worker{version: -1}
		relayer.workers[order.Worker().ID()] = known
	}
	relayer.chooseHost(known, order.Worker())
	if known.host == "" {
		relayer.sendDirectly(ctx, order)
		return
	}
	if len(relayer.unsent[known.host]) == 0 {
		relayer.unsentHosts = append(relayer.unsentHosts, known.host)
	}
	relayer.unsent[known.host] = append(relayer.unsent[known.host], order)
}

// chooseHost chooses the host of a worker anew if the candidates have changed.
func (relayer *Relayer) chooseHost(known *worker, ordered almondcross.Worker) {
	if len(relayer.workers) <= relayer.config.MaxDirectWorkers || relayer.callsLeaving(ordered) {
		known.host, known.version = "", -1
		return
	}
	if known.version == relayer.version {
		return
	}
	known.host, _ = relayer.config.Chooser.Choose(ordered, relayer.candidates)
	known.version = relayer.version
	if known.host != "" {
		delete(relayer.direct, ordered.ID())
		relayer.config.Direct.Retire(ordered.ID())
	}
}

// callsLeaving reports whether this host calls a worker directly because it leaves. If a host that relays its orders froze, its
// last ends would be read by nobody.
func (relayer *Relayer) callsLeaving(ordered almondcross.Worker) bool {
	id := ordered.ID()
	if !ordered.Draining() {
		delete(relayer.leaving, id)
		return false
	}
	if _, known := relayer.leaving[id]; !known && len(relayer.leaving) >= relayer.config.MaxDirectWorkers {
		return false
	}
	relayer.leaving[id] = struct{}{}
	return true
}

// sendCollected passes the collected orders to their hosts. Orders that a link does not take are sent directly.
func (relayer *Relayer) sendCollected(ctx context.Context) {
	hosts := relayer.unsentHosts
	relayer.unsentHosts = nil
	for _, name := range hosts {
		orders := relayer.unsent[name]
		delete(relayer.unsent, name)
		for len(orders) > 0 {
			count := min(len(orders), maxOrdersPerMessage)
			relayer.sendMessage(ctx, name, orders[:count])
			orders = orders[count:]
		}
	}
}

func (relayer *Relayer) sendMessage(ctx context.Context, name string, orders []almondcross.RelayedOrder) {
	numbered := make([]almondcross.RelayedOrder, len(orders))
	for index, order := range orders {
		relayer.lastNumber++
		numbered[index] = order.WithNumber(relayer.lastNumber)
	}
	if !relayer.config.Links.SendOrders(name, almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: numbered})) {
		for _, order := range orders {
			relayer.sendDirectly(ctx, order)
		}
		return
	}
	now := relayer.config.Clock.Now()
	for _, order := range numbered {
		relayer.pending[order.Number()] = pendingOrder{order: order, host: name, sentAt: now}
	}
	relayer.config.Metrics.Relayed(len(numbered))
}

// sendDirectly sends an order from this host. An order that cannot be queued counts as not sent. A lease order to a
// worker that may not be called yet is held, since the scheduler repeats it at once.
func (relayer *Relayer) sendDirectly(ctx context.Context, order almondcross.RelayedOrder) {
	if !relayer.startDirect(order.Worker().ID()) {
		if order.Kind() == almondcross.OrderLease {
			relayer.held = append(relayer.held, heldOrder{order: order, until: relayer.config.Clock.Now().Add(holdTimeout)})
		} else {
			relayer.refuse(ctx, order)
		}
		return
	}
	direct := relayer.config.Direct
	direct.Manage(order.Worker())
	relayer.config.Metrics.SentDirectly()
	queued := false
	switch order.Kind() {
	case almondcross.OrderLease:
		queued = direct.Lease(order.Lease(), order.Pause())
	case almondcross.OrderStart:
		queued = direct.Start(order.Start())
	case almondcross.OrderStop:
		queued = direct.Stop(order.Stop())
	}
	if !queued {
		relayer.refuse(ctx, order)
	}
}

// startDirect reports whether a worker may be called directly. It limits how many workers are added in a second: a new
// scheduler to which no host is linked yet would otherwise open connections to all workers of a large cell at once and
// do nothing else for too long.
func (relayer *Relayer) startDirect(worker string) bool {
	if _, known := relayer.direct[worker]; known {
		return true
	}
	now := relayer.config.Clock.Now()
	if now.Sub(relayer.directStartsAt) >= time.Second {
		relayer.directStarts, relayer.directStartsAt = 0, now
	}
	if relayer.directStarts >= maxDirectStarts {
		return false
	}
	relayer.directStarts++
	relayer.direct[worker] = struct{}{}
	return true
}

// refuse answers an order that is not sent.
func (relayer *Relayer) refuse(ctx context.Context, order almondcross.RelayedOrder) {
	answer := almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{Result: almondcross.OrderNotSent})
	relayer.reply(ctx, order, answer, relayer.config.Clock.Now())
}

// answered passes the outcomes of orders to the scheduler.
func (relayer *Relayer) answered(ctx context.Context, answered almondcross.OrdersAnswered) {
	if host := relayer.hosts[answered.Host()]; host != nil {
		host.lastContactAt = relayer.config.Clock.Now()
		if host.silent {
			host.silent = false
			relayer.config.Log.Record("relay_regained", almondcross.Text("relay", answered.Host()))
			relayer.updateCandidates()
		}
	}
	for _, answer := range answered.Answers() {
		pending, known := relayer.pending[answer.Number()]
		if !known || pending.host != answered.Host() {
			continue // The order was answered with OrderUnknown before.
		}
		delete(relayer.pending, answer.Number())
		relayer.reply(ctx, pending.order, answer, pending.sentAt)
	}
}

func (relayer *Relayer) reply(ctx context.Context, order almondcross.RelayedOrder, answer almondcross.RelayedAnswer, sentAt time.Time) {
	_ = relayer.config.Sink.Put(ctx, order.Answer(answer, sentAt, relayer.config.Clock.Now())) // Put fails only when the context has ended.
}

func (relayer *Relayer) linkChanged(ctx context.Context, change almondcross.HostLinkChanged) {
	if relayer.hosts[change.Host()] != nil {
		relayer.failOrders(ctx, change.Host(), "the link was lost")
		delete(relayer.hosts, change.Host())
	}
	if change.Present() {
		relayer.hosts[change.Host()] = &host{lastContactAt: relayer.config.Clock.Now(), relay: almondcross.NewRelayHost(almondcross.RelayHostConfig{
			Name: change.Host(), DataCentre: change.DataCentre(), Strength: change.Strength(),
		})}
	}
	relayer.updateCandidates()
}

// failOrders answers all pending orders of a host with OrderUnknown.
func (relayer *Relayer) failOrders(ctx context.Context, name, reason string) {
	var lost []int64
	for number, pending := range relayer.pending {
		if pending.host == name {
			lost = append(lost, number)
		}
	}
	relayer.fail(ctx, lost)
	if len(lost) > 0 {
		relayer.config.Log.Record("relay_lost", almondcross.Text("relay", name), almondcross.Text("reason", reason), almondcross.Number("orders", len(lost)))
	}
}

// fail answers orders with OrderUnknown, in the order in which they were sent.
func (relayer *Relayer) fail(ctx context.Context, numbers []int64) {
	slices.Sort(numbers)
	for _, number := range numbers {
		pending := relayer.pending[number]
		delete(relayer.pending, number)
		relayer.reply(ctx, pending.order, almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{
			Number: number, Result: almondcross.OrderUnknown,
		}), pending.sentAt)
	}
	if len(numbers) > 0 {
		relayer.config.Metrics.RelayFailed(len(numbers))
	}
}

// retryHeld sends the held orders whose workers have a host or may be called now, and refuses those held for too long.
func (relayer *Relayer) retryHeld(ctx context.Context) {
	held, now := relayer.held, relayer.config.Clock.Now()
	relayer.held = nil
	for _, waiting := range held {
		id := waiting.order.Worker().ID()
		if known := relayer.workers[id]; known != nil {
			relayer.chooseHost(known, waiting.order.Worker())
			if known.host != "" || relayer.startDirect(id) {
				relayer.route(ctx, waiting.order)
				continue
			}
		}
		if now.Before(waiting.until) {
			relayer.held = append(relayer.held, waiting)
		} else {
			relayer.refuse(ctx, waiting.order)
		}
	}
	relayer.sendCollected(ctx)
}

// sweep gives up hosts that are silent and orders that have been pending for too long.
func (relayer *Relayer) sweep(ctx context.Context) {
	relayer.retryHeld(ctx)
	now := relayer.config.Clock.Now()
	earliest := map[string]time.Time{}
	var expired []int64
	for number, pending := range relayer.pending {
		if now.Sub(pending.sentAt) > orderTimeout {
			expired = append(expired, number)
			continue
		}
		if known, found := earliest[pending.host]; !found || pending.expectedAt().Before(known) {
			earliest[pending.host] = pending.expectedAt()
		}
	}
	relayer.fail(ctx, expired)
	for _, name := range slices.Sorted(maps.Keys(earliest)) {
		host := relayer.hosts[name]
		if host == nil || now.Sub(earliest[name]) <= silenceTimeout || now.Sub(host.lastContactAt) <= silenceTimeout {
			continue
		}
		host.silent = true
		relayer.updateCandidates()
		relayer.failOrders(ctx, name, "the host is silent")
	}
}

// updateCandidates collects the hosts that may get orders.
func (relayer *Relayer) updateCandidates() {
	relayer.version++
	relayer.candidates = nil
	for _, host := range relayer.hosts {
		if !host.silent {
			relayer.candidates = append(relayer.candidates, host.relay)
		}
	}
}
