package viewer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/viewer"
	"github.com/almondcross/almondcross/ring"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

// fakeHost implements the viewers of an entry host that is not ready.
type fakeHost struct{}

func (fakeHost) Status() almondcross.HostStatus   { return almondcross.HostStatus{} }
func (fakeHost) Catalogue() almondcross.Catalogue { return almondcross.NewCatalogue() }
func (fakeHost) Shares(context.Context, almondcross.ShareQuery) (almondcross.ShareReport, error) {
	return almondcross.ShareReport{}, nil
}

func (fakeHost) Decisions(context.Context, almondcross.DecisionQuery) (almondcross.DecisionHistory, error) {
	return almondcross.DecisionHistory{}, nil
}

func (fakeHost) Audit(context.Context, almondcross.AuditQuery) ([]almondcross.AuditLine, error) {
	return nil, almondcross.ErrLogUnreachable
}

func newHandler(lookups almondcross.Sink[almondcross.CoordinatorMessage]) http.Handler {
	router := mux.NewRouter()
	viewer.New(viewer.Config{
		Coordinator: lookups, Catalogue: fakeHost{}, Reports: fakeHost{}, Status: fakeHost{}, Clock: fixedClock{},
		Tokens: []almondcross.Token{
			almondcross.NewToken(almondcross.TokenConfig{Name: "desk", Role: almondcross.RoleCaller, Secret: "desk-secret"}),
			almondcross.NewToken(almondcross.TokenConfig{Name: "other", Role: almondcross.RoleCaller, Secret: "other-secret"}),
			almondcross.NewToken(almondcross.TokenConfig{Name: "manager", Role: almondcross.RoleReporter, Secret: "manager-secret"}),
		},
		DataCentres: []string{"east"}, QueryTimeout: time.Minute,
	}).Register(router)
	return router
}

func get(handler http.Handler, path, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, nil)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// Guards against a caller that reads the request of another caller with the same key name.
func TestLookupIsLimitedToTheCaller(t *testing.T) {
	lookups := ring.New[almondcross.CoordinatorMessage](ring.Config{Capacity: 1})
	handler := newHandler(lookups)
	go func() {
		for range 2 {
			lookup := (<-lookups.Messages()).(almondcross.LookupRequest)
			lookup.Replier().Reply(almondcross.NewOutcome(almondcross.OutcomeConfig{
				Key: lookup.Key(), Status: almondcross.StatusDone, Answer: []byte(lookup.Key().Caller()),
			}))
		}
	}()
	recorder := get(handler, "/v1/requests/a?origin=east", "desk-secret")
	require.JSONEq(t, `{"key":"a","origin":"east","status":"done","answer":"ZGVzaw=="}`, recorder.Body.String())
	recorder = get(handler, "/v1/requests/a?origin=east", "other-secret")
	require.JSONEq(t, `{"key":"a","origin":"east","status":"done","answer":"b3RoZXI="}`, recorder.Body.String())
}

// Guards against routes that accept tokens of the wrong role, and error responses without a stable code.
func TestErrorResponsesHaveStatusAndCode(t *testing.T) {
	handler := newHandler(ring.New[almondcross.CoordinatorMessage](ring.Config{}))
	for _, test := range []struct {
		path, token string
		wantStatus  int
		wantBody    string
	}{
		{"/v1/requests/a?origin=east", "manager-secret", 403, `{"code":"forbidden","message":"a token of role reporter does not allow this; allowed: [caller]"}`},
		{"/v1/requests/a?origin=east", "desk-secret", 503, `{"code":"overloaded","message":"the queue of the coordinator is full","retry_after":"1s"}`},
		{"/v1/requests/a", "desk-secret", 400, `{"code":"invalid","message":"origin: found \"\"; allowed: one of east"}`},
		{"/v1/catalogue", "", 401, `{"code":"unauthenticated","message":"the token is missing or not known"}`},
		{"/v1/status", "desk-secret", 403, `{"code":"forbidden","message":"a token of role caller does not allow this; allowed: [operator reporter]"}`},
		{"/v1/catalogue/a", "manager-secret", 404, `{"code":"unknown_entry","message":"the catalogue of this host has no such entry"}`},
		{"/v1/catalogue", "manager-secret", 200, `{"offset":-1,"entries":[]}`},
		{"/v1/reports/shares?ownr=x", "manager-secret", 400, `{"code":"invalid","message":"parameter: found \"ownr\"; allowed: one of from, to, owner, entry"}`},
		{"/v1/reports/shares?from=2026-03-02T00:00:00Z", "manager-secret", 400, `{"code":"invalid","message":"from: found 2026-03-02T00:00:00Z; allowed: a time before to, 2026-03-01T12:00:00Z"}`},
		{"/v1/reports/audit", "manager-secret", 503, `{"code":"unavailable","message":"the audit trail could not be read","retry_after":"1s"}`},
		{"/v1/reports/why?entry=a&limit=0", "manager-secret", 400, `{"code":"invalid","message":"limit: found \"0\"; allowed: a whole number from 1 to 10000"}`},
		{"/v1/reports/why?entry=a", "manager-secret", 200, `{"events":[],"truncated":false}`},
		{"/v2", "", 404, `{"code":"not_found","message":"the path is not one of the API"}`},
		{"/readyz", "", 503, `{"host":"","data_centre":"","ready":false}`},
		{"/healthz", "", 200, `{"host":"","data_centre":"","ready":false}`},
	} {
		t.Run(test.path, func(t *testing.T) {
			recorder := get(handler, test.path, test.token)
			require.Equal(t, test.wantStatus, recorder.Code)
			require.JSONEq(t, test.wantBody, recorder.Body.String())
		})
	}
}
