// Package submitter stores jobs and cancellations before their callers are answered.
//
// Submitter is one duty with one append under way. What comes while an append is under way goes into the
// next one. Every intake names its job, and the scheduler admits a job once, so an append without an
// answer is simply repeated, to another partition if need be.
package submitter
