// Package jobfinder publishes the states of jobs for lookups on a host.
//
// Only the scheduler duty writes a Table; any goroutine may read it. Each shard is an immutable map that is
// replaced on a change, so readers never block.
package jobfinder
