// Package submitter stores jobs and cancellations before their callers are answered.
//
// Submitter is one duty with one batch in flight; submissions that arrive meanwhile go into the next batch. A batch
// is forwarded to the scheduler, which stores it with the journal, so that most jobs need no append of their own.
// Intakes that the scheduler does not confirm are appended to a partition of the intake topic, which the scheduler
// reads. Every intake names its job, and a job is admitted once, so storing an intake in both ways is harmless.
// While the store does not respond either, callers are refused immediately, and probes in the background detect
// when it responds again.
package submitter
