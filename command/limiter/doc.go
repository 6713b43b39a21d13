// Package limiter decides how much the clients of a host may take together: bytes of request bodies and connections.
//
// Plan derives the limits from the memory and the descriptors of the host. A Limiter is one limit with the amount that is
// taken of it. Any goroutine may take and return; the amount is a single atomic number, so that no duty stands between a
// connection and its body, and a refusal needs no wait. The Watcher is the duty that reports changes of state: a limit is
// reached, and relaxed again once half of it is free. The package knows no transport and no encoding.
package limiter
