package viewer

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/responder"
)

// Config holds what a Viewer needs.
type Config struct {
	Coordinator  almondcross.Sink[almondcross.CoordinatorMessage] // Coordinator takes lookups only.
	Catalogue    almondcross.CatalogueViewer
	Reports      almondcross.ReportViewer
	Status       almondcross.StatusViewer
	Clock        almondcross.Clock
	Tokens       []almondcross.Token
	DataCentres  []string      // DataCentres are all data centres of the cell.
	QueryTimeout time.Duration // QueryTimeout bounds every query.
	Metrics      *metrics.Set  // Metrics is served at /metrics; nil for none.
}

// Viewer serves the routes that read.
type Viewer struct {
	config      Config
	responder   *responder.Responder
	misdirected *metrics.Counter
}

// New returns a Viewer.
func New(config Config) *Viewer {
	viewer := &Viewer{
		config:    config,
		responder: responder.New(responder.Config{Tokens: config.Tokens, Metrics: config.Metrics}),
	}
	if config.Metrics != nil {
		viewer.misdirected = config.Metrics.GetOrCreateCounter(`almondcross_outcomes_misdirected_total{at="viewer"}`)
	}
	return viewer
}

// Register adds the routes to a router, and the answers to paths and methods that it does not
// have. Metrics and health need no token, because load balancers
// and collectors ask without one; they show no data of callers.
func (viewer *Viewer) Register(router *mux.Router) {
	readers := []almondcross.Role{almondcross.RoleOperator, almondcross.RoleReporter}
	viewer.add(router, "/v1/requests/{key}", viewer.request, almondcross.RoleCaller)
	viewer.add(router, "/v1/catalogue", viewer.catalogue, readers...)
	viewer.add(router, "/v1/catalogue/{name}", viewer.entry, readers...)
	viewer.add(router, "/v1/catalogue/{name}/history", viewer.history, readers...)
	viewer.add(router, "/v1/reports/shares", viewer.shares, readers...)
	viewer.add(router, "/v1/reports/why", viewer.why, readers...)
	viewer.add(router, "/v1/reports/audit", viewer.audit, readers...)
	viewer.add(router, "/v1/status", viewer.status, readers...)
	router.HandleFunc("/metrics", viewer.metrics).Methods(http.MethodGet)
	router.HandleFunc("/healthz", viewer.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", viewer.ready).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(responder.NotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(responder.MethodNotAllowed)
}

func (viewer *Viewer) add(router *mux.Router, path string, handler responder.Handler, roles ...almondcross.Role) {
	guarded := viewer.responder.Guard(handler, roles...)
	router.Handle(path, viewer.responder.Count(path, guarded)).Methods(http.MethodGet)
}
