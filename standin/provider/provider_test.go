package provider_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/writer"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
	"github.com/almondcross/almondcross/query/observer"
	"github.com/almondcross/almondcross/query/reader"
	"github.com/almondcross/almondcross/standin/provider"
)

const stream = almondcross.Stream("claims")

// run starts a stand-in and stops it, with a check for leaked goroutines, at the end of the test.
func run(t *testing.T, config provider.Config) *provider.Provider {
	t.Helper()
	config.Address = "127.0.0.1:0"
	platform, err := provider.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- platform.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
		goleak.VerifyNone(t, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
			goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
	})
	return platform
}

func put(t *testing.T, address, path string, body any) {
	t.Helper()
	exchange := exchanger.New(exchanger.Config{Connections: 1, Timeout: time.Second})
	defer exchange.Close()
	var answer encoder.PlatformSwitches
	require.NoError(t, exchange.Do(t.Context(), 0, http.MethodPut, "http://"+address+path, body, &answer))
}

func records(ids ...string) []almondcross.Record {
	result := make([]almondcross.Record, 0, len(ids))
	for _, id := range ids {
		result = append(result, almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: []byte("body of " + id)}))
	}
	return result
}

// Guards against an append whose answer was lost being reported as refused, or as taken.
func TestLostAppendAnswerIsUncertainAndReadable(t *testing.T) {
	platform := run(t, provider.Config{})
	appender := writer.New(writer.Config{Address: platform.Address()})
	_, err := appender.Append(t.Context(), stream, records("first"))
	require.NoError(t, err)

	put(t, platform.Address(), "/v1/switches/log", encoder.PlatformSwitches{LoseAnswers: 1})
	_, err = appender.Append(t.Context(), stream, records("second"))
	require.True(t, errors.Is(err, almondcross.ErrLogUncertain), "%v", err)

	batch, err := reader.New(reader.Config{Address: platform.Address()}).Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records(), 2, "the transport must not have sent the append again")
	require.Equal(t, "second", batch.Records()[1].ID())
	require.Equal(t, almondcross.Offset(3), batch.Next())
}

// Guards against a log that is known to be down being taken for one that may have the records, and
// against a slow log whose answer comes too late being taken for a refusal.
func TestDownIsRefusedAndSlowIsUncertain(t *testing.T) {
	platform := run(t, provider.Config{})
	put(t, platform.Address(), "/v1/switches/log", encoder.PlatformSwitches{Down: true})
	_, err := writer.New(writer.Config{Address: platform.Address()}).Append(t.Context(), stream, records("down"))
	require.True(t, errors.Is(err, almondcross.ErrLogRefused), "%v", err)

	appender := writer.New(writer.Config{Address: platform.Address(), Timeout: 500 * time.Millisecond})
	for name, switches := range map[string]encoder.PlatformSwitches{
		"slow": {DelayMs: 5000}, "held": {HoldAnswers: true},
	} {
		put(t, platform.Address(), "/v1/switches/log", switches)
		_, err = appender.Append(t.Context(), stream, records(name))
		require.True(t, errors.Is(err, almondcross.ErrLogUncertain), "%s: %v", name, err)
	}
	put(t, platform.Address(), "/v1/switches/log", encoder.PlatformSwitches{})
	batch, err := reader.New(reader.Config{Address: platform.Address()}).Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records(), 2, "the uncertain appends took effect and the refused one did not")

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	_, err = writer.New(writer.Config{Address: closed.Addr().String()}).Append(t.Context(), stream, records("nowhere"))
	require.True(t, errors.Is(err, almondcross.ErrLogRefused), "%v", err)
}

// Guards against a reader that silently skips records which the log trimmed.
func TestTrimmedOffsetIsTyped(t *testing.T) {
	platform := run(t, provider.Config{KeepRecords: 2, KeepFor: time.Second})
	appender := writer.New(writer.Config{Address: platform.Address()})
	source := reader.New(reader.Config{Address: platform.Address()})
	_, err := appender.Append(t.Context(), stream, records("a", "b", "c"))
	require.NoError(t, err)
	_, err = source.Read(t.Context(), stream, 0, 10, 0)
	require.True(t, errors.Is(err, almondcross.ErrLogTrimmed), "%v", err)
	oldest, end, err := source.End(t.Context(), stream)
	require.NoError(t, err)
	require.Equal(t, []almondcross.Offset{2, 4}, []almondcross.Offset{oldest, end})

	// The wait is longer than the retention, so the remaining records are trimmed by age meanwhile.
	batch, err := source.Read(t.Context(), stream, end, 10, 1500*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, batch.Records())
	_, err = source.Read(t.Context(), stream, oldest, 10, 0)
	require.True(t, errors.Is(err, almondcross.ErrLogTrimmed), "%v", err)
}

// Guards against a list that shows a change before its lag, or that never wakes a waiting reader.
func TestLiveListLags(t *testing.T) {
	const lag = 300 * time.Millisecond
	platform := run(t, provider.Config{})
	put(t, platform.Address(), "/v1/live/w1", encoder.PlatformHost{DataCentre: "dc1", Address: "127.0.0.1:1"})
	view := observer.New(observer.Config{LiveList: platform.Address()})
	hosts, err := view.List(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, almondcross.HostLive, hosts.Targets()[0].State())

	put(t, platform.Address(), "/v1/switches/live", encoder.PlatformSwitches{LagMs: lag.Milliseconds()})
	changed := time.Now()
	put(t, platform.Address(), "/v1/live/w1/state", encoder.PlatformHostState{State: "leaving"})
	hosts, err = view.List(t.Context(), hosts.Version(), 5*time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(changed), lag)
	require.Equal(t, almondcross.HostLeaving, hosts.Targets()[0].State())
}
