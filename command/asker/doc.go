// Package asker calls the advice service for the scheduler.
//
// Asker is one duty: the service serves one call of a host at a time, so one is under way and the
// scheduler sends the next one only after the answer.
package asker
