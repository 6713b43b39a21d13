// Package committer writes the scheduler's journal batches, snapshots, usage of queues and pointer to the store.
//
// Each of them has a duty of its own, with at most one append in flight. Failed appends are not retried here: the
// answer carries the error, and the scheduler decides whether to retry.
package committer
