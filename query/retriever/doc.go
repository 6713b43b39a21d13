// Package retriever reads the stored answers of requests that must not be executed again.
//
// The Retriever is a duty: the coordinator offers it the settlement of a key whose request another member
// executed; it reads the record that the settlement references from the answers stream, and puts the answer on
// the coordinator's ring. It has no state apart from its ring. The coordinator never waits for the retriever, so
// waiting for space on the coordinator's ring cannot deadlock.
//
// An answer counts as not found if its record is trimmed, malformed or belongs to another request. When the log
// cannot be reached, all messages queued at that time fail without another attempt, so that the delay does not
// grow by one timeout per message.
package retriever
