package receiver

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/responder"
)

// Config holds the dependencies and settings of a Receiver.
type Config struct {
	Coordinator       almondcross.Sink[almondcross.CoordinatorMessage]
	Cataloguer        almondcross.Sink[almondcross.CataloguerMessage]
	Catalogue         almondcross.CatalogueViewer
	Clock             almondcross.Clock
	Tokens            []almondcross.Token
	DataCentres       []string            // DataCentres are the valid origins of keys.
	RequestTimeout    time.Duration       // RequestTimeout is the timeout of cancellations and of requests without one.
	MaxRequestTimeout time.Duration       // MaxRequestTimeout is the maximum timeout of a request.
	ChangeTimeout     time.Duration       // ChangeTimeout bounds the wait for the outcome of a change.
	Stopping          <-chan struct{}     // Stopping is closed when the host stops and waiting callers must be answered; nil for never.
	Bodies            almondcross.Limiter // Bodies limits the bytes of all bodies, nil for no limit.
	Metrics           *metrics.Set        // Metrics receives the counters; nil for none.
}

// Receiver serves the routes that change state.
type Receiver struct {
	config      Config
	responder   *responder.Responder
	misdirected *metrics.Counter
}

// New returns a Receiver.
func New(config Config) *Receiver {
	receiver := &Receiver{
		config:    config,
		responder: responder.New(responder.Config{Tokens: config.Tokens, Bodies: config.Bodies, Metrics: config.Metrics}),
	}
	if config.Metrics != nil {
		receiver.misdirected = config.Metrics.GetOrCreateCounter(`almondcross_outcomes_misdirected_total{at="receiver"}`)
	}
	return receiver
}

// Register adds the routes to a router.
func (receiver *Receiver) Register(router *mux.Router) {
	receiver.add(router, http.MethodPost, "/v1/requests", receiver.submit, almondcross.RoleCaller)
	receiver.add(router, http.MethodDelete, "/v1/requests/{key}", receiver.cancel, almondcross.RoleCaller)
	receiver.add(router, http.MethodPost, "/v1/catalogue", receiver.change, almondcross.RoleOperator)
}

func (receiver *Receiver) add(router *mux.Router, method, path string, handler responder.Handler, role almondcross.Role) {
	authorised := receiver.responder.Guard(handler, role)
	router.Handle(path, receiver.responder.Count(path, authorised)).Methods(method)
}
