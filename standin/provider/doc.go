// Package provider is a stand-in for the platform's log and live list.
//
// Two duties run: one owns the streams of the log, the other the live list.
// HTTP handlers decode a request, put a message on the ring of a duty, wait
// for its answer and encode it. A long poll is kept by the duty as a waiter
// until there is something to answer or its time is over; one timer of the
// duty stands for the earliest deadline.
//
// Everything is kept in memory: the end of the process loses the log. The
// faults of the platform (slow, down, lost and held answers) are switched over
// HTTP. docs/platform.md describes the protocol.
package provider
