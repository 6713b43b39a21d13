// Package scheduler decides where and when the tasks of jobs run.
//
// # Architecture
//
// Machine is the decision code: a state machine without clocks, locks and transports. Apply takes one
// message; Advance does what is due and returns the effects to carry out. Duty is the goroutine beside
// it: it alone uses the machine, takes messages from its ring and carries out the effects.
//
// Every host runs the same machine. One of them, the scheduler, writes the journal; the others apply
// its batches and answer callers from the same state. The scheduler's tables (leader, worker, advice)
// are rebuilt from the state when a host begins to schedule.
//
// # Safety
//
// The store takes appends to the journal only from the highest epoch, and an election only at the end
// that the candidate has read, so each batch is decided on the state of all batches before it. A run is
// in the journal before its start order is sent. It takes room on its worker until its end is in the
// journal, and an end is acknowledged to the worker only after that.
//
// Every order carries a fence that is higher than that of all earlier schedulers. After an order without
// an answer the worker's fence is raised; a list of its runs under the raised fence then tells what became
// of the order, since the worker ignores the older fence from there on. A worker that cannot be reached
// holds its runs until its lease has certainly ended.
//
// # Failure
//
// A scheduler that is silent for silenceLimit is replaced by a host that can read the store. While the
// store does not answer, the scheduler starts nothing new and renews leases for leadershipLimit. A
// scheduler that is fenced off drops its tables and looks for its successor.
//
// A host that the store does not answer asks other hosts which one schedules, and serves callers over its link to
// the scheduler as before. It cannot be a standby until the store answers it again.
package scheduler
