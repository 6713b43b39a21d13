package almondcross

import (
	"context"
	"time"
)

// Worker is an announced server that runs tasks.
//
//value:generate
type Worker struct {
	id          string        // the identity of the announcement
	incarnation int64         // the start of the announced worker process in Unix milliseconds, 0 when it is not known
	pool        string        // the name of its pool
	address     string        // the IP address and port
	zone        string        // the data centre
	rack        string        // the rack
	labels      []string      // the labels, including the rack
	capacity    Resources     // the capacity
	draining    bool          // whether it accepts no new tasks
	warmUp      time.Duration // the remaining warm-up time, during which it is slow
}

// HasLabel reports whether the worker has a label. It is true for the empty label.
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

// EndKind is the way in which a run ended.
type EndKind string

// The kinds of ends.
const (
	EndDone           EndKind = "done"          // EndDone means that the run succeeded.
	EndFailed         EndKind = "failed"        // EndFailed means that the run failed; it counts as an attempt.
	EndStopped        EndKind = "stopped"       // EndStopped means that the run was stopped by a stop order.
	EndLeaseExpired   EndKind = "lapsed"        // EndLeaseExpired means that the lease expired.
	EndGangBroken     EndKind = "broken"        // EndGangBroken means that another task of the gang ended.
	EndGangIncomplete EndKind = "alone"         // EndGangIncomplete means that the other tasks of the gang did not start in time.
	EndWorkerCrashed  EndKind = "crashed"       // EndWorkerCrashed means that the worker ended unannounced while the run was on it.
	EndCrashedAlone   EndKind = "crashed_alone" // EndCrashedAlone is EndWorkerCrashed with only runs of one job on the worker.
	EndMaybeCrashed   EndKind = "maybe_crashed" // EndMaybeCrashed means that the worker was lost unannounced, and it is not known whether it crashed or whether the run had started.
	EndVoid           EndKind = "void"          // EndVoid means that the run never started, or ended out of sight for another reason than a crash.
)

// RunningTask is one run that a worker reports as running.
//
//value:generate
type RunningTask struct {
	task        JobTask // the task
	run         int     // the number of the run
	checkpoint  string  // the last checkpoint, empty for none
	progress    int     // the progress in percent
	measurement float64 // the measured tail latency of a service task in milliseconds, the used millicores of any other task
}

// EndedTask is the end of one run, which a worker reports until it is acknowledged.
//
//value:generate
type EndedTask struct {
	sequence   int64   // the sequence number of the end since the worker started
	task       JobTask // the task
	run        int     // the number of the run
	kind       EndKind // the way in which the run ended
	checkpoint string  // the last checkpoint, empty for none
}

// WorkerReport is a worker's report of its running and ended tasks.
//
//value:generate
type WorkerReport struct {
	id          string        // the identity of the answering worker, empty when it is not known
	incarnation int64         // the start of the worker process in Unix milliseconds
	clock       time.Duration // the worker's monotonic clock
	running     []RunningTask // the running tasks
	ended       []EndedTask   // the ended tasks that were not acknowledged
}

// LeaseOrder renews the lease of all tasks on a worker and asks for the report of its tasks.
//
//value:generate
type LeaseOrder struct {
	number       int64         // the number that identifies the answer, 0 for none
	worker       Worker        // the worker
	incarnation  int64         // the incarnation that the order is for, 0 for any
	fence        int64         // the fencing token
	acknowledged int64         // the sequence number of the last end that is recorded in the journal
	until        time.Duration // the end of the lease on the worker's clock, 0 for no change
	wait         time.Duration // the maximum time that the worker waits for an end before it answers
	listOnly     bool          // whether it only fetches the report, to learn the effect of other orders while another lease order waits for an end
}

// StartOrder starts one run.
//
//value:generate
type StartOrder struct {
	number      int64         // the number that identifies the answer, 0 for none
	worker      Worker        // the worker
	incarnation int64         // the incarnation that the order is for, 0 for any
	task        JobTask       // the task
	run         int           // the number of the run
	payload     string        // the input of the work
	checkpoint  string        // the checkpoint to resume from, empty for none
	ticket      string        // the ticket from the advice service, empty for none
	fence       int64         // the fencing token
	until       time.Duration // the end of the lease on the worker's clock
}

// StopOrder stops one run.
//
//value:generate
type StopOrder struct {
	number      int64   // the number that identifies the answer, 0 for none
	worker      Worker  // the worker
	incarnation int64   // the incarnation that the order is for, 0 for any
	task        JobTask // the task
	run         int     // the number of the run
	fence       int64   // the fencing token
}

// OrderResult is the result of an order to a worker.
type OrderResult string

// The results of orders.
const (
	OrderDone          OrderResult = "done"      // OrderDone means that the order was executed.
	OrderUnknown       OrderResult = "unknown"   // OrderUnknown means that the order may have been executed or may still be.
	OrderNotSent       OrderResult = "not_sent"  // OrderNotSent means that the order never reached the worker.
	OrderRefused       OrderResult = "refused"   // OrderRefused means that nothing accepts connections at the worker's address; the order never reached the worker.
	OrderFenced        OrderResult = "fenced"    // OrderFenced means that the worker has seen a higher fencing token.
	OrderRunEnded      OrderResult = "old"       // OrderRunEnded means that this or a later run of the task has ended or was stopped on the worker.
	OrderLeaseExpired  OrderResult = "late"      // OrderLeaseExpired means that the lease in the order had already ended.
	OrderNoCapacity    OrderResult = "no_room"   // OrderNoCapacity means that the free capacity of the worker is too small.
	OrderTicketInvalid OrderResult = "ticket"    // OrderTicketInvalid means that the ticket is not valid.
	OrderUnavailable   OrderResult = "unhealthy" // OrderUnavailable means that the worker, unavailable or overloaded, refused the order and did not execute it.
	OrderReplaced      OrderResult = "replaced"  // OrderReplaced means that another worker answers at the address.
	OrderRestarted     OrderResult = "restarted" // OrderRestarted means that another incarnation of the worker answers at its address; the order was not executed.
	OrderInvalid       OrderResult = "invalid"   // OrderInvalid means that the worker rejected the order as malformed.
)

// WorkerOrderer sends orders to workers. An order for an incarnation reaches no other one, whenever it is executed.
type WorkerOrderer interface {
	// Start starts a run.
	Start(ctx context.Context, order StartOrder) (OrderResult, error)
	// Stop stops a run.
	Stop(ctx context.Context, order StopOrder) (OrderResult, error)
	// Lease renews the lease and returns the worker's running and ended tasks. The report is valid with OrderDone only. If another
	// incarnation answers than the one that the order is for, it returns the report of that one and has changed nothing there.
	Lease(ctx context.Context, order LeaseOrder) (WorkerReport, OrderResult, error)
}

// AdviceQuery asks the advice service which workers may run a stage.
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
	secret string // the secret that a start order must contain
}

// AdviceResult is the advice service's answer to an AdviceQuery.
//
//value:generate
type AdviceResult struct {
	stage    StageID       // the stage
	asked    []string      // the identities of the workers in the query
	tickets  []Ticket      // the tickets of the workers that may run the stage
	validity time.Duration // the validity of the tickets, 0 when the answer does not state it
}

// AdviceCallsPerHost is the maximum number of calls to the advice service that a host has under way. The service refuses a
// host's call when 32 wait, and the calls of an earlier scheduler count as well.
const AdviceCallsPerHost = 8

// Adviser calls the advice service.
type Adviser interface {
	// Advise returns the tickets for a query.
	Advise(ctx context.Context, query AdviceQuery) (AdviceResult, error)
}
