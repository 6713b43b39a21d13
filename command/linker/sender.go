package linker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/websocket"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// outgoing is a message with the time at which it was queued.
type outgoing struct {
	message almondcross.PeerMessage
	at      time.Time
}

// sender is the duty that sends to one peer; it owns the outgoing connection.
type sender struct {
	config  Config
	name    string
	address atomic.Pointer[string]
	ring    *ring.Ring[outgoing]
	sent    *metrics.Counter
	bytes   *metrics.Counter
	lost    *metrics.Counter
}

func newSender(config Config, name, address string) *sender {
	sender := &sender{
		config: config,
		name:   name,
		ring: ring.New[outgoing](ring.Config{
			Name: "link." + name, Capacity: config.Capacity,
		}),
		sent:  peerCounter(config, "almondcross_link_sent_total", name),
		bytes: peerCounter(config, "almondcross_link_sent_bytes_total", name),
		lost:  peerCounter(config, "almondcross_link_lost_total", name),
	}
	sender.address.Store(&address)
	return sender
}

// register adds the gauges of the ring; it is called once for each peer.
func (sender *sender) register() {
	label := fmt.Sprintf("{ring=%q}", sender.ring.Name())
	sender.config.Metrics.NewGauge("almondcross_ring_depth"+label, func() float64 { return float64(sender.ring.Depth()) })
	sender.config.Metrics.NewGauge("almondcross_ring_capacity"+label, func() float64 { return float64(sender.ring.Capacity()) })
	sender.config.Metrics.NewGauge("almondcross_ring_refused_total"+label, func() float64 { return float64(sender.ring.Refused()) })
}

func (sender *sender) at() string { return *sender.address.Load() }

// moveTo sets the address for the next connection.
func (sender *sender) moveTo(address string) { sender.address.Store(&address) }

func (sender *sender) state() almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: sender.ring.Name(), Depth: sender.ring.Depth(), Capacity: sender.ring.Capacity(), Refused: sender.ring.Refused(),
	})
}

func (sender *sender) offer(message almondcross.PeerMessage) bool {
	if sender.ring.Offer(outgoing{message: message, at: sender.config.Clock.Now()}) {
		return true
	}
	sender.lost.Inc()
	return false
}

// run keeps a connection until the context ends.
func (sender *sender) run(ctx context.Context) {
	backoff := firstBackoff
	logger := sender.config.Logger.WithField("peer", sender.name)
	connected := true
	for ctx.Err() == nil {
		connection, err := sender.dial(ctx)
		if err == nil {
			logger.Info("link is up")
			connected, backoff = true, firstBackoff
			err = sender.serve(ctx, connection)
		}
		if ctx.Err() != nil {
			return
		}
		if connected {
			logger.WithError(err).Warn("link is down")
			connected = false
		}
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		backoff = min(2*backoff, lastBackoff)
	}
}

// dial opens a connection and says hello.
func (sender *sender) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, sender.config.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: sender.config.DialTimeout}
	target := url.URL{Scheme: "ws", Host: sender.at(), Path: sender.config.Path}
	connection, response, err := dialer.DialContext(ctx, target.String(), nil)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", sender.name)
	}
	_ = response.Body.Close()
	hello := almondcross.NewHello(almondcross.HelloConfig{Name: sender.config.Name})
	if err := sender.write(connection, hello); err != nil {
		_ = connection.Close()
		return nil, err
	}
	return connection, nil
}

// serve sends messages until the connection fails or the context ends.
func (sender *sender) serve(ctx context.Context, connection *websocket.Conn) error {
	closed := make(chan error, 1)
	go func() { closed <- sender.watch(connection) }()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for {
		select {
		case message := <-sender.ring.Messages():
			if sender.config.Clock.Now().Sub(message.at) > sender.config.MaxAge {
				sender.lost.Inc()
				continue
			}
			err := sender.write(connection, message.message)
			if err == nil {
				sender.sent.Inc()
				continue
			}
			sender.lost.Inc()
			if errors.Is(err, errEncoding) {
				sender.config.Logger.WithField("peer", sender.name).WithError(err).Error("message cannot be encoded")
				continue
			}
			return hangUp(connection, closed, err)
		case <-ticker.C:
			deadline := sender.config.Clock.Now().Add(sender.config.WriteTimeout)
			if err := connection.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
				return hangUp(connection, closed, errors.Annotate(err, "keeping the link alive"))
			}
		case err := <-closed:
			_ = connection.Close()
			return err
		}
	}
}

// hangUp closes the connection, waits for its reader and returns the cause.
func hangUp(connection *websocket.Conn, closed <-chan error, cause error) error {
	_ = connection.Close()
	return errors.Wrap(<-closed, cause)
}

// errEncoding marks a message that cannot be sent on any connection.
const errEncoding = errors.ConstError("message cannot be encoded")

func (sender *sender) write(connection *websocket.Conn, message almondcross.PeerMessage) error {
	frame, err := sender.config.Codec.EncodePeer(message)
	if err != nil {
		return errors.Annotate(errEncoding, err.Error())
	}
	_ = connection.SetWriteDeadline(sender.config.Clock.Now().Add(sender.config.WriteTimeout))
	if err := connection.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		return errors.Annotatef(err, "writing to %s", sender.name)
	}
	sender.bytes.Add(len(frame))
	return nil
}

// watch reads control frames, so that the end of the connection is noticed while nothing is sent.
func (sender *sender) watch(connection *websocket.Conn) error {
	connection.SetReadLimit(MaxFrame)
	extend := func(string) error {
		return connection.SetReadDeadline(sender.config.Clock.Now().Add(sender.config.ReadTimeout))
	}
	_ = extend("")
	connection.SetPongHandler(extend)
	for {
		if _, _, err := connection.NextReader(); err != nil {
			return errors.Annotatef(err, "link to %s", sender.name)
		}
	}
}

// warn logs a fault of an incoming connection.
func (linker *Linker) warn(peer string, err error, text string) {
	linker.config.Logger.WithFields(logrus.Fields{"peer": peer}).WithError(err).Warn(text)
}
