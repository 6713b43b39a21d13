package connector_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

// Guards against traffic that is counted under another kind or direction, or not at all for frames that several links share, so
// that the counters do not name what fills the links of the scheduler's host.
func TestMessagesOnLinksAreCountedByKind(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	scheduler, host := newEndpoint(), newEndpoint()
	hubTraffic, hostTraffic := counter.NewLinks(metrics.NewSet()), counter.NewLinks(metrics.NewSet())
	hub := connector.NewHub(connector.HubConfig{
		Host: "h-1", Codec: codec, Sink: scheduler.messages, Relay: scheduler.relayed, Routes: scheduler.routes, Clock: clock{}, Log: discardLog{}, Meter: hubTraffic,
	})
	server := httptest.NewServer(hub)
	t.Cleanup(server.Close)
	dialer := connector.NewDialer(connector.DialerConfig{
		Host: "h-2", Codec: codec, Executor: host, Sink: host.messages, Routes: host.routes, Log: discardLog{}, Clock: clock{}, Meter: hostTraffic,
	})
	ctx, cancel := context.WithCancel(t.Context())
	schedulers := ring.New[connector.Scheduler](ring.Config{Name: "schedulers", Capacity: 4})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = dialer.Run(ctx, schedulers)
	}()
	schedulers.Offer(connector.Scheduler{Host: "h-1", Address: strings.TrimPrefix(server.URL, "http://"), Strength: 70})
	nextMessage[almondcross.HostLinkChanged](t, scheduler)
	changes := []almondcross.JobViewChange{almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "j"})}
	hub.PushViews([]string{"h-2"}, almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: changes}))
	for range 3 {
		hub.PushViews([]string{"h-2"}, almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Changes: changes}))
	}
	hub.Assign("h-2", almondcross.RoleAssigned{})
	nextMessage[almondcross.RoleAssigned](t, host)
	cancel()
	<-done
	require.False(t, nextMessage[almondcross.HostLinkChanged](t, scheduler).Present())

	messages := map[almondcross.LinkKind]int64{
		almondcross.LinkHello: 1, almondcross.LinkAllViews: 1, almondcross.LinkViews: 3, almondcross.LinkAssigned: 1,
	}
	hubTotals := hubTraffic.Traffic()
	for index, atHost := range hostTraffic.Traffic() {
		atHub := hubTotals[index]
		sent, received := atHub, atHost
		if atHub.Kind() == almondcross.LinkHello {
			sent, received = atHost, atHub
		}
		require.Equal(t, messages[atHub.Kind()], sent.SentMessages(), atHub.Kind())
		require.Equal(t, sent.SentMessages(), received.ReceivedMessages(), atHub.Kind())
		require.Equal(t, sent.SentBytes(), received.ReceivedBytes(), atHub.Kind())
		require.Equal(t, sent.SentMessages() > 0, sent.SentBytes() > 0, atHub.Kind())
		require.Zero(t, sent.ReceivedMessages()+received.SentMessages(), atHub.Kind())
	}
}
