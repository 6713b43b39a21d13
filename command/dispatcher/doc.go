// Package dispatcher sends the placer's commands to the workers.
//
// A Dispatcher is the duty of one target: it acquires and renews the lease,
// starts and stops tasks under the current term, and reports each answer to the
// placer. While it holds a lease, a listener goroutine follows the worker's
// events and puts the ends of tasks on the placer's ring. A call without an
// answer ends the term: the placer requests a new lease, and the inventory of the
// new grant shows the state of the worker's tasks.
//
// The Manager creates and stops dispatchers; only the placer calls it.
package dispatcher
