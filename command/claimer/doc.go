// Package claimer decides, in log order, which member may start a key that runs at most once.
//
// A member appends a claim and is granted the key when it has read its own record back and no claim
// or void of the key precedes it in the log. A void is a record after which the key must not be
// claimed. One claim permits one start; a claim is granted only to the incarnation that wrote it. If
// the result of the append of a claim stays unknown, the claimer appends a void, and the first record
// of the key in the log decides.
//
// For each key younger than the horizon, the table holds the first claim or void and the settlement,
// which is the record of the key's end. Both depend only on the set of records and not on their
// order, so the table does not change if a record is read twice, or if a checkpoint is read after the
// records that it covers. A reader that starts in a trimmed stream may lack earlier claims; until it
// has read a checkpoint that covers the gap, it grants only keys that were issued after the oldest
// record it has read.
package claimer
