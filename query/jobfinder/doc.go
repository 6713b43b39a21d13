// Package jobfinder publishes the states of jobs to the readers of a host.
//
// Table is written by the scheduler duty alone and read by any goroutine. Each shard is an immutable map
// that is replaced on a change, so readers never wait.
package jobfinder
