// Package bodyreader reads the bodies of requests of clients that are not trusted.
//
// It reserves memory before it allocates any. An announced body is reserved whole; one of unknown length is read in segments, each of
// which is reserved first.
package bodyreader
