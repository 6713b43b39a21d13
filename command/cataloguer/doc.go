// Package cataloguer keeps the catalogue in log order.
//
// The Machine applies the changes of the catalogue stream one after another, so that every host
// reaches the same catalogue. A change is accepted when the entry's version equals the expected one;
// the version of an entry is the offset of its last accepted change. A record whose id was read
// before has no effect.
//
// The reducer's state comes from a checkpoint and the stream only. A catalogue from a peer is
// published while its offset is higher, but the reducer does not go on from it, because it lacks the
// ids of the records read. The published catalogue never moves to a lower offset.
//
// The Duty owns the machine, appends what it asks for and publishes the catalogue through an atomic
// pointer. The Loader is a second duty that reads the newest checkpoint, follows the stream, and asks
// peers while the log cannot be reached.
package cataloguer
