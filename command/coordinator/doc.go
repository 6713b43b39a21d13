// Package coordinator manages the execution of each key from its request to its outcome.
//
// Every key has one coordinator among the entry hosts of its home data centre.
// The coordinator suppresses duplicates, delays keys that a lost member may
// have started, obtains a claim for work that may not be repeated, passes tasks
// to the placer, and sends the outcome to each waiting caller.
//
// The coordinator starts a key only while its member has a valid link lease
// from every peer of the data centre.
//
// The Machine contains the decision logic: it takes messages and the time and
// returns effects. The Coordinator is the duty around it: one goroutine that
// owns the key table, takes messages from its ring and performs the effects. It
// never blocks on the placer, so that the placer may block on it.
package coordinator
