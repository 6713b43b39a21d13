// Package follower reads the store for the scheduler.
//
// Each duty answers one kind of query and has one read under way: the journal, the newest snapshot, one
// partition of the intake, the announced workers, and which host schedules; for the last one other hosts are
// asked while the store does not answer. Routes follows the operators' configuration by itself. A failed read is
// part of the answer; the scheduler decides when to read again. Records that cannot be decoded are counted,
// logged and skipped, so that they stop nothing.
package follower
