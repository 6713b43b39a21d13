// Package coordinator decides what happens to each key.
//
// Every key has one coordinator among the entry hosts of its home data centre.
// The coordinator suppresses duplicates, holds back keys that a lost member may
// have started, obtains a claim for work that may not be repeated, hands tasks
// to the placer, and tells each waiting caller the outcome.
//
// The Machine holds the decisions: it gets messages and the time and returns
// effects. The Coordinator is the duty around it: one goroutine that owns the
// key table, takes messages from its ring and carries out the effects. It never
// waits on the placer, so that the placer may wait on it.
package coordinator
