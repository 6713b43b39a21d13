// Package encoder holds the encodings of the project's protocols.
//
// Each file covers one protocol: the wire shapes and their conversion to and
// from the values of the root package. The package holds no state and starts
// no goroutine. All fields are in snake_case.
package encoder
