package committer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/committer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

// slowWriter answers each append after a delay, or never if it is negative for the attempt.
type slowWriter struct {
	attempts atomic.Int64
	delay    func(attempt int64) time.Duration
	err      error
}

func (slowwriter *slowWriter) Append(ctx context.Context, batch almondcross.StoreAppend) (almondcross.StoreAppended, error) {
	delay := slowwriter.delay(slowwriter.attempts.Add(1))
	if delay < 0 {
		<-ctx.Done()
		return almondcross.StoreAppended{}, almondcross.ErrStoreUncertain
	}
	if !ring.Pause(ctx, delay) {
		return almondcross.StoreAppended{}, almondcross.ErrStoreUncertain
	}
	return almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: 7, End: 7 + int64(len(batch.Records()))}), slowwriter.err
}

// commit appends one batch and returns the answer and the time that it took.
func commit(t *testing.T, writer *slowWriter, commit almondcross.JournalCommitConfig) (almondcross.JournalCommitted, time.Duration) {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	messages := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 1})
	requests := ring.New[almondcross.JournalCommit](ring.Config{Name: "commits", Capacity: 1})
	duty := committer.New(committer.Config{Writer: writer, Codec: codec, Sink: messages, Clock: testClock{}, Name: "scheduler"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = duty.RunJournal(ctx, requests) }()
	started := time.Now()
	commit.Batches = []almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, At: started})}
	require.NoError(t, requests.Put(ctx, almondcross.NewJournalCommit(commit)))
	answer, ok := (<-messages.Messages()).(almondcross.JournalCommitted)
	require.True(t, ok)
	return answer, time.Since(started)
}

type testClock struct{}

func (testClock) Now() time.Time { return time.Now() }

// Guards against giving up an append to a slow store shortly before its answer, so that each batch takes longer than the store does,
// and against waiting long for a lost answer.
func TestAppendsToTheJournalAreHedged(t *testing.T) {
	for name, test := range map[string]struct {
		delay    func(attempt int64) time.Duration
		err      error
		within   time.Duration
		attempts int64
	}{
		"fast":       {delay: func(int64) time.Duration { return 4 * time.Millisecond }, within: 5 * time.Millisecond, attempts: 1},
		"slow":       {delay: func(int64) time.Duration { return 500 * time.Millisecond }, within: 510 * time.Millisecond, attempts: 2},
		"lost":       {delay: func(attempt int64) time.Duration { return time.Duration(attempt-2) * 4 * time.Millisecond }, within: 360 * time.Millisecond, attempts: 2},
		"fenced":     {delay: func(int64) time.Duration { return time.Millisecond }, err: almondcross.ErrStoreFenced, within: 5 * time.Millisecond, attempts: 1},
		"refused":    {delay: func(int64) time.Duration { return time.Millisecond }, err: almondcross.ErrStoreRefused, within: 5 * time.Millisecond, attempts: 1},
		"no answers": {delay: func(int64) time.Duration { return -1 }, err: almondcross.ErrStoreUncertain, within: 1500 * time.Millisecond, attempts: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writer := &slowWriter{delay: test.delay, err: test.err}
				answer, took := commit(t, writer, almondcross.JournalCommitConfig{Epoch: 1, Sequence: 3})
				require.ErrorIs(t, answer.Err(), test.err)
				require.LessOrEqual(t, took, test.within)
				require.Equal(t, test.attempts, writer.attempts.Load())
				if test.err == nil {
					require.Equal(t, int64(8), answer.Appended().End())
				}
			})
		})
	}
}

// Guards against losing an election to its own repeated append, whose condition no longer holds.
func TestElectionsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &slowWriter{delay: func(int64) time.Duration { return 500 * time.Millisecond }}
		answer, _ := commit(t, writer, almondcross.JournalCommitConfig{Epoch: 1, Sequence: 1, Election: true})
		require.Error(t, answer.Err())
		require.Equal(t, int64(1), writer.attempts.Load())
	})
}
