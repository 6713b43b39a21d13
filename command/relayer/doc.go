// Package relayer sends the scheduler's orders to workers, directly or through other hosts.
//
// In a cell with more workers than the scheduler's host can serve by itself, each worker's orders go over the link to a
// host in its data centre, which calls the worker and returns the outcome (package executor). The relaying host has no
// permission of its own: orders carry the scheduler's fencing token, which the worker checks, and the end of a lease on
// the worker's clock. An order that is executed late thus has the same effect as one that the network delayed.
//
// Relayer is a duty: Run alone uses its tables. The scheduler duty passes orders through a bounded ring; the hub passes
// answers and changes of links. All pending orders of a host are answered with OrderUnknown when its link ends, or when
// it returns nothing for silenceTimeout after an answer was due. The following orders to its workers go through another
// host until it returns answers again, or directly if there is none. Workers that leave are called directly, so that their
// last reports do not depend on a further host.
package relayer
