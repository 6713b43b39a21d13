package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/orderer"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/query/jobfinder"
)

// formatRecorder counts the log lines and the metric that report an unknown format.
type formatRecorder struct {
	noopRecorder
	lines, counted int
}

func (formatrecorder *formatRecorder) Record(event string, _ ...almondcross.LogField) {
	if event == "journal_format_unknown" {
		formatrecorder.lines++
	}
}

func (formatrecorder *formatRecorder) FormatUnknown() { formatrecorder.counted++ }

// newFormatHarness returns a standby that has loaded a snapshot without jobs, and its counts.
func newFormatHarness(t testingT) (*harness, *formatRecorder) {
	harness, recorder := newHarness(t), &formatRecorder{}
	harness.machine = NewMachine(Config{
		Host: "h-1", Address: "10.0.0.9:1", Partitions: 1, Retention: time.Minute, MaxLease: 10 * time.Second, SnapshotInterval: time.Hour, RecordBytes: 256 << 10,
		BatchesPerAppend: 8, Strength: 100, Random: rand.New(rand.NewPCG(1, 1)), Publisher: jobfinder.New(), Picker: picker.BestFit{}, Order: orderer.BySlack{}, Log: recorder, Metrics: recorder,
	})
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	return harness, recorder
}

// elected returns the batch of the election of a host whose version writes a format, none if it is zero.
func (harness *harness) elected(term int64, host string, format int) almondcross.JournalBatch {
	changes := []almondcross.Change{almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: host, Address: "10.0.0.2:1"})}
	if format > 0 {
		changes = append(changes, almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeFormat, Format: format}))
	}
	return almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: term << epochRandomBits, At: harness.now, Changes: changes})
}

// follow lets the machine read batches.
func (harness *harness) follow(batches ...almondcross.JournalBatch) {
	harness.batches = append(harness.batches, batches...)
	harness.journalEnd = int64(len(harness.batches))
	harness.readJournalToEnd()
}

// standsForElection reports whether the machine stands for election while nothing more is written.
func (harness *harness) standsForElection() bool {
	for range 100 {
		if countEffects[Commit](harness) > 0 {
			return true
		}
		harness.advance(20 * time.Millisecond)
		harness.readJournalToEnd()
	}
	return false
}

// announcedStrengths removes the announcements and returns the strengths in them.
func (harness *harness) announcedStrengths() []int {
	var strengths []int
	for announced, found := takeEffect[AnnounceScheduler](harness); found; announced, found = takeEffect[AnnounceScheduler](harness) {
		if announced.Pointer.Host() != "" {
			strengths = append(strengths, announced.Strength)
		}
	}
	return strengths
}

// Guards against a host that is elected with a state from which changes are missing, because it skipped those of a later
// version; and against one that is kept from an election by the format that it writes itself, or by the version before, which
// writes none.
func TestHostWithAnOlderFormatIsNoCandidate(t *testing.T) {
	for format, stands := range map[int]bool{0: true, journalFormat: true, journalFormat + 1: false, journalFormat + 7: false} {
		harness, recorder := newFormatHarness(t)
		harness.follow(harness.elected(1, "h-2", format))
		harness.follow(harness.newAdmission("j"))
		require.Equal(t, stands, harness.standsForElection(), "format %d", format)
		expected := 1
		if stands {
			expected = 0
		}
		require.Equal(t, expected, recorder.lines, "one line for a scheduler")
		require.Equal(t, expected, recorder.counted)
	}
}

// Guards against a host that forgets a format that it does not know: a scheduler of an earlier version follows, and what the
// host has skipped is still missing. A snapshot of that scheduler has all of it.
func TestUnknownFormatOutlivesItsScheduler(t *testing.T) {
	for _, next := range []int{0, journalFormat} {
		harness, recorder := newFormatHarness(t)
		harness.follow(harness.elected(1, "h-2", journalFormat+1))
		harness.follow(harness.elected(2, "h-3", next))
		require.False(t, harness.standsForElection())
		require.Equal(t, 2, recorder.lines, "one line for each scheduler")

		harness.machine.loadState(0)
		harness.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{
			Found: true, Snapshot: almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
				Next: 2, Epoch: 2 << epochRandomBits, SchedulerEpoch: 2 << epochRandomBits, Host: "h-3", At: harness.now,
			}),
		}))
		require.True(t, harness.standsForElection())
	}
}

// Guards against a host that answers callers from a state from which changes are missing. It leaves the answers to the
// scheduler's views, and knows nothing of open jobs until it has them.
func TestHostWithAnOlderFormatShowsTheViewsOfTheScheduler(t *testing.T) {
	harness, _ := newFormatHarness(t)
	harness.follow(harness.elected(1, "h-2", journalFormat), harness.newAdmission("j"))
	require.Equal(t, []int{100}, harness.announcedStrengths())
	require.Equal(t, 1, harness.pendingCount())

	harness.follow(harness.elected(2, "h-3", journalFormat+1))
	require.Equal(t, []int{0}, harness.announcedStrengths(), "the scheduler makes it a viewer")
	harness.follow(harness.newAdmission("k"))
	require.Equal(t, 1, harness.pendingCount(), "nothing is published from the state")
	harness.follow()
	harness.run(3 * time.Second)
	harness.readJournalToEnd()
	require.Equal(t, -1, harness.pendingCount(), "callers are told to ask again")

	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
	require.Equal(t, roleViewer, harness.machine.role)
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Complete: true, Changes: []almondcross.JobViewChange{
		newViewChange("j", almondcross.JobQueued), newViewChange("k", almondcross.JobQueued), newViewChange("l", almondcross.JobQueued),
	}}))
	require.Equal(t, 3, harness.pendingCount())
	require.Zero(t, harness.machine.strength())

	harness.effects = nil
	harness.run(2 * linkTimeout) // The scheduler is lost.
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 3<<epochRandomBits), Found: true, Stored: true}))
	require.Equal(t, []int{100}, harness.announcedStrengths(), "the next scheduler may be one of a known format")
}

// Guards against views of the scheduler that a host leaves out because it has published its own state before it met the format.
func TestPushedViewsReplaceThoseOfAnOlderFormat(t *testing.T) {
	harness, _ := newFormatHarness(t)
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Complete: true})) // It comes while the host loads the state.
	harness.follow(harness.elected(1, "h-2", journalFormat), harness.newAdmission("j"))
	harness.follow(harness.elected(2, "h-3", journalFormat+1))
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Changes: []almondcross.JobViewChange{newViewChange("x", almondcross.JobQueued)}}))
	require.Equal(t, 1, harness.pendingCount(), "changes alone are not all views")
	harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: []almondcross.JobViewChange{newViewChange("j", almondcross.JobRunning)}}))
	require.Zero(t, harness.pendingCount())
}

// Guards against a number that hosts of a later version miss: it has to be in the batch of the election, before all other changes
// of the scheduler, and in the journal behind each snapshot before a host can load that.
func TestSchedulerRecordsItsFormat(t *testing.T) {
	formats := func(batches []almondcross.JournalBatch) []int {
		var formats []int
		for _, batch := range batches {
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeFormat {
					formats = append(formats, change.Format())
				}
			}
		}
		return formats
	}
	harness := newHarness(t)
	harness.machine.config.SnapshotInterval = time.Second
	harness.becomeScheduler()
	require.Equal(t, []int{plainFormat}, formats(harness.batches), "a journal without workspaces is one of the version before")
	election := harness.batches[1].Changes()
	require.Len(t, election, 2)
	require.Equal(t, almondcross.ChangeElected, election[0].Kind())
	require.Equal(t, almondcross.ChangeFormat, election[1].Kind())

	for range 10 {
		snapshot := harness.leadUntilSnapshot()
		require.NotEmpty(t, formats(harness.batches[snapshot.Next():]), "a host that loads the snapshot meets the number")
	}
}

// leadUntilSnapshot lets the scheduler work until it stores a snapshot, and returns that.
func (harness *harness) leadUntilSnapshot() almondcross.StateSnapshot {
	harness.t.Helper()
	for range 500 {
		if stored, found := takeEffect[StoreSnapshot](harness); found {
			snapshot := stored.Request.Snapshot()
			harness.apply(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{Epoch: snapshot.SchedulerEpoch()}))
			return snapshot
		}
		harness.advance(leaderTick)
		if _, found := harness.pendingCommit(); found {
			harness.answerCommit()
		}
	}
	require.Fail(harness.t, "no snapshot was stored")
	return almondcross.StateSnapshot{}
}
