package submitter_test

import (
	"context"
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

type quiet struct{}

func (quiet) Record(string, ...almondcross.LogField) {}

// store answers appends as told.
type store struct {
	mode    atomic.Int32
	records atomic.Int64
}

const (
	answers int32 = iota
	refuses
	silent
)

func (store *store) Append(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	switch store.mode.Load() {
	case refuses:
		return almondcross.StoreAppended{}, almondcross.ErrStoreRefused
	case silent:
		<-ctx.Done()
		return almondcross.StoreAppended{}, almondcross.ErrStoreUnknown
	}
	store.records.Add(int64(len(batch.Records())))
	return almondcross.StoreAppended{}, nil
}

type world struct {
	store   *store
	desk    *submitter.Desk
	linked  atomic.Bool
	answers atomic.Bool
}

func start(ctx context.Context, t *testing.T) *world {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	submissions := ring.New[submitter.Submission](ring.Config{Name: "submissions", Capacity: 64})
	stored := ring.New[almondcross.IntakeStored](ring.Config{Name: "stored", Capacity: 64})
	world := &world{store: &store{}, desk: submitter.NewDesk(submissions)}
	duty := submitter.New(submitter.Config{
		Writer: world.store, Codec: codec, Clock: clock{}, Log: quiet{}, Topic: "intake", Partitions: 2, Stored: stored,
		Forward: func(forwarded almondcross.IntakeForwarded) bool {
			if world.linked.Load() && world.answers.Load() {
				stored.Offer(almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: forwarded.Number()}))
			}
			return world.linked.Load()
		},
	})
	go func() { _ = duty.Run(ctx, submissions) }()
	return world
}

func (world *world) submit(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	job := almondcross.NewJob(almondcross.JobConfig{ID: "5c0e7a21d94b36f8"})
	err := world.desk.Submit(ctx, almondcross.NewIntake(almondcross.IntakeConfig{Job: job}), 800*time.Millisecond)
	return time.Since(began), err
}

// Guards against callers who are held up by a store that does not answer, and against telling them that
// nothing was stored when something may have been.
func TestSilentStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		world := start(ctx, t)
		_, err := world.submit(ctx)
		require.NoError(t, err)
		world.store.mode.Store(silent)
		took, err := world.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrMaybeStored)
		require.LessOrEqual(t, took, 800*time.Millisecond)
		took, err = world.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrNotStored, "nothing is sent while the store is known to be away")
		require.Less(t, took, 50*time.Millisecond)
		world.store.mode.Store(answers)
		<-time.After(time.Second)
		_, err = world.submit(ctx)
		require.NoError(t, err, "a probe finds the store again")
	})
}

// Guards against hosts that cannot serve although the scheduler could store for them, and against a job
// that is refused for certain after it was handed to a scheduler that did not answer.
func TestIntakesGoOverTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		world := start(ctx, t)
		world.store.mode.Store(refuses)
		world.linked.Store(true)
		world.answers.Store(true)
		_, err := world.submit(ctx)
		require.NoError(t, err)
		require.Zero(t, world.store.records.Load())
		world.answers.Store(false)
		_, err = world.submit(ctx)
		require.ErrorIs(t, err, almondcross.ErrMaybeStored)
		world.store.mode.Store(answers)
		<-time.After(2 * time.Second)
		_, err = world.submit(ctx)
		require.NoError(t, err, "the store takes what the scheduler does not answer for")
		require.Equal(t, int64(1), world.store.records.Load())
	})
}
