package submitter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// submitTimeout is how long a caller waits, longer than a host waits for the scheduler.
const submitTimeout = 2400 * time.Millisecond

// submitJob submits a job of a queue with a payload of some bytes.
func (fixture *fixture) submitJob(ctx context.Context, queue string, payload int) error {
	job := almondcross.NewJob(almondcross.JobConfig{ID: almondcross.JobID(fmt.Sprintf("%016x", payload)), Queue: queue, Payload: strings.Repeat("x", payload)})
	return fixture.client.Submit(ctx, almondcross.NewIntake(almondcross.IntakeConfig{Job: job}), submitTimeout)
}

// requireNoRoom checks that a submission was refused, that the caller may rely on it, and that it is told when to return.
func requireNoRoom(t *testing.T, err error) {
	t.Helper()
	require.ErrorIs(t, err, almondcross.ErrNotStored)
	var refused *almondcross.NotStoredError
	require.ErrorAs(t, err, &refused)
	require.Positive(t, refused.RetryAfter())
}

// Guards against a job that is stored in the intake although the scheduler has no room for it, against a refusal that a smaller job or
// one of another queue gets too, and against asking for each of many jobs that cannot be served.
func TestJobsWithoutRoomAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.schedulerReachable.Store(true)
		fixture.schedulerAnswers.Store(true)
		fixture.refusedFor.Store(int64(5 * time.Second))
		requireNoRoom(t, fixture.submitJob(ctx, "q", 100))
		for range 10 {
			requireNoRoom(t, fixture.submitJob(ctx, "q", 200))
		}
		require.EqualValues(t, 1, fixture.forwarded.Load())
		fixture.refusedFor.Store(0)
		require.NoError(t, fixture.submitJob(ctx, "q", 50))
		require.NoError(t, fixture.submitJob(ctx, "r", 200))
		time.Sleep(time.Second) //nolint:forbidigo // Virtual time.
		require.NoError(t, fixture.submitJob(ctx, "q", 200))
		require.Zero(t, fixture.store.records.Load())
	})
}

// Guards against a refusal that comes after the intake was stored elsewhere: its caller would be told that the job never runs.
func TestLateRefusalIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.schedulerReachable.Store(true)
		fixture.answerDelay = 300 * time.Millisecond
		fixture.refusedFor.Store(int64(5 * time.Second))
		require.NoError(t, fixture.submitJob(ctx, "q", 100))
		require.Positive(t, fixture.store.records.Load())
		time.Sleep(100 * time.Millisecond) //nolint:forbidigo // Virtual time.
		requireNoRoom(t, fixture.submitJob(ctx, "q", 100))
	})
}

// Guards against jobs without a bound in the intake while no scheduler can be reached, which the next one has to admit, and against a
// bound that stays once a scheduler has read them.
func TestUnreadJobsAreBounded(t *testing.T) {
	const payload = 200_000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fill := func() int {
			for stored := range 1000 {
				if err := fixture.submitJob(ctx, "q", payload); err != nil {
					requireNoRoom(t, err)
					return stored
				}
			}
			return 1000
		}
		bytes := almondcross.NewJob(almondcross.JobConfig{ID: "5c0e7a21d94b36f8", Queue: "q", Payload: strings.Repeat("x", payload)}).AdmissionBytes()
		require.EqualValues(t, intakeBytes/bytes, fill())
		fixture.schedulerReachable.Store(true)
		fixture.schedulerAnswers.Store(true)
		require.NoError(t, fixture.submitJob(ctx, "q", payload))
		fixture.schedulerReachable.Store(false)
		require.EqualValues(t, intakeBytes/bytes, fill())
	})
}

// Guards against a host that refuses its callers after a while because the scheduler's answers come late: it reads the intake meanwhile.
func TestLateAnswersShowThatTheIntakeIsRead(t *testing.T) {
	const payload = 200_000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.schedulerReachable.Store(true)
		fixture.answerDelay = 2 * time.Second
		for range 60 {
			require.NoError(t, fixture.submitJob(ctx, "q", payload))
			time.Sleep(time.Second) //nolint:forbidigo // Virtual time.
		}
		require.Positive(t, fixture.store.records.Load())
	})
}
