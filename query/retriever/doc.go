// Package retriever reads the stored answers of keys that may not be repeated.
//
// The Retriever is a duty: the coordinator offers it the settlement of a key that another member ran, it
// reads the record of the answers stream that the settlement names, and puts the answer on the
// coordinator's ring. It has no state beside its ring. The coordinator never waits for it, so the wait
// for the coordinator's ring forms no cycle.
//
// A record that is trimmed, malformed or of another request counts as not read. When the log cannot be
// reached, the requests that are queued at that time are answered without another attempt, so that
// the queue does not grow by one timeout for each of them.
package retriever
