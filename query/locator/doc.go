// Package locator asks other hosts which host schedules.
//
// A host that the store does not answer cannot read the pointer to the scheduler. As long as its links to other
// hosts work, one of them knows it. Locate may be called by any goroutine; it starts one for each address.
package locator
