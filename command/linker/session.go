package linker

import (
	"context"
	"net/url"
	"sync/atomic"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Errors of an outgoing connection.
const (
	// errEncoding marks a message that cannot be sent on any connection.
	errEncoding = errors.ConstError("message cannot be encoded")
	// errWrongPeer means that the peer's address answered with something else than a hello of that peer.
	errWrongPeer = errors.ConstError("another host answered at the address of the peer")
	// errPreviousRun means that the connection leads to a process that a newer one has replaced.
	errPreviousRun = errors.ConstError("the connection belongs to an earlier run of the peer")
)

// session is an outgoing connection to a peer.
type session struct {
	connection       *websocket.Conn
	peerRunID        uint64        // peerRunID is the run of the peer that answered.
	lastAcknowledged atomic.Uint64 // lastAcknowledged is the highest sequence number that the peer has acknowledged.
	wake             chan struct{} // wake signals the sender that lastAcknowledged has changed.
	closed           chan error    // closed receives the error that ended the connection.
}

// dial opens a connection and exchanges hellos.
func (sender *sender) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, sender.config.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: sender.config.DialTimeout}
	endpoint := url.URL{Scheme: "ws", Host: sender.link.currentAddress(), Path: sender.config.Path}
	connection, response, err := dialer.DialContext(ctx, endpoint.String(), nil)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", sender.link.name)
	}
	_ = response.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	session := &session{connection: connection, wake: make(chan struct{}, 1), closed: make(chan error, 1)}
	if err := sender.exchangeHellos(session); err != nil {
		_ = connection.Close()
		return nil, errors.Annotatef(err, "exchanging hellos with %s", sender.link.name)
	}
	return session, nil
}

// exchangeHellos sends a hello and checks the answer: it must come from the latest known run of the peer.
func (sender *sender) exchangeHellos(session *session) error {
	frame, err := sender.config.Codec.EncodePeer(almondcross.NewHello(almondcross.HelloConfig{
		Name: sender.config.Name, RunID: sender.localRunID, Channel: sender.channel,
	}))
	if err != nil {
		return errors.Annotate(errEncoding, err.Error())
	}
	if err := sender.write(session, frame); err != nil {
		return err
	}
	session.connection.SetReadLimit(MaxFrameBytes)
	_, frame, err = session.connection.ReadMessage()
	if err != nil {
		return errors.Trace(err)
	}
	message, err := sender.config.Codec.DecodePeer(frame)
	if err != nil {
		return errors.Trace(err)
	}
	hello, ok := message.(almondcross.Hello)
	if !ok || hello.Name() != sender.link.name || hello.RunID() == 0 {
		return errors.Trace(errWrongPeer)
	}
	if sender.link.peerRuns.findOrAdd(hello.RunID()); hello.RunID() != sender.link.peerRuns.latestID() {
		return errors.Trace(errPreviousRun)
	}
	session.peerRunID = hello.RunID()
	session.lastAcknowledged.Store(hello.Received())
	return nil
}

func (sender *sender) write(session *session, frame []byte) error {
	_ = session.connection.SetWriteDeadline(sender.config.Clock.Now().Add(sender.config.WriteTimeout))
	if err := session.connection.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return errors.Annotatef(err, "writing to %s", sender.link.name)
	}
	sender.sentBytes.Add(len(frame))
	return nil
}

// readAcknowledgements reads acknowledgements and control frames until the connection ends, so that its
// end is also noticed when nothing is being sent.
func (sender *sender) readAcknowledgements(session *session) {
	extendDeadline := func(string) error {
		return session.connection.SetReadDeadline(sender.config.Clock.Now().Add(sender.config.ReadTimeout))
	}
	session.connection.SetPongHandler(extendDeadline)
	for {
		_ = extendDeadline("")
		_, frame, err := session.connection.ReadMessage()
		if err != nil {
			session.closed <- errors.Annotatef(err, "reading from %s", sender.link.name)
			return
		}
		message, err := sender.config.Codec.DecodePeer(frame)
		if acknowledged, ok := message.(almondcross.Acknowledged); ok && err == nil {
			session.lastAcknowledged.Store(acknowledged.Sequence())
			signal(session.wake)
		}
	}
}

// closeWithCause closes the connection, waits for its reader to end and returns the cause.
func (session *session) closeWithCause(cause error) error {
	_ = session.connection.Close()
	return errors.Wrap(<-session.closed, cause)
}

// signal wakes the goroutine that waits on a channel of capacity 1; it does not block.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
