package emulator

import "time"

// contactTime is how long a host must be undisturbed to be in touch, and how long after the last disturbance the
// checks of calm days begin.
const contactTime = 4 * time.Second

// disturbances records until when hosts, the store and anything at all were last disturbed. Cancellations, jobs that
// cannot be done, changes of capacity and workers that join are not disturbances.
type disturbances struct {
	hostUntil  map[*modelHost]time.Duration
	storeUntil time.Duration
	anyUntil   time.Duration
	exitUntil  time.Duration // exitUntil is until when workers that left after draining were away.
}

func (disturbances *disturbances) disturbHost(host *modelHost, until time.Duration) {
	if disturbances.hostUntil == nil {
		disturbances.hostUntil = map[*modelHost]time.Duration{}
	}
	disturbances.hostUntil[host] = max(disturbances.hostUntil[host], until)
	disturbances.disturb(until)
}

func (disturbances *disturbances) disturbStore(until time.Duration) {
	disturbances.storeUntil = max(disturbances.storeUntil, until)
	disturbances.disturb(until)
}

func (disturbances *disturbances) disturb(until time.Duration) {
	disturbances.anyUntil = max(disturbances.anyUntil, until)
}

// inTouch reports whether neither a host nor the store was disturbed in the contactTime before a time.
func (disturbances *disturbances) inTouch(host *modelHost, now time.Duration) bool {
	return host.up && now >= max(disturbances.hostUntil[host], disturbances.storeUntil)+contactTime
}

// disturbWithExit records that a worker leaves after draining, which does not disturb the stops of runs.
func (disturbances *disturbances) disturbWithExit(until time.Duration) {
	disturbances.exitUntil = max(disturbances.exitUntil, until)
}

// near reports whether a disturbance or an exit was near in the given time before now.
func (disturbances *disturbances) near(now, before time.Duration) bool {
	return now < max(disturbances.anyUntil, disturbances.exitUntil)+before
}

// calmSince returns the end of the contactTime after the last disturbance. It lies in the future during a
// disturbance.
func (disturbances *disturbances) calmSince() time.Duration {
	return disturbances.anyUntil + contactTime
}
