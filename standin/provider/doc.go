// Package provider is a stand-in for the platform's log and live list.
//
// It runs two duties: one owns the streams of the log, the other the live list.
// HTTP handlers decode a request, put a message on the ring of a duty, wait
// for its response and encode it. The duty keeps a long poll as a waiter until
// there is data for it or its deadline passes; one timer per duty is set to the
// earliest deadline.
//
// All data is in memory and is lost when the process exits. Faults of the
// platform (slow, down, lost and held responses) are switched on and off over
// HTTP. docs/platform.md describes the protocol.
package provider
