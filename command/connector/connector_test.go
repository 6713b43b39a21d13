package connector_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

type discardLog struct{}

func (discardLog) Record(string, ...almondcross.LogField) {}

// endpoint receives the messages of one host of a link, and answers each relayed order with OrderDone.
type endpoint struct {
	messages  *ring.Ring[almondcross.SchedulerMessage]
	relayed   *ring.Ring[almondcross.RelayMessage]
	routes    *ring.Ring[almondcross.RoutesMessage]
	stored    chan almondcross.IntakeStored
	abandoned chan int64
}

// Execute answers all orders at once.
func (endpoint endpoint) Execute(_ int64, relayed almondcross.OrdersRelayed, reply func(answered almondcross.OrdersAnswered)) bool {
	var answers []almondcross.RelayedAnswer
	for _, order := range relayed.Orders() {
		answers = append(answers, almondcross.NewRelayedAnswer(almondcross.RelayedAnswerConfig{Number: order.Number(), Result: almondcross.OrderDone}))
	}
	reply(almondcross.NewOrdersAnswered(almondcross.OrdersAnsweredConfig{Answers: answers}))
	return true
}

// Abandon records the link that has ended.
func (endpoint endpoint) Abandon(link int64) { endpoint.abandoned <- link }

func newEndpoint() endpoint {
	return endpoint{
		messages: ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 64}),
		relayed:  ring.New[almondcross.RelayMessage](ring.Config{Name: "relayed", Capacity: 64}),
		routes:   ring.New[almondcross.RoutesMessage](ring.Config{Name: "routes", Capacity: 64}),
		stored:   make(chan almondcross.IntakeStored, 8), abandoned: make(chan int64, 8),
	}
}

func nextMessage[M almondcross.SchedulerMessage](t *testing.T, endpoint endpoint) M {
	t.Helper()
	deadline := time.NewTimer(10 * time.Second)
	defer deadline.Stop()
	for {
		select {
		case message := <-endpoint.messages.Messages():
			if found, ok := message.(M); ok {
				return found
			}
		case <-deadline.C:
			var none M
			require.Fail(t, "no message", "%T", none)
		}
	}
}

// link is a hub, and a dialer that connects to the scheduler it is given, with the endpoints of both.
type link struct {
	scheduler, host endpoint
	hub             *connector.Hub
	address         string // address is that of the hub.
	dialer          *connector.Dialer
	queries         *ring.Ring[asker.Request]
	schedulers      *ring.Ring[connector.Scheduler]
	stop            func() // stop ends the dialer and waits for it.
}

func newLink(t *testing.T) link {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	scheduler, host := newEndpoint(), newEndpoint()
	queries := ring.New[asker.Request](ring.Config{Name: "advice", Capacity: 4})
	hub := connector.NewHub(connector.HubConfig{Host: "h-1", Codec: codec, Sink: scheduler.messages, Relay: scheduler.relayed, Routes: scheduler.routes, Clock: clock{}, Log: discardLog{}})
	server := httptest.NewServer(hub)
	t.Cleanup(server.Close)
	dialer := connector.NewDialer(connector.DialerConfig{
		Host: "h-2", DataCentre: "a", Address: "10.0.0.2:1", Codec: codec, Queries: queries, Executor: host, Sink: host.messages, Routes: host.routes, Log: discardLog{}, Clock: clock{},
		Stored: func(stored almondcross.IntakeStored) { host.stored <- stored },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	schedulers := ring.New[connector.Scheduler](ring.Config{Name: "schedulers", Capacity: 4})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = dialer.Run(ctx, schedulers)
	}()
	return link{
		scheduler: scheduler, host: host, hub: hub, address: strings.TrimPrefix(server.URL, "http://"), dialer: dialer, queries: queries, schedulers: schedulers,
		stop: func() {
			cancel()
			<-done
		},
	}
}

// Guards against link messages that are altered or lost in transit, and against a scheduler that gets no
// HostLinkChanged when a host disconnects.
func TestLinkCarriesAllMessages(t *testing.T) {
	link := newLink(t)
	scheduler, host, hub := link.scheduler, link.host, link.hub
	end := almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Run: 2, Worker: "w-1", End: almondcross.EndDone})
	link.schedulers.Offer(connector.Scheduler{
		Host: "h-1", Address: link.address, Strength: 70, Epoch: 4096, Ends: []almondcross.Change{end},
	})
	joined := nextMessage[almondcross.HostLinkChanged](t, scheduler)
	require.True(t, joined.Present())
	require.Equal(t, 70, joined.Strength())
	require.Equal(t, "10.0.0.2:1", joined.Address())
	require.Equal(t, int64(4096), joined.SchedulerEpoch())
	require.Equal(t, []almondcross.Change{end}, joined.Ends())

	query := almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{
		Stage: almondcross.StageID{Job: "j", Occurrence: 1, Step: 2}, Workers: []string{"w-1", "w-2"},
	})
	require.False(t, hub.SendAdviceQuery("h-3", query))
	require.True(t, hub.SendAdviceQuery("h-2", query))
	request := <-link.queries.Messages()
	require.Equal(t, query, request.Query)
	request.Reply(t.Context(), almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Query: query, Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{
			Validity: time.Second, Tickets: []almondcross.Ticket{almondcross.NewTicket(almondcross.TicketConfig{Worker: "w-2", Secret: "s"})},
		}),
	}))
	answer := nextMessage[almondcross.AdviceAnswered](t, scheduler)
	require.Equal(t, "h-2", answer.Adviser())
	require.Equal(t, "s", answer.Result().Tickets()[0].Secret())
	require.Equal(t, time.Second, answer.Result().Validity())

	hub.Assign("h-2", almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true, Rank: 2}))
	require.Equal(t, almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true, Rank: 2}), nextMessage[almondcross.RoleAssigned](t, host))
	peers := almondcross.NewPeersKnown(almondcross.PeersKnownConfig{Addresses: []string{"10.0.0.2:1", "10.0.0.3:1"}})
	hub.SendPeers([]string{"h-2"}, peers)
	require.Equal(t, peers, nextMessage[almondcross.PeersKnown](t, host))
	change := almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeElected, Host: "h-1"})
	hub.PushBatches([]string{"h-2", "h-9"}, almondcross.NewJournalPushed(almondcross.JournalPushedConfig{
		From: 5, Batches: []almondcross.JournalBatch{almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 3, Changes: []almondcross.Change{change}})},
	}))
	pushed := nextMessage[almondcross.JournalPushed](t, host)
	require.Equal(t, int64(5), pushed.From())
	require.Equal(t, "h-1", pushed.Batches()[0].Changes()[0].Host())
	view := almondcross.NewJobView(almondcross.JobViewConfig{ID: "j", Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobRunning, CountsAsPending: true})
	views := almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Complete: true, Changes: []almondcross.JobViewChange{
		almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "j", Known: true, View: view}),
		almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: "k"}),
	}})
	hub.PushViews([]string{"h-2"}, views)
	require.Equal(t, views, nextMessage[almondcross.ViewsPushed](t, host))

	requireRelayedOrders(t, scheduler, hub)

	uplink := connector.NewUplink(connector.NewHub(connector.HubConfig{Host: "h-2", Sink: host.messages, Clock: clock{}}), link.dialer, clock{})
	intake := almondcross.NewIntake(almondcross.IntakeConfig{Cancel: true, Job: almondcross.NewJob(almondcross.JobConfig{ID: "j", Steps: []almondcross.Step{}})})
	require.True(t, uplink.Forward(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: 9, Intake: intake})))
	forwarded := nextMessage[almondcross.IntakeForwarded](t, scheduler)
	require.Equal(t, "h-2", forwarded.Host())
	require.Equal(t, intake, forwarded.Intake())
	hub.ConfirmIntake("h-2", almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{Number: forwarded.Number()}))
	require.Equal(t, int64(9), (<-host.stored).Number())

	link.stop()
	require.False(t, nextMessage[almondcross.HostLinkChanged](t, scheduler).Present())
	require.Positive(t, <-host.abandoned, "the orders of the closed link are given up")
}

// requireRelayedOrders requires that the relayer gets the link of h-2 and the answers to the orders that it sends over it.
func requireRelayedOrders(t *testing.T, scheduler endpoint, hub *connector.Hub) {
	t.Helper()
	linked, ok := (<-scheduler.relayed.Messages()).(almondcross.HostLinkChanged)
	require.True(t, ok)
	require.Equal(t, "a", linked.DataCentre())
	require.True(t, hub.SendOrders("h-2", almondcross.NewOrdersRelayed(almondcross.OrdersRelayedConfig{Orders: []almondcross.RelayedOrder{
		almondcross.NewRelayedOrder(almondcross.RelayedOrderConfig{Number: 5, Kind: almondcross.OrderLease}),
	}})))
	answered, ok := (<-scheduler.relayed.Messages()).(almondcross.OrdersAnswered)
	require.True(t, ok)
	require.Equal(t, "h-2", answered.Host())
	require.Equal(t, int64(5), answered.Answers()[0].Number())
	require.False(t, hub.SendOrders("h-3", almondcross.OrdersRelayed{}), "a host without a link")
}

// Guards against a host that stays linked for good, so that the scheduler counts on it as a standby and for calls, because
// its link introduced itself more than once, and against a link under the name of the scheduler's own host.
func TestLinkHasOneHost(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	scheduler := newEndpoint()
	hub := connector.NewHub(connector.HubConfig{Host: "h-1", Codec: codec, Sink: scheduler.messages, Relay: scheduler.relayed, Routes: scheduler.routes, Clock: clock{}, Log: discardLog{}})
	server := httptest.NewServer(hub)
	defer server.Close()
	connection, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws"+strings.TrimPrefix(server.URL, "http"), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	for _, name := range []string{"", "h-1", "h-2", "h-3", "h-2"} {
		frame, err := codec.EncodeLink(almondcross.NewHostHello(almondcross.HostHelloConfig{Host: name, Strength: 50}))
		require.NoError(t, err)
		require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, frame))
	}
	joined := nextMessage[almondcross.HostLinkChanged](t, scheduler)
	require.Equal(t, "h-2", joined.Host())
	require.NoError(t, connection.Close())
	left := nextMessage[almondcross.HostLinkChanged](t, scheduler)
	require.Equal(t, "h-2", left.Host())
	require.False(t, left.Present())
}

// closeRecorder is a listener that records the order in which its connections are closed, by the addresses of the callers.
type closeRecorder struct {
	net.Listener

	closed chan string
}

// Accept returns a connection whose first call of Close is recorded.
func (recorder closeRecorder) Accept() (net.Conn, error) {
	connection, err := recorder.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordedConnection{Conn: connection, closed: recorder.closed}, nil
}

type recordedConnection struct {
	net.Conn

	closed chan string
}

// Close records the caller's address.
func (connection recordedConnection) Close() error {
	connection.closed <- connection.RemoteAddr().String()
	return connection.Conn.Close()
}

// Guards against links that are closed in the order of a map: the hosts then learn in another order in each process that the
// scheduler has stopped, and look for the next one in that order.
func TestLinksAreClosedInTheOrderOfTheHosts(t *testing.T) {
	const hosts = 12
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	scheduler := newEndpoint()
	hub := connector.NewHub(connector.HubConfig{Host: "h-0", Codec: codec, Sink: scheduler.messages, Relay: scheduler.relayed, Routes: scheduler.routes, Clock: clock{}, Log: discardLog{}})
	server := httptest.NewUnstartedServer(hub)
	recorder := closeRecorder{Listener: server.Listener, closed: make(chan string, 16*hosts)}
	server.Listener = recorder
	server.Start()
	defer server.Close()
	var addresses []string
	for index := range hosts {
		connection, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws"+strings.TrimPrefix(server.URL, "http"), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		defer func() { _ = connection.Close() }() // It has failed by then.
		frame, err := codec.EncodeLink(almondcross.NewHostHello(almondcross.HostHelloConfig{Host: fmt.Sprintf("h-%02d", index+1), Strength: 50}))
		require.NoError(t, err)
		require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, frame))
		nextMessage[almondcross.HostLinkChanged](t, scheduler)
		addresses = append(addresses, connection.LocalAddr().String())
	}
	hub.CloseAll()
	var closed []string
	for len(closed) < hosts {
		if address := <-recorder.closed; !slices.Contains(closed, address) { // The reader of a link closes it once more.
			closed = append(closed, address)
		}
	}
	require.Equal(t, addresses, closed)
}

// Guards against standbys that cannot tell a scheduler whose process has ended from one that only closed the link: after the first
// nothing accepts connections at its address, and they need not wait for its silence.
func TestLostLinkTellsWhetherAnotherIsRefused(t *testing.T) {
	link := newLink(t)
	link.schedulers.Offer(connector.Scheduler{Host: "h-1", Address: link.address})
	nextMessage[almondcross.HostLinkChanged](t, link.scheduler)
	link.hub.CloseAll()
	require.False(t, nextMessage[almondcross.LinkLost](t, link.host).Refused())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	link.schedulers.Offer(connector.Scheduler{Host: "h-3", Address: listener.Addr().String()})
	lost := nextMessage[almondcross.LinkLost](t, link.host)
	require.Equal(t, "h-3", lost.Scheduler())
	require.True(t, lost.Refused())
}
