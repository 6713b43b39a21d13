// Package observer reads the platform's live list and the events of workers over HTTP.
//
// It keeps one connection to each worker, for the long poll of the host that holds the worker.
package observer
