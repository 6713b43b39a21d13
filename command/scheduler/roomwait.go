package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// minRoomWait and maxRoomWait bound the time after which a caller may return whose job found no room. A caller that waits longer
	// than a minute may not notice that workers were added.
	minRoomWait = time.Second
	maxRoomWait = time.Minute
	// firstRoomWait is that time until it is known how fast jobs return their memory. Most tasks take seconds.
	firstRoomWait = 5 * time.Second
	// roomRateInterval is the time over which that is measured, and roomRateWeight the weight of the last interval in its moving average.
	roomRateInterval = time.Second
	roomRateWeight   = 0.2
)

// roomWaits holds the callers that may return for room, by holder. It is not replicated: a new scheduler measures anew.
type roomWaits map[almondcross.StateHolder]*roomWait

// roomWait is how fast the jobs of a holder return their memory, and how much of it refused callers were told to return for.
type roomWait struct {
	bytesPerSecond float64
	measured       bool
	measuredAt     time.Time
	freed          int64     // freed is that of the ledger when the rate was last measured.
	loggedAt       time.Time // loggedAt is when the log last told that the jobs of the holder find no room, zero for never.
	awaited        int64     // awaited is the memory in bytes that the jobs of refused callers need.
}

// add adds a caller whose job needs some bytes, and returns the time after which it may return: once the holder's jobs will have
// returned what the callers before it wait for, and what its own job needs. Callers that return all at once would be refused again.
func (roomwaits roomWaits) add(holder almondcross.StateHolder, bytes int64) time.Duration {
	wait := roomwaits[holder]
	if wait == nil {
		wait = &roomWait{}
		roomwaits[holder] = wait
	}
	wait.awaited += bytes
	if !wait.measured {
		return firstRoomWait
	}
	seconds := maxRoomWait.Seconds()
	if wait.bytesPerSecond > 0 {
		seconds = min(float64(wait.awaited)/wait.bytesPerSecond, seconds)
	}
	return max(time.Duration(seconds*float64(time.Second)), minRoomWait)
}

// update measures how fast the jobs of each holder with refused callers return their memory.
func (roomwaits roomWaits) update(freed map[almondcross.StateHolder]int64, now time.Time) {
	for holder, wait := range roomwaits {
		wait.update(freed[holder], now)
		if _, holds := freed[holder]; !holds && wait.awaited == 0 {
			delete(roomwaits, holder)
		}
	}
}

// update measures the rate if its interval has passed. What was returned serves the callers that were refused first. Those whose time
// would be above the maximum are not expected to return.
func (roomwait *roomWait) update(freed int64, now time.Time) {
	elapsed := now.Sub(roomwait.measuredAt)
	switch {
	case roomwait.measuredAt.IsZero():
		roomwait.measuredAt, roomwait.freed = now, freed
	case elapsed >= roomRateInterval:
		returned := max(freed-roomwait.freed, 0) // The ledger forgets a holder without jobs.
		last := float64(returned) / elapsed.Seconds()
		if !roomwait.measured {
			roomwait.bytesPerSecond, roomwait.measured = last, true
		}
		roomwait.bytesPerSecond += roomRateWeight * (last - roomwait.bytesPerSecond)
		roomwait.awaited = max(roomwait.awaited-returned, 0)
		roomwait.awaited = min(roomwait.awaited, int64(roomwait.bytesPerSecond*maxRoomWait.Seconds()))
		roomwait.measuredAt, roomwait.freed = now, freed
	}
}
