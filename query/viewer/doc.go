// Package viewer holds the read-only HTTP handlers: outcomes of requests, the
// catalogue, reports, the status, metrics and health.
//
// A handler runs on the goroutine of its connection and changes no state. It
// reads published snapshots, or sends one lookup to the coordinator and waits
// for the reply. Share reports state how fresh they are and what is missing. A
// caller sees only its own keys, because the caller of a key is taken from the
// token.
package viewer
