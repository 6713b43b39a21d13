package connector

import (
	"context"
	"time"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// pingInterval is the time between two pings of each side.
	pingInterval = 700 * time.Millisecond
	// silenceLimit is how long a connection may be silent.
	silenceLimit = 2500 * time.Millisecond
	// writeLimit bounds one write.
	writeLimit = time.Second
	// outboxCapacity holds what a slow link has not taken; pushed batches beyond it are left out, and the
	// other side reads them from the store.
	outboxCapacity = 64
	// frameLimit is the largest frame in bytes.
	frameLimit = 1 << 20
)

// session is one open connection.
type session struct {
	connection *websocket.Conn
	codec      almondcross.LinkCodec
	outbox     *ring.Ring[outgoing]
}

// outgoing is a message to encode, or a frame that is shared by several sessions.
type outgoing struct {
	message almondcross.LinkMessage
	frame   []byte
}

func newSession(connection *websocket.Conn, codec almondcross.LinkCodec) *session {
	connection.SetReadLimit(frameLimit)
	return &session{
		connection: connection, codec: codec,
		outbox: ring.New[outgoing](ring.Config{Name: "link", Capacity: outboxCapacity}),
	}
}

// run reads and writes until the connection fails or the context ends.
func (session *session) run(ctx context.Context, take func(message almondcross.LinkMessage)) error {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		session.write(ctx)
	}()
	err := session.read(take)
	cancel()
	<-written
	return err
}

func (session *session) read(take func(message almondcross.LinkMessage)) error {
	extend := func() error { return errors.Trace(session.connection.SetReadDeadline(time.Now().Add(silenceLimit))) }
	session.connection.SetPongHandler(func(string) error { return extend() })
	for {
		if err := extend(); err != nil {
			return err
		}
		_, frame, err := session.connection.ReadMessage()
		if err != nil {
			return errors.Trace(err)
		}
		message, err := session.codec.DecodeLink(frame)
		if err != nil {
			return errors.Trace(err)
		}
		take(message)
	}
}

// write sends messages and pings; it closes the connection when it ends, which also ends the reader.
func (session *session) write(ctx context.Context) {
	defer func() { _ = session.connection.Close() }()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if session.connection.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeLimit)) != nil {
				return
			}
		case message := <-session.outbox.Messages():
			if session.send(message) != nil {
				return
			}
		}
	}
}

// offer puts a message into the outbox and reports false when it is full.
func (session *session) offer(message almondcross.LinkMessage) bool {
	return session.outbox.Offer(outgoing{message: message})
}

func (session *session) send(next outgoing) error {
	frame := next.frame
	if frame == nil {
		encoded, err := session.codec.EncodeLink(next.message)
		if err != nil {
			return errors.Trace(err)
		}
		frame = encoded
	}
	if err := session.connection.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(session.connection.WriteMessage(websocket.BinaryMessage, frame))
}
