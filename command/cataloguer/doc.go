// Package cataloguer maintains the catalogue from the records of the catalogue stream.
//
// The Machine applies the changes in the order of the log, so that every host reaches the same
// catalogue. A change is accepted when the version of the entry equals the expected one; the version of
// an entry is the offset of its last accepted change. A record whose ID was read before has no effect.
//
// The state of the reducer comes only from a checkpoint and the stream. A catalogue received from a peer
// is published if its offset is higher, but the reducer does not continue from it, because it lacks the
// IDs of the records read. The published catalogue never moves to a lower offset.
//
// The Duty owns the machine, appends the records that it requests and publishes the catalogue through an
// atomic pointer. The Loader is a second duty: it reads the newest checkpoint, follows the stream, and
// requests the catalogue from the peers while the log cannot be reached.
package cataloguer
