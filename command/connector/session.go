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
	// readTimeout is how long a connection may deliver neither a message nor a pong before it is closed.
	readTimeout = 2500 * time.Millisecond
	// writeTimeout bounds one write.
	writeTimeout = time.Second
	// sendQueueCapacity is the number of messages that wait for a slow link. Pushed batches that find the queue full
	// are dropped, and the other host reads them from the store.
	sendQueueCapacity = 64
	// maxFrameBytes is the maximum size of a received frame in bytes.
	maxFrameBytes = 1 << 20
)

// session is one open connection with its queue of outgoing messages.
type session struct {
	connection *websocket.Conn
	number     int64 // number is that of a link to the scheduler's host, 0 for others.
	codec      almondcross.LinkCodec
	meter      almondcross.LinkMeter // meter counts the messages, nil for no counting.
	sendQueue  *ring.Ring[outgoing]
	frames     almondcross.Limiter // frames limits the bytes of the large messages of all links, nil for no limit.
	// held is what the message that is read holds of that limit, and inFrame is set while it arrives; only the reader uses them.
	held    int64
	inFrame bool
}

// outgoing is a message to encode, or an encoded frame that several sessions share.
type outgoing struct {
	message almondcross.LinkMessage
	frame   []byte
	kind    almondcross.LinkKind // kind is that of an encoded frame.
}

func newSession(connection *websocket.Conn, codec almondcross.LinkCodec, frames almondcross.Limiter, meter almondcross.LinkMeter) *session {
	connection.SetReadLimit(maxFrameBytes)
	return &session{
		connection: connection, codec: codec, frames: frames, meter: meter,
		sendQueue: ring.New[outgoing](ring.Config{Name: "link", Capacity: sendQueueCapacity}),
	}
}

// run reads and writes until the connection fails or the context ends.
func (session *session) run(ctx context.Context, handle func(message almondcross.LinkMessage)) error {
	ctx, cancel := context.WithCancel(ctx)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		session.write(ctx)
	}()
	err := session.read(handle)
	cancel()
	<-writerDone
	return err
}

func (session *session) read(handle func(message almondcross.LinkMessage)) error {
	extendDeadline := func() error { return errors.Trace(session.connection.SetReadDeadline(time.Now().Add(readTimeout))) }
	session.connection.SetPongHandler(func(string) error {
		if session.inFrame {
			return nil // Pongs must not keep a message open that never ends.
		}
		return extendDeadline()
	})
	defer session.release()
	for {
		if err := extendDeadline(); err != nil {
			return err
		}
		frame, err := session.readFrame()
		if err != nil {
			return err
		}
		message, err := session.codec.DecodeLink(frame)
		session.release()
		if session.meter != nil {
			session.meter.Received(almondcross.KindOfLink(message), len(frame))
		}
		if err != nil {
			return errors.Trace(err)
		}
		handle(message)
	}
}

// write sends messages and pings. It closes the connection when it returns, which also ends the reader.
func (session *session) write(ctx context.Context) {
	defer func() { _ = session.connection.Close() }()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if session.connection.WriteControl(websocket.PingMessage, nil, time.Now().Add(writeTimeout)) != nil {
				return
			}
		case message := <-session.sendQueue.Messages():
			if session.send(message) != nil {
				return
			}
		}
	}
}

// offer queues a message for sending and reports false when the queue is full.
func (session *session) offer(message almondcross.LinkMessage) bool {
	return session.sendQueue.Offer(outgoing{message: message})
}

func (session *session) send(next outgoing) error {
	frame, kind := next.frame, next.kind
	if frame == nil {
		encoded, err := session.codec.EncodeLink(next.message)
		if err != nil {
			return errors.Trace(err)
		}
		frame, kind = encoded, next.message.LinkKind()
	}
	if err := session.connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	if err := session.connection.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return errors.Trace(err)
	}
	if session.meter != nil {
		session.meter.Sent(kind, len(frame))
	}
	return nil
}
