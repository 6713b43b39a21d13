// Package responder holds the code that the HTTP handlers of command/receiver
// and query/viewer share: token checks, typed JSON errors, and the wait for the
// outcome of a request.
//
// A handler runs on its connection's goroutine: it decodes the request, sends a
// message to a duty, waits for the reply and encodes it. A Waiter receives the
// reply to exactly one message. Its channel is buffered, so a duty never blocks
// on a caller that has disconnected. Secrets are compared in constant time and
// appear in no log line or error.
package responder
