// Package ring provides the bounded queue through which duties send messages to each other.
//
// A ring is a buffered channel with a name and a fixed capacity. Its metrics
// are the depth, the capacity and the number of refused messages. Any number
// of goroutines may send; one duty receives, or several equal ones, as the
// askers do. When the ring is full, Offer refuses the message and Put blocks.
package ring
