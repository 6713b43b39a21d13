package limiter

// share is how one limit is divided among clients.
type share struct {
	limit   int64 // limit is the amount that all clients may take together.
	small   int64 // small is the amount up to which a client counts as small.
	reserve int64 // reserve is the part of the limit that only small clients may take.
}

// allows reports whether a client that holds an amount may take more while all clients hold the used amount. A client is
// always served while no other one holds anything, so that no legal request is refused for the size of the host.
func (share share) allows(used, held, more int64) bool {
	if used <= held {
		return true
	}
	limit := share.limit
	if held+more > share.small {
		limit -= share.reserve
	}
	return used+more <= limit
}

const (
	// reachedEighths is the fraction of a limit, in eighths, from which it counts as reached.
	reachedEighths = 7
	// relaxedFraction is the fraction (1/relaxedFraction) of a limit up to which it counts as relaxed again. The distance
	// to the other one keeps the state from changing with every request.
	relaxedFraction = 2
)

// reached reports whether a limit counts as reached by the used amount, given whether it did before.
func (share share) reached(before bool, used int64) bool {
	if before {
		return used > share.limit/relaxedFraction
	}
	return used >= share.limit*reachedEighths/8
}
