package almondcross

import (
	"context"
	"time"
)

// Worker is an announced back end that runs tasks.
//
//value:generate
type Worker struct {
	id       string        // the identity of the announcement
	pool     string        // the pool that it belongs to
	address  string        // the IP address and port
	zone     string        // the data centre
	rack     string        // the rack
	labels   []string      // the labels, the rack included
	capacity Resources     // the capacity
	draining bool          // whether it accepts no new work
	cold     time.Duration // how long it remains slow after its start
}

// HasLabel reports whether the worker has a label; every worker has the empty one.
func (worker Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range worker.labels {
		if own == label {
			return true
		}
	}
	return false
}

// EndKind is how a run ended.
type EndKind string

// The kinds of ends.
const (
	EndDone    EndKind = "done"    // EndDone is a success.
	EndFailed  EndKind = "failed"  // EndFailed counts as an attempt.
	EndStopped EndKind = "stopped" // EndStopped follows an order to stop.
	EndLapsed  EndKind = "lapsed"  // EndLapsed means that the lease expired.
	EndBroken  EndKind = "broken"  // EndBroken means that another member of the gang ended.
	EndAlone   EndKind = "alone"   // EndAlone means that the other members of the gang did not come in time.
	EndVoid    EndKind = "void"    // EndVoid means that the run is known never to have started or to be gone with its worker.
)

// RunningTask is one run that a worker reports as present.
//
//value:generate
type RunningTask struct {
	task       JobTask // the task
	run        int     // the number of the run
	checkpoint string  // the last checkpoint, empty for none
	progress   int     // the progress in percent
	figure     float64 // the tail latency in ms of a service task, the milli-CPU in use of any other
}

// EndedTask is one end that a worker keeps until it is acknowledged.
//
//value:generate
type EndedTask struct {
	sequence   int64   // the position in the list of ends of the worker's life
	task       JobTask // the task
	run        int     // the number of the run
	kind       EndKind // how it ended
	checkpoint string  // the last checkpoint, empty for none
}

// WorkerList is what a worker holds at one moment.
//
//value:generate
type WorkerList struct {
	id      string        // the identity of the answering worker, empty when it was not told
	born    int64         // the start of the worker's life in Unix milliseconds
	clock   time.Duration // the worker's own steady clock
	running []RunningTask // the runs that are present
	ended   []EndedTask   // the ends that were not acknowledged
}

// LeaseOrder renews the lease of everything on a worker and asks what it holds.
//
//value:generate
type LeaseOrder struct {
	worker       Worker        // the worker
	fence        int64         // the fencing token
	acknowledged int64         // the last end that is recorded
	until        time.Duration // the end of the lease on the worker's clock, 0 to leave it as it is
	wait         time.Duration // how long the answer may wait for an end
	look         bool          // whether it is sent beside the order that waits for an end, to learn what became of others
}

// StartOrder starts one run.
//
//value:generate
type StartOrder struct {
	worker     Worker        // the worker
	task       JobTask       // the task
	run        int           // the number of the run
	payload    string        // the input of the work
	checkpoint string        // the checkpoint to resume from, empty for none
	ticket     string        // the ticket of the advice, empty for none
	fence      int64         // the fencing token
	until      time.Duration // the end of the lease on the worker's clock
}

// StopOrder stops one run.
//
//value:generate
type StopOrder struct {
	worker Worker  // the worker
	task   JobTask // the task
	run    int     // the number of the run
	fence  int64   // the fencing token
}

// OrderResult is what is known after an order was sent to a worker.
type OrderResult string

// The results of orders.
const (
	OrderDone      OrderResult = "done"      // OrderDone means that it was carried out.
	OrderUnknown   OrderResult = "unknown"   // OrderUnknown means that it may be carried out, also later.
	OrderNotSent   OrderResult = "not_sent"  // OrderNotSent means that it never reached the worker.
	OrderFenced    OrderResult = "fenced"    // OrderFenced means that the worker has seen a higher fencing token.
	OrderOld       OrderResult = "old"       // OrderOld means that this or a later run ended or was stopped there.
	OrderLate      OrderResult = "late"      // OrderLate means that the lease in the order had already ended.
	OrderNoRoom    OrderResult = "no_room"   // OrderNoRoom means that the worker has no room.
	OrderTicket    OrderResult = "ticket"    // OrderTicket means that the ticket is not valid.
	OrderUnhealthy OrderResult = "unhealthy" // OrderUnhealthy means that the worker refused and did nothing.
	OrderReplaced  OrderResult = "replaced"  // OrderReplaced means that another worker answers at the address.
	OrderInvalid   OrderResult = "invalid"   // OrderInvalid means that the worker did not accept the form.
)

// WorkerOrderer sends orders to workers.
type WorkerOrderer interface {
	// Start starts a run.
	Start(ctx context.Context, order StartOrder) (OrderResult, error)
	// Stop stops a run.
	Stop(ctx context.Context, order StopOrder) (OrderResult, error)
	// Lease renews the lease and returns what the worker holds. The list is valid with OrderDone only.
	Lease(ctx context.Context, order LeaseOrder) (WorkerList, OrderResult, error)
}

// AdviceQuery asks which workers may run a stage.
//
//value:generate
type AdviceQuery struct {
	stage   StageID  // the stage
	workers []string // the identities of the workers in question
}

// Ticket allows one worker to run a stage.
//
//value:generate
type Ticket struct {
	worker string // the identity of the worker
	secret string // what a start must carry
}

// AdviceResult tells which workers may run a stage.
//
//value:generate
type AdviceResult struct {
	stage    StageID       // the stage
	asked    []string      // the identities of the workers that were named
	tickets  []Ticket      // the tickets of those that may run it
	validity time.Duration // how long the tickets are valid, 0 if the answer does not tell
}

// Adviser asks the advice service.
type Adviser interface {
	// Advise returns the tickets for a query.
	Advise(ctx context.Context, query AdviceQuery) (AdviceResult, error)
}
