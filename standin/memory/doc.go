// Package memory is a stand-in for the platform's log inside one process, for tests of the duties
// that append to the log and read from it.
//
// It can refuse an append, lose the answer to one that took effect, lose one before it took effect,
// be unreachable, and trim a stream.
package memory
