package connector

import (
	"net/http"

	"github.com/almondcross/almondcross"
)

// acceptedLink is a link that another host has opened to this one: as a host of the scheduler, or for views alone.
type acceptedLink struct {
	hub     *Hub
	request *http.Request
	session *session
	host    string // host is the name of the other host, empty before its greeting and on a link for views.
	viewer  int64  // viewer is the number of a link for views, 0 for none.
	version int64  // version is the highest version of the configuration by which the other host has forwarded an intake.
}

// handle handles a message of the other host. A link for views brings nothing after its greeting.
func (acceptedlink *acceptedLink) handle(message almondcross.LinkMessage) {
	hub, request := acceptedlink.hub, acceptedlink.request
	if acceptedlink.viewer != 0 || passRoutes(request.Context(), hub.config.Routes, acceptedlink.end(), message) {
		return
	}
	switch message := message.(type) {
	case almondcross.HostHello:
		if acceptedlink.host != "" || message.Host() == "" || message.Host() == hub.config.Host {
			return // A link has one host. Under a second name, the first one would stay linked when the link ends.
		}
		acceptedlink.host = message.Host()
		hub.replaceSession(acceptedlink.host, nil, acceptedlink.session)
		hub.notifyLinkChanged(request, almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
			Host: acceptedlink.host, Present: true, Strength: message.Strength(), Address: message.Address(), DataCentre: message.DataCentre(),
			ViewFormat: message.ViewFormat(), SchedulerEpoch: message.SchedulerEpoch(), Format: message.Format(), StateBytes: message.StateBytes(), Ends: message.Ends(),
		}))
		if message.RoutesFormat() > 0 {
			putRoutesLink(request.Context(), hub.config.Routes, acceptedlink.end())
		}
	case almondcross.ViewerHello:
		if acceptedlink.host != "" || message.Host() == "" {
			return
		}
		acceptedlink.viewer = hub.lastLink.Add(1)
		replaceIn(&hub.viewers, acceptedlink.viewer, nil, acceptedlink.session)
		hub.notifyScheduler(request, almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{
			Link: acceptedlink.viewer, Present: true, Hello: message,
		}))
	case almondcross.OrdersAnswered:
		_ = hub.config.Relay.Put(request.Context(), message.WithHost(acceptedlink.host)) // Put fails only when the context of the request has ended.
	case almondcross.AdviceAnswered:
		hub.notifyScheduler(request, message.WithAdviser(acceptedlink.host).WithReceived(hub.config.Clock.Now()))
	case almondcross.IntakeForwarded:
		acceptedlink.noteVersion(message.Intake().Settings().Version())
		hub.notifyScheduler(request, message.WithHost(acceptedlink.host))
	case almondcross.ViewsMissed:
		hub.notifyScheduler(request, message.WithHost(acceptedlink.host))
	}
}

// noteVersion passes on that the other host has accepted an intake by a version of the configuration. Otherwise the scheduler could start a
// job while its own host still tells callers that there is no such queue.
func (acceptedlink *acceptedLink) noteVersion(version int64) {
	if version <= acceptedlink.version {
		return
	}
	acceptedlink.version = version
	passRoutes(acceptedlink.request.Context(), acceptedlink.hub.config.Routes, acceptedlink.end(),
		almondcross.NewRoutesKnown(almondcross.RoutesKnownConfig{Version: version}))
}

// end returns the other end of a link that is not for views.
func (acceptedlink *acceptedLink) end() almondcross.LinkEnd {
	return almondcross.LinkEnd{Host: acceptedlink.host}
}

// close reports the end of the link.
func (acceptedlink *acceptedLink) close() {
	hub := acceptedlink.hub
	if host := acceptedlink.host; host != "" && hub.replaceSession(host, acceptedlink.session, nil) {
		hub.notifyLinkChanged(acceptedlink.request, almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host}))
		offerRoutesLinkEnd(hub.config.Routes, acceptedlink.end())
	}
	if link := acceptedlink.viewer; link != 0 {
		replaceIn(&hub.viewers, link, acceptedlink.session, nil)
		hub.notifyScheduler(acceptedlink.request, almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{Link: link}))
	}
}
