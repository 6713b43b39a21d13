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

// headerTimeout bounds how long a connection may take to send the header of a request.
const headerTimeout = 5 * time.Second

// Servers are the HTTP servers of an entry host: one for callers and operators, one for peers.
type Servers struct {
	settings configurator.EntrySettings
	public   *http.Server
	peers    *http.Server
	stopping chan struct{} // stopping is closed when waiting callers must be answered.
	once     sync.Once
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
		RequestMax: settings.RequestTimeoutMax(), ChangeTimeout: settings.ChangeTimeout(),
		Stopping: servers.stopping, Metrics: set,
	}).Register(router)
	viewer.New(viewer.Config{
		Coordinator: rings.Coordinator, Catalogue: catalogue, Reports: reports, Status: status, Clock: Clock{},
		Tokens: settings.Tokens(), DataCentres: settings.DataCentres(), QueryTimeout: settings.QueryTimeout(), Metrics: set,
	}).Register(router)
	servers.public = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	handler := http.NewServeMux()
	handler.Handle(links.Path(), links)
	servers.peers = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return servers
}

// Listen opens both addresses, so that a bad address is an error of the start.
func (servers *Servers) Listen(ctx context.Context) ([]NamedDuty, error) {
	var list []NamedDuty
	for _, part := range []struct {
		name, address string
		server        *http.Server
	}{
		{"public server", servers.settings.Listen(), servers.public},
		{"peer server", servers.settings.PeerListen(), servers.peers},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", part.address)
		if err != nil {
			return nil, errors.Annotatef(err, "%s", part.name)
		}
		list = append(list, NamedDuty{Name: part.name, Duty: served{server: part.server, listener: listener}})
	}
	return list, nil
}

// StopPublic takes no new connections and waits for the requests in flight. When the grace is over
// the callers that still wait are answered with the state of their keys.
func (servers *Servers) StopPublic(grace time.Duration) {
	timer := time.AfterFunc(grace, func() { servers.once.Do(func() { close(servers.stopping) }) })
	defer timer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), grace+answerMargin)
	defer cancel()
	if err := servers.public.Shutdown(ctx); err != nil {
		servers.logger.WithError(err).Error("requests in flight at the end of the stop")
	}
}

// served is a server as a duty.
type served struct {
	server   *http.Server
	listener net.Listener
}

// Run serves until the context ends.
func (served served) Run(ctx context.Context) error {
	done := context.AfterFunc(ctx, func() { _ = served.server.Close() })
	defer done()
	if err := served.server.Serve(served.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
