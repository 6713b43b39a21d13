// Package controller sends the scheduler's orders to workers.
//
// Each managed worker has a duty that renews its lease and waits for ended tasks, and a few order queues, each with a
// duty that sends start and stop orders one at a time. All orders of a task use the same queue, so that a stop never
// overtakes the start before it. A list-only order (LeaseOrder.ListOnly) may overtake starts in the other queues; the
// worker then rejects these starts because of their lower fencing token, and the scheduler places the tasks again. A
// worker that does not answer delays only its own orders. Controller itself is owned by the scheduler duty, which is
// the only one to call it; answers go to the scheduler's ring.
package controller
