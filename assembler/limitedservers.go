package assembler

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/limiter"
	"github.com/almondcross/almondcross/command/listener"
)

// endpoint is one server of a host with its address and the limit on its connections.
type endpoint struct {
	name, address string
	server        *http.Server
	limit         *limiter.Limiter
}

// limitedServers are the servers of a host under the limits on its clients.
type limitedServers struct {
	limits    *hostLimits
	endpoints []endpoint
	onUnread  func(limit string) // onUnread is called when a client of the server with a limit does not read its answer.
	stopping  func() bool        // stopping reports whether the host stops, and closes each connection after its answer.
	// closeWithContext is set if the servers close with the context of their duties, and not by a shutdown alone.
	closeWithContext bool
}

// listen opens all listeners and returns the duties that serve them.
func (limitedservers limitedServers) listen(ctx context.Context) ([]NamedDuty, error) {
	limits := limitedservers.limits
	namedDuties := []NamedDuty{
		{"refuser", listener.NewRefuser(limits.refused)},
		{"limit watcher", limiter.NewWatcher(limiter.WatcherConfig{Changes: limits.changes, Log: limits.log, OnChange: limitedservers.setReached})},
	}
	for _, endpoint := range limitedservers.endpoints {
		opened, err := new(net.ListenConfig).Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening for the %s", endpoint.name)
		}
		tcpListener, isTCP := opened.(*net.TCPListener)
		if !isTCP {
			return nil, errors.Errorf("listening for the %s: %s is no TCP address", endpoint.name, endpoint.address)
		}
		limited := listener.New(listener.Config{
			Listener: tcpListener, Limiter: endpoint.limit, Headers: limits.headers, Refusal: []byte(refusal), Refuser: limits.refused,
			OnUnread: func() { limitedservers.onUnread(endpoint.limit.Name()) },
		})
		namedDuties = append(namedDuties, NamedDuty{endpoint.name, limitedServerDuty{server: endpoint.server, listener: limited, closeWithContext: limitedservers.closeWithContext}})
	}
	return namedDuties, nil
}

// setReached closes the idle connections of a server whose connections have reached their limit, and each further one after
// its answer, until the limit is relaxed. Otherwise clients could hold all connections without a request.
func (limitedservers limitedServers) setReached(limit string, reached bool) {
	for _, endpoint := range limitedservers.endpoints {
		if endpoint.limit.Name() == limit {
			endpoint.server.SetKeepAlivesEnabled(!reached && !limitedservers.stopping())
		}
	}
}

// limitedServerDuty runs one HTTP server until it is shut down.
type limitedServerDuty struct {
	server           *http.Server
	listener         net.Listener
	closeWithContext bool
}

// Run serves until the server is shut down, or until the context ends if the server closes with it.
func (limitedserverduty limitedServerDuty) Run(ctx context.Context) error {
	if limitedserverduty.closeWithContext {
		cancelClose := context.AfterFunc(ctx, func() { _ = limitedserverduty.server.Close() })
		defer cancelClose()
	}
	if err := limitedserverduty.server.Serve(limitedserverduty.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, io.EOF) {
		return errors.Trace(err)
	}
	return nil
}

// setPhase tells a connection whether the server reads headers from it. Headers are held until the request is answered.
func setPhase(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		listener.SetPhase(connection, listener.PhaseAnswer)
	case http.StateIdle:
		listener.SetPhase(connection, listener.PhaseHeaders)
	case http.StateHijacked:
		listener.SetPhase(connection, listener.PhaseHijacked)
	default: // A new connection is in that phase, and a closed one holds nothing.
	}
}

// eventLogger writes events as lines of a logger.
type eventLogger struct{ logger logrus.FieldLogger }

// Record writes an event with its fields.
func (eventlogger eventLogger) Record(event string, fields ...almondcross.LogField) {
	values := logrus.Fields{}
	for _, field := range fields {
		if field.Numeric {
			values[field.Name] = field.Number
		} else {
			values[field.Name] = field.Text
		}
	}
	eventlogger.logger.WithFields(values).Info(event)
}
