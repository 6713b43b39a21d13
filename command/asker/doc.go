// Package asker calls the advice service on behalf of the scheduler.
//
// Asker is one duty. The service serves one call of a host at a time, so a host has at most one call in
// flight, and the scheduler sends the next query to it only after the answer.
package asker
