// Package emulator plays days of a cluster in virtual time.
//
// It drives the real decision code (scheduler.Machine), the real journal codec and the real placement
// policy of several hosts against small models of the platform: a store with partitions, epochs and lost
// answers, workers with leases, fences and late orders, an advice service, and callers. One event loop
// owns everything; the order of events follows from the seed alone, so a day can be played again.
//
// A judge records what callers and workers saw and checks the promises: no worker over its capacity, no
// task twice, steps in order, attempts within their limit, gangs whole, nothing unasked, nothing refused
// that runs, nothing accepted that is lost.
package emulator
