// Package submitter stores jobs and cancellations before their callers are answered.
//
// Submitter is one duty with one batch under way; what comes meanwhile goes into the next one. A batch goes to
// the scheduler, which stores it with the journal, so that most jobs need no append of their own. What the
// scheduler does not answer for is appended to a partition of the intake, which the scheduler reads. Every
// intake names its job, and a job is admitted once, so both ways may be taken for one job. While the store
// does not answer either, callers are refused at once, and a probe asks the store without holding anyone up.
package submitter
