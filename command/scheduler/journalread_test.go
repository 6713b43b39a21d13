package scheduler

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a host that cannot read the journal and does not tell why, and against a line for each of many failed reads.
func TestFailedReadsOfTheJournalAreLoggedOnce(t *testing.T) {
	harness, events := newHarness(t), &eventNames{}
	harness.machine.config.Log = events
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	events.names = nil
	for range 2 {
		for range 5 {
			harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Err: errors.New("the answer is too large")}))
		}
		harness.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{}))
	}
	require.Equal(t, []string{"journal_not_read", "journal_not_read"}, events.names)
}
