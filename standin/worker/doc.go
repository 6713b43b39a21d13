// Package worker is a stand-in for one worker of the platform.
//
// One duty owns the state of the worker: the lease with its term, the tasks
// with their own leases, the ended tasks that wait for acknowledgement, and
// the history. HTTP handlers decode a request, put a message on the ring of
// the duty, wait for its answer and encode it. Long polls are kept by the duty
// as waiters; one timer stands for the earliest of the ends of tasks, leases
// and waits. A second goroutine sends heartbeats to the live list.
//
// What a task does is emulated from its payload; no program is started.
// docs/platform.md describes the protocol.
package worker
