package viewer

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/responder"
)

const (
	defaultEvents = 1_000  // defaultEvents is the maximum number of decisions returned when the query has no limit.
	maxEvents     = 10_000 // maxEvents is the largest accepted limit; it bounds the memory of one response.
	defaultPeriod = 24 * time.Hour
)

// shares handles GET /v1/reports/shares.
func (viewer *Viewer) shares(writer http.ResponseWriter, request *http.Request, _ almondcross.Token) {
	query := request.URL.Query()
	from, to, err := viewer.period(query, defaultPeriod, "owner", "entry")
	if err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), viewer.config.QueryTimeout)
	defer cancel()
	report, err := viewer.config.Reports.Shares(ctx, almondcross.NewShareQuery(almondcross.ShareQueryConfig{
		Owner: query.Get("owner"), Entry: query.Get("entry"), From: from, To: to,
	}))
	if err != nil {
		responder.Fail(writer, unavailable("the account"))
		return
	}
	responder.JSON(writer, http.StatusOK, encoder.NewShareReportJSON(report))
}

// why handles GET /v1/reports/why. The response contains only decisions of this host.
func (viewer *Viewer) why(writer http.ResponseWriter, request *http.Request, _ almondcross.Token) {
	query, err := viewer.decisionQuery(request.URL.Query())
	if err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), viewer.config.QueryTimeout)
	defer cancel()
	decisions, err := viewer.config.Reports.Decisions(ctx, query)
	if err != nil {
		responder.Fail(writer, unavailable("the story"))
		return
	}
	responder.JSON(writer, http.StatusOK, encoder.NewDecisionHistoryJSON(decisions))
}

// audit handles GET /v1/reports/audit.
func (viewer *Viewer) audit(writer http.ResponseWriter, request *http.Request, _ almondcross.Token) {
	query := request.URL.Query()
	from, to, err := viewer.period(query, defaultPeriod, "entry")
	if err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	viewer.writeAudit(writer, request, almondcross.AuditQueryConfig{Entry: query.Get("entry"), From: from, To: to})
}

// history handles GET /v1/catalogue/{name}/history.
func (viewer *Viewer) history(writer http.ResponseWriter, request *http.Request, _ almondcross.Token) {
	from, to, err := viewer.period(request.URL.Query(), 0)
	if err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	viewer.writeAudit(writer, request, almondcross.AuditQueryConfig{Entry: mux.Vars(request)["name"], From: from, To: to})
}

func (viewer *Viewer) writeAudit(writer http.ResponseWriter, request *http.Request, config almondcross.AuditQueryConfig) {
	ctx, cancel := context.WithTimeout(request.Context(), viewer.config.QueryTimeout)
	defer cancel()
	lines, err := viewer.config.Reports.Audit(ctx, almondcross.NewAuditQuery(config))
	if err != nil {
		responder.Fail(writer, unavailable("the audit trail"))
		return
	}
	responder.JSON(writer, http.StatusOK, encoder.NewAuditTrailJSON(lines))
}

func unavailable(subject string) responder.Failure {
	return responder.Failure{
		Status: http.StatusServiceUnavailable, Code: encoder.CodeUnavailable,
		Message: subject + " could not be read", RetryAfter: time.Second,
	}
}

// period parses the parameters from and to. Without to it ends now; without from it starts the given fallback
// before its end, or has no start if the fallback is 0. It returns an error for other parameters than these and
// otherParameters.
func (viewer *Viewer) period(query url.Values, fallback time.Duration, otherParameters ...string) (from, to time.Time, err error) {
	if err := checkParameters(query, append([]string{"from", "to"}, otherParameters...)); err != nil {
		return from, to, err
	}
	if to, err = parseTime(query, "to", viewer.config.Clock.Now()); err != nil {
		return from, to, err
	}
	var earliest time.Time
	if fallback > 0 {
		earliest = to.Add(-fallback)
	}
	if from, err = parseTime(query, "from", earliest); err != nil {
		return from, to, err
	}
	if !from.Before(to) {
		return from, to, errors.Errorf("from: found %s; allowed: a time before to, %s",
			from.Format(time.RFC3339), to.Format(time.RFC3339))
	}
	return from, to, nil
}

func parseTime(query url.Values, name string, fallback time.Time) (time.Time, error) {
	text := query.Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return value, errors.Errorf("%s: found %.60q; allowed: a time such as \"2026-03-01T00:00:00Z\"", name, text)
	}
	return value, nil
}

// checkParameters returns an error for parameters that the route does not have, so that a misspelt filter does
// not silently widen a report.
func checkParameters(query url.Values, allowed []string) error {
	for name := range query {
		if err := checkAllowed("parameter", name, allowed); err != nil {
			return err
		}
	}
	return nil
}

func checkAllowed(name, text string, allowed []string) error {
	if slices.Contains(allowed, text) {
		return nil
	}
	return errors.Errorf("%s: found %.60q; allowed: one of %s", name, text, strings.Join(allowed, ", "))
}

func (viewer *Viewer) decisionQuery(query url.Values) (almondcross.DecisionQuery, error) {
	var none almondcross.DecisionQuery
	if err := checkParameters(query, []string{"caller", "origin", "key", "entry", "limit"}); err != nil {
		return none, err
	}
	config := almondcross.DecisionQueryConfig{Entry: query.Get("entry"), Limit: defaultEvents}
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxEvents {
			return none, errors.Errorf("limit: found %.60q; allowed: a whole number from 1 to %d", text, maxEvents)
		}
		config.Limit = limit
	}
	name := query.Get("key")
	if (name == "") == (config.Entry == "") {
		return none, errors.New("allowed: either key with caller and origin, or entry")
	}
	if name == "" {
		return almondcross.NewDecisionQuery(config), nil
	}
	if query.Get("caller") == "" {
		return none, errors.New("caller: found none; allowed: the caller of the key")
	}
	if err := checkAllowed("origin", query.Get("origin"), viewer.config.DataCentres); err != nil {
		return none, err
	}
	config.Key = almondcross.NewKey(almondcross.KeyConfig{
		Caller: query.Get("caller"), Origin: query.Get("origin"), Name: name,
	})
	return almondcross.NewDecisionQuery(config), nil
}
