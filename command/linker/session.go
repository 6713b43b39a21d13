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
	// errWrongPeer means that another host answered at the address of a peer.
	errWrongPeer = errors.ConstError("the connection was not answered by the peer")
	// errFormerRun means that the process at the other end has been replaced.
	errFormerRun = errors.ConstError("the connection leads to an earlier run of the peer")
)

// session is an outgoing connection.
type session struct {
	connection   *websocket.Conn
	run          uint64        // run is the run of the peer.
	acknowledged atomic.Uint64 // acknowledged is the highest sequence that the peer has received.
	wake         chan struct{} // wake tells the sender that acknowledged has risen.
	closed       chan error    // closed receives the reason for the end of the connection.
}

// dial opens a connection and exchanges hellos.
func (sender *sender) dial(ctx context.Context) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, sender.config.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: sender.config.DialTimeout}
	target := url.URL{Scheme: "ws", Host: sender.link.at(), Path: sender.config.Path}
	connection, response, err := dialer.DialContext(ctx, target.String(), nil)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", sender.link.name)
	}
	_ = response.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	session := &session{connection: connection, wake: make(chan struct{}, 1), closed: make(chan error, 1)}
	if err := sender.greet(session); err != nil {
		_ = connection.Close()
		return nil, errors.Annotatef(err, "greeting %s", sender.link.name)
	}
	return session, nil
}

// greet says hello and reads the answer.
func (sender *sender) greet(session *session) error {
	frame, err := sender.config.Codec.EncodePeer(almondcross.NewHello(almondcross.HelloConfig{
		Name: sender.config.Name, Run: sender.run, Channel: sender.channel,
	}))
	if err != nil {
		return errors.Annotate(errEncoding, err.Error())
	}
	if err := sender.write(session, frame); err != nil {
		return err
	}
	session.connection.SetReadLimit(MaxFrame)
	_, frame, err = session.connection.ReadMessage()
	if err != nil {
		return errors.Trace(err)
	}
	message, err := sender.config.Codec.DecodePeer(frame)
	if err != nil {
		return errors.Trace(err)
	}
	hello, ok := message.(almondcross.Hello)
	if !ok || hello.Name() != sender.link.name || hello.Run() == 0 {
		return errors.Trace(errWrongPeer)
	}
	if sender.link.runs.find(hello.Run()); hello.Run() != sender.link.runs.latest() {
		return errors.Trace(errFormerRun)
	}
	session.run = hello.Run()
	session.acknowledged.Store(hello.Received())
	return nil
}

func (sender *sender) write(session *session, frame []byte) error {
	_ = session.connection.SetWriteDeadline(sender.config.Clock.Now().Add(sender.config.WriteTimeout))
	if err := session.connection.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return errors.Annotatef(err, "writing to %s", sender.link.name)
	}
	sender.bytes.Add(len(frame))
	return nil
}

// watch reads acknowledgements and control frames, so that the end of the connection is noticed
// while nothing is sent.
func (sender *sender) watch(session *session) {
	extend := func(string) error {
		return session.connection.SetReadDeadline(sender.config.Clock.Now().Add(sender.config.ReadTimeout))
	}
	session.connection.SetPongHandler(extend)
	for {
		_ = extend("")
		_, frame, err := session.connection.ReadMessage()
		if err != nil {
			session.closed <- errors.Annotatef(err, "link to %s", sender.link.name)
			return
		}
		message, err := sender.config.Codec.DecodePeer(frame)
		if acknowledged, ok := message.(almondcross.Acknowledged); ok && err == nil {
			session.acknowledged.Store(acknowledged.Sequence())
			signal(session.wake)
		}
	}
}

// hangUp closes the connection, waits for its reader and returns the cause.
func (session *session) hangUp(cause error) error {
	_ = session.connection.Close()
	return errors.Wrap(<-session.closed, cause)
}

// signal wakes the goroutine that waits on a channel of capacity 1.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
