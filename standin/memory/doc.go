// Package memory is an in-process fake of the platform's log, for tests of the duties that append to
// the log and read from it.
//
// It can refuse an append, lose the response to an append that took effect, lose an append before it
// takes effect, be unreachable, and trim a stream.
package memory
