package connector_test

import (
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/encoder"
)

// nextRoutes returns the next message for the duty that replicates the configuration on one host of a link.
func nextRoutes(t *testing.T, endpoint endpoint) almondcross.RoutesMessage {
	t.Helper()
	select {
	case message := <-endpoint.routes.Messages():
		return message
	case <-time.After(10 * time.Second):
		require.Fail(t, "no message")
		return nil
	}
}

// Guards against a version of the configuration that does not pass between two linked hosts in either direction, or whose sender or end
// of the link is not reported.
func TestLinkCarriesTheConfigurationInBothDirections(t *testing.T) {
	link := newLink(t)
	link.schedulers.Offer(connector.Scheduler{Host: "h-1", Address: link.address})
	host, scheduler := almondcross.LinkEnd{Host: "h-2"}, almondcross.LinkEnd{Host: "h-1", Uplink: 1}
	require.Equal(t, almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: host, Present: true}), nextRoutes(t, link.scheduler))
	links := connector.NewRouteLinks(link.hub, link.dialer)
	known := almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: 7})
	sent := almondcross.NewRoutesSent(almondcross.RoutesSentConfig{Source: []byte("{}")})
	require.True(t, links.SendRoutes(host, known))
	require.Equal(t, known.WithEnd(scheduler), nextRoutes(t, link.host))
	require.True(t, links.SendRoutes(scheduler, almondcross.RoutesWanted{}))
	require.Equal(t, almondcross.RoutesWanted{}.WithEnd(host), nextRoutes(t, link.scheduler))
	require.True(t, links.SendRoutes(host, sent))
	require.Equal(t, sent.WithEnd(scheduler), nextRoutes(t, link.host))
	require.False(t, links.SendRoutes(almondcross.LinkEnd{Host: "h-9"}, known))
	link.stop()
	require.Equal(t, almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: host}), nextRoutes(t, link.scheduler))
	require.Equal(t, almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: scheduler}), nextRoutes(t, link.host))
}

// Guards against messages of the configuration to a host of an earlier version, which would close the link.
func TestHostOfAnEarlierVersionReplicatesNothing(t *testing.T) {
	link := newLink(t)
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	connection, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws://"+link.address, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	hello, err := codec.EncodeLink(almondcross.NewHostHello(almondcross.HostHelloConfig{Host: "h-3"}))
	require.NoError(t, err)
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, hello))
	nextMessage[almondcross.HostLinkChanged](t, link.scheduler)
	require.NoError(t, connection.Close())
	nextMessage[almondcross.HostLinkChanged](t, link.scheduler)
	require.Equal(t, almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: almondcross.LinkEnd{Host: "h-3"}}), nextRoutes(t, link.scheduler))
}

// Guards against a scheduler that starts a job of an added queue while its own host still answers that there is no such queue: a
// forwarded intake shows that its host has a newer version.
func TestForwardedIntakeTellsTheVersionOfItsHost(t *testing.T) {
	link := newLink(t)
	link.schedulers.Offer(connector.Scheduler{Host: "h-1", Address: link.address})
	nextMessage[almondcross.HostLinkChanged](t, link.scheduler)
	nextRoutes(t, link.scheduler)
	link.hub.PushBatches([]string{"h-2"}, almondcross.NewJournalPushed(almondcross.JournalPushedConfig{}))
	nextMessage[almondcross.JournalPushed](t, link.host)
	uplink := connector.NewUplink(connector.NewHub(connector.HubConfig{Host: "h-2", Clock: clock{}}), link.dialer, clock{})
	for _, version := range []int64{7, 7, 9} {
		require.True(t, uplink.Forward(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Intake: almondcross.NewIntake(almondcross.IntakeConfig{
				Job: almondcross.NewJob(almondcross.JobConfig{
					ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1})},
				}),
				Settings: almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{
					Version: version, Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Pool: "pool"}),
				}),
			}),
		})))
	}
	for _, version := range []int64{7, 9} {
		known := almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{End: almondcross.LinkEnd{Host: "h-2"}, Version: version})
		require.Equal(t, known, nextRoutes(t, link.scheduler))
	}
}
