package tailer_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/writer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
	"github.com/almondcross/almondcross/query/reader"
	"github.com/almondcross/almondcross/query/tailer"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/provider"
)

const stream = almondcross.StreamCatalogue

// Guards against a tailer that loses, repeats or reorders records during an outage of the log, or that
// continues after a trim without a checkpoint.
func TestTailerRecoversFromOutageAndTrim(t *testing.T) {
	platform, err := provider.New(provider.Config{Address: "127.0.0.1:0", MaxRecords: 3})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- platform.Run(ctx) }()

	source := reader.New(reader.Config{Address: platform.Address()})
	appender := writer.New(writer.Config{Address: platform.Address()})
	messages := ring.New[[]almondcross.Record](ring.Config{Name: "test", Capacity: 1})
	trims := make(chan almondcross.Offset, 1)
	config := tailer.Config[[]almondcross.Record]{
		Reader: source, Stream: stream, Sink: messages, Limit: 2, MaxBackoff: 100 * time.Millisecond,
		Decode: func(batch almondcross.Batch) ([]almondcross.Record, bool) { return batch.Records(), true },
		OnTrimmed: func(ctx context.Context, from almondcross.Offset) (almondcross.Offset, error) {
			trims <- from
			oldest, _, err := source.End(ctx, stream)
			return oldest, err
		},
	}
	appendIDs := func(ids ...string) {
		for _, id := range ids {
			_, err := appender.Append(t.Context(), stream, []almondcross.Record{
				almondcross.NewRecord(almondcross.RecordConfig{ID: id}),
			})
			require.NoError(t, err)
		}
	}
	appendIDs("trimmed", "b", "c", "d")
	tail, err := tailer.New(config)
	require.NoError(t, err)
	go func() { done <- tail.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
	})

	require.Equal(t, almondcross.Offset(0), <-trims)
	requireRecords(t, messages, "b", "c", "d")
	setLogDown(t, platform.Address(), true)
	setLogDown(t, platform.Address(), false)
	appendIDs("e", "f")
	requireRecords(t, messages, "e", "f")
	require.Empty(t, trims)
}

func requireRecords(t *testing.T, messages *ring.Ring[[]almondcross.Record], ids ...string) {
	t.Helper()
	read := []string{}
	for len(read) < len(ids) {
		select {
		case records := <-messages.Messages():
			for _, record := range records {
				read = append(read, record.ID())
			}
		case <-time.After(5 * time.Second):
			require.FailNow(t, "no record within 5 s", "read %v, expected %v", read, ids)
		}
	}
	require.Equal(t, ids, read)
}

func setLogDown(t *testing.T, address string, down bool) {
	t.Helper()
	client := exchanger.New(exchanger.Config{Connections: 1, Timeout: time.Second})
	defer client.Close()
	var switches encoder.PlatformFaults
	require.NoError(t, client.Do(t.Context(), 0, http.MethodPut, "http://"+address+"/v1/switches/log",
		encoder.PlatformFaults{Down: down}, &switches))
}

// failingLog returns the given error, or an empty batch if it is nil, and counts the reads. The virtual time of
// synctest does not advance while a tailer spins, so the log cancels its context after 1,000 reads.
type failingLog struct {
	err   error
	stop  context.CancelFunc
	reads int
}

func (failinglog *failingLog) Read(
	context.Context, almondcross.Stream, almondcross.Offset, int, time.Duration,
) (almondcross.Batch, error) {
	if failinglog.reads++; failinglog.reads == 1000 {
		failinglog.stop()
	}
	return almondcross.Batch{}, failinglog.err
}

func (failinglog *failingLog) End(context.Context, almondcross.Stream) (oldest, end almondcross.Offset, err error) {
	return 0, 0, failinglog.err
}

// Guards against a tailer that spins while the log fails, responds to long polls immediately, or has trimmed
// records that no checkpoint covers.
func TestTailerBacksOff(t *testing.T) {
	for name, err := range map[string]error{
		"unreachable": almondcross.ErrLogUnreachable, "trimmed": almondcross.ErrLogTrimmed, "early": nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
				defer cancel()
				log := &failingLog{err: err, stop: cancel}
				tail, err := tailer.New(tailer.Config[int]{
					Reader: log, Stream: stream, Sink: ring.New[int](ring.Config{Capacity: 1}),
					Decode: func(almondcross.Batch) (int, bool) { return 0, true },
					OnTrimmed: func(context.Context, almondcross.Offset) (almondcross.Offset, error) {
						return 0, errors.New("there is no checkpoint")
					},
				})
				require.NoError(t, err)
				require.NoError(t, tail.Run(ctx))
				// After 6 increasing backoffs of at most 3.15 s in total, each wait is 1 s to 2 s long.
				require.GreaterOrEqual(t, log.reads, 30)
				require.LessOrEqual(t, log.reads, 67)
			})
		})
	}
}
