package linker_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/websocket"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/linker"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/reserver"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// host is a linker with the rings of its duties and an HTTP server.
type host struct {
	linker              *linker.Linker
	coordinator         *ring.Ring[almondcross.CoordinatorMessage]
	registrar           *ring.Ring[almondcross.RegistrarMessage]
	placer              *ring.Ring[almondcross.PlacerMessage]
	metrics             *metrics.Set
	server              *httptest.Server
	acceptedConnections chan net.Conn
	stop                func() // stop closes the links without a graceful shutdown, as a crash of the process would.
}

// listener also sends each accepted connection to the test.
type listener struct {
	net.Listener
	acceptedConnections chan net.Conn
}

func (listener listener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err == nil {
		listener.acceptedConnections <- connection
	}
	return connection, err
}

func (host host) address() string { return host.server.Listener.Addr().String() }

// acceptedCapacity is more than the number of connections in a test.
const acceptedCapacity = 1024

func startHost(t *testing.T, name string, peers map[string]string) host {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startHostOn(t, name, peers, socket)
}

func startHostOn(t *testing.T, name string, peers map[string]string, socket net.Listener) host {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	host := host{
		coordinator:         ring.New[almondcross.CoordinatorMessage](ring.Config{Capacity: 1}),
		registrar:           ring.New[almondcross.RegistrarMessage](ring.Config{Capacity: 8}),
		placer:              ring.New[almondcross.PlacerMessage](ring.Config{Capacity: 8}),
		metrics:             metrics.NewSet(),
		acceptedConnections: make(chan net.Conn, acceptedCapacity),
	}
	host.linker = linker.New(linker.Config{
		Name: name, Peers: peers, Codec: codec, Clock: systemClock{}, Coordinator: host.coordinator, Placer: host.placer,
		Registrar: host.registrar, Cataloguer: ring.New[almondcross.CataloguerMessage](ring.Config{Capacity: 8}),
		// On a slow machine the heartbeats of a test are not dropped for their age.
		MaxHeartbeatAge: time.Minute, Metrics: host.metrics,
	})
	host.server = &httptest.Server{
		Listener: listener{Listener: socket, acceptedConnections: host.acceptedConnections}, Config: &http.Server{Handler: host.linker},
	}
	host.server.Start()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- host.linker.Run(ctx) }()
	host.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-done)
		host.server.Close()
	})
	t.Cleanup(host.stop)
	return host
}

// closeConnections closes the connections that the host has accepted so far.
func (host host) closeConnections() {
	for {
		select {
		case connection := <-host.acceptedConnections:
			_ = connection.Close()
		default:
			return
		}
	}
}

// newTaskStarted returns a message of the data channel with the given attempt number.
func newTaskStarted(attempt int) almondcross.TaskStarted {
	return almondcross.NewTaskStarted(almondcross.TaskStartedConfig{Attempt: attempt})
}

// nextAttempt returns the attempt number of the next message to the coordinator of the host.
func (host host) nextAttempt(t *testing.T) int {
	t.Helper()
	started, ok := (<-host.coordinator.Messages()).(almondcross.TaskStarted)
	require.True(t, ok)
	return started.Attempt()
}

func newPing(host host, name string) almondcross.PeerPing {
	return almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}), Address: host.address(),
	})})
}

// dial opens a connection to a host as a peer does.
func dial(t *testing.T, host host) *websocket.Conn {
	t.Helper()
	url := "ws" + strings.TrimPrefix(host.server.URL, "http") + host.linker.Path()
	connection, response, err := websocket.DefaultDialer.Dial(url, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = connection.Close(), response.Body.Close() })
	return connection
}

func writeMessage(t *testing.T, connection *websocket.Conn, message almondcross.PeerMessage) {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	frame, err := codec.EncodePeer(message)
	require.NoError(t, err)
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, frame))
}

// Guards against a reply that is lost or matched to another request, against the outcome "not run" for
// a request that the coordinator may be running, and against a new host that gets no replies because
// its peer does not know its address.
func TestForwardedReplyKeepsCorrelation(t *testing.T) {
	first := startHost(t, "e1", nil)
	second := startHost(t, "e2", map[string]string{"e1": first.address()})
	require.False(t, first.linker.Send("e2", newPing(first, "e1")), "a peer without configured address is not known before its first ping")
	require.True(t, second.linker.Send("e1", newPing(second, "e2")))
	<-first.registrar.Messages()

	key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Name: "7"})
	submit := func(correlation uint64) {
		require.True(t, second.linker.Send("e1", almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
			Correlation: correlation, Request: almondcross.NewRequest(almondcross.RequestConfig{Key: key}),
		})))
	}
	submit(41)
	submit(42) // refused, because the ring of the coordinator holds one message
	refused, ok := (<-second.coordinator.Messages()).(almondcross.PeerReply)
	require.True(t, ok)
	require.Equal(t, uint64(42), refused.Correlation())
	require.Equal(t, almondcross.StatusUnknown, refused.Outcome().Status())

	request, ok := (<-first.coordinator.Messages()).(almondcross.SubmitRequest)
	require.True(t, ok)
	require.True(t, request.Forwarded())
	request.Replier().Reply(almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: almondcross.StatusDone}))
	reply, ok := (<-second.coordinator.Messages()).(almondcross.PeerReply)
	require.True(t, ok)
	require.Equal(t, uint64(41), reply.Correlation())
	require.Equal(t, almondcross.StatusDone, reply.Outcome().Status())
}

// Guards against a member that sends messages in the name of another one, with which it could grant that
// member's leases, and against a malformed frame that closes the link.
func TestMessageWithWrongSenderIsDropped(t *testing.T) {
	first := startHost(t, "e1", nil)
	connection := dial(t, first)
	send := func(message almondcross.PeerMessage) { writeMessage(t, connection, message) }
	send(almondcross.NewHello(almondcross.HelloConfig{Name: "e2", RunID: 1, Channel: almondcross.ChannelHeartbeat}))
	// Without an address the host does not dial e2. It would dial itself here and count that connection too.
	pingWithoutAddress := newPing(first, "e2")
	pingWithoutAddress = pingWithoutAddress.WithMember(pingWithoutAddress.Member().WithAddress(""))
	send(newPing(first, "e3"))
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, []byte{0xff}))
	send(pingWithoutAddress)
	received, ok := (<-first.registrar.Messages()).(almondcross.PeerReceived)
	require.True(t, ok)
	require.Equal(t, pingWithoutAddress, received.Message())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_wrong_member_total").Get())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_malformed_total").Get())
}

// Guards against a link that is not reconnected after its connection was closed.
func TestClosedLinkReconnects(t *testing.T) {
	first := startHost(t, "e1", nil)
	second := startHost(t, "e2", map[string]string{"e1": first.address()})
	require.True(t, second.linker.Send("e1", newPing(second, "e2")))
	<-first.registrar.Messages()
	// Each channel has its own connection.
	require.NoError(t, (<-first.acceptedConnections).Close())
	require.NoError(t, (<-first.acceptedConnections).Close())
	<-first.acceptedConnections
	<-first.acceptedConnections
	require.True(t, second.linker.Send("e1", newPing(second, "e2")))
	<-first.registrar.Messages()
}

// Guards against a task report that is lost, repeated or reordered when connections break. Its key would
// never be settled, or be settled twice.
func TestReconnectDeliversOnceInOrder(t *testing.T) {
	const messages, closeEvery = 2000, 97
	first := startHost(t, "e1", nil)
	second := startHost(t, "e2", map[string]string{"e1": first.address()})
	nextToSend := 0
	for received := range messages {
		for nextToSend < messages && second.linker.Send("e1", newTaskStarted(nextToSend)) {
			nextToSend++
		}
		require.Equal(t, received, first.nextAttempt(t))
		if received%closeEvery == closeEvery-1 {
			first.closeConnections()
		}
	}
	require.True(t, second.linker.Send("e1", newTaskStarted(messages)))
	require.Equal(t, messages, first.nextAttempt(t), "a message was delivered twice")
	resent := second.metrics.GetOrCreateCounter(`almondcross_link_resent_total{peer="e1",channel="data"}`)
	require.Positive(t, resent.Get(), "no connection was closed with messages in flight")
}

// Guards against requests and reports that were queued for an ended process and are delivered to the
// restarted process of the same name, which would treat them as its own.
func TestRestartedPeerGetsNoMessagesForPreviousRun(t *testing.T) {
	reservation, err := reserver.Reserve("127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = reservation.Release() })
	socket, err := net.Listen("tcp", reservation.Address())
	require.NoError(t, err)
	first := startHostOn(t, "e1", nil, socket)
	second := startHost(t, "e2", map[string]string{"e1": first.address()})
	require.True(t, second.linker.Send("e1", newTaskStarted(1)))
	require.Equal(t, 1, first.nextAttempt(t))
	for range 500 { // some are written, the others remain in the ring
		require.True(t, second.linker.Send("e1", newTaskStarted(2)))
	}
	first.stop()
	socket, err = net.Listen("tcp", reservation.Address())
	require.NoError(t, err)
	restarted := startHostOn(t, "e1", nil, socket)
	// The arrival of a ping shows that the second host knows the new run. Pings are repeated, because one
	// may be lost on the broken connection.
	ticker := time.NewTicker(almondcross.PingInterval)
	defer ticker.Stop()
	for runKnown := false; !runKnown; {
		second.linker.Send("e1", newPing(second, "e2"))
		select {
		case <-restarted.registrar.Messages():
			runKnown = true
		case <-ticker.C:
		}
	}
	require.True(t, second.linker.Send("e1", newTaskStarted(3)))
	require.Equal(t, 3, restarted.nextAttempt(t))
}

// Guards against a host that is removed from views because one of its rings is full and delays its
// heartbeats, and against an outbox that grows without limit.
func TestFullRingDoesNotDelayHeartbeats(t *testing.T) {
	const maxQueued = linker.DefaultQueueCapacity + 512
	first := startHost(t, "e1", nil)
	second := startHost(t, "e2", map[string]string{"e1": first.address()})
	sent := 0
	for sent < 2*maxQueued && second.linker.Send("e1", newTaskStarted(sent)) {
		sent++
	}
	require.Less(t, sent, maxQueued, "messages are not refused when the ring is full")
	require.True(t, second.linker.Send("e1", newPing(second, "e2")))
	<-first.registrar.Messages()
	require.True(t, first.linker.Send("e2", almondcross.NewPeerPong(almondcross.PeerPongConfig{
		Member: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "e1", Incarnation: 1}),
	})))
	<-second.registrar.Messages()
	for expected := range sent {
		require.Equal(t, expected, first.nextAttempt(t))
	}
}

// Guards against a message that is delivered twice from one run of a sender, on one connection or after a
// reconnect, and against one that is dropped because an earlier run used its sequence number.
func TestSequencesArePerRun(t *testing.T) {
	first := startHost(t, "e1", nil)
	sendOnNewConnection := func(runID uint64, sequences ...uint64) {
		connection := dial(t, first)
		writeMessage(t, connection, almondcross.NewHello(almondcross.HelloConfig{Name: "e2", RunID: runID, Channel: almondcross.ChannelData}))
		for _, sequence := range sequences {
			writeMessage(t, connection, almondcross.NewSequenced(almondcross.SequencedConfig{
				Sequence: sequence, Message: newTaskStarted(int(10*runID + sequence)),
			}))
		}
	}
	sendOnNewConnection(1, 1, 1, 2)
	require.Equal(t, 11, first.nextAttempt(t))
	require.Equal(t, 12, first.nextAttempt(t))
	sendOnNewConnection(1, 1, 2, 3)
	require.Equal(t, 13, first.nextAttempt(t))
	sendOnNewConnection(2, 1)
	require.Equal(t, 21, first.nextAttempt(t))
	require.Equal(t, uint64(3), first.metrics.GetOrCreateCounter("almondcross_link_duplicate_total").Get())
}
