// Package orderer orders waiting work of one priority.
//
// It answers the load of a burst that is longer than the pool can serve in time. In the order of submission, all work then
// starts when it has just become late. BySlack serves what can still be in time before what cannot, so that part of the work is in time
// and the rest is later. BySlack has no state and is safe for concurrent use.
package orderer
