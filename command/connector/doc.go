// Package connector links the hosts that ask the advice service to the scheduler's host.
//
// The advice service serves one call of each host at a time, so the scheduler distributes its queries over all
// hosts. Dialer is a duty on every host: it keeps one WebSocket connection to the scheduler's host, passes
// queries to the local asker and returns the answers. Hub accepts these connections on the scheduler's host and
// sends queries over them; each connection has a reading and a writing goroutine. Each side closes a connection
// over which it received nothing for readTimeout, and the hub reports the disconnected host to the scheduler. Hub
// also serves the pointer to the scheduler to other hosts.
//
// In a large cell most hosts get the views of jobs from a relay, another host whose hub accepts their links for views. ViewDialer is
// the duty that keeps such a link; ViewLinks is what the state machine sends views, their numbers and assignments with.
//
// Links to the scheduler's host also replicate the configuration; RouteLinks is what the replicator sends its messages with.
package connector
