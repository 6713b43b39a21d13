// Package reporter answers managers' questions: who received what share, why, and who changed what.
//
// Shares are read from the account streams of all data centres at each query, so the reporter has no
// state. A batch counts once for each member, incarnation and number, however often the log holds it.
// A missing number is reported as a gap and marks the intervals around it as incomplete. The report
// says how fresh each data centre's account is and which data centres could not be read.
//
// Stories come from the accountant of this host, the audit trail from its cataloguer.
package reporter
