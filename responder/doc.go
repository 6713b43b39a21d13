// Package responder holds what the HTTP handlers of command/receiver and
// query/viewer share: tokens, typed JSON errors, and the wait for one outcome.
//
// A handler runs on its connection's goroutine: it decodes, puts a message to
// a duty, waits for the reply and encodes it. A Waiter is the reply address of
// exactly one message; its channel holds one outcome, so a duty never blocks
// on a caller that has gone. Secrets are compared in constant time and appear
// in no log line or error.
package responder
