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

// recorded takes the lines of a log, without the reason, which depends on the system.
type recorded chan string

func (recorded recorded) Record(event string, fields ...almondcross.LogField) {
	for _, field := range fields {
		switch {
		case field.Name == "reason":
		case field.Numeric:
			event += fmt.Sprintf(" %s=%d", field.Name, int64(field.Number))
		default:
			event += fmt.Sprintf(" %s=%s", field.Name, field.Text)
		}
	}
	recorded <- event
}

// host serves the pointer that a host knows and returns its address.
func host(t *testing.T, known almondcross.SchedulerPointer) string {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	hub := connector.NewHub(connector.HubConfig{Pointers: codec})
	hub.Lead(known)
	server := httptest.NewServer(http.HandlerFunc(hub.ServePointer))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against an old scheduler that is believed, and against hosts that know none or hang and hold up the search.
func TestHighestEpochCounts(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(hanging.Close)
	newest := almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 7, Host: "h-3", Address: "10.0.0.3:1"})
	addresses := []string{
		host(t, almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 6, Host: "h-2", Address: "10.0.0.2:1"})),
		host(t, newest), host(t, almondcross.SchedulerPointer{}), strings.TrimPrefix(hanging.URL, "http://"), "127.0.0.1:1",
	}
	lines := make(recorded, 2)
	started := time.Now()
	found, ok := locator.New(locator.Config{Codec: codec, Log: lines}).Locate(t.Context(), addresses)
	require.True(t, ok)
	require.Equal(t, newest, found)
	require.Less(t, time.Since(started), 2*time.Second, "a host that hangs is not waited for")

	_, ok = locator.New(locator.Config{Codec: codec, Log: lines}).Locate(t.Context(), addresses[2:])
	require.False(t, ok)
	require.Equal(t, "peers_asked asked=5 failed=2 scheduler=h-3 epoch=7", <-lines)
	require.Equal(t, "peers_asked asked=3 failed=2 scheduler= epoch=0", <-lines)
}
