package rationer

import "github.com/almondcross/almondcross"

// freeFactor is the multiple of the free memory that a holder may have. A single holder then gets up to two thirds of all memory, two
// get two fifths each, and however many there are, some memory stays free for the next one.
const freeFactor = 2

// ByFreeRoom implements almondcross.RoomPolicy: what a holder may have follows from what all holders leave free.
type ByFreeRoom struct{}

// Fits reports whether a job may be admitted. A holder without jobs may take all that is free, so that the largest job is served on a
// host that has room for it.
func (ByFreeRoom) Fits(query almondcross.RoomQuery) bool {
	free := query.Limit() - query.Used()
	switch {
	case query.Needed() > free:
		return false
	case query.Held() == 0:
		return true
	default:
		return query.Held()+query.Needed() <= freeFactor*(free-query.Needed())
	}
}
