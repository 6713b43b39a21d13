// Package worker is a stand-in for one worker of the platform.
//
// One duty owns the state of the worker: its lease and term, the running tasks
// with their task leases, the ended tasks that are not yet acknowledged, and
// the history. HTTP handlers decode a request, put a message on the ring of
// the duty, wait for its response and encode it. The duty keeps long polls as
// waiters; one timer is set to the earliest deadline of a task, a lease or a
// waiter. A second goroutine sends heartbeats to the live list.
//
// The payload of a task controls its emulated run; no program is started.
// docs/platform.md describes the protocol.
package worker
