// Package spreader places every task on the emptiest target of the rack with the
// fewest tasks of its entry.
//
// It wraps another placement policy and treats all classes as services, which
// the wrapped policy spreads. It trades packing for less contention on a target.
package spreader
