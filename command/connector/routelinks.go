package connector

import (
	"context"

	"github.com/almondcross/almondcross"
)

// RouteLinks implements almondcross.RoutesLinker over the links of a host.
type RouteLinks struct {
	hub    *Hub
	dialer *Dialer
}

// NewRouteLinks returns the links of a hub and of a dialer to the scheduler's host.
func NewRouteLinks(hub *Hub, dialer *Dialer) *RouteLinks {
	return &RouteLinks{hub: hub, dialer: dialer}
}

// SendRoutes queues a message for the other end of a link. It returns false if there is no such link or its queue is full.
func (routelinks *RouteLinks) SendRoutes(end almondcross.LinkEnd, message almondcross.RoutesLinkMessage) bool {
	if end.Uplink != 0 {
		session := routelinks.dialer.current.Load()
		return session != nil && session.number == end.Uplink && session.offer(message)
	}
	session := (*routelinks.hub.sessions.Load())[end.Host]
	return session != nil && session.offer(message)
}

// passRoutes passes a link message that replicates the configuration to the duty for it, with the end that sent it. It reports whether
// it is such a message.
func passRoutes(ctx context.Context, sink almondcross.Sink[almondcross.RoutesMessage], end almondcross.LinkEnd, message almondcross.LinkMessage) bool {
	replicating, ok := message.(almondcross.RoutesLinkMessage)
	if ok {
		_ = sink.Put(ctx, replicating.From(end)) // Put fails only when the context has ended.
	}
	return ok
}

// putRoutesLink reports that another host has opened a link.
func putRoutesLink(ctx context.Context, sink almondcross.Sink[almondcross.RoutesMessage], end almondcross.LinkEnd) {
	opened := almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: end, Present: true})
	_ = sink.Put(ctx, opened) // Put fails only when the context has ended.
}

// offerRoutesLinkEnd reports that a link has ended. If there is no room, the next link of the host replaces it.
func offerRoutesLinkEnd(sink almondcross.Sink[almondcross.RoutesMessage], end almondcross.LinkEnd) {
	sink.Offer(almondcross.NewRoutesLinkChanged(almondcross.RoutesLinkChangedConfig{End: end}))
}
