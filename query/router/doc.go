// Package router finds the queue of a request in the newest configuration.
//
// Router is set by one duty and read by any goroutine; each version is an immutable index.
package router
