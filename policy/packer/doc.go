// Package packer places tasks on targets by their free capacity: best fit for
// batch tasks, the rack with the fewest replicas for services.
//
// # Architecture
//
// Targets are stored in balanced trees (treaps) ordered by free capacity. Each
// subtree stores the maximum free amount of each resource, so a search skips
// subtrees in which nothing fits. One tree uses the free capacity including the
// reserve, for short and urgent tasks; another uses the free capacity without
// the reserve, for all other tasks. Targets with accelerators have their own
// trees, so that tasks without accelerators use them only when no other target
// has enough free capacity. Each rack has its own trees for services.
//
// # Bounds
//
// A search visits at most O(log n) nodes. If the maxima of a subtree belong to
// different targets, the search can reach this limit although some target fits.
// A best-fit search then falls back to a worst-fit search before it reports
// that no target was found.
package packer
