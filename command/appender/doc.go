// Package appender writes one stream of the platform's log for all duties of a host.
//
// One duty owns the open batch. It sends at most one append per interval, so that the number of
// appends does not grow with the number of records. After a failed append the stream counts as
// down: queued records are refused, Append returns false at once, and one probe append a second
// finds out when the log takes records again. An append counts as failed while its answer is missing
// and the stream does not show its records.
//
// The answer to an append can be lost after the log took the records. The duty then reads the
// stream for the ids of the records, repeats the append once with the same ids, and reports
// "uncertain" only for records that neither step settles. Readers of the stream drop records whose
// id they have seen, so a repeated append has no second effect. A probe is a record with an empty
// body, which readers pass over.
package appender
