// Package observer reads the platform's live list and the events of workers over HTTP.
//
// It keeps one connection to a worker, for the long poll of its holder.
package observer
