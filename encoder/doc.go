// Package encoder encodes and decodes the messages and stored records of the scheduler.
//
// Each file covers one protocol: its wire types and their conversion to and
// from the values of the root package. The package holds no state and starts
// no goroutine. All named fields on the wire are in snake_case.
package encoder
