package provider_test

import (
	"context"
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
	"github.com/almondcross/almondcross/standin/reserver"
)

const stream = almondcross.Stream("claims")

// startProvider starts a provider. At the end of the test it stops it and checks for leaked goroutines.
func startProvider(t *testing.T, config provider.Config) *provider.Provider {
	t.Helper()
	config.Address = "127.0.0.1:0"
	platform, err := provider.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runErrors := make(chan error, 1)
	go func() { runErrors <- platform.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-runErrors)
		goleak.VerifyNone(t, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
			goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
	})
	return platform
}

func putJSON(t *testing.T, address, path string, body any) {
	t.Helper()
	exchange := exchanger.New(exchanger.Config{Connections: 1, Timeout: time.Second})
	defer exchange.Close()
	var response encoder.PlatformFaults
	require.NoError(t, exchange.Do(t.Context(), 0, http.MethodPut, "http://"+address+path, body, &response))
}

func newRecords(ids ...string) []almondcross.Record {
	result := make([]almondcross.Record, 0, len(ids))
	for _, id := range ids {
		result = append(result, almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: []byte("body of " + id)}))
	}
	return result
}

// Guards against reporting an append whose response was lost as refused or as stored.
func TestAppendWithLostResponseIsUncertainAndReadable(t *testing.T) {
	platform := startProvider(t, provider.Config{})
	appender := writer.New(writer.Config{Address: platform.Address()})
	_, err := appender.Append(t.Context(), stream, newRecords("first"))
	require.NoError(t, err)

	putJSON(t, platform.Address(), "/v1/switches/log", encoder.PlatformFaults{DropResponses: 1})
	_, err = appender.Append(t.Context(), stream, newRecords("second"))
	require.True(t, errors.Is(err, almondcross.ErrLogUncertain), "%v", err)

	batch, err := reader.New(reader.Config{Address: platform.Address()}).Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records(), 2, "the transport must not resend the append")
	require.Equal(t, "second", batch.Records()[1].ID())
	require.Equal(t, almondcross.Offset(3), batch.Next())
}

// Guards against reporting an append to a log that is down as uncertain, and an append whose response
// is delayed beyond the timeout as refused.
func TestAppendErrorsWhenLogIsDownOrSlow(t *testing.T) {
	platform := startProvider(t, provider.Config{})
	putJSON(t, platform.Address(), "/v1/switches/log", encoder.PlatformFaults{Down: true})
	_, err := writer.New(writer.Config{Address: platform.Address()}).Append(t.Context(), stream, newRecords("down"))
	require.True(t, errors.Is(err, almondcross.ErrLogRefused), "%v", err)

	appender := writer.New(writer.Config{Address: platform.Address(), Timeout: 500 * time.Millisecond})
	for name, faults := range map[string]encoder.PlatformFaults{
		"slow": {DelayMs: 5000}, "held": {WithholdResponses: true},
	} {
		putJSON(t, platform.Address(), "/v1/switches/log", faults)
		_, err = appender.Append(t.Context(), stream, newRecords(name))
		require.True(t, errors.Is(err, almondcross.ErrLogUncertain), "%s: %v", name, err)
	}
	putJSON(t, platform.Address(), "/v1/switches/log", encoder.PlatformFaults{})
	batch, err := reader.New(reader.Config{Address: platform.Address()}).Read(t.Context(), stream, 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records(), 2, "the uncertain appends must take effect and the refused one must not")

	closed, err := reserver.Reserve("127.0.0.1")
	require.NoError(t, err)
	defer func() { require.NoError(t, closed.Release()) }()
	_, err = writer.New(writer.Config{Address: closed.Address()}).Append(t.Context(), stream, newRecords("nowhere"))
	require.True(t, errors.Is(err, almondcross.ErrLogRefused), "%v", err)
}

// Guards against a reader that silently skips trimmed records.
func TestReadOfTrimmedOffsetReturnsErrLogTrimmed(t *testing.T) {
	platform := startProvider(t, provider.Config{MaxRecords: 2, MaxAge: time.Second})
	appender := writer.New(writer.Config{Address: platform.Address()})
	logReader := reader.New(reader.Config{Address: platform.Address()})
	_, err := appender.Append(t.Context(), stream, newRecords("a", "b", "c"))
	require.NoError(t, err)
	_, err = logReader.Read(t.Context(), stream, 0, 10, 0)
	require.True(t, errors.Is(err, almondcross.ErrLogTrimmed), "%v", err)
	oldest, end, err := logReader.End(t.Context(), stream)
	require.NoError(t, err)
	require.Equal(t, []almondcross.Offset{2, 4}, []almondcross.Offset{oldest, end})

	// The wait is longer than the retention, so the remaining records are trimmed by age meanwhile.
	batch, err := logReader.Read(t.Context(), stream, end, 10, 1500*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, batch.Records())
	_, err = logReader.Read(t.Context(), stream, oldest, 10, 0)
	require.True(t, errors.Is(err, almondcross.ErrLogTrimmed), "%v", err)
}

// Guards against a live list that publishes a change before its lag is over, or that never responds to
// a long poll.
func TestLiveListPublishesAfterLag(t *testing.T) {
	const lag = 300 * time.Millisecond
	platform := startProvider(t, provider.Config{})
	putJSON(t, platform.Address(), "/v1/live/w1", encoder.PlatformHost{DataCentre: "dc1", Address: "127.0.0.1:1"})
	client := observer.New(observer.Config{LiveList: platform.Address()})
	hosts, err := client.List(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Equal(t, almondcross.HostLive, hosts.Targets()[0].State())

	putJSON(t, platform.Address(), "/v1/switches/live", encoder.PlatformFaults{LagMs: lag.Milliseconds()})
	changed := time.Now()
	putJSON(t, platform.Address(), "/v1/live/w1/state", encoder.PlatformHostState{State: "leaving"})
	hosts, err = client.List(t.Context(), hosts.Version(), 5*time.Second)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(changed), lag)
	require.Equal(t, almondcross.HostLeaving, hosts.Targets()[0].State())
}
