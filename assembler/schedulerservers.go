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
	"github.com/almondcross/almondcross/query/authorizer"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/router"
	"github.com/almondcross/almondcross/query/versioner"
)

const (
	// maxViewsAge is the maximum age of the published job states for a host that reports itself ready.
	maxViewsAge = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
	// maxHeaderBytes is the maximum size of the headers of a request.
	maxHeaderBytes = 16 << 10
)

// schedulerServers are the HTTP servers of a scheduling host: for callers, for the readiness checks of the load
// balancer, for metrics and for links from other hosts.
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
	hub *connector.Hub, versions *versioner.Versioner, log *recorder.Recorder, counter *counter.Counter, set *metrics.Set,
) *schedulerServers {
	servers := &schedulerServers{settings: settings}
	access := authorizer.New(authorizer.Config{Router: routes, Jobs: jobs})
	queryHandlers := viewer.New(viewer.Config{
		Access: access, Jobs: jobs, Clock: Clock{}, Log: log, Metrics: counter, Status: versions,
		Ready: func() bool {
			return !servers.stopping.Load() && routes.Version() > 0 && time.Since(jobs.RefreshedAt()) < maxViewsAge
		},
	})
	commandHandlers := receiver.New(receiver.Config{
		Router: routes, Access: access, Submitter: submitter.NewClient(rings.submissions), Scheduler: rings.messages,
		Clock: Clock{}, Log: log, Metrics: counter,
	})
	callerRouter := mux.NewRouter().SkipClean(true)
	queryHandlers.Register(callerRouter)
	commandHandlers.Register(callerRouter)
	servers.callers = newServer(callerRouter)
	readyRouter := mux.NewRouter()
	queryHandlers.RegisterReady(readyRouter)
	servers.ready = newServer(readyRouter)
	metricsRouter := mux.NewRouter()
	queryHandlers.RegisterStatus(metricsRouter)
	metricsRouter.Methods(http.MethodGet).Path("/metrics").HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(writer)
		metrics.WriteProcessMetrics(writer)
	})
	servers.metrics = newServer(metricsRouter)
	linkRouter := mux.NewRouter()
	linkRouter.Path(connector.Path).Handler(hub)
	linkRouter.Methods(http.MethodGet).Path(encoder.SchedulerPath).HandlerFunc(hub.ServePointer)
	servers.links = newServer(linkRouter)
	return servers
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Listen opens all listeners, so that the start fails if an address cannot be used.
func (schedulerservers *schedulerServers) Listen(ctx context.Context) ([]NamedDuty, error) {
	var namedDuties []NamedDuty
	for _, endpoint := range []struct {
		name, address string
		server        *http.Server
	}{
		{"callers' server", schedulerservers.settings.CallersListen(), schedulerservers.callers},
		{"balancer's server", schedulerservers.settings.ReadyListen(), schedulerservers.ready},
		{"metrics server", schedulerservers.settings.MetricsListen(), schedulerservers.metrics},
		{"link server", schedulerservers.settings.LinkListen(), schedulerservers.links},
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", endpoint.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listening for the %s", endpoint.name)
		}
		namedDuties = append(namedDuties, NamedDuty{endpoint.name, schedulerServerDuty{server: endpoint.server, listener: listener}})
	}
	return namedDuties, nil
}

// schedulerServerDuty runs one HTTP server of a scheduling host.
type schedulerServerDuty struct {
	server   *http.Server
	listener net.Listener
}

// Run serves until the server is shut down.
func (schedulerserverduty schedulerServerDuty) Run(context.Context) error {
	if err := schedulerserverduty.server.Serve(schedulerserverduty.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, io.EOF) {
		return errors.Trace(err)
	}
	return nil
}

var _ almondcross.JobFinder = (*jobfinder.Table)(nil)
