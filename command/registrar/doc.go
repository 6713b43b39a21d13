// Package registrar keeps the members of the cell.
//
// The Machine decides from pings, pongs and time who is in the view, which link
// leases are valid, and which members were lost; it knows no transport and no
// clock. The Registrar is the duty that owns the machine: one goroutine that
// takes messages from its ring, ticks every ping interval, sends pings and
// publishes the view. A view that is not renewed by a tick expires, so a paused
// host does not act on an old one.
package registrar
