package rationer

import "github.com/almondcross/almondcross"

// freeFactor is the multiple of the free memory that a holder may have. A single holder then gets up to two thirds of all memory, and
// two get two fifths each.
const freeFactor = 2

// reservedDivisor gives the part of the memory, one in so many, that only holders without jobs may take. Without it, a few holders that
// fill the memory one after the other would leave less than a job needs.
const reservedDivisor = 64

// ByFreeRoom implements almondcross.RoomPolicy: what a holder may have follows from what all holders leave free.
type ByFreeRoom struct{}

// Fits reports whether a job may be admitted. A holder without jobs may take all that is free, so that the largest job is served on a
// host that has room for it.
func (ByFreeRoom) Fits(query almondcross.RoomQuery) bool {
	left := query.Limit() - query.Used() - query.Needed()
	switch {
	case left < 0:
		return false
	case query.Held() == 0:
		return true
	case left < query.Limit()/reservedDivisor:
		return false
	default:
		return query.Held()+query.Needed() <= freeFactor*left
	}
}
