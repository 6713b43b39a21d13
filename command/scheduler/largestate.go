package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// stateFactor is the multiple of its limit on jobs that a host holds at most. A scheduler admits jobs above the limit that hosts have
	// stored in the intake.
	stateFactor = 2
	// largeStateRetryDelay is the pause before a host that cannot hold the state loads it again. The jobs that take the memory last for
	// seconds at least.
	largeStateRetryDelay = 5 * time.Second
)

// MaxStateBytes returns the memory in bytes of the jobs of a state that a host with a limit on jobs can hold, 0 for no limit.
func MaxStateBytes(limit int64) int64 { return limit * stateFactor }

// holdsState reports whether a linked host can hold the present state. One of an earlier version does not tell.
func (machine *Machine) holdsState(host *linkedHost) bool {
	return host.stateBytes == 0 || machine.state.ledger.used <= MaxStateBytes(host.stateBytes)
}

// giveUpLargeState ends the attempt to hold a state that is too large for this host. It looks for a scheduler and serves callers as a
// viewer of it. Without one it stores what the limit on the intake allows and refuses the rest, until the state has shrunk.
func (machine *Machine) giveUpLargeState(reason string) {
	machine.largeStateAt = machine.now
	machine.config.Log.Record("state_too_large", almondcross.Text("reason", reason), almondcross.Number("max_bytes", MaxStateBytes(machine.config.StateBytes)))
	machine.config.Metrics.StateTooLarge()
	machine.resetState()
	machine.follower = follower{}
	machine.discoverScheduler()
}

// checkLargeState gives up a state that has grown beyond what this host can hold.
func (machine *Machine) checkLargeState() bool {
	if machine.config.StateBytes == 0 || machine.state.ledger.used <= MaxStateBytes(machine.config.StateBytes) {
		return false
	}
	machine.giveUpLargeState("the journal has brought it above what this host can hold")
	return true
}

// mayLoadState reports whether this host may load the state: it has not met one that is too large just now.
func (machine *Machine) mayLoadState() bool {
	return machine.largeStateAt.IsZero() || machine.now.Sub(machine.largeStateAt) >= largeStateRetryDelay
}
