// Package versioner publishes the version of a scheduling host, the format of the journal that it reads and writes,
// and what it has read from the journal.
//
// Only the scheduler duty changes a Versioner; any goroutine may read it. Each status is an immutable value.
package versioner
