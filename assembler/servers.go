package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross/command/cataloguer"
	"github.com/almondcross/almondcross/command/linker"
	"github.com/almondcross/almondcross/command/receiver"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/query/inspector"
	"github.com/almondcross/almondcross/query/reporter"
	"github.com/almondcross/almondcross/query/viewer"
)

// headerTimeout bounds the time in which a client must send the headers of a request.
const headerTimeout = 5 * time.Second

// Servers are the HTTP servers of an entry host: one for callers, reporters and operators, one for peers.
type Servers struct {
	settings configurator.EntrySettings
	callers  *http.Server
	peers    *http.Server
	stopping chan struct{} // stopping is closed when waiting requests must be answered with the state of their keys.
	stopOnce sync.Once
	logger   logrus.FieldLogger
}

func newServers(
	settings configurator.EntrySettings, rings Rings, links *linker.Linker, catalogue *cataloguer.Duty,
	reports reporter.Reporter, status *inspector.Inspector, set *metrics.Set, logger logrus.FieldLogger,
) *Servers {
	servers := &Servers{settings: settings, stopping: make(chan struct{}), logger: logger}
	router := mux.NewRouter()
	receiver.New(receiver.Config{
		Coordinator: rings.Coordinator, Cataloguer: rings.Cataloguer, Catalogue: catalogue, Clock: Clock{}, Tokens: settings.Tokens(),
		DataCentres: settings.DataCentres(), RequestTimeout: settings.RequestTimeout(),
		MaxRequestTimeout: settings.MaxRequestTimeout(), ChangeTimeout: settings.ChangeTimeout(),
		Stopping: servers.stopping, Metrics: set,
	}).Register(router)
	viewer.New(viewer.Config{
		Coordinator: rings.Coordinator, Catalogue: catalogue, Reports: reports, Status: status, Clock: Clock{},
		Tokens: settings.Tokens(), DataCentres: settings.DataCentres(), QueryTimeout: settings.QueryTimeout(), Metrics: set,
	}).Register(router)
	servers.callers = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	peerMux := http.NewServeMux()
	peerMux.Handle(links.Path(), links)
	servers.peers = &http.Server{Handler: peerMux, ReadHeaderTimeout: headerTimeout}
	return servers
}

// Listen opens both listeners, so that the start fails if an address cannot be used.
func (servers *Servers) Listen(ctx context.Context) ([]NamedDuty, error) {
	var namedDuties []NamedDuty
	for _, endpoint := range []struct {
		name, address string
		server        *http.Server
	}{
		{"public server", servers.settings.Listen(), servers.callers},
		{"peer server", servers.settings.PeerListen(), servers.peers},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return nil, errors.Annotatef(err, "%s", endpoint.name)
		}
		namedDuties = append(namedDuties, NamedDuty{Name: endpoint.name, Duty: entryServerDuty{server: endpoint.server, listener: listener}})
	}
	return namedDuties, nil
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

// entryServerDuty runs one HTTP server of an entry host.
type entryServerDuty struct {
	server   *http.Server
	listener net.Listener
}

// Run serves until the context ends.
func (entryserverduty entryServerDuty) Run(ctx context.Context) error {
	cancelClose := context.AfterFunc(ctx, func() { _ = entryserverduty.server.Close() })
	defer cancelClose()
	if err := entryserverduty.server.Serve(entryserverduty.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
