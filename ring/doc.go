// Package ring provides the bounded queue that joins duties.
//
// A ring is a buffered channel with a name, a capacity and counters for its
// depth and refusals. Several goroutines may put messages; one duty takes
// them. A full ring refuses (Offer) or makes the sender wait (Put); it never
// grows.
package ring
