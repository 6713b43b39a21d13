// Package claimer decides, in log order, which member may start a key that runs at most once.
//
// A member appends a claim and is granted the key when it has read its own record back and no claim
// or void of the key precedes it. One claim permits one start; a claim is granted only to the
// incarnation that wrote it. When the answer to the append of a claim is lost for good, a void
// follows, and whichever record comes first decides.
//
// The table holds, for each key younger than the horizon, the first claim or void and the
// settlement. Both follow from the set of records alone, so reading a record twice, or reading a
// checkpoint after the records that it covers, changes nothing. A reader that starts in a trimmed
// stream may lack earlier claims; until it has read a checkpoint that covers the gap it grants only
// keys that were issued after the oldest record it has read.
package claimer
