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
	"github.com/almondcross/almondcross/command/limiter"
	"github.com/almondcross/almondcross/command/listener"
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
	limits   *schedulerLimits
	counter  *counter.Counter
	stopping atomic.Bool
}

func newSchedulerServers(
	settings configurator.SchedulerSettings, routes *router.Router, jobs *jobfinder.Table, rings schedulerRings,
	hub *connector.Hub, versions *versioner.Versioner, log *recorder.Recorder, counter *counter.Counter, set *metrics.Set, limits *schedulerLimits,
) *schedulerServers {
	servers := &schedulerServers{settings: settings, limits: limits, counter: counter}
	access := authorizer.New(authorizer.Config{Router: routes, Jobs: jobs})
	queryHandlers := viewer.New(viewer.Config{
		Access: access, Jobs: jobs, Clock: Clock{}, Log: log, Metrics: counter, Status: versions,
		Ready: func() bool {
			return !servers.stopping.Load() && routes.Version() > 0 && time.Since(jobs.RefreshedAt()) < maxViewsAge
		},
	})
	commandHandlers := receiver.New(receiver.Config{
		Router: routes, Access: access, Submitter: submitter.NewClient(rings.submissions), Scheduler: rings.messages,
		Clock: Clock{}, Log: log, Metrics: counter, Bodies: limits.bodies, BodyTimeout: settings.BodyTimeout(),
	})
	callerRouter := mux.NewRouter().SkipClean(true)
	queryHandlers.Register(callerRouter)
	commandHandlers.Register(callerRouter)
	servers.callers = newServer(settings, callerRouter)
	readyRouter := mux.NewRouter()
	queryHandlers.RegisterReady(readyRouter)
	servers.ready = newServer(settings, readyRouter)
	metricsRouter := mux.NewRouter()
	queryHandlers.RegisterStatus(metricsRouter)
	metricsRouter.Methods(http.MethodGet).Path("/metrics").HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(writer)
		metrics.WriteProcessMetrics(writer)
	})
	servers.metrics = newServer(settings, metricsRouter)
	linkRouter := mux.NewRouter()
	linkRouter.Path(connector.Path).Handler(hub)
	linkRouter.Methods(http.MethodGet).Path(encoder.SchedulerPath).HandlerFunc(hub.ServePointer)
	servers.links = newServer(settings, linkRouter)
	return servers
}

// newServer returns a server with time limits for a whole request, also for a body that no handler reads, and for its
// answer. They end for a connection that becomes a link, which has its own.
func newServer(settings configurator.SchedulerSettings, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout + settings.BodyTimeout(),
		WriteTimeout: settings.AnswerTimeout(), IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: setPhase,
	}
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

// Listen opens all listeners, so that the start fails if an address cannot be used.
func (schedulerservers *schedulerServers) Listen(ctx context.Context) ([]NamedDuty, error) {
	limits := schedulerservers.limits
	namedDuties := []NamedDuty{
		{"refuser", listener.NewRefuser(limits.refused)},
		{"limit watcher", limiter.NewWatcher(limiter.WatcherConfig{Changes: limits.changes, Log: limits.log, OnChange: schedulerservers.setReached})},
	}
	for _, endpoint := range schedulerservers.endpoints() {
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
			OnUnread: func() { schedulerservers.counter.AnswerUnread(endpoint.limit.Name()) },
		})
		namedDuties = append(namedDuties, NamedDuty{endpoint.name, schedulerServerDuty{server: endpoint.server, listener: limited}})
	}
	return namedDuties, nil
}

// endpoint is one server of a scheduling host with its address and the limit on its connections.
type endpoint struct {
	name, address string
	server        *http.Server
	limit         *limiter.Limiter
}

func (schedulerservers *schedulerServers) endpoints() []endpoint {
	settings, limits := schedulerservers.settings, schedulerservers.limits
	return []endpoint{
		{"callers' server", settings.CallersListen(), schedulerservers.callers, limits.callers},
		{"balancer's server", settings.ReadyListen(), schedulerservers.ready, limits.ready},
		{"metrics server", settings.MetricsListen(), schedulerservers.metrics, limits.metrics},
		{"link server", settings.LinkListen(), schedulerservers.links, limits.links},
	}
}

// setReached closes the idle connections of a server whose connections have reached their limit, and each further one after
// its answer, until the limit is relaxed. Otherwise clients could hold all connections without a request.
func (schedulerservers *schedulerServers) setReached(limit string, reached bool) {
	for _, endpoint := range schedulerservers.endpoints() {
		if endpoint.limit.Name() == limit {
			endpoint.server.SetKeepAlivesEnabled(!reached && !schedulerservers.stopping.Load())
		}
	}
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
