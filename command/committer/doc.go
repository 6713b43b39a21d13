// Package committer writes the scheduler's batches and snapshots to the store.
//
// Committer is two duties, one for the journal and one for the snapshots, each with one append under
// way. The outcome is part of the answer; the scheduler decides whether to repeat.
package committer
