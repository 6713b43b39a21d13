package viewer

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/responder"
)

// Config holds the dependencies and settings of a Viewer.
type Config struct {
	Coordinator  almondcross.Sink[almondcross.CoordinatorMessage] // Coordinator receives lookups of requests.
	Catalogue    almondcross.CatalogueViewer
	Reports      almondcross.ReportViewer
	Status       almondcross.StatusViewer
	Clock        almondcross.Clock
	Tokens       []almondcross.Token
	DataCentres  []string            // DataCentres holds the names of all data centres of the cell.
	QueryTimeout time.Duration       // QueryTimeout bounds every query.
	Bodies       almondcross.Limiter // Bodies limits the bytes of all bodies, nil for no limit.
	Metrics      *metrics.Set        // Metrics is served at /metrics; nil for none.
}

// Viewer serves the read-only routes. It is safe for concurrent use.
type Viewer struct {
	config      Config
	responder   *responder.Responder
	misdirected *metrics.Counter
}

// New returns a Viewer.
func New(config Config) *Viewer {
	viewer := &Viewer{
		config:    config,
		responder: responder.New(responder.Config{Tokens: config.Tokens, Bodies: config.Bodies, Metrics: config.Metrics}),
	}
	if config.Metrics != nil {
		viewer.misdirected = config.Metrics.GetOrCreateCounter(`almondcross_outcomes_misdirected_total{at="viewer"}`)
	}
	return viewer
}

// Register adds the routes to a router, and handlers for unknown paths and methods. Metrics and health
// need no token, because load balancers and metrics collectors have none; they expose no data of callers.
func (viewer *Viewer) Register(router *mux.Router) {
	readRoles := []almondcross.Role{almondcross.RoleOperator, almondcross.RoleReporter}
	viewer.addRoute(router, "/v1/requests/{key}", viewer.request, almondcross.RoleCaller)
	viewer.addRoute(router, "/v1/catalogue", viewer.catalogue, readRoles...)
	viewer.addRoute(router, "/v1/catalogue/{name}", viewer.entry, readRoles...)
	viewer.addRoute(router, "/v1/catalogue/{name}/history", viewer.history, readRoles...)
	viewer.addRoute(router, "/v1/reports/shares", viewer.shares, readRoles...)
	viewer.addRoute(router, "/v1/reports/why", viewer.why, readRoles...)
	viewer.addRoute(router, "/v1/reports/audit", viewer.audit, readRoles...)
	viewer.addRoute(router, "/v1/status", viewer.status, readRoles...)
	router.HandleFunc("/metrics", viewer.metrics).Methods(http.MethodGet)
	router.HandleFunc("/healthz", viewer.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", viewer.ready).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(responder.NotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(responder.MethodNotAllowed)
}

func (viewer *Viewer) addRoute(router *mux.Router, path string, handler responder.Handler, roles ...almondcross.Role) {
	guarded := viewer.responder.Guard(handler, roles...)
	router.Handle(path, viewer.responder.Count(path, guarded)).Methods(http.MethodGet)
}
