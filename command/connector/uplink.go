package connector

import (
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
)

// maxPushAge is the maximum age of the last push at which the scheduler is assumed to have access to the store. A
// scheduler writes at least five batches a second while the store responds.
const maxPushAge = 600 * time.Millisecond

// timestamp is a time that one goroutine sets and others read.
type timestamp struct{ at atomic.Pointer[time.Time] }

func (timestamp *timestamp) set(at time.Time) { timestamp.at.Store(&at) }

func (timestamp *timestamp) isWithin(now time.Time, limit time.Duration) bool {
	at := timestamp.at.Load()
	return at != nil && now.Sub(*at) <= limit
}

// Uplink sends intakes to the scheduler, on this host or over the link. Any goroutine may use it.
type Uplink struct {
	hub    *Hub
	dialer *Dialer
	clock  almondcross.Clock
}

// NewUplink returns an uplink.
func NewUplink(hub *Hub, dialer *Dialer, clock almondcross.Clock) *Uplink {
	return &Uplink{hub: hub, dialer: dialer, clock: clock}
}

// Hosts returns the number of hosts of the cell as far as this host knows: at most 64 that the scheduler has told it of, or those that
// have linked to this host, and this one.
func (uplink *Uplink) Hosts() int {
	return max(int(uplink.dialer.peers.Load()), len(*uplink.hub.sessions.Load())) + 1
}

// Forward sends an intake to the scheduler. It reports false when no reachable scheduler has pushed something within
// maxPushAge, or when the queue to it is full.
func (uplink *Uplink) Forward(forwarded almondcross.IntakeForwarded) bool {
	now := uplink.clock.Now()
	if uplink.hub.lastPush.isWithin(now, maxPushAge) {
		return uplink.hub.config.Sink.Offer(forwarded.WithHost(uplink.hub.config.Host))
	}
	session := uplink.dialer.current.Load()
	return session != nil && uplink.dialer.lastPush.isWithin(now, maxPushAge) && session.offer(forwarded)
}
