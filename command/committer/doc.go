// Package committer writes the scheduler's batches, snapshots, account and pointer to the store.
//
// Committer is one duty for each of them, with one append under way. The outcome is part of the answer; the scheduler decides whether to repeat.
package committer
