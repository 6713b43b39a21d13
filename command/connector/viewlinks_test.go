package connector_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

// viewCell is a scheduler h-1, and a host h-2 that is linked to it and to a relay.
type viewCell struct {
	link

	relay      endpoint                  // relay receives the messages of the relay's hub.
	relayLinks *connector.ViewLinks      // relayLinks are those of the relay.
	followed   almondcross.ViewRelayLink // followed is the link of h-2 to the relay.
	hostLinks  *connector.ViewLinks
}

func newViewCell(t *testing.T) viewCell {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	cell := viewCell{link: newLink(t), relay: newEndpoint()}
	hub := connector.NewHub(connector.HubConfig{Host: "r-1", Codec: codec, Sink: cell.relay.messages, Relay: cell.relay.relayed, Routes: cell.relay.routes, Clock: clock{}, Log: discardLog{}})
	server := httptest.NewServer(hub)
	t.Cleanup(server.Close)
	relays := ring.New[almondcross.ViewRelayLink](ring.Config{Name: "view_relays", Capacity: 4})
	cell.relayLinks = connector.NewViewLinks(hub, connector.NewDialer(connector.DialerConfig{}), relays)
	cell.hostLinks = connector.NewViewLinks(cell.hub, cell.dialer, relays)
	dialer := connector.NewViewDialer(connector.ViewDialerConfig{Codec: codec, Sink: cell.host.messages, Log: discardLog{}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = dialer.Run(ctx, relays)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	cell.followed = almondcross.NewViewRelayLink(almondcross.ViewRelayLinkConfig{
		Link: 5, Relay: "r-1", Address: strings.TrimPrefix(server.URL, "http://"),
		Hello: almondcross.NewViewerHello(almondcross.ViewerHelloConfig{Host: "h-2", Epoch: 4096, Number: 7, Least: 8}),
	})
	return cell
}

// Guards against a relay that takes a viewer for a host of its own scheduler, against views that do not reach it, and against a lost
// link of which the viewer or the relay does not learn.
func TestRelayPassesViewsToItsViewersAlone(t *testing.T) {
	cell := newViewCell(t)
	cell.hostLinks.FollowRelay(cell.followed)
	opened := nextMessage[almondcross.ViewerLinkChanged](t, cell.relay)
	require.True(t, opened.Present())
	require.Equal(t, cell.followed.Hello(), opened.Hello())
	pushed := almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Epoch: 4096, Number: 8, Changes: []almondcross.JobViewChange{
		almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "k"}),
	}})
	cell.relayLinks.RelayViews([]int64{opened.Link(), opened.Link() + 1}, pushed)
	relayed := nextMessage[almondcross.RelayedViews](t, cell.host)
	require.Equal(t, int64(5), relayed.Link())
	require.Equal(t, pushed, relayed.Pushed())
	require.Empty(t, cell.relay.relayed.Messages(), "the viewer carries out no orders for the relay")

	cell.relayLinks.CloseViewers([]int64{opened.Link()})
	require.Equal(t, int64(5), nextMessage[almondcross.ViewRelayLost](t, cell.host).Link())
	require.False(t, nextMessage[almondcross.ViewerLinkChanged](t, cell.relay).Present())

	cell.hostLinks.FollowRelay(cell.followed.WithLink(6))
	reopened := nextMessage[almondcross.ViewerLinkChanged](t, cell.relay)
	require.NotEqual(t, opened.Link(), reopened.Link())
	cell.hostLinks.FollowRelay(almondcross.ViewRelayLink{})
	require.Equal(t, reopened.Link(), nextMessage[almondcross.ViewerLinkChanged](t, cell.relay).Link())
	cell.hostLinks.FollowRelay(cell.followed.WithLink(7).WithAddress("127.0.0.1:1"))
	require.Equal(t, int64(7), nextMessage[almondcross.ViewRelayLost](t, cell.host).Link(), "nothing listens there")
}

// Guards against numbers, assignments and reports that do not pass between the scheduler and a host, or without the name of the host.
func TestSchedulerAssignsViewsOverTheLink(t *testing.T) {
	cell := newViewCell(t)
	cell.schedulers.Offer(connector.Scheduler{Host: "h-1", Address: cell.address, Strength: 70})
	require.Equal(t, almondcross.ViewFormat, nextMessage[almondcross.HostLinkChanged](t, cell.scheduler).ViewFormat())
	assigned := almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 4096, Relay: "r-1", Address: "10.0.0.7:1", Number: 7, Least: 8})
	cell.hostLinks.AssignViews("h-2", assigned)
	require.Equal(t, assigned, nextMessage[almondcross.ViewsAssigned](t, cell.host))
	numbered := almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{Epoch: 4096, Number: 8, Complete: true})
	cell.hostLinks.SendNumber([]string{"h-2", "h-9"}, numbered)
	require.Equal(t, numbered, nextMessage[almondcross.ViewsNumbered](t, cell.host))
	missed := almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Epoch: 4096, Relay: "r-1", Reason: "silent"})
	cell.hostLinks.ReportMissed(missed)
	require.Equal(t, missed.WithHost("h-2"), nextMessage[almondcross.ViewsMissed](t, cell.scheduler))
}
