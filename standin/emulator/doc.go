// Package emulator is a discrete-event simulation of a cluster in virtual time.
//
// It runs the real decision code (scheduler.Machine), the real journal codec and the real placement
// policy of several hosts against small models of the platform: a store with partitions, epochs and lost
// responses, workers with leases, fencing and delayed orders, an advice service, and callers. One event
// loop owns all state. The order of events depends on the seed, and on the order in which the scheduler goes
// through its maps: most simulations can be repeated exactly.
//
// Faults hit hosts, the store, workers, single paths between hosts and workers, and tasks. Some wait for an
// acknowledgement or an order and hit the scheduler shortly after it. Some come in series: schedulers that are lost one
// after the other, orders that one worker leaves unanswered for minutes. Routes are added and removed, and each host reads
// the configuration by itself, at times late. RandomFaults draws all kinds.
//
// Callers ask every host, through the platform's viewer, for jobs and for the number of waiting ones, and use the
// identities of some jobs on two queues.
//
// A checker records what callers and workers observe and checks the guarantees: no worker exceeds its
// capacity, no task runs twice, steps run in order, attempts and crashes of workers stay within their limits,
// gangs run together, tasks run on workers of their kind, nothing runs that was not submitted or goes on after its cancellation, no rejected job
// runs, no accepted job is lost, and no host in touch says that one is gone or that far fewer wait. Checks with a time bound apply to hosts in touch: undisturbed, with an
// undisturbed store, for contactTime.
package emulator
