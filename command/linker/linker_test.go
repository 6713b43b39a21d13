package linker_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
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

func start(t *testing.T, name string, peers map[string]string) host {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	host := host{
		coordinator: ring.New[almondcross.CoordinatorMessage](ring.Config{Capacity: 1}),
		registrar:   ring.New[almondcross.RegistrarMessage](ring.Config{Capacity: 8}),
		placer:      ring.New[almondcross.PlacerMessage](ring.Config{Capacity: 8}),
		metrics:     metrics.NewSet(),
		accepted:    make(chan net.Conn, 16),
	}
	host.linker = linker.New(linker.Config{
		Name: name, Peers: peers, Codec: codec, Clock: clock{}, Coordinator: host.coordinator, Placer: host.placer,
		Registrar: host.registrar, Cataloguer: ring.New[almondcross.CataloguerMessage](ring.Config{Capacity: 8}),
		Metrics: host.metrics,
	})
	host.server = httptest.NewUnstartedServer(host.linker)
	host.server.Listener = listener{Listener: host.server.Listener, accepted: host.accepted}
	host.server.Start()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- host.linker.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		host.server.Close()
	})
	return host
}

func ping(host host, name string) almondcross.PeerPing {
	return almondcross.NewPeerPing(almondcross.PeerPingConfig{Member: almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name, Incarnation: 1}), Address: host.address(),
	})})
}

// Guards against a reply that goes to another request or is lost on the way, against a request that
// is refused although the coordinator may run it, and against a new host that stays without answers.
func TestForwardedRequestIsAnsweredUnderItsNumber(t *testing.T) {
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	require.False(t, first.linker.Send("e2", ping(first, "e1")), "a peer that never pinged is not known")
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()

	key := almondcross.NewKey(almondcross.KeyConfig{Caller: "till", Name: "7"})
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
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	target := "ws" + strings.TrimPrefix(first.server.URL, "http") + first.linker.Path()
	connection, response, err := websocket.DefaultDialer.Dial(target, nil)
	require.NoError(t, err)
	defer func() { _, _ = connection.Close(), response.Body.Close() }()
	send := func(message almondcross.PeerMessage) {
		frame, err := codec.EncodePeer(message)
		require.NoError(t, err)
		require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, frame))
	}
	send(almondcross.NewHello(almondcross.HelloConfig{Name: "e2"}))
	send(ping(first, "e3"))
	require.NoError(t, connection.WriteMessage(websocket.BinaryMessage, []byte{0xff}))
	send(ping(first, "e2"))
	received, ok := (<-first.registrar.Messages()).(almondcross.PeerReceived)
	require.True(t, ok)
	require.Equal(t, ping(first, "e2"), received.Message())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_wrong_member_total").Get())
	require.Equal(t, uint64(1), first.metrics.GetOrCreateCounter("almondcross_link_malformed_total").Get())
}

// Guards against a link that stays down after its connection was cut.
func TestCutLinkIsOpenedAgain(t *testing.T) {
	first := start(t, "e1", nil)
	second := start(t, "e2", map[string]string{"e1": first.address()})
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()
	require.NoError(t, (<-first.accepted).Close())
	<-first.accepted
	require.True(t, second.linker.Send("e1", ping(second, "e2")))
	<-first.registrar.Messages()
}
