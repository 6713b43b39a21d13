package viewer

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/responder"
)

// request handles GET /v1/requests/{key}.
func (viewer *Viewer) request(writer http.ResponseWriter, request *http.Request, token almondcross.Token) {
	origin := request.URL.Query().Get("origin")
	if err := checkAllowed("origin", origin, viewer.config.DataCentres); err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: token.Name(), Origin: origin, Name: mux.Vars(request)["key"]})
	waiter := responder.NewWaiter(responder.WaiterConfig{Key: key, Misdirected: viewer.misdirected})
	message := almondcross.NewLookupRequest(almondcross.LookupRequestConfig{Key: key, Replier: waiter})
	if !viewer.config.Coordinator.Offer(message) {
		responder.Fail(writer, responder.Overloaded("coordinator", false))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), viewer.config.QueryTimeout)
	defer cancel()
	select {
	case outcome := <-waiter.Outcomes():
		responder.OutcomeOK(writer, outcome)
	case <-ctx.Done():
		responder.OutcomeOK(writer, almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: key, Status: almondcross.StatusUnknown, Code: almondcross.CodeTimeout,
			Detail: "the coordinator has not answered in time; ask again by key and origin", RetryAfter: time.Second,
		}))
	}
}

// catalogue handles GET /v1/catalogue.
func (viewer *Viewer) catalogue(writer http.ResponseWriter, _ *http.Request, _ almondcross.Token) {
	responder.JSON(writer, http.StatusOK, encoder.NewCatalogueJSON(viewer.config.Catalogue.Catalogue()))
}

// entry handles GET /v1/catalogue/{name}.
func (viewer *Viewer) entry(writer http.ResponseWriter, request *http.Request, _ almondcross.Token) {
	entry, ok := viewer.config.Catalogue.Catalogue().Entry(mux.Vars(request)["name"])
	if !ok {
		responder.Fail(writer, responder.Failure{
			Status: http.StatusNotFound, Code: almondcross.CodeUnknownEntry, Message: "the catalogue of this host has no such entry",
		})
		return
	}
	responder.JSON(writer, http.StatusOK, encoder.NewEntryJSON(entry))
}

// status handles GET /v1/status.
func (viewer *Viewer) status(writer http.ResponseWriter, _ *http.Request, _ almondcross.Token) {
	responder.JSON(writer, http.StatusOK, encoder.NewStatusJSON(viewer.config.Status.Status(), viewer.config.DataCentres))
}

// metrics handles GET /metrics.
func (viewer *Viewer) metrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if viewer.config.Metrics != nil {
		viewer.config.Metrics.WritePrometheus(writer)
	}
	metrics.WriteProcessMetrics(writer)
}

// health handles GET /healthz. It always responds with status 200, which shows that the process serves HTTP.
func (viewer *Viewer) health(writer http.ResponseWriter, _ *http.Request) {
	responder.JSON(writer, http.StatusOK, viewer.healthResponse())
}

// ready handles GET /readyz. It responds with status 503 while the host cannot serve requests.
func (viewer *Viewer) ready(writer http.ResponseWriter, _ *http.Request) {
	health := viewer.healthResponse()
	status := http.StatusOK
	if !health.Ready {
		status = http.StatusServiceUnavailable
	}
	responder.JSON(writer, status, health)
}

func (viewer *Viewer) healthResponse() encoder.HealthJSON {
	status := viewer.config.Status.Status()
	self := status.View().Self()
	return encoder.HealthJSON{Host: self.ID().Name(), DataCentre: self.DataCentre(), Ready: status.Ready()}
}
