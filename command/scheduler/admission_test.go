package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/policy/rationer"
)

// newLimitedHarness returns the harness of a scheduler whose state has room for some bytes of jobs.
func newLimitedHarness(t testingT, stateBytes int64) *harness {
	t.Helper()
	harness := newHarness(t)
	harness.machine.config.StateBytes, harness.machine.config.Room = stateBytes, rationer.ByFreeRoom{}
	harness.becomeScheduler()
	return harness
}

// forward forwards an intake from a host and returns the answer, and false if there is none before the next append.
func (harness *harness) forward(host string, intake almondcross.IntakeConfig) (almondcross.IntakeStored, bool) {
	harness.t.Helper()
	harness.apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: host, Number: 7, Intake: almondcross.NewIntake(intake)}))
	confirmed, found := takeEffect[ConfirmIntake](harness)
	return confirmed.Stored, found
}

// fill forwards equal jobs of a queue until one is refused, and returns how many were admitted.
func (harness *harness) fill(queue string) int {
	harness.t.Helper()
	for admitted := range 10_000 {
		job := newJob(almondcross.JobID(fmt.Sprintf("%s-%d", queue, admitted)), almondcross.StepConfig{Count: 10}).WithQueue(queue)
		if answer, found := harness.forward("h-1", almondcross.IntakeConfig{Job: job, Settings: settings(1, queue)}); found {
			require.Positive(harness.t, answer.RefusedFor())
			require.NotContains(harness.t, harness.machine.state.jobs, job.ID(), "a refused job")
			return admitted
		}
	}
	require.Fail(harness.t, "no job was refused")
	return 0
}

// Guards against jobs without a bound, against one queue that shuts the others out, and against a refusal of what needs no room: a
// repeated submission, or the cancellation of an admitted job.
func TestFullStateRefusesWhatHasNoRoom(t *testing.T) {
	const stateBytes = 1 << 20
	harness := newLimitedHarness(t, stateBytes)
	harness.machine.config.Retention, harness.machine.state.retention = time.Minute, time.Minute
	admitted := harness.fill("q")
	require.Greater(t, admitted, 100)
	require.Positive(t, harness.fill("r"))
	require.Positive(t, harness.fill("s"))
	require.LessOrEqual(t, harness.machine.state.ledger.used, int64(stateBytes))
	known, unknown := newJob("q-0", almondcross.StepConfig{Count: 10}), newJob("unknown", almondcross.StepConfig{Count: 10})
	for name, intake := range map[string]almondcross.IntakeConfig{
		"a repeated submission":             {Job: known, Settings: settings(1, "q")},
		"a cancellation of an admitted job": {Job: known.WithSteps(nil), Settings: settings(1, "q"), Cancel: true},
	} {
		_, refused := harness.forward("h-1", intake)
		require.False(t, refused, name)
	}
	for index := range admitted {
		job := newJob(almondcross.JobID(fmt.Sprintf("q-%d", index)))
		harness.forward("h-1", almondcross.IntakeConfig{Job: job, Settings: settings(1, "q"), Cancel: true})
	}
	_, refused := harness.forward("h-1", almondcross.IntakeConfig{Job: unknown, Settings: settings(1, "q")})
	require.False(t, refused, "the canceled jobs have returned their room")
	harness.machine.state.batchTime = harness.now.Add(time.Hour)
	harness.machine.state.expireJobs()
	require.Equal(t, unknown.AdmissionBytes(), harness.machine.state.ledger.held[unknown.Holder()], "forgotten jobs hold nothing")
}

// Guards against a scheduler that accepts more than the weakest host can hold, which may have to load the state, and against a
// refusal that a host of an earlier version takes for an acceptance.
func TestWeakestHostLimitsTheState(t *testing.T) {
	harness := newLimitedHarness(t, 1<<30)
	link := func(host string, stateBytes int64, present bool) {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
			Host: host, Present: present, Strength: 50, StateBytes: stateBytes, ViewFormat: almondcross.ViewFormat,
		}))
	}
	link("earlier", 0, true)
	require.Equal(t, int64(1<<30), harness.machine.leader.stateLimit)
	link("weak", 1<<18, true)
	require.Less(t, harness.fill("q"), 100)
	job := newJob("new", almondcross.StepConfig{Count: 10})
	_, refused := harness.forward("weak", almondcross.IntakeConfig{Job: job, Settings: settings(1, "q")})
	require.True(t, refused)
	_, refused = harness.forward("earlier", almondcross.IntakeConfig{Job: job, Settings: settings(1, "q")})
	require.False(t, refused)
	require.Contains(t, harness.machine.state.jobs, job.ID())
	link("weak", 0, false)
	require.Equal(t, int64(1<<30), harness.machine.leader.stateLimit)
}

// Guards against estimates below what the jobs of a full state take, with the tables of the scheduler, the published views and an
// encoded snapshot: the memory of the host would not bound them.
func TestEstimatesCoverTheMemoryOfJobs(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	for name, steps := range map[string][]almondcross.StepConfig{
		"one task": {{Count: 1}}, "many tasks": {{Count: 1000}}, "many steps": make([]almondcross.StepConfig, 200), "no steps": {},
	} {
		for index := range steps {
			steps[index].Count = max(steps[index].Count, 1)
		}
		harness := newLimitedHarness(t, 16<<20)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		jobs := 0
		for ; ; jobs++ {
			payload := fmt.Sprintf("%0500d", jobs)
			job := newJob(almondcross.JobID(fmt.Sprintf("%016x", jobs)), steps...).WithPayload(payload).WithQueue("q")
			if _, refused := harness.forward("h-1", almondcross.IntakeConfig{Job: job, Settings: settings(1, "q"), Cancel: len(steps) == 0}); refused {
				break
			}
			if jobs%100 == 99 {
				harness.answerCommit()
				harness.effects, harness.batches = nil, nil
			}
		}
		harness.effects, harness.batches = nil, nil
		snapshot, err := codec.EncodeSnapshot(harness.machine.state.snapshot(1, harness.now), 256<<10)
		require.NoError(t, err)
		runtime.GC()
		runtime.ReadMemStats(&after)
		taken, charged := int64(after.HeapAlloc-before.HeapAlloc), harness.machine.state.ledger.used //nolint:gosec // Both are small.
		t.Logf("%s: %d jobs take %d bytes, charged with %d", name, jobs, taken, charged)
		require.LessOrEqual(t, taken, charged, name)
		runtime.KeepAlive(snapshot)
		runtime.KeepAlive(harness)
	}
}
