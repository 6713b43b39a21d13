package assembler

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/receiver"
	"github.com/almondcross/almondcross/platform/viewer"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/router"
)

const (
	// viewsLimit is the age of the published states up to which a host takes new connections.
	viewsLimit = 2 * time.Second
	// callerIdle is how long an idle connection of a caller is kept.
	callerIdle = time.Minute
	// callerHeader bounds the headers of a request in bytes.
	callerHeader = 16 << 10
)

// schedulerServers are the HTTP servers of a scheduling host: for callers, for the balancer, for metrics and for
// the links of other hosts.
type schedulerServers struct {
	settings configurator.SchedulerSettings
	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	links    *http.Server
	stopping atomic.Bool
}

func newSchedulerServers(
	settings configurator.SchedulerSettings, routes *router.Router, jobs *jobfinder.Table, rings schedulerRings,
	hub *connector.Hub, log *recorder.Recorder, meters *counter.Counter, set *metrics.Set,
) *schedulerServers {
	servers := &schedulerServers{settings: settings}
	readable := viewer.New(viewer.Config{
		Router: routes, Jobs: jobs, Clock: Clock{}, Log: log, Meters: meters,
		Ready: func() bool {
			return !servers.stopping.Load() && routes.Version() > 0 && time.Since(jobs.RefreshedAt()) < viewsLimit
		},
	})
	writable := receiver.New(receiver.Config{
		Router: routes, Submitter: submitter.NewDesk(rings.submissions), Jobs: jobs, Scheduler: rings.messages,
		Clock: Clock{}, Log: log, Meters: meters,
	})
	callers := mux.NewRouter().SkipClean(true)
	readable.Register(callers)
	writable.Register(callers)
	servers.callers = newServer(callers)
	ready := mux.NewRouter()
	readable.RegisterReady(ready)
	servers.ready = newServer(ready)
	exposed := mux.NewRouter()
	exposed.Methods(http.MethodGet).Path("/metrics").HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(writer)
		metrics.WriteProcessMetrics(writer)
	})
	servers.metrics = newServer(exposed)
	links := mux.NewRouter()
	links.Path(connector.Path).Handler(hub)
	links.Methods(http.MethodGet).Path(encoder.PointerPath).HandlerFunc(hub.ServePointer)
	servers.links = newServer(links)
	return servers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: callerHeader}
}

// Listen opens all addresses, so that a bad address is an error of the start.
func (schedulerservers *schedulerServers) Listen(ctx context.Context) ([]NamedDuty, error) {
	var list []NamedDuty
	for _, part := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers' server", schedulerservers.settings.CallersListen(), schedulerservers.callers},
		{"balancer's server", schedulerservers.settings.ReadyListen(), schedulerservers.ready},
		{"metrics server", schedulerservers.settings.MetricsListen(), schedulerservers.metrics},
		{"link server", schedulerservers.settings.LinkListen(), schedulerservers.links},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", part.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening for the %s", part.name)
		}
		list = append(list, NamedDuty{part.name, serving{server: part.server, listener: listener}})
	}
	return list, nil
}

// serving is the duty of one server.
type serving struct {
	server   *http.Server
	listener net.Listener
}

// Run serves until the server is shut down.
func (serving serving) Run(context.Context) error {
	if err := serving.server.Serve(serving.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, io.EOF) {
		return errors.Trace(err)
	}
	return nil
}

var _ almondcross.JobFinder = (*jobfinder.Table)(nil)
