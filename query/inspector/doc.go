// Package inspector gives the state of one entry host as an immutable snapshot.
//
// It reads what the duties publish through atomic pointers and the counters of
// their rings; it owns no state and starts no goroutine.
package inspector
