// Package controller carries the scheduler's orders to workers.
//
// Each managed worker has a duty that renews its lease and waits for ends, and a few lanes, each a duty that sends
// start and stop orders one after another. The orders for a task go the same lane, so that a stop never overtakes
// the start before it. A look may overtake starts in the other lanes; the worker then refuses them by their lower
// fence, and the scheduler places them again. A worker that does not answer holds up only its own orders.
// Controller itself belongs to the scheduler duty, which is the only one to call it; answers go to the scheduler's
// ring.
package controller
