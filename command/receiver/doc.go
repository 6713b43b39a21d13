// Package receiver holds the HTTP handlers that change state: requests of
// callers and changes of the catalogue.
//
// A handler runs on its connection's goroutine and owns only its waiter. It
// decodes the body, sends one message to the coordinator or the cataloguer,
// waits for the reply and encodes it. When the wait times out, the answer is
// running (a request), unknown (a cancellation) or uncertain (a change). When
// the ring of the coordinator is full, the request is refused immediately.
package receiver
