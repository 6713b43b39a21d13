// Package packer chooses targets by their room: the best fit for batch work,
// the rack with the fewest replicas for services.
//
// # Architecture
//
// Targets are kept in balanced trees (treaps) in the order of their free
// capacity; each subtree knows the largest room of each resource in it, so a
// search skips subtrees in which nothing fits. There is one tree for the room
// of short and urgent work and one for the room of other work, which leaves
// the reserve alone. Targets with accelerators have their own trees, so that
// work that needs none leaves them free for as long as other targets have
// room. Each rack has trees of its own for services.
//
// # Bounds
//
// A search is limited to a number of visits that grows with log n. Where the
// largest rooms of a subtree belong to different targets, it can end without a
// result although a target fits; it then tries from the emptiest target down
// before it reports that there is none.
package packer
