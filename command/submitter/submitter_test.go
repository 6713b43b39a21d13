package submitter_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type discardLog struct{}

func (discardLog) Record(string, ...almondcross.LogField) {}

// store answers appends according to its mode.
type store struct {
	mode    atomic.Int32
	records atomic.Int64
	appends atomic.Int64
}

// recordBytes and callBytes are the limits of the store.
const (
	recordBytes = 256 << 10
	callBytes   = 1 << 20
	// intakeBytes is the memory of the jobs that may be stored before the scheduler has read them.
	intakeBytes = 8 << 20
)

const (
	storeAnswers int32 = iota
	storeRefuses
	storeSilent
)

func (store *store) Append(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	bytes := 0
	for _, record := range batch.Records() {
		bytes += 4 + len(record)
		if len(record) > recordBytes {
			return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
		}
	}
	if bytes > callBytes {
		return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
	}
	switch store.mode.Load() {
	case storeRefuses:
		return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
	case storeSilent:
		<-ctx.Done()
		return almondcross.StoreAppended{}, almondcross.ErrStoreUncertain
	}
	store.records.Add(int64(len(batch.Records())))
	store.appends.Add(1)
	return almondcross.StoreAppended{}, nil
}

type fixture struct {
	store              *store
	client             *submitter.Client
	schedulerReachable atomic.Bool
	schedulerAnswers   atomic.Bool
	identityTaken      atomic.Bool
	refusedFor         atomic.Int64 // refusedFor is the time for which the scheduler refuses, as a time.Duration.
	forwarded          atomic.Int64 // forwarded counts the intakes that were sent to the scheduler.
	stored             *ring.Ring[almondcross.IntakeStored]
	answerDelay        time.Duration // answerDelay is the time after which the scheduler answers if schedulerAnswers is not set, 0 for never.
}

func newFixture(ctx context.Context, t *testing.T) *fixture {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	submissions := ring.New[submitter.Submission](ring.Config{Name: "submissions", Capacity: 64})
	stored := ring.New[almondcross.IntakeStored](ring.Config{Name: "stored", Capacity: 64})
	fixture := &fixture{store: &store{}, client: submitter.NewClient(submissions), stored: stored}
	duty := submitter.New(submitter.Config{
		Writer: fixture.store, Codec: codec, Clock: clock{}, Log: discardLog{}, Topic: "intake", Partitions: 2, Stored: stored, RecordBytes: recordBytes, CallBytes: callBytes,
		IntakeBytes: intakeBytes,
		Forward: func(forwarded almondcross.IntakeForwarded) bool {
			fixture.forwarded.Add(1)
			if fixture.schedulerReachable.Load() && fixture.schedulerAnswers.Load() {
				stored.Offer(almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{
					Number: forwarded.Number(), Taken: fixture.identityTaken.Load(), RefusedFor: time.Duration(fixture.refusedFor.Load()),
				}))
			}
			if delay := fixture.answerDelay; delay > 0 {
				time.AfterFunc(delay, func() {
					stored.Offer(almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: forwarded.Number(), RefusedFor: time.Duration(fixture.refusedFor.Load())}))
				})
			}
			return fixture.schedulerReachable.Load()
		},
	})
	go func() { _ = duty.Run(ctx, submissions) }()
	return fixture
}

func (fixture *fixture) submit(ctx context.Context) (time.Duration, error) {
	started := time.Now()
	job := almondcross.NewJob(almondcross.JobConfig{ID: "5c0e7a21d94b36f8"})
	err := fixture.client.Submit(ctx, almondcross.NewIntake(almondcross.IntakeConfig{Job: job}), 800*time.Millisecond)
	return time.Since(started), err
}

// Guards against callers that wait for a store that does not respond, and against answering that an intake was not
// stored when it may have been.
func TestUnresponsiveStoreDoesNotDelayCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		_, err := fixture.submit(ctx)
		require.NoError(t, err)
		fixture.store.mode.Store(storeSilent)
		took, err := fixture.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrMaybeStored)
		require.LessOrEqual(t, took, 800*time.Millisecond)
		took, err = fixture.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrNotStored, "nothing is sent while the store is known to be unavailable")
		require.Less(t, took, 50*time.Millisecond)
		fixture.store.mode.Store(storeAnswers)
		<-time.After(time.Second)
		_, err = fixture.submit(ctx)
		require.NoError(t, err, "a probe detects that the store is available again")
	})
}

// Guards against a host that refuses intakes although the scheduler could store them, and against reporting a job as
// not stored after it was forwarded to a scheduler that did not answer.
func TestIntakesAreForwardedToTheScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.store.mode.Store(storeRefuses)
		fixture.schedulerReachable.Store(true)
		fixture.schedulerAnswers.Store(true)
		_, err := fixture.submit(ctx)
		require.NoError(t, err)
		require.Zero(t, fixture.store.records.Load())
		fixture.schedulerAnswers.Store(false)
		_, err = fixture.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrMaybeStored)
		fixture.store.mode.Store(storeAnswers)
		<-time.After(2 * time.Second)
		_, err = fixture.submit(ctx)
		require.NoError(t, err, "intakes that the scheduler does not confirm are appended to the store")
		require.Equal(t, int64(1), fixture.store.records.Load())
	})
}

// Guards against a job or a cancellation that is acknowledged and lost (LOST, UNASKED): the scheduler confirms an intake of
// the process before this one over the new link, and the number of that intake is that of another one, which is not in the
// journal yet.
func TestAnswersToAnEarlierProcessConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.schedulerReachable.Store(true)
		fixture.stored.Offer(almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: 1}))
		_, err := fixture.submit(ctx)
		require.NoError(t, err)
		require.Equal(t, int64(1), fixture.store.records.Load(), "an intake that the scheduler does not confirm is appended to the store")
	})
}

// Guards against telling a caller that its job is stored although the scheduler has not admitted it, since a job of another
// queue has its identity, and against storing it after that answer.
func TestTakenIdentityIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.schedulerReachable.Store(true)
		fixture.schedulerAnswers.Store(true)
		fixture.identityTaken.Store(true)
		_, err := fixture.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrIdentityTaken)
		require.Zero(t, fixture.store.records.Load())
	})
}

// Guards against a job that is stored without the settings by which it was accepted, or in another append than they, and
// against settings that make its records larger than the journal can hold.
func TestJobIsStoredWithItsSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		submit := func(name string) error {
			job := almondcross.NewJob(almondcross.JobConfig{ID: "5c0e7a21d94b36f8", Queue: name})
			queue := almondcross.NewQueue(almondcross.QueueConfig{Name: name, Pool: "pool"})
			settings := almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{Queue: queue, Version: 6})
			return fixture.client.Submit(ctx, almondcross.NewIntake(almondcross.IntakeConfig{Job: job, Settings: settings}), 800*time.Millisecond)
		}
		require.NoError(t, submit("q"))
		require.Equal(t, int64(2), fixture.store.records.Load())
		require.Equal(t, int64(1), fixture.store.appends.Load())
		require.ErrorIs(t, submit(strings.Repeat("q", recordBytes/2)), almondcross.ErrTooLarge)
	})
}

// Guards against a job that the store refuses for its size: it would make the host refuse all callers as if the store were
// lost, each time that its caller sends it again. The same holds for a batch that exceeds the limit of an append.
func TestLargeJobsLeaveTheStoreUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		submit := func(bytes int) error {
			job := almondcross.NewJob(almondcross.JobConfig{ID: "5c0e7a21d94b36f8", Payload: strings.Repeat("x", bytes)})
			return fixture.client.Submit(ctx, almondcross.NewIntake(almondcross.IntakeConfig{Job: job}), 800*time.Millisecond)
		}
		require.ErrorIs(t, submit(recordBytes), almondcross.ErrTooLarge)
		require.NoError(t, submit(1), "the store is not taken for lost")
		const submissions = 12
		results := make(chan error, submissions)
		for range submissions {
			go func() { results <- submit(recordBytes / 2) }()
		}
		for range submissions {
			require.NoError(t, <-results)
		}
	})
}

// Guards against an intake that is refused although a probe has found that the store answers again. If the result of the probe
// and the intake waited together, chance decided which came first.
func TestResultOfAProbeComesBeforeWaitingIntakes(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			fixture := newFixture(ctx, t)
			fixture.store.mode.Store(storeSilent)
			_, err := fixture.submit(ctx)
			require.ErrorIs(t, err, almondcross.ErrMaybeStored)
			fixture.store.mode.Store(storeAnswers)
			fixture.schedulerReachable.Store(true) // It does not answer, so the submitter waits 250 ms for it, and the probe ends meanwhile.
			first := make(chan error, 1)
			go func() {
				_, err := fixture.submit(ctx)
				first <- err
			}()
			<-time.After(220 * time.Millisecond)
			_, err = fixture.submit(ctx)
			require.NoError(t, err)
			require.NoError(t, <-first, "the probe ended while this intake waited for the scheduler")
		})
	}
}

// Guards against refusing callers while the store is slow: the scheduler answers after two appends, which take a quarter of a second
// each, and the appends of all hosts to the intake topic wait for each other.
func TestSlowAnswersOfTheSchedulerAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.store.mode.Store(storeSilent)
		fixture.schedulerReachable.Store(true)
		fixture.answerDelay = 520 * time.Millisecond
		_, err := fixture.submit(ctx)
		require.NoError(t, err, "the answer comes while the append waits")
		<-time.After(time.Second)
		results := make(chan error, 20)
		for range cap(results) {
			go func() {
				_, err := fixture.submit(ctx)
				results <- err
			}()
			<-time.After(40 * time.Millisecond)
		}
		for range cap(results) {
			require.NoError(t, <-results)
		}
		require.Zero(t, fixture.store.records.Load())
	})
}

// Guards against callers that use up their attempts during an outage of the store: the time to return grows with the outage.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fixture := newFixture(ctx, t)
		fixture.store.mode.Store(storeRefuses)
		previous := time.Duration(0)
		for range 4 {
			_, err := fixture.submit(ctx)
			require.ErrorIs(t, err, almondcross.ErrNotStored)
			var refused *almondcross.NotStoredError
			require.ErrorAs(t, err, &refused)
			require.GreaterOrEqual(t, refused.RetryAfter(), previous)
			require.GreaterOrEqual(t, refused.RetryAfter(), time.Second)
			require.LessOrEqual(t, refused.RetryAfter(), 3*time.Second)
			previous = refused.RetryAfter()
			<-time.After(time.Second)
		}
		require.Greater(t, previous, 2*time.Second)
	})
}

// Guards against callers that are not told in time that their job was not sent, so that they have no time for another attempt, and
// against an intake that is sent after that answer.
func TestIntakeThatIsNotSentIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		submissions := ring.New[submitter.Submission](ring.Config{Name: "submissions", Capacity: 1})
		started := time.Now()
		err := submitter.NewClient(submissions).Submit(t.Context(), almondcross.NewIntake(almondcross.IntakeConfig{}), 800*time.Millisecond)
		require.ErrorIs(t, err, almondcross.ErrNotStored)
		require.LessOrEqual(t, time.Since(started), 400*time.Millisecond)
		require.True(t, (<-submissions.Messages()).Decided.Load())
	})
}
