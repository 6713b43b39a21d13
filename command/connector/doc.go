// Package connector links the hosts that ask the advice service to the scheduler's host.
//
// The advice service serves one call of each host at a time, so the scheduler lets all hosts ask for it.
// Dialer is a duty on every host: it keeps one WebSocket connection to the scheduler's host and passes
// queries to the local asker and answers back. Hub accepts these connections on the scheduler's host and
// passes queries to them; each has a reading and a writing goroutine. A connection that is silent for
// silenceLimit is closed on both sides, and the scheduler is told that the host is gone. Hub also tells any host
// that asks which host schedules.
package connector
