// Package receiver holds the HTTP handlers that change state: requests of
// callers and changes of the catalogue.
//
// A handler runs on its connection's goroutine and owns nothing but its own
// waiter. It decodes, puts one message to the coordinator or the cataloguer,
// waits for the reply and encodes it. When the wait ends first, the answer is
// running (a request) or uncertain (a change), never a guess. A full ring of
// the coordinator refuses at once.
package receiver
