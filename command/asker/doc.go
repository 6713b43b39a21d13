// Package asker calls the advice service on behalf of the scheduler.
//
// A host runs almondcross.AdviceCallsPerHost duties of this kind, each with at most one call in flight, which share a ring. The
// service serves one call of a host at a time. The scheduler sends further queries to a host before the answer only as far as
// the service would be idle during the round trip.
package asker
