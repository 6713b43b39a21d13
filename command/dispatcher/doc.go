// Package dispatcher talks to the workers on behalf of the placer.
//
// A Dispatcher is the duty of one target: it acquires and renews the lease,
// starts and stops tasks under the current term, and reports each answer to the
// placer. While it holds a lease, a listener goroutine follows the worker's
// events and puts the ends of tasks on the placer's ring. A call without an
// answer ends the term: the placer asks for a new lease, and the inventory of the
// new grant tells what the worker did.
//
// The Manager creates and drops dispatchers; only the placer calls it.
package dispatcher
