// Package viewer holds the HTTP handlers that read: requests of callers, the
// catalogue, the reports, the status, metrics and health.
//
// A handler runs on its connection's goroutine and changes nothing. It reads
// published snapshots, or puts one lookup to the coordinator and waits for the
// reply. Reports state how fresh they are and what is missing. A caller sees
// only keys of its own, because the caller in a key is the bearer of the token.
package viewer
