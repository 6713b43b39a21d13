// Package speedometer estimates how fast workers run tasks, relative to the usual worker.
//
// Each worker has a weighted mean of the logarithms of measured speeds. Progress reports measure the speed directly; the time
// of a finished run also depends on the task and counts less. Measurements are limited, so that a few uneven tasks change
// little, and lose weight with a half-life, so that a change of the worker shows within seconds. A prior pulls the mean to
// the usual speed until there is evidence. The usual speed is the median over the workers with evidence.
//
// A worker below slowSpeed is slow until new measurements show it above trustedSpeed. Time alone does not end that, because
// a slow worker that gets no work shows nothing; it gets a trial run at an interval instead.
package speedometer
