// Package delegator chooses the hosts that send the scheduler's orders to workers.
//
// It answers the load pattern of a large fleet: with hundreds of workers, the calls to them take most of the processor
// time of the scheduler's host, while the other hosts are mostly idle. ByDataCentre has no state and is safe for
// concurrent use.
package delegator
