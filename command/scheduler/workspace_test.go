package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// submitOf forwards a job or cancellation of a workspace, and returns whether the host is told that the identity is taken.
func (harness *harness) submitOf(workspace string, id almondcross.JobID, cancel bool) bool {
	harness.t.Helper()
	job := newJob(id, almondcross.StepConfig{Count: 1}).WithWorkspace(workspace)
	if cancel {
		job = job.WithSteps(nil)
	}
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
		Host: "h-2", Number: 1, Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Settings: settings(1, "q"), Cancel: cancel}),
	}))
	harness.answerCommits()
	return requireEffect[ConfirmIntake](harness).Stored.Taken()
}

// recordedFormats returns the numbers of the journal's format and the admissions and cancellations with a workspace, in order.
func recordedFormats(batches []almondcross.JournalBatch) (formats []int, beforeFormat int) {
	for _, batch := range batches {
		for _, change := range batch.Changes() {
			switch {
			case change.Kind() == almondcross.ChangeFormat:
				formats = append(formats, change.Format())
			case change.Job().Workspace() != "" && (len(formats) == 0 || formats[len(formats)-1] < workspaceFormat):
				beforeFormat++
			}
		}
	}
	return formats, beforeFormat
}

// Guards against a caller that takes over, repeats or cancels a job of another workspace at the scheduler, when the host that it
// calls does not know of the job.
func TestIntakeOfAnotherWorkspaceChangesNothing(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	require.False(t, harness.submitOf("a", "j", false))
	intakes := func() int {
		count := 0
		for _, batch := range harness.batches {
			for _, change := range batch.Changes() {
				if change.Kind() == almondcross.ChangeAdmit || change.Kind() == almondcross.ChangeCancel {
					count++
				}
			}
		}
		return count
	}
	require.True(t, harness.submitOf("b", "j", false))
	require.True(t, harness.submitOf("b", "j", true), "the caller is told 410")
	require.Equal(t, 1, intakes(), "nothing is stored")
	require.Equal(t, "a", harness.machine.state.jobs["j"].spec.Workspace())
	require.False(t, harness.submitOf("a", "j", false))
	require.False(t, harness.submitOf("", "j", false), "a host of an earlier version sends no workspace")
	require.False(t, harness.submitOf("a", "j", true))
	require.Equal(t, almondcross.JobCancelled, harness.machine.state.jobs["j"].state)
}

// Guards against an accepted job that never runs because another workspace has cancelled its identity before the scheduler has read
// it, and against one that is forgotten with that cancellation.
func TestCancellationOfAnotherWorkspaceKeepsNoJobFromRunning(t *testing.T) {
	for _, reload := range []bool{false, true} {
		harness := newHarness(t)
		harness.becomeScheduler()
		require.False(t, harness.submitOf("b", "j", true), "no host knows the job")
		require.Equal(t, almondcross.JobCancelled, harness.machine.state.jobs["j"].state)
		if reload {
			harness.machine.state = restore(harness.machine.state.snapshot(harness.journalEnd, harness.now), time.Minute, harness.now, nil)
		}
		require.True(t, harness.submitOf("c", "j", true), "a cancellation of a third workspace changes nothing")
		require.False(t, harness.submitOf("a", "j", false))
		require.True(t, harness.submitOf("b", "j", true))
		require.Equal(t, "a", harness.machine.state.jobs["j"].spec.Workspace())
		replayed := newState(time.Minute)
		for _, batch := range harness.batches {
			replayed.applyBatch(batch, harness.now)
		}
		for _, state := range []*state{harness.machine.state, replayed} {
			require.Equal(t, almondcross.JobQueued, state.jobs["j"].state)
			require.Empty(t, state.finishedJobs)
			state.beginBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: harness.now.Add(time.Hour)}), harness.now)
			require.Contains(t, state.jobs, almondcross.JobID("j"), "it is open, whatever the age of the cancellation")
		}

		require.False(t, harness.submitOf("a", "k", true))
		require.False(t, harness.submitOf("a", "k", false))
		require.Equal(t, almondcross.JobCancelled, harness.machine.state.jobs["k"].state, "a cancellation before its own job counts")
	}
}

// Guards against a number that is raised without need, after the first workspace, or more than once; and against a successor that
// falls back to the lower number.
func TestFormatIsRaisedBeforeTheFirstWorkspace(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		harness := newHarness(t)
		harness.becomeScheduler()
		require.False(t, harness.submitOf("", "i", false))
		formats, _ := recordedFormats(harness.batches)
		require.Equal(t, []int{plainFormat}, formats)
		require.False(t, harness.submitOf("a", "j", cancel))
		require.False(t, harness.submitOf("b", "k", false))
		formats, before := recordedFormats(harness.batches)
		require.Equal(t, []int{plainFormat, workspaceFormat}, formats)
		require.Zero(t, before)

		replayed := newState(time.Minute)
		for _, batch := range harness.batches {
			replayed.applyBatch(batch, harness.now)
		}
		restored := restore(replayed.snapshot(harness.journalEnd, harness.now), time.Minute, harness.now, nil)
		for _, state := range []*state{replayed, restored} {
			require.Equal(t, workspaceFormat, state.format)
			require.Equal(t, "a", state.jobs["j"].spec.Workspace())
			require.Equal(t, "a", state.jobs["j"].view().Workspace())
		}
		successor := newHarnessOf(t, "h-3")
		successor.machine.state.format = workspaceFormat
		require.Equal(t, workspaceFormat, successor.machine.writtenFormat())
	}
}

// Guards against a host of format 1 that is or becomes a standby after the first workspace: it could be elected, or load a snapshot
// that it cannot read for ever, and would answer callers neither way.
func TestHostsOfFormatOneBecomeViewers(t *testing.T) {
	link := func(host string, format int) almondcross.HostLinkChanged {
		return almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host, Present: true, Strength: 100, Format: format})
	}
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(link("old", 0))
	harness.apply(link("new", journalFormat))
	harness.answerCommits()
	require.True(t, harness.machine.linkedHosts["old"].standby, "the journal has no workspace yet")
	harness.effects = nil

	require.False(t, harness.submitOf("a", "j", false))
	require.False(t, harness.machine.linkedHosts["old"].standby)
	require.True(t, harness.machine.linkedHosts["new"].standby)
	assigned := requireEffect[AssignRole](harness)
	require.Equal(t, "old", assigned.Host)
	require.False(t, assigned.Assigned.Standby())
	var reset bool
	for pushed, found := takeEffect[PushViews](harness); found; pushed, found = takeEffect[PushViews](harness) {
		reset = reset || pushed.Pushed.Reset() && pushed.Hosts[0] == "old"
	}
	require.True(t, reset, "it gets all views")
	harness.apply(link("old", 0))
	harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "new"}))
	require.False(t, harness.machine.linkedHosts["old"].standby, "it takes no free place")
}

// Guards against a workspace that is lost on its way through the records to a host that follows.
func TestFollowersKnowTheWorkspace(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	harness := newHarness(t)
	harness.becomeScheduler()
	require.False(t, harness.submitOf("a", "j", false))
	follower := newHarnessOf(t, "h-3")
	follower.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	follower.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	var batches []almondcross.JournalBatch
	for _, batch := range harness.batches {
		record, err := codec.EncodeBatch(batch)
		require.NoError(t, err)
		decoded, err := codec.DecodeBatch(record)
		require.NoError(t, err)
		batches = append(batches, decoded)
	}
	follower.follow(batches...)
	view, found := follower.finder().Find("j")
	require.True(t, found)
	require.Equal(t, "a", view.Workspace())
	_, knowledge := follower.finder().Lookup("j", queueNamed("q"), "a", follower.now)
	require.Equal(t, almondcross.JobKnown, knowledge)
	_, knowledge = follower.finder().Lookup("j", queueNamed("q"), "b", follower.now)
	require.NotEqual(t, almondcross.JobKnown, knowledge)
}

// lineRecorder keeps the fields of one kind of log line.
type lineRecorder struct {
	noopRecorder
	event string
	lines []string
}

func (linerecorder *lineRecorder) Record(event string, fields ...almondcross.LogField) {
	if event == linerecorder.event {
		linerecorder.lines = append(linerecorder.lines, fmt.Sprint(fields))
	}
}

// Guards against an audit that misses a change, quotes a key, or adds lines to cells without workspaces.
func TestEachVersionIsAudited(t *testing.T) {
	workspace := func(name string, weight, cpu int64, keys ...string) almondcross.Workspace {
		return almondcross.NewWorkspace(almondcross.WorkspaceConfig{
			Name: name, Keys: keys, Weight: weight, Quota: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: cpu}),
		})
	}
	version := func(number int64, workspaces ...almondcross.Workspace) almondcross.RouteTable {
		return almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: number, KeysRequired: true, Workspaces: workspaces})
	}
	first := version(1, workspace("a", 1, 1000, "secret-1", "secret-2"), workspace("b", 1, 0, "secret-3"), workspace("c", 1, 0))
	second := version(2, workspace("a", 1, 2000, "secret-2", "secret-3"), workspace("c", 2, 0), workspace("d", 1, 500))
	require.Equal(t, workspaceAudit{
		added: []string{"d"}, removed: []string{"b"}, changed: []string{"a", "c"}, keysAdded: 1, keysRemoved: 2,
		quotas: []string{"a 1000/0/0 -> 2000/0/0", "d 0/0/0 -> 500/0/0"},
	}, newWorkspaceAudit(first, second))

	recorder := &lineRecorder{event: "workspaces_in_force"}
	harness := newHarness(t)
	harness.machine.config.Log = recorder
	harness.apply(routes(1))
	require.Empty(t, recorder.lines)
	for _, table := range []almondcross.RouteTable{
		first.WithVersion(2), second.WithVersion(3), second.WithVersion(3), version(4), almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 5}),
	} {
		harness.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: table}))
	}
	require.Len(t, recorder.lines, 4, "one line for each version, also for that without workspaces, and none for one that is read again")
	require.NotContains(t, fmt.Sprint(recorder.lines), "secret")
}
