// Package spreader places every task on the target with the most free capacity of
// the rack with the fewest tasks of its entry.
//
// It wraps another placement policy and treats all classes as services, which
// the wrapped policy spreads. Tasks are packed less densely, in exchange for less
// contention on each target.
package spreader
