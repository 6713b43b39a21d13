// Package assembler wires the components of each kind of process with fx.
//
// It is the only package that refers to concrete implementations. Entry builds
// an entry host, SchedulerHost builds a scheduling host, which serves jobs on the
// users' platform (a store, workers, a load balancer and optionally an advice
// service), Platform and Worker build the stand-ins, and Root builds the command
// line. Every duty starts with the application and ends with its context. The
// order of a graceful shutdown is in stop.go and schedulerstop.go.
package assembler
