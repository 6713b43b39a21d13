// Package emulator is a discrete-event simulation of a cluster in virtual time.
//
// It runs the real decision code (scheduler.Machine), the real journal codec and the real placement
// policy of several hosts against small models of the platform: a store with partitions, epochs and lost
// responses, workers with leases, fencing and delayed orders, an advice service, and callers. One event
// loop owns all state; the order of events depends only on the seed, so a simulation can be repeated.
//
// A checker records what callers and workers observe and checks the guarantees: no worker exceeds its
// capacity, no task runs twice, steps run in order, attempts stay within their limit, gangs run together,
// nothing runs that was not submitted, no rejected job runs, and no accepted job is lost.
package emulator
