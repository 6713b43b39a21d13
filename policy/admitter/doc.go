// Package admitter sheds load that would wait in vain.
//
// A task that has to wait is refused when the wait that its line predicts is
// longer than the time that it has left to start usefully. The prediction is
// the number of tasks ahead times the interval at which the line's tasks have
// started lately, or the age of the line's oldest task when nothing started
// yet. Classes differ in how much of their time they may wait before they are
// refused; urgent work may use all of it.
package admitter
