// Package placer acquires and holds the leases of the targets of an entry host and places tasks on them.
//
// # Architecture
//
// Machine makes the decisions. It is a state machine that uses no clock, lock
// or transport. Apply handles one message and returns the effects to perform;
// Tick fires the timers that are due, and NextDeadline returns the time of the
// next one. Placer is the duty that owns the machine: the only goroutine that
// uses it. It takes messages from its ring and performs the effects.
//
// # Safety
//
// A target's used capacity is the sum over the tasks that were sent to it or
// listed in its inventory and have no confirmed end. Capacity is freed only by
// an end that the worker confirmed, a refused start or a newer inventory, never
// because a worker measures less usage. Tasks are sent only under the current
// term of a held target, and only for a coordinator from which this host has a valid link lease.
//
// # Failure
//
// A report to the local coordinator blocks until its ring has space. A report
// to a peer is retried until the link accepts it or the retry timeout ends.
// After a lease is lost, the tasks of the target are reported lost LostAfter
// after the last renewal that listed them, unless a new grant lists them.
package placer
