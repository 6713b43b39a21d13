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

// An acknowledgement is written after ackBatchSize messages, or ackDelay after the first unacknowledged
// one: at most about 20 small frames a second on a link with little traffic.
const (
	ackBatchSize = maxUnacknowledged / 4
	ackDelay     = 50 * time.Millisecond
)

// maxHelloBytes is the maximum size in bytes of the first message of a connection, before it is known who has opened it.
const maxHelloBytes = 4 << 10

// errInvalidHello means that the first frame of a connection was missing or not a valid hello.
const errInvalidHello = errors.ConstError("the connection did not begin with a valid hello")

// ServeHTTP serves one incoming connection and returns when it ends.
func (linker *Linker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: linker.config.WriteTimeout}
	connection, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		linker.logWarning(request.RemoteAddr, err, "incoming link could not be opened")
		return
	}
	ctx, cancel := context.WithCancel(linker.serveContext)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	linker.configureConnection(connection)
	hello, link, err := linker.readHello(connection)
	if err != nil {
		linker.counters.malformed.Inc()
		linker.logWarning(request.RemoteAddr, err, "incoming link was refused")
		return
	}
	incomingconn := incomingConn{linker: linker, connection: connection, link: link, channel: hello.Channel()}
	run := link.peerRuns.findOrAdd(hello.RunID())
	if hello.Channel() == almondcross.ChannelHeartbeat {
		replaceConnection(&run.cancelHeartbeats, cancel)
		incomingconn.receiveHeartbeats(ctx)
		return
	}
	replaceConnection(&run.cancelData, cancel)
	incomingconn.receiveData(ctx, run)
}

// logWarning logs an error of an incoming connection.
func (linker *Linker) logWarning(remoteAddress string, err error, text string) {
	linker.config.Logger.WithField("peer", remoteAddress).WithError(err).Warn(text)
}

// configureConnection answers control pings, which also extend the read deadline of a connection without messages.
func (linker *Linker) configureConnection(connection *websocket.Conn) {
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

// readHello reads the first message of a connection. Only after it larger ones are accepted.
func (linker *Linker) readHello(connection *websocket.Conn) (almondcross.Hello, *link, error) {
	connection.SetReadLimit(maxHelloBytes)
	_ = connection.SetReadDeadline(linker.config.Clock.Now().Add(linker.config.ReadTimeout))
	_, frame, err := connection.ReadMessage()
	if err != nil {
		return almondcross.Hello{}, nil, errors.Annotate(errInvalidHello, err.Error())
	}
	message, err := linker.config.Codec.DecodePeer(frame)
	if err != nil {
		return almondcross.Hello{}, nil, errors.Annotate(errInvalidHello, err.Error())
	}
	hello, ok := message.(almondcross.Hello)
	validChannel := hello.Channel() == almondcross.ChannelData || hello.Channel() == almondcross.ChannelHeartbeat
	if !ok || hello.Name() == "" || hello.Name() == linker.config.Name || hello.RunID() == 0 || !validChannel {
		return almondcross.Hello{}, nil, errors.Trace(errInvalidHello)
	}
	connection.SetReadLimit(MaxFrameBytes)
	link, err := linker.getOrAddLink(hello.Name())
	return hello, link, errors.Trace(err)
}

// incomingConn is a connection that a peer opened.
type incomingConn struct {
	linker     *Linker
	connection *websocket.Conn
	link       *link
	channel    almondcross.LinkChannel
}

func (incomingconn incomingConn) receiveHeartbeats(ctx context.Context) {
	if incomingconn.writeHello(0) != nil {
		return
	}
	for ctx.Err() == nil {
		message, err := incomingconn.readMessage()
		switch {
		case err != nil:
			return
		case message == nil:
		case !isHeartbeat(message):
			incomingconn.linker.counters.malformed.Inc()
		default:
			incomingconn.dispatch(ctx, 0, message)
		}
	}
}

// receiveData delivers messages until the connection or the context ends. A message whose delivery was
// cancelled, because the peer has opened another connection, is not counted as received, so that the
// peer sends it again.
func (incomingconn incomingConn) receiveData(ctx context.Context, run *peerRun) {
	var lastReceived uint64
	select {
	case lastReceived = <-run.lastReceived:
	case <-ctx.Done():
		return
	}
	defer func() { run.lastReceived <- lastReceived }()
	if incomingconn.writeHello(lastReceived) != nil {
		return
	}
	acknowledger := acknowledger{wake: make(chan struct{}, 1)}
	go acknowledger.run(ctx, lastReceived, incomingconn.write)
	for ctx.Err() == nil {
		message, err := incomingconn.readMessage()
		if err != nil {
			return
		}
		sequenced, ok := message.(almondcross.Sequenced)
		if !ok {
			if message != nil {
				incomingconn.linker.counters.malformed.Inc()
			}
			continue
		}
		if sequenced.Sequence() <= lastReceived {
			incomingconn.linker.counters.duplicate.Inc()
			acknowledger.setLastReceived(lastReceived)
			continue
		}
		if !incomingconn.deliver(ctx, run.id, sequenced.Message()) {
			return
		}
		lastReceived = sequenced.Sequence()
		acknowledger.setLastReceived(lastReceived)
	}
}

// deliver passes a message to its duty and reports whether to count it as received. A message that could
// not be decoded counts as received, since sending it again would not help.
func (incomingconn incomingConn) deliver(ctx context.Context, peerRunID uint64, message almondcross.PeerMessage) bool {
	if message == nil {
		return true
	}
	if isHeartbeat(message) {
		incomingconn.linker.counters.malformed.Inc()
		return true
	}
	return incomingconn.dispatch(ctx, peerRunID, message)
}

func (incomingconn incomingConn) writeHello(lastReceived uint64) error {
	return incomingconn.write(almondcross.NewHello(almondcross.HelloConfig{
		Name: incomingconn.linker.config.Name, RunID: incomingconn.linker.runID, Channel: incomingconn.channel, Received: lastReceived,
	}))
}

// write sends one message. It must be called from one goroutine at a time.
func (incomingconn incomingConn) write(message almondcross.PeerMessage) error {
	frame, err := incomingconn.linker.config.Codec.EncodePeer(message)
	if err != nil {
		return errors.Trace(err)
	}
	_ = incomingconn.connection.SetWriteDeadline(incomingconn.linker.config.Clock.Now().Add(incomingconn.linker.config.WriteTimeout))
	return errors.Trace(incomingconn.connection.WriteMessage(websocket.BinaryMessage, frame))
}

// readMessage reads one message. A newer version of the program may send a frame that cannot be
// decoded; for such a frame it returns nil, or a Sequenced without a message if its sequence number can
// be read.
func (incomingconn incomingConn) readMessage() (almondcross.PeerMessage, error) {
	config := incomingconn.linker.config
	_ = incomingconn.connection.SetReadDeadline(config.Clock.Now().Add(config.ReadTimeout))
	frameType, frame, err := incomingconn.connection.ReadMessage()
	if err != nil {
		return nil, errors.Trace(err)
	}
	incomingconn.link.receivedFrames[incomingconn.channel].Inc()
	incomingconn.link.receivedBytes[incomingconn.channel].Add(len(frame))
	if frameType != websocket.BinaryMessage {
		incomingconn.linker.counters.malformed.Inc()
		return nil, nil
	}
	message, err := config.Codec.DecodePeer(frame)
	if err != nil {
		incomingconn.linker.counters.malformed.Inc()
	}
	return message, nil
}

// acknowledger writes the acknowledgements of one connection in its own goroutine.
type acknowledger struct {
	lastReceived atomic.Uint64
	wake         chan struct{}
}

// setLastReceived sets the sequence number to acknowledge and wakes the goroutine.
func (acknowledger *acknowledger) setLastReceived(sequence uint64) {
	acknowledger.lastReceived.Store(sequence)
	signal(acknowledger.wake)
}

// run writes acknowledgements until the context ends or a write fails. It reports no error, because the
// reader of the connection notices its end.
func (acknowledger *acknowledger) run(ctx context.Context, lastAcknowledged uint64, write func(almondcross.PeerMessage) error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	timerActive := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-acknowledger.wake:
			if acknowledger.lastReceived.Load()-lastAcknowledged < ackBatchSize {
				if !timerActive {
					timer.Reset(ackDelay)
					timerActive = true
				}
				continue
			}
		case <-timer.C:
		}
		timerActive = false
		timer.Stop()
		lastAcknowledged = acknowledger.lastReceived.Load()
		if write(almondcross.NewAcknowledged(almondcross.AcknowledgedConfig{Sequence: lastAcknowledged})) != nil {
			return
		}
	}
}
