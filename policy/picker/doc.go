// Package picker chooses the workers for the tasks of a stage.
//
// Tight is best fit: it fills the worker that keeps the least room, so that wide tasks and gangs find
// whole workers. FirstFit is the baseline. Both have no state; the cost of a pick grows with the number
// of tasks times the logarithm of the workers that have room.
package picker
