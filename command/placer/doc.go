// Package placer holds the targets of an entry host and places tasks on them.
//
// # Architecture
//
// Machine is the decision code: a state machine without clocks, locks and
// transports. Apply takes one message and returns the effects to carry out;
// Tick does the work of timers that are due, and NextDeadline tells when the
// next one is. Placer is the duty beside it: the only goroutine that uses the
// machine. It takes messages from its ring and carries out the effects.
//
// # Safety
//
// A target's used capacity is the sum over the tasks that were sent to it and
// have no confirmed end, the inventory included. Only an end that the worker
// confirmed, a refused start or a newer inventory frees it; measured usage
// never does. Tasks are sent only under the current term of a held target, and
// only for a coordinator whose link lease is valid.
//
// # Failure
//
// A report to the local coordinator waits for room; one to a peer is repeated
// until the link takes it. After the loss of a lease, the tasks of the target
// are reported lost LostAfter after the last renewal that named them, unless
// a new grant lists them.
package placer
