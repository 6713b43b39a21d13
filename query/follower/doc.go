// Package follower reads the store for the scheduler.
//
// Each duty handles one kind of query and performs one read at a time: the journal, the newest snapshot, one
// partition of the intake, the announced workers, and the pointer to the scheduler; the pointer is read from other
// hosts while the store does not respond. Routes watches the operators' configuration without queries. Reads of
// the configuration and of the workers are sent a second time if they have no answer in time. The error
// of a failed read is part of the reply; the scheduler decides when to read again. Records that cannot be decoded
// are counted, logged and skipped, so that they do not block later records.
package follower
