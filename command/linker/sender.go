package linker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// sender is the duty that sends on one channel of a link; it owns the connection and the outbox.
type sender struct {
	config  Config
	link    *link
	channel almondcross.LinkChannel
	run     uint64 // run is the run of this process.
	ring    *ring.Ring[outgoing]
	outbox  outbox       // outbox stays empty on the heartbeat channel.
	written atomic.Int64 // written is the length of the outbox, for other goroutines.

	sent, bytes, resent, lost *metrics.Counter
}

func newSender(config Config, link *link, channel almondcross.LinkChannel, run uint64) *sender {
	name, capacity := "link."+link.name, config.Capacity
	if channel == almondcross.ChannelHeartbeat {
		name, capacity = name+".heartbeat", heartbeatCapacity
	}
	return &sender{
		config:  config,
		link:    link,
		channel: channel,
		run:     run,
		ring:    ring.New[outgoing](ring.Config{Name: name, Capacity: capacity}),
		sent:    linkCounter(config, "almondcross_link_sent_total", link.name, channel),
		bytes:   linkCounter(config, "almondcross_link_sent_bytes_total", link.name, channel),
		resent:  linkCounter(config, "almondcross_link_resent_total", link.name, channel),
		lost:    linkCounter(config, "almondcross_link_lost_total", link.name, channel),
	}
}

// register adds the gauges of the ring; it is called once for each peer.
func (sender *sender) register() {
	label := fmt.Sprintf("{ring=%q}", sender.ring.Name())
	sender.config.Metrics.NewGauge("almondcross_ring_depth"+label, func() float64 { return float64(sender.ring.Depth()) })
	sender.config.Metrics.NewGauge("almondcross_ring_capacity"+label, func() float64 { return float64(sender.ring.Capacity()) })
	sender.config.Metrics.NewGauge("almondcross_ring_refused_total"+label, func() float64 { return float64(sender.ring.Refused()) })
}

func (sender *sender) state() almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: sender.ring.Name(), Depth: sender.ring.Depth(), Capacity: sender.ring.Capacity(), Refused: sender.ring.Refused(),
	})
}

// offer queues a message for a run of the peer.
func (sender *sender) offer(message almondcross.PeerMessage, run uint64) bool {
	if sender.ring.Offer(outgoing{message: message, at: sender.config.Clock.Now(), run: run}) {
		return true
	}
	sender.lost.Inc()
	return false
}

// serveLink keeps a connection until the context ends.
func (sender *sender) serveLink(ctx context.Context) {
	backoff := firstBackoff
	logger := sender.config.Logger.WithField("peer", sender.link.name).WithField("channel", sender.channel)
	connected := true
	for ctx.Err() == nil {
		session, err := sender.dial(ctx)
		if err == nil {
			logger.Info("link is up")
			connected, backoff = true, firstBackoff
			err = sender.serve(ctx, session)
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

// serve sends messages until the connection fails or the context ends.
func (sender *sender) serve(ctx context.Context, session *session) error {
	go sender.watch(session)
	stop := context.AfterFunc(ctx, func() { _ = session.connection.Close() })
	defer stop()
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	if err := sender.resend(session); err != nil {
		return session.hangUp(err)
	}
	for {
		sender.written.Store(int64(len(sender.outbox.messages)))
		var queue <-chan outgoing
		if sender.outbox.hasRoom() {
			queue = sender.ring.Messages()
		}
		select {
		case message := <-queue:
			if err := sender.transmit(session, message); err != nil {
				return session.hangUp(err)
			}
		case <-session.wake:
			sender.outbox.acknowledge(session.acknowledged.Load())
		case <-ticker.C:
			deadline := sender.config.Clock.Now().Add(sender.config.WriteTimeout)
			if err := session.connection.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
				return session.hangUp(errors.Annotate(err, "keeping the link alive"))
			}
		case err := <-session.closed:
			_ = session.connection.Close()
			return err
		}
	}
}

// resend writes the messages again that the same run of the peer has not received.
func (sender *sender) resend(session *session) error {
	sender.lost.Add(sender.outbox.retain(session.run))
	sender.outbox.acknowledge(session.acknowledged.Load())
	for _, message := range sender.outbox.messages {
		frame, err := sender.encode(message)
		if err != nil {
			return err
		}
		if err := sender.write(session, frame); err != nil {
			return err
		}
		sender.resent.Inc()
	}
	return nil
}

func (sender *sender) transmit(session *session, message outgoing) error {
	if sender.channel == almondcross.ChannelHeartbeat {
		return sender.transmitHeartbeat(session, message)
	}
	switch message.run {
	case 0:
		message.run = session.run
	case session.run, sender.link.runs.latest():
	default:
		sender.lost.Inc()
		return nil
	}
	message.sequence = sender.outbox.last + 1
	frame, err := sender.encode(message)
	if err != nil {
		sender.lost.Inc()
		sender.config.Logger.WithField("peer", sender.link.name).WithError(err).Error("message was dropped")
		return nil
	}
	message.size = len(frame)
	sender.outbox.add(message)
	if message.run != session.run {
		// The peer was restarted and has greeted this host before the end of this connection was seen.
		return errors.Trace(errFormerRun)
	}
	if err := sender.write(session, frame); err != nil {
		return err
	}
	sender.sent.Inc()
	return nil
}

func (sender *sender) transmitHeartbeat(session *session, message outgoing) error {
	if sender.config.Clock.Now().Sub(message.at) > sender.config.MaxAge {
		sender.lost.Inc()
		return nil
	}
	frame, err := sender.config.Codec.EncodePeer(message.message)
	if err == nil {
		err = sender.write(session, frame)
	}
	if err != nil {
		sender.lost.Inc()
		return errors.Trace(err)
	}
	sender.sent.Inc()
	return nil
}

func (sender *sender) encode(message outgoing) ([]byte, error) {
	frame, err := sender.config.Codec.EncodePeer(almondcross.NewSequenced(almondcross.SequencedConfig{
		Sequence: message.sequence, Message: message.message,
	}))
	if err != nil {
		return nil, errors.Annotate(errEncoding, err.Error())
	}
	return frame, nil
}
