package almondcross

import "time"

//go:generate go run ./tools/valuer -output relaying_generated.go relaying.go

// OrderKind is the kind of an order to a worker.
type OrderKind string

// The kinds of orders.
const (
	OrderLease OrderKind = "lease" // OrderLease is a LeaseOrder.
	OrderStart OrderKind = "start" // OrderStart is a StartOrder.
	OrderStop  OrderKind = "stop"  // OrderStop is a StopOrder.
)

// RelayedOrder is one order to a worker that another host may send for the scheduler.
//
//value:generate
type RelayedOrder struct {
	number int64         // the number that identifies the answer
	kind   OrderKind     // the kind, which tells which of the orders is set
	lease  LeaseOrder    // the lease order
	pause  time.Duration // the pause before a lease order is sent
	start  StartOrder    // the start order
	stop   StopOrder     // the stop order
}

// Worker returns the worker that the order is for.
func (relayedorder RelayedOrder) Worker() Worker {
	switch relayedorder.kind {
	case OrderLease:
		return relayedorder.lease.Worker()
	case OrderStart:
		return relayedorder.start.Worker()
	case OrderStop:
		return relayedorder.stop.Worker()
	}
	return Worker{}
}

// Incarnation returns the incarnation of the worker that the order is for, 0 for any.
func (relayedorder RelayedOrder) Incarnation() int64 {
	switch relayedorder.kind {
	case OrderLease:
		return relayedorder.lease.Incarnation()
	case OrderStart:
		return relayedorder.start.Incarnation()
	case OrderStop:
		return relayedorder.stop.Incarnation()
	}
	return 0
}

// Answer returns the message that tells the scheduler the outcome of the order.
func (relayedorder RelayedOrder) Answer(answer RelayedAnswer, sent, received time.Time) SchedulerMessage {
	switch relayedorder.kind {
	case OrderStart:
		return NewStartOrderAnswered(StartOrderAnsweredConfig{
			Order: relayedorder.start, Result: answer.Result(), Received: received, Incarnation: answer.Report().Incarnation(),
		})
	case OrderStop:
		return NewStopOrderAnswered(StopOrderAnsweredConfig{Order: relayedorder.stop, Result: answer.Result()})
	case OrderLease:
	}
	return NewLeaseAnswered(LeaseAnsweredConfig{
		Order: relayedorder.lease, Result: answer.Result(), Report: answer.Report(), Sent: sent, Received: received,
	})
}

// RelayedAnswer is the outcome of a RelayedOrder.
//
//value:generate
type RelayedAnswer struct {
	number int64        // the number of the order
	result OrderResult  // the result of the order
	report WorkerReport // the tasks that the worker reported on a lease order, see WorkerOrderer; for a start order, the only incarnation that it can have reached
}

// OrdersRelayed passes orders from the scheduler to the host that sends them to the workers.
//
//value:generate
type OrdersRelayed struct {
	orders []RelayedOrder // the orders; those to the same worker are sent in this order
}

// OrdersAnswered returns the outcomes of relayed orders to the scheduler.
//
//value:generate
type OrdersAnswered struct {
	host    string          // the host that sent the orders, set by the receiver
	answers []RelayedAnswer // the outcomes
}

// RelayHost is a host that can send orders to workers for the scheduler.
//
//value:generate
type RelayHost struct {
	name       string // the name of the host
	dataCentre string // the data centre of the host
	strength   int    // the scheduling strength of the host, up to 100
}

// RelayChooser chooses the hosts that send the scheduler's orders.
type RelayChooser interface {
	// Choose returns the name of the host that sends the orders to a worker, and false if the scheduler should send
	// them itself. The result depends on the arguments alone.
	Choose(worker Worker, hosts []RelayHost) (string, bool)
}

// RelaySender passes orders to linked hosts.
type RelaySender interface {
	// SendOrders passes orders to a host. It reports false, and sends none, when the host isn't linked or too many
	// messages wait for it.
	SendOrders(host string, relayed OrdersRelayed) bool
}

// OrderExecutor executes orders on behalf of the scheduler of another host.
type OrderExecutor interface {
	// Execute sends orders of a link to workers and calls reply with their outcomes, from any goroutine. It reports
	// false when too many orders wait; no order is sent then. Orders of another link are abandoned.
	Execute(link int64, relayed OrdersRelayed, reply func(answered OrdersAnswered)) bool
	// Abandon gives up the orders of a link that has ended, whose answers nobody awaits any more.
	Abandon(link int64)
}

// RelayMessage is a message to the duty that relays orders.
type RelayMessage interface{ relayMessage() }

func (RelayedOrder) relayMessage()    {}
func (OrdersAnswered) relayMessage()  {}
func (HostLinkChanged) relayMessage() {}
func (WorkerReleased) relayMessage()  {}

// WorkerReleased tells the duty that relays orders that the scheduler no longer manages a worker.
//
//value:generate
type WorkerReleased struct {
	id string // the identity of the worker
}
