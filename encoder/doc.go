// Package encoder turns the values of the root package into bytes and back: CBOR for messages
// between entry hosts and for bodies of log records.
//
// Every body is a map with a type name and the content, whose keys are in snake case. Decoders
// bound the size and the nesting of their input, and a malformed input is an error, never a panic.
package encoder
