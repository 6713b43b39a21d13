package linker

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Acknowledgements are written after ackBatch messages, or ackDelay after the first one: at most
// about 20 small frames a second on a link with little traffic.
const (
	ackBatch = maxUnacknowledged / 4
	ackDelay = 50 * time.Millisecond
)

// errNoHello means that a connection did not begin with a usable hello.
const errNoHello = errors.ConstError("the connection did not begin with a hello")

// ServeHTTP takes one incoming connection and returns when it ends.
func (linker *Linker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: linker.config.WriteTimeout}
	connection, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		linker.warn(request.RemoteAddr, err, "link was not opened")
		return
	}
	ctx, cancel := context.WithCancel(linker.base)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	linker.prepare(connection)
	hello, link, err := linker.hello(connection)
	if err != nil {
		linker.counts.malformed.Inc()
		linker.warn(request.RemoteAddr, err, "link was refused")
		return
	}
	incoming := incoming{linker: linker, connection: connection, link: link, channel: hello.Channel()}
	run := link.runs.find(hello.Run())
	if hello.Channel() == almondcross.ChannelHeartbeat {
		replace(&run.heartbeats, cancel)
		incoming.serveHeartbeats(ctx)
		return
	}
	replace(&run.data, cancel)
	incoming.serveData(ctx, run)
}

// warn logs a fault of an incoming connection.
func (linker *Linker) warn(peer string, err error, text string) {
	linker.config.Logger.WithField("peer", peer).WithError(err).Warn(text)
}

// prepare bounds frames and answers control pings, which also keep a silent connection open.
func (linker *Linker) prepare(connection *websocket.Conn) {
	connection.SetReadLimit(MaxFrame)
	connection.SetPingHandler(func(data string) error {
		now := linker.config.Clock.Now()
		_ = connection.SetReadDeadline(now.Add(linker.config.ReadTimeout))
		err := connection.WriteControl(websocket.PongMessage, []byte(data), now.Add(linker.config.WriteTimeout))
		if errors.Is(err, websocket.ErrCloseSent) {
			return nil
		}
		return errors.Trace(err)
	})
}

func (linker *Linker) hello(connection *websocket.Conn) (almondcross.Hello, *link, error) {
	_ = connection.SetReadDeadline(linker.config.Clock.Now().Add(linker.config.ReadTimeout))
	_, frame, err := connection.ReadMessage()
	if err != nil {
		return almondcross.Hello{}, nil, errors.Annotate(errNoHello, err.Error())
	}
	message, err := linker.config.Codec.DecodePeer(frame)
	if err != nil {
		return almondcross.Hello{}, nil, errors.Annotate(errNoHello, err.Error())
	}
	hello, ok := message.(almondcross.Hello)
	known := hello.Channel() == almondcross.ChannelData || hello.Channel() == almondcross.ChannelHeartbeat
	if !ok || hello.Name() == "" || hello.Name() == linker.config.Name || hello.Run() == 0 || !known {
		return almondcross.Hello{}, nil, errors.Trace(errNoHello)
	}
	link, err := linker.link(hello.Name())
	return hello, link, errors.Trace(err)
}

// incoming is a connection that a peer opened.
type incoming struct {
	linker     *Linker
	connection *websocket.Conn
	link       *link
	channel    almondcross.LinkChannel
}

func (incoming incoming) serveHeartbeats(ctx context.Context) {
	if incoming.answerHello(0) != nil {
		return
	}
	for ctx.Err() == nil {
		message, err := incoming.next()
		switch {
		case err != nil:
			return
		case message == nil:
		case !isHeartbeat(message):
			incoming.linker.counts.malformed.Inc()
		default:
			incoming.receive(ctx, 0, message)
		}
	}
}

// serveData delivers messages. A message whose delivery was given up, because the peer has opened
// another connection, is not counted as received, so that the peer sends it again.
func (incoming incoming) serveData(ctx context.Context, run *run) {
	var received uint64
	select {
	case received = <-run.received:
	case <-ctx.Done():
		return
	}
	defer func() { run.received <- received }()
	if incoming.answerHello(received) != nil {
		return
	}
	acknowledger := acknowledger{wake: make(chan struct{}, 1)}
	go acknowledger.run(ctx, received, incoming.write)
	for ctx.Err() == nil {
		message, err := incoming.next()
		if err != nil {
			return
		}
		sequenced, ok := message.(almondcross.Sequenced)
		if !ok {
			if message != nil {
				incoming.linker.counts.malformed.Inc()
			}
			continue
		}
		if sequenced.Sequence() <= received {
			incoming.linker.counts.duplicate.Inc()
			acknowledger.notice(received)
			continue
		}
		if !incoming.accept(ctx, run.id, sequenced.Message()) {
			return
		}
		received = sequenced.Sequence()
		acknowledger.notice(received)
	}
}

// accept delivers a message and reports whether it is done with. A message that could not be decoded
// is done with, since it would not be understood the next time either.
func (incoming incoming) accept(ctx context.Context, run uint64, message almondcross.PeerMessage) bool {
	if message == nil {
		return true
	}
	if isHeartbeat(message) {
		incoming.linker.counts.malformed.Inc()
		return true
	}
	return incoming.receive(ctx, run, message)
}

func (incoming incoming) answerHello(received uint64) error {
	return incoming.write(almondcross.NewHello(almondcross.HelloConfig{
		Name: incoming.linker.config.Name, Run: incoming.linker.run, Channel: incoming.channel, Received: received,
	}))
}

// write is called from one goroutine at a time.
func (incoming incoming) write(message almondcross.PeerMessage) error {
	frame, err := incoming.linker.config.Codec.EncodePeer(message)
	if err != nil {
		return errors.Trace(err)
	}
	_ = incoming.connection.SetWriteDeadline(incoming.linker.config.Clock.Now().Add(incoming.linker.config.WriteTimeout))
	return errors.Trace(incoming.connection.WriteMessage(websocket.BinaryMessage, frame))
}

// next reads one message. For a frame that cannot be decoded, which a newer version of the program
// may send, it returns nil, or only the sequence if that can be read.
func (incoming incoming) next() (almondcross.PeerMessage, error) {
	config := incoming.linker.config
	_ = incoming.connection.SetReadDeadline(config.Clock.Now().Add(config.ReadTimeout))
	kind, frame, err := incoming.connection.ReadMessage()
	if err != nil {
		return nil, errors.Trace(err)
	}
	incoming.link.received[incoming.channel].Inc()
	incoming.link.receivedBytes[incoming.channel].Add(len(frame))
	if kind != websocket.BinaryMessage {
		incoming.linker.counts.malformed.Inc()
		return nil, nil
	}
	message, err := config.Codec.DecodePeer(frame)
	if err != nil {
		incoming.linker.counts.malformed.Inc()
	}
	return message, nil
}

// acknowledger is the goroutine that writes the acknowledgements of one connection.
type acknowledger struct {
	received atomic.Uint64
	wake     chan struct{}
}

// notice takes the sequence of a received message.
func (acknowledger *acknowledger) notice(sequence uint64) {
	acknowledger.received.Store(sequence)
	signal(acknowledger.wake)
}

// run writes until the context ends or a write fails; the end of the connection is seen by its reader.
func (acknowledger *acknowledger) run(ctx context.Context, written uint64, write func(almondcross.PeerMessage) error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-acknowledger.wake:
			if acknowledger.received.Load()-written < ackBatch {
				if !waiting {
					timer.Reset(ackDelay)
					waiting = true
				}
				continue
			}
		case <-timer.C:
		}
		waiting = false
		timer.Stop()
		written = acknowledger.received.Load()
		if write(almondcross.NewAcknowledged(almondcross.AcknowledgedConfig{Sequence: written})) != nil {
			return
		}
	}
}
