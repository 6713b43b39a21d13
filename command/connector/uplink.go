package connector

import (
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
)

// pushLimit is the age of the last pushed batch up to which the scheduler counts as able to store. It
// writes at least five batches a second while the store answers it.
const pushLimit = 600 * time.Millisecond

// moment is a time that one goroutine sets and others read.
type moment struct{ at atomic.Pointer[time.Time] }

func (moment *moment) set(at time.Time) { moment.at.Store(&at) }

func (moment *moment) within(now time.Time, limit time.Duration) bool {
	at := moment.at.Load()
	return at != nil && now.Sub(*at) <= limit
}

// Uplink sends intakes to the scheduler, on this host or over the link.
type Uplink struct {
	hub    *Hub
	dialer *Dialer
	clock  almondcross.Clock
}

// NewUplink returns an uplink.
func NewUplink(hub *Hub, dialer *Dialer, clock almondcross.Clock) *Uplink {
	return &Uplink{hub: hub, dialer: dialer, clock: clock}
}

// Forward sends an intake to the scheduler. It reports false when no scheduler can be reached that stored
// something a moment ago.
func (uplink *Uplink) Forward(forwarded almondcross.IntakeForwarded) bool {
	now := uplink.clock.Now()
	if uplink.hub.pushed.within(now, pushLimit) {
		return uplink.hub.config.Sink.Offer(forwarded.WithHost(uplink.hub.config.Host))
	}
	opened := uplink.dialer.current.Load()
	return opened != nil && uplink.dialer.pushed.within(now, pushLimit) && opened.offer(forwarded)
}
