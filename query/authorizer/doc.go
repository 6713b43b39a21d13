// Package authorizer decides which calls the configuration in force allows, and which jobs a caller may see and change.
//
// It knows no transport, so every front end of a host decides alike. It has no state of its own: each call reads the route
// table and the views as they are then, so a revoked key is refused on a connection that is already open.
package authorizer
