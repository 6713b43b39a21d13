// Package controller carries the scheduler's orders to workers.
//
// Each managed worker has two duties: one renews its lease and waits for ends, one sends start and stop
// orders in the order in which they were given, so that a stop never overtakes the start before it. A
// worker that does not answer holds up only its own orders. Controller itself belongs to the scheduler
// duty, which is the only one to call it; answers go to the scheduler's ring.
package controller
