package assembler

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross/command/cataloguer"
	"github.com/almondcross/almondcross/command/linker"
	"github.com/almondcross/almondcross/command/receiver"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/query/inspector"
	"github.com/almondcross/almondcross/query/reporter"
	"github.com/almondcross/almondcross/query/viewer"
)

const (
	// headerTimeout bounds the time in which a client must send the headers of a request.
	headerTimeout = 5 * time.Second
	// entryBodyTimeout bounds the time in which a client of an entry host must send the body of a request after its headers. A mebibyte
	// takes that long at 0.8 Mbit/s.
	entryBodyTimeout = 10 * time.Second
)

// Servers are the HTTP servers of an entry host: one for callers, reporters and operators, one for peers.
type Servers struct {
	settings configurator.EntrySettings
	callers  *http.Server
	peers    *http.Server
	limits   *hostLimits
	stopping chan struct{} // stopping is closed when waiting requests must be answered with the state of their keys.
	stopOnce sync.Once
	logger   logrus.FieldLogger
}

func newServers(
	settings configurator.EntrySettings, rings Rings, links *linker.Linker, catalogue *cataloguer.Duty,
	reports reporter.Reporter, status *inspector.Inspector, limits *hostLimits, set *metrics.Set, logger logrus.FieldLogger,
) *Servers {
	servers := &Servers{settings: settings, limits: limits, stopping: make(chan struct{}), logger: logger}
	router := mux.NewRouter()
	receiver.New(receiver.Config{
		Coordinator: rings.Coordinator, Cataloguer: rings.Cataloguer, Catalogue: catalogue, Clock: Clock{}, Tokens: settings.Tokens(),
		DataCentres: settings.DataCentres(), RequestTimeout: settings.RequestTimeout(),
		MaxRequestTimeout: settings.MaxRequestTimeout(), ChangeTimeout: settings.ChangeTimeout(),
		Stopping: servers.stopping, Bodies: limits.bodies, Metrics: set,
	}).Register(router)
	viewer.New(viewer.Config{
		Coordinator: rings.Coordinator, Catalogue: catalogue, Reports: reports, Status: status, Clock: Clock{},
		Tokens: settings.Tokens(), DataCentres: settings.DataCentres(), QueryTimeout: settings.QueryTimeout(), Bodies: limits.bodies, Metrics: set,
	}).Register(router)
	servers.callers = newEntryServer(router)
	peerMux := http.NewServeMux()
	peerMux.Handle(links.Path(), links)
	servers.peers = newEntryServer(peerMux)
	return servers
}

// newEntryServer returns a server with time limits for a whole request. An answer has none: callers wait for outcomes as long as they
// choose.
func newEntryServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout + entryBodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: setPhase,
	}
}

// Listen opens both listeners, so that the start fails if an address cannot be used.
func (servers *Servers) Listen(ctx context.Context) ([]NamedDuty, error) {
	return limitedServers{
		limits: servers.limits, onUnread: func(string) {}, stopping: func() bool { return false }, closeWithContext: true,
		endpoints: []endpoint{
			{"public server", servers.settings.Listen(), servers.callers, servers.limits.callers},
			{"peer server", servers.settings.PeerListen(), servers.peers, servers.limits.links},
		},
	}.listen(ctx)
}

// StopCallers stops accepting connections and waits for the requests in flight. When the grace period is over,
// the requests that still wait are answered with the current state of their keys.
func (servers *Servers) StopCallers(grace time.Duration) {
	timer := time.AfterFunc(grace, func() { servers.stopOnce.Do(func() { close(servers.stopping) }) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), grace+responseMargin)
	defer cancel()
	if err := servers.callers.Shutdown(ctx); err != nil {
		servers.logger.WithError(err).Error("requests still in flight at the end of the shutdown")
	}
}
