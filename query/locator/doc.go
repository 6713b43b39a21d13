// Package locator queries other hosts for the host that is currently the scheduler.
//
// A host that gets no response from the store cannot read the pointer to the scheduler there. It can still get
// the pointer from other hosts that it can reach. Locate is safe for concurrent use; it starts one goroutine for
// each address.
package locator
