package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// stateFactor is the multiple of its limit on jobs up to which a host loads a state. A scheduler admits jobs above the limit that
	// hosts have stored in the intake, at most as much again.
	stateFactor = 2
	// largeStateRetryDelay is the pause before a host that cannot hold the state loads it again. The jobs that take the memory last for
	// seconds at least.
	largeStateRetryDelay = 5 * time.Second
)

// MaxStateBytes returns the memory in bytes of the jobs of a state that a host with a limit on jobs loads, 0 for no limit. A state that
// has grown beyond that while the host follows the journal stays: the host may be the last one to have it.
func MaxStateBytes(limit int64) int64 { return limit * stateFactor }

// holdsState reports whether a linked host can hold the present state. One of an earlier version does not tell.
func (machine *Machine) holdsState(host *linkedHost) bool {
	return host.stateBytes == 0 || machine.state.ledger.used <= MaxStateBytes(host.stateBytes)
}

// giveUpLargeState ends the attempt to load a state that is too large for this host. It looks for a scheduler and serves callers as a
// viewer of it. Without one it stores what the limit on the intake allows and refuses the rest, until the state has shrunk.
func (machine *Machine) giveUpLargeState(reason string) {
	machine.largeStateAt = machine.now
	machine.config.Log.Record("state_too_large", almondcross.Text("reason", reason), almondcross.Number("max_bytes", MaxStateBytes(machine.config.StateBytes)))
	machine.config.Metrics.StateTooLarge()
	machine.resetState()
	machine.follower = follower{}
	machine.discoverScheduler()
}

// mayLoadState reports whether this host may load the state: it has not met one that is too large just now.
func (machine *Machine) mayLoadState() bool {
	return machine.largeStateAt.IsZero() || machine.now.Sub(machine.largeStateAt) >= largeStateRetryDelay
}
