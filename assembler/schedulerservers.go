package assembler

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

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
	limits   *hostLimits
	counter  *counter.Counter
	stopping atomic.Bool
}

func newSchedulerServers(
	settings configurator.SchedulerSettings, routes *router.Router, jobs *jobfinder.Table, rings schedulerRings,
	hub *connector.Hub, versions *versioner.Versioner, log *recorder.Recorder, counter *counter.Counter, set *metrics.Set, limits *hostLimits,
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

// Listen opens all listeners, so that the start fails if an address cannot be used.
func (schedulerservers *schedulerServers) Listen(ctx context.Context) ([]NamedDuty, error) {
	return limitedServers{
		limits: schedulerservers.limits, endpoints: schedulerservers.endpoints(), onUnread: schedulerservers.counter.AnswerUnread,
		stopping: schedulerservers.stopping.Load,
	}.listen(ctx)
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

var _ almondcross.JobFinder = (*jobfinder.Table)(nil)
