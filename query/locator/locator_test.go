package locator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/locator"
)

// eventLog receives logged events without the field "reason", whose text depends on the operating system.
type eventLog chan string

func (eventlog eventLog) Record(event string, fields ...almondcross.LogField) {
	for _, field := range fields {
		switch {
		case field.Name == "reason":
		case field.Numeric:
			event += fmt.Sprintf(" %s=%d", field.Name, int64(field.Number))
		default:
			event += fmt.Sprintf(" %s=%s", field.Name, field.Text)
		}
	}
	eventlog <- event
}

// startHost starts a server that returns the given pointer, and returns its address.
func startHost(t *testing.T, pointer almondcross.SchedulerPointer) string {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	hub := connector.NewHub(connector.HubConfig{Pointers: codec})
	hub.SetPointer(pointer)
	server := httptest.NewServer(http.HandlerFunc(hub.ServePointer))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against using the pointer to an earlier scheduler, and against hosts that hang or know no scheduler and
// so delay or fail the query.
func TestLocateReturnsHighestEpoch(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	hangingServer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(hangingServer.Close)
	newest := almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 7, Host: "h-3", Address: "10.0.0.3:1"})
	addresses := []string{
		startHost(t, almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 6, Host: "h-2", Address: "10.0.0.2:1"})),
		startHost(t, newest), startHost(t, almondcross.SchedulerPointer{}), strings.TrimPrefix(hangingServer.URL, "http://"), "127.0.0.1:1",
	}
	events := make(eventLog, 2)
	started := time.Now()
	found, ok := locator.New(locator.Config{Codec: codec, Log: events}).Locate(t.Context(), addresses)
	require.True(t, ok)
	require.Equal(t, newest, found)
	require.Less(t, time.Since(started), 2*time.Second, "Locate must not wait for a host that hangs")

	_, ok = locator.New(locator.Config{Codec: codec, Log: events}).Locate(t.Context(), addresses[2:])
	require.False(t, ok)
	require.Equal(t, "peers_asked asked=5 failed=2 scheduler=h-3 epoch=7", <-events)
	require.Equal(t, "peers_asked asked=3 failed=2 scheduler= epoch=0", <-events)
}
