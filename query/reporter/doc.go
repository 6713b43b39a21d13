// Package reporter produces the reports for managers: the shares that owners received, the decisions about
// keys and entries, and the changes of the catalogue.
//
// Shares are read from the account streams of all data centres for each query, so the reporter has no
// state. Batches are deduplicated by member, incarnation and sequence number, since the log may hold a batch
// more than once. A missing sequence number is reported as a gap and marks the overlapping intervals as
// incomplete. The report states how fresh each data centre's account is and which data centres could not be
// read.
//
// Decisions are read from the accountant of this host, the audit trail from its cataloguer.
package reporter
