package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a host that stands for election without the state that it cannot hold, that loads it over and over, or that never
// tries again.
func TestTooLargeSnapshotIsLoadedAgainLater(t *testing.T) {
	harness := newHarness(t)
	harness.machine.config.StateBytes = 1 << 20
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	requireEffect[ReadSnapshot](harness)
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Err: almondcross.ErrStateTooLarge}))
	for range int(largeStateRetryDelay/(20*time.Millisecond)) - 1 {
		harness.advance(20 * time.Millisecond)
		harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
		_, reads := takeEffect[ReadSnapshot](harness)
		require.False(t, reads)
	}
	harness.advance(largeStateRetryDelay)
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	requireEffect[ReadSnapshot](harness)
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	require.Equal(t, roleFollower, harness.machine.role)
}

// Guards against a standby that gives up a state which grows: if all did, no host could take over, and the journal behind the last
// snapshot would be deleted.
func TestStandbyKeepsAStateThatGrows(t *testing.T) {
	const stateBytes = 1 << 16
	harness := newHarness(t)
	harness.machine.config.StateBytes = stateBytes
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	for offset := int64(0); harness.machine.state.ledger.used <= 2*MaxStateBytes(stateBytes); offset++ {
		job := newJob(almondcross.JobID(fmt.Sprintf("j-%d", offset)), almondcross.StepConfig{Count: 1})
		batch := newBatch(1<<22, almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: job, Settings: settings(1, "q")})
		harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{
			From: offset, Next: offset + 1, End: offset + 1, Batches: []almondcross.JournalBatch{batch},
		}))
		require.Equal(t, roleFollower, harness.machine.role)
	}
}

// Guards against a standby that cannot hold the state and leaves the cell without one.
func TestHostThatCannotHoldTheStateIsNoStandby(t *testing.T) {
	harness := newLimitedHarness(t, 1<<20)
	harness.fill("q")
	for host, stateBytes := range map[string]int64{"weak": 1 << 18, "strong": 1 << 20, "earlier": 0} {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
			Host: host, Present: true, Strength: 50, StateBytes: stateBytes, ViewFormat: almondcross.ViewFormat,
		}))
		require.Equal(t, host != "weak", harness.machine.linkedHosts[host].standby, host)
	}
}
