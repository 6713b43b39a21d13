// Package admitter sheds load that would time out while it waits.
//
// A task that has to wait is rejected when its expected waiting time is longer
// than a fraction of the time left until its timeout. The expected waiting time
// is its position in the queue times the average interval between recent starts
// from the queue, or the age of the oldest task in the queue when none has started
// yet. The fraction depends on the class; urgent tasks may wait for the whole time.
package admitter
