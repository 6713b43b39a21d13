// Package inspector returns the state of one entry host as an immutable snapshot.
//
// It reads what the duties publish through atomic pointers, and the counters of
// their rings. It starts no goroutine and owns no state except whether the host
// is stopping.
package inspector
