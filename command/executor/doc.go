// Package executor sends orders to workers on behalf of the scheduler of another host.
//
// Orders arrive over the link to the scheduler's host and pass through a bounded ring to the duty, which hands them to
// its controller; the answers of the workers return through the ring of answers. The duty alone uses the controller.
// When the link ends, all orders are abandoned: the scheduler treats them as unknown, and a new link may belong to a
// new scheduler. An executor makes no decisions and keeps no state between orders.
package executor
