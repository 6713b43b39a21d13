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

// sender is the duty that sends on one channel of a link; it owns the outgoing connection and the outbox.
type sender struct {
	config       Config
	link         *link
	channel      almondcross.LinkChannel
	localRunID   uint64 // localRunID is the run of this process.
	ring         *ring.Ring[queuedMessage]
	outbox       outbox       // outbox is always empty on the heartbeat channel.
	outboxLength atomic.Int64 // outboxLength is the length of the outbox, readable from other goroutines.

	sent, sentBytes, resent, lost *metrics.Counter
}

func newSender(config Config, link *link, channel almondcross.LinkChannel, localRunID uint64) *sender {
	name, capacity := "link."+link.name, config.QueueCapacity
	if channel == almondcross.ChannelHeartbeat {
		name, capacity = name+".heartbeat", heartbeatQueueCapacity
	}
	return &sender{
		config:     config,
		link:       link,
		channel:    channel,
		localRunID: localRunID,
		ring:       ring.New[queuedMessage](ring.Config{Name: name, Capacity: capacity}),
		sent:       linkCounter(config, "almondcross_link_sent_total", link.name, channel),
		sentBytes:  linkCounter(config, "almondcross_link_sent_bytes_total", link.name, channel),
		resent:     linkCounter(config, "almondcross_link_resent_total", link.name, channel),
		lost:       linkCounter(config, "almondcross_link_lost_total", link.name, channel),
	}
}

// registerGauges adds the metrics of the ring; it must be called only once for each peer.
func (sender *sender) registerGauges() {
	label := fmt.Sprintf("{ring=%q}", sender.ring.Name())
	sender.config.Metrics.NewGauge("almondcross_ring_depth"+label, func() float64 { return float64(sender.ring.Depth()) })
	sender.config.Metrics.NewGauge("almondcross_ring_capacity"+label, func() float64 { return float64(sender.ring.Capacity()) })
	sender.config.Metrics.NewGauge("almondcross_ring_refused_total"+label, func() float64 { return float64(sender.ring.Refused()) })
}

func (sender *sender) ringState() almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: sender.ring.Name(), Depth: sender.ring.Depth(), Capacity: sender.ring.Capacity(), Refused: sender.ring.Refused(),
	})
}

// offer queues a message for a run of the peer. If the ring is full, it counts the message as lost and
// returns false.
func (sender *sender) offer(message almondcross.PeerMessage, peerRunID uint64) bool {
	if sender.ring.Offer(queuedMessage{message: message, queuedAt: sender.config.Clock.Now(), peerRunID: peerRunID}) {
		return true
	}
	sender.lost.Inc()
	return false
}

// maintainConnection opens the connection, sends on it and reopens it with backoff until the context ends.
func (sender *sender) maintainConnection(ctx context.Context) {
	backoff := minBackoff
	logger := sender.config.Logger.WithField("peer", sender.link.name).WithField("channel", sender.channel)
	connected := true
	for ctx.Err() == nil {
		session, err := sender.dial(ctx)
		if err == nil {
			logger.Info("link is up")
			connected, backoff = true, minBackoff
			err = sender.sendLoop(ctx, session)
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
		backoff = min(2*backoff, maxBackoff)
	}
}

// sendLoop sends messages until the connection fails or the context ends.
func (sender *sender) sendLoop(ctx context.Context, session *session) error {
	go sender.readAcknowledgements(session)
	stop := context.AfterFunc(ctx, func() { _ = session.connection.Close() })
	defer stop()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	if err := sender.resend(session); err != nil {
		return session.closeWithCause(err)
	}
	for {
		sender.outboxLength.Store(int64(len(sender.outbox.messages)))
		var queue <-chan queuedMessage
		if sender.outbox.hasCapacity() {
			queue = sender.ring.Messages()
		}
		select {
		case message := <-queue:
			if err := sender.transmit(session, message); err != nil {
				return session.closeWithCause(err)
			}
		case <-session.wake:
			sender.outbox.acknowledge(session.lastAcknowledged.Load())
		case <-ticker.C:
			deadline := sender.config.Clock.Now().Add(sender.config.WriteTimeout)
			if err := session.connection.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
				return session.closeWithCause(errors.Annotate(err, "sending a keep-alive ping"))
			}
		case err := <-session.closed:
			_ = session.connection.Close()
			return err
		}
	}
}

// resend writes the unacknowledged messages again. It drops those for other runs of the peer.
func (sender *sender) resend(session *session) error {
	sender.lost.Add(sender.outbox.dropOtherRuns(session.peerRunID))
	sender.outbox.acknowledge(session.lastAcknowledged.Load())
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

func (sender *sender) transmit(session *session, message queuedMessage) error {
	if sender.channel == almondcross.ChannelHeartbeat {
		return sender.transmitHeartbeat(session, message)
	}
	switch message.peerRunID {
	case 0:
		message.peerRunID = session.peerRunID
	case session.peerRunID, sender.link.peerRuns.latestID():
	default:
		sender.lost.Inc()
		return nil
	}
	message.sequence = sender.outbox.lastSequence + 1
	frame, err := sender.encode(message)
	if err != nil {
		sender.lost.Inc()
		sender.config.Logger.WithField("peer", sender.link.name).WithError(err).Error("message cannot be encoded and was dropped")
		return nil
	}
	message.frameBytes = len(frame)
	sender.outbox.add(message)
	if message.peerRunID != session.peerRunID {
		// The peer was restarted, and its new process has connected to this host before the end of this
		// connection was detected. The outbox sends the message on the next connection.
		return errors.Trace(errPreviousRun)
	}
	if err := sender.write(session, frame); err != nil {
		return err
	}
	sender.sent.Inc()
	return nil
}

func (sender *sender) transmitHeartbeat(session *session, message queuedMessage) error {
	if sender.config.Clock.Now().Sub(message.queuedAt) > sender.config.MaxHeartbeatAge {
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

func (sender *sender) encode(message queuedMessage) ([]byte, error) {
	frame, err := sender.config.Codec.EncodePeer(almondcross.NewSequenced(almondcross.SequencedConfig{
		Sequence: message.sequence, Message: message.message,
	}))
	if err != nil {
		return nil, errors.Annotate(errEncoding, err.Error())
	}
	return frame, nil
}
