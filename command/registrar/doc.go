// Package registrar tracks the membership of the cell.
//
// The Machine decides from pings, pongs and the time which members are in the
// view, which link leases are valid, and which members were lost; it does not
// depend on a transport or a clock. The Registrar is the duty that owns the
// machine: one goroutine that takes messages from its ring, ticks every ping
// interval, sends pings and publishes the view. A view expires unless a tick
// renews it, so that a paused host does not act on an old view.
package registrar
