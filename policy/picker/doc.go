// Package picker chooses the workers for the tasks of a stage.
//
// BestFit fills the worker with the least remaining capacity first, so that empty
// workers remain for large tasks and gangs. FirstFit is the baseline for comparisons. Neither has state;
// BestFit sorts the workers with free capacity, so a pick takes O(w log w + t) time for w workers and t tasks.
package picker
