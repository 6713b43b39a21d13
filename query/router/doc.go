// Package router finds the queue of a request in the newest version of the route table.
//
// One duty sets the route table; any goroutine may read it. Each version is an immutable index.
package router
