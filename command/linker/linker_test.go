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
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// host is a linker with the rings of its duties and a server.
type host struct {
	linker      *linker.Linker
	coordinator *ring.Ring[almondcross.CoordinatorMessage]
	registrar   *ring.Ring[almondcross.RegistrarMessage]
	placer      *ring.Ring[almondcross.PlacerMessage]
	metrics     *metrics.Set
	server      *httptest.Server
	accepted    chan net.Conn
	stop        func() // stop ends the host as a crash of its process would.
}

// listener hands each accepted connection to the test as well.
type listener struct {
	net.Listener
	accepted chan net.Conn
}

func (listener listener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err == nil {
		listener.accepted <- connection
	}
	return connection, err
}

func (host host) address() string { return host.server.Listener.Addr().String() }

// acceptBacklog is more than the connections of a test.
const acceptBacklog = 1024

func start(t *testing.T, name string, peers map[string]string) host {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return startAt(t, name, peers, socket)
}

func startAt(t *testing.T, name string, peers map[string]string, socket net.Listener) host {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	host := host{
		coordinator: ring.New[almondcross.CoordinatorMessage](ring.Config{Capacity: 1}),
		registrar:   ring.New[almondcross.RegistrarMessage](ring.Config{Capacity: 8}),
		placer:      ring.New[almondcross.PlacerMessage](ring.Config{Capacity: 8}),
		metrics:     metrics.NewSet(),
		accepted:    make(chan net.Conn, acceptBacklog),
	}
	host.linker = linker.New(linker.Config{
		Name: name, Peers: peers, Codec: codec, Clock: clock{}, Coordinator: host.coordinator, Placer: host.placer,
		Registrar: host.registrar, Cataloguer: ring.New[almondcross.CataloguerMessage](ring.Config{Capacity: 8}),
		// A slow machine does not drop the heartbeats of a test.
		MaxAge: time.Minute, Metrics: host.metrics,
	})
	host.server = &httptest.Server{
		Listener: listener{Listener: socket, accepted: host.accepted}, Config: &http.Server{Handler: host.linker},
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

// cut closes the connections that the host has accepted so far.
func (host host) cut() {
	for {
		select {
		case connection := <-host.accepted:
			_ = connection.Close()
		default:
			return
		}
	}
}

// report returns a message of the data channel with a number.
func report(number int) almondcross.TaskStarted {
	return almondcross.NewTaskStarted(almondcross.TaskStartedConfig{Attempt: number})
}

// number returns the number of the next report that the coordinator of a host gets.
func (host host) number(t *testing.T) int {
	t.Helper()
	started, ok := (<-host.coordinator.Messages()).(almondcross.TaskStarted)
	require.True(t, ok)
	return started.Attempt()
}

func ping(host host, name string) almondcross.PeerPing {
	return almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}), Address: host.address(),
	})})
}

// dial opens a connection to a host as a peer does.
func dial(t *testing.T, host host) *websocket.Conn {
	t.Helper()
	target := "ws" + strings.TrimPrefix(host.server.URL, "http") + host.linker.Path()
	connection, response, err := websocket.DefaultDialer.Dial(target, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = connection.Close(), response.Body.Close() })
	return connection
}

func write(t *testing.T, connection *websocket.Conn, message almondcross.PeerMessage) {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	frame, err := codec.EncodePeer(message)
	require.NoError(t, err)
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, frame))
}

// Guards against a reply that goes to another request or is lost on the way, against a request that
// is refused although the coordinator may run it, and against a new host that stays without answers.
func TestForwardedRequestIsAnsweredUnderItsNumber(t *testing.T) {
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	require.False(t, first.linker.Send("e2", ping(first, "e1")), "a peer that never pinged is not known")
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()

	key := almondcross.NewKey(almondcross.KeyConfig{Caller: "desk", Name: "7"})
	submit := func(correlation uint64) {
		require.True(t, second.linker.Send("e1", almondcross.NewPeerSubmit(almondcross.PeerSubmitConfig{
			Correlation: correlation, Request: almondcross.NewRequest(almondcross.RequestConfig{Key: key}),
		})))
	}
	submit(41)
	submit(42) // the ring of the coordinator holds one message
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

// Guards against a member that speaks for another one, which would let it grant that member's leases,
// and against a malformed frame that ends the link.
func TestMessageOfAnotherMemberIsDropped(t *testing.T) {
	first := start(t, "e1", nil)
	connection := dial(t, first)
	send := func(message almondcross.PeerMessage) { write(t, connection, message) }
	send(almondcross.NewHello(almondcross.HelloConfig{Name: "e2", Run: 1, Channel: almondcross.ChannelHeartbeat}))
	// Without an address the host does not dial e2, whose connection would be counted too.
	quiet := ping(first, "e2")
	quiet = quiet.WithMember(quiet.Member().WithAddress(""))
	send(ping(first, "e3"))
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, []byte{0xff}))
	send(quiet)
	received, ok := (<-first.registrar.Messages()).(almondcross.PeerReceived)
	require.True(t, ok)
	require.Equal(t, quiet, received.Message())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_wrong_member_total").Get())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_malformed_total").Get())
}

// Guards against a link that stays down after its connection was cut.
func TestCutLinkIsOpenedAgain(t *testing.T) {
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()
	// Each channel has a connection.
	require.NoError(t, (<-first.accepted).Close())
	require.NoError(t, (<-first.accepted).Close())
	<-first.accepted
	<-first.accepted
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()
}

// Guards against a report that is lost, repeated or overtaken when connections break, which would
// leave its key waiting or settle it twice.
func TestCutLinkDeliversOnceAndInOrder(t *testing.T) {
	const messages, cutEvery = 2000, 97
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	next := 0
	for received := range messages {
		for next < messages && second.linker.Send("e1", report(next)) {
			next++
		}
		require.Equal(t, received, first.number(t))
		if received%cutEvery == cutEvery-1 {
			first.cut()
		}
	}
	require.True(t, second.linker.Send("e1", report(messages)))
	require.Equal(t, messages, first.number(t), "nothing was repeated")
	resent := second.metrics.GetOrCreateCounter(`almondcross_link_resent_total{peer="e1",channel="data"}`)
	require.Positive(t, resent.Get(), "the cuts hit messages in flight")
}

// Guards against requests and reports for a process that is gone, which its successor under the same
// name would take for its own.
func TestRestartedPeerGetsNoMessagesForItsPredecessor(t *testing.T) {
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	require.True(t, second.linker.Send("e1", report(1)))
	require.Equal(t, 1, first.number(t))
	for range 500 { // some are written, the others wait in the ring
		require.True(t, second.linker.Send("e1", report(2)))
	}
	first.stop()
	socket, err := net.Listen("tcp", first.address())
	require.NoError(t, err)
	restarted := startAt(t, "e1", nil, socket)
	// A ping that arrives shows that the second host knows the new run. A single one may be lost on the
	// broken connection.
	ticker := time.NewTicker(almondcross.PingInterval)
	defer ticker.Stop()
	for known := false; !known; {
		second.linker.Send("e1", ping(second, "e2"))
		select {
		case <-restarted.registrar.Messages():
			known = true
		case <-ticker.C:
		}
	}
	require.True(t, second.linker.Send("e1", report(3)))
	require.Equal(t, 3, restarted.number(t))
}

// Guards against a host that is removed from views because one of its rings is full, and against an
// outbox that grows.
func TestBlockedDutyHoldsUpNoHeartbeat(t *testing.T) {
	const bound = linker.DefaultCapacity + 512
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	sent := 0
	for sent < 2*bound && second.linker.Send("e1", report(sent)) {
		sent++
	}
	require.Less(t, sent, bound, "a full outbox refuses")
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()
	require.True(t, first.linker.Send("e2", almondcross.NewPeerPong(almondcross.PeerPongConfig{
		Member: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "e1", Incarnation: 1}),
	})))
	<-second.registrar.Messages()
	for expected := range sent {
		require.Equal(t, expected, first.number(t))
	}
}

// Guards against a report that is taken twice from one run of a sender, on one connection or after a
// reconnect, and against one that is dropped because an earlier run used its number.
func TestSequenceCountsWithinOneRun(t *testing.T) {
	first := start(t, "e1", nil)
	open := func(run uint64, sequences ...uint64) {
		connection := dial(t, first)
		write(t, connection, almondcross.NewHello(almondcross.HelloConfig{Name: "e2", Run: run, Channel: almondcross.ChannelData}))
		for _, sequence := range sequences {
			write(t, connection, almondcross.NewSequenced(almondcross.SequencedConfig{
				Sequence: sequence, Message: report(int(10*run + sequence)),
			}))
		}
	}
	open(1, 1, 1, 2)
	require.Equal(t, 11, first.number(t))
	require.Equal(t, 12, first.number(t))
	open(1, 1, 2, 3)
	require.Equal(t, 13, first.number(t))
	open(2, 1)
	require.Equal(t, 21, first.number(t))
	require.Equal(t, uint64(3), first.metrics.GetOrCreateCounter("almondcross_link_duplicate_total").Get())
}
