package connector

import (
	"context"

	"github.com/gorilla/websocket"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// ViewDialerConfig holds the dependencies of a dialer of relays.
type ViewDialerConfig struct {
	Codec almondcross.LinkCodec
	Sink  almondcross.Sink[almondcross.SchedulerMessage]
	Log   almondcross.EventLog
	Meter almondcross.LinkMeter // Meter counts the messages on links, nil for no counting.
}

// ViewDialer is the duty that keeps the link to the relay of views, apart from the one to the scheduler's host. It does not open a
// lost link again: the scheduler names another relay.
type ViewDialer struct{ config ViewDialerConfig }

// NewViewDialer returns a dialer.
func NewViewDialer(config ViewDialerConfig) *ViewDialer { return &ViewDialer{config: config} }

// Run keeps the link that was last received until the context ends.
func (viewdialer *ViewDialer) Run(ctx context.Context, relays *ring.Ring[almondcross.ViewRelayLink]) error {
	var cancel context.CancelFunc = func() {}
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil
		case relay := <-relays.Messages():
			cancel()
			var linkCtx context.Context
			linkCtx, cancel = context.WithCancel(ctx)
			if relay.Link() != 0 {
				go viewdialer.follow(linkCtx, relay)
			}
		}
	}
}

// follow carries views over a link to a relay until it is lost, and reports the loss.
func (viewdialer *ViewDialer) follow(ctx context.Context, relay almondcross.ViewRelayLink) {
	err := viewdialer.connect(ctx, relay)
	if ctx.Err() != nil || err == nil {
		return
	}
	viewdialer.config.Log.Record("view_link_lost", almondcross.Text("relay", relay.Relay()), almondcross.Text("reason", err.Error()))
	_ = viewdialer.config.Sink.Put(ctx, almondcross.NewViewRelayLost(almondcross.ViewRelayLostConfig{
		Link: relay.Link(), Reason: err.Error(),
	})) // Put fails only when the context has ended.
}

func (viewdialer *ViewDialer) connect(ctx context.Context, relay almondcross.ViewRelayLink) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := websocket.Dialer{HandshakeTimeout: dialTimeout, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	connection, response, err := client.DialContext(dialCtx, "ws://"+relay.Address()+Path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	_ = response.Body.Close() // An upgraded connection has no body.
	session := newSession(connection, viewdialer.config.Codec, nil, viewdialer.config.Meter)
	session.offer(relay.Hello())
	return session.run(ctx, func(message almondcross.LinkMessage) {
		if pushed, views := message.(almondcross.ViewsPushed); views {
			_ = viewdialer.config.Sink.Put(ctx, almondcross.NewRelayedViews(almondcross.RelayedViewsConfig{
				Link: relay.Link(), Pushed: pushed,
			})) // Put fails only when the context has ended.
		}
	})
}

// ViewLinks implements almondcross.ViewLinker over the links of a host.
type ViewLinks struct {
	hub    *Hub
	dialer *Dialer
	relays almondcross.Sink[almondcross.ViewRelayLink]
}

// NewViewLinks returns the links of a hub, of a dialer to the scheduler's host, and of a dialer of relays, which relays leads to.
func NewViewLinks(hub *Hub, dialer *Dialer, relays almondcross.Sink[almondcross.ViewRelayLink]) *ViewLinks {
	return &ViewLinks{hub: hub, dialer: dialer, relays: relays}
}

// SendNumber sends the number of a push to linked hosts. A host that misses it gets the next one.
func (viewlinks *ViewLinks) SendNumber(hosts []string, numbered almondcross.ViewsNumbered) {
	viewlinks.hub.broadcast(hosts, numbered)
}

// AssignViews tells a linked host from where it gets views.
func (viewlinks *ViewLinks) AssignViews(host string, assigned almondcross.ViewsAssigned) {
	if session := (*viewlinks.hub.sessions.Load())[host]; session != nil && !session.offer(assigned) {
		_ = session.connection.Close() // The host reconnects, and is assigned again.
	}
}

// RelayViews encodes views once and queues them for the viewers. A viewer whose queue is full would miss a push; its link is closed,
// and it gets another relay.
func (viewlinks *ViewLinks) RelayViews(links []int64, pushed almondcross.ViewsPushed) {
	hub := viewlinks.hub
	frame, err := hub.config.Codec.EncodeLink(pushed)
	if err != nil {
		hub.config.Log.Record("push_failed", almondcross.Text("reason", err.Error()))
		viewlinks.CloseViewers(links)
		return
	}
	viewers := *hub.viewers.Load()
	for _, link := range links {
		session := viewers[link]
		if session != nil && !session.sendQueue.Offer(outgoing{frame: frame, kind: pushed.LinkKind()}) {
			_ = session.connection.Close() // The reader ends the session.
		}
	}
}

// CloseViewers closes links of viewers.
func (viewlinks *ViewLinks) CloseViewers(links []int64) {
	viewers := *viewlinks.hub.viewers.Load()
	for _, link := range links {
		if session := viewers[link]; session != nil {
			_ = session.connection.Close() // The reader ends the session.
		}
	}
}

// FollowRelay passes the link to the dialer of relays. If the ring is full, the views stay away, and the host reports that it misses
// them.
func (viewlinks *ViewLinks) FollowRelay(relay almondcross.ViewRelayLink) {
	viewlinks.relays.Offer(relay)
}

// ReportMissed sends a report to the scheduler.
func (viewlinks *ViewLinks) ReportMissed(missed almondcross.ViewsMissed) {
	if session := viewlinks.dialer.current.Load(); session != nil {
		session.offer(missed)
	}
}
