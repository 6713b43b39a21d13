// Package accountant aggregates resource usage by interval, entry and owner.
//
// The Machine adds account events to the current interval. At the end of an interval it builds a
// batch with a sequence number within the incarnation of the host, and repeats its append until the
// log has it; readers detect duplicate batches by their number. Batches are buffered in bounded
// memory while the log is down. A dropped batch leaves a gap in the sequence numbers, so readers can
// report the gap instead of a wrong sum. An interval with refused events is marked as incomplete.
//
// Intervals are aligned to the clock, so that the batches of several hosts can be added up. A line
// with an empty entry has the capacity of the targets that the host held; readers divide by it.
//
// The machine also keeps the most recent decisions about requests, to answer LookupDecisions.
package accountant
