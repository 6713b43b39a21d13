// Package submitter stores jobs and cancellations before their callers are answered.
//
// Submitter is one duty. It forwards intakes to the scheduler, which stores them with the journal, so that most jobs need no
// append of their own, and many may wait for their answers at the same time: with a slow store an answer takes as long as
// two appends. How long it waits for an answer follows from the answers before. Intakes that the scheduler does not confirm are
// appended to a partition of the intake topic, which the scheduler reads, one batch at a time. Every intake names its job, and a
// job is admitted once, so storing an intake in both ways is harmless. While the store does not respond either, callers are
// refused immediately, with a time to return that grows with the outage, and probes in the background detect when the store
// responds again.
package submitter
