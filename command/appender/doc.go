// Package appender writes one stream of the platform's log for all duties of a host.
//
// One duty owns the open batch. It sends at most one append per interval, so that the number of
// appends does not grow with the number of records. After a failed append the stream is marked as
// down: queued records are refused, Append returns false immediately, and one probe append a second
// detects when the log accepts records again. An append counts as failed if the log refused it, or if
// there was no response and the stream does not contain its records.
//
// The response to an append can be lost after the log stored the records. The duty then searches the
// stream for the IDs of the records, retries the append once with the same IDs, and reports
// "uncertain" only for records that neither step resolves. Readers of the stream drop records whose
// ID they have already read, so a retried append has no second effect. A probe is a record with an empty
// body, which readers ignore.
package appender
