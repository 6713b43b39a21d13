package receiver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/receiver"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

const (
	callerSecret   = "caller-secret-0001"
	operatorSecret = "operator-secret-01"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

type fixture struct {
	handler     http.Handler
	coordinator *ring.Ring[almondcross.CoordinatorMessage]
	cataloguer  *ring.Ring[almondcross.CataloguerMessage]
}

func newFixture(capacity int) fixture {
	fixture := fixture{
		coordinator: ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: capacity}),
		cataloguer:  ring.New[almondcross.CataloguerMessage](ring.Config{Name: "cataloguer", Capacity: capacity}),
	}
	router := mux.NewRouter()
	receiver.New(receiver.Config{
		Coordinator: fixture.coordinator, Cataloguer: fixture.cataloguer, Catalogue: fixedCatalogue{}, Clock: fixedClock{},
		Tokens: []almondcross.Token{
			almondcross.NewToken(almondcross.TokenConfig{Name: "desk", Role: almondcross.RoleCaller, Secret: callerSecret}),
			almondcross.NewToken(almondcross.TokenConfig{Name: "ada", Role: almondcross.RoleOperator, Secret: operatorSecret}),
		},
		DataCentres: []string{"east"}, RequestTimeout: time.Minute, MaxRequestTimeout: time.Hour, ChangeTimeout: time.Minute,
	}).Register(router)
	fixture.handler = router
	return fixture
}

func (fixture fixture) post(path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	fixture.handler.ServeHTTP(recorder, request)
	return recorder
}

// fixedCatalogue holds one repeatable entry and one that is not repeatable.
type fixedCatalogue struct{}

func (fixedCatalogue) Catalogue() almondcross.Catalogue {
	return almondcross.NewCatalogueOf(2, []almondcross.Entry{
		almondcross.NewEntry(almondcross.EntryConfig{Name: "lookup", Repeatable: true}),
		almondcross.NewEntry(almondcross.EntryConfig{Name: "payout"}),
	})
}

func requestBody(key, timeout string) string {
	return fmt.Sprintf(`{"entry":"lookup","key":%q,"origin":"east","issued_at":"2026-03-01T11:59:59Z","timeout":%q}`, key, timeout)
}

// Guards against delivering an answer to another caller's connection. Answers are sent in reverse order, each of
// them twice to every connection, and once more after all connections have ended.
func TestReorderedAndLateAnswersReachOnlyTheirCaller(t *testing.T) {
	const callers = 50
	fixture := newFixture(callers)
	answers := make(chan *httptest.ResponseRecorder, callers)
	for caller := range callers {
		go func() {
			answers <- fixture.post("/v1/requests", callerSecret, requestBody(fmt.Sprintf("key-%d", caller), "1m"))
		}()
	}
	var submitted []almondcross.SubmitRequest
	for range callers {
		submitted = append(submitted, (<-fixture.coordinator.Messages()).(almondcross.SubmitRequest))
	}
	replyToAll := func() {
		for index := len(submitted) - 1; index >= 0; index-- {
			key := submitted[index].Request().Key()
			outcome := almondcross.NewOutcome(almondcross.OutcomeConfig{
				Key: key, Status: almondcross.StatusDone, Answer: []byte("answer of " + key.Name()),
			})
			for _, other := range submitted {
				other.Replier().Reply(outcome)
			}
		}
	}
	replyToAll()
	replyToAll()
	seen := map[string]bool{}
	for range callers {
		recorder := <-answers
		require.Equal(t, http.StatusOK, recorder.Code)
		var outcome encoder.OutcomeJSON
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &outcome))
		require.Equal(t, "answer of "+outcome.Key, string(outcome.Answer))
		seen[outcome.Key] = true
	}
	require.Len(t, seen, callers)
	replyToAll()
}

// Guards against a reply after the caller's timeout that blocks the coordinator, and against a timed-out request
// that is reported as not run.
func TestTimeoutReportsRunning(t *testing.T) {
	fixture := newFixture(1)
	recorder := fixture.post("/v1/requests", callerSecret, requestBody("slow", "1ms"))
	require.Equal(t, http.StatusAccepted, recorder.Code)
	require.Contains(t, recorder.Body.String(), `"status":"running"`)
	message := (<-fixture.coordinator.Messages()).(almondcross.SubmitRequest)
	message.Replier().Reply(almondcross.NewOutcome(almondcross.OutcomeConfig{Key: message.Request().Key()}))
}

// Guards against not_run when the request may have run, and against invalid requests that are accepted.
func TestInvalidAndOverloadedRequestsAreRefused(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for _, test := range []struct {
		name, path, token, body string
		status                  int
		answer                  string
	}{
		{
			"full ring, first attempt", "/v1/requests", callerSecret, requestBody("a", "1s"), 503,
			`{"status":"not_run","code":"overloaded","message":"the queue of the coordinator is full","retry_after":"1s"}`,
		},
		{
			"full ring, retry", "/v1/requests", callerSecret, strings.Replace(requestBody("a", "1s"), "{", `{"retry":true,`, 1), 503,
			`{"code":"overloaded","message":"the queue of the coordinator is full","retry_after":"1s"}`,
		},
		{
			"full ring, work that may not be repeated", "/v1/requests", callerSecret,
			strings.Replace(requestBody("a", "1s"), "lookup", "payout", 1), 503,
			`{"code":"overloaded","message":"the queue of the coordinator is full","retry_after":"1s"}`,
		},
		{
			"unknown token", "/v1/requests", "nobody", requestBody("a", "1s"), 401,
			`{"code":"unauthenticated","message":"the token is missing or not known"}`,
		},
		{
			"wrong role", "/v1/requests", operatorSecret, requestBody("a", "1s"), 403,
			`{"code":"forbidden","message":"a token of role operator does not allow this; allowed: [caller]"}`,
		},
		{
			"unknown key of the body", "/v1/requests", callerSecret, `{"entri":"x"}`, 400,
			`{"code":"invalid","message":"the body is not valid: json: unknown field \"entri\""}`,
		},
		{
			"unknown origin", "/v1/requests", callerSecret, `{"entry":"lookup","key":"a","origin":"mars"}`, 400,
			`{"code":"invalid","message":"the body is not valid: origin: found \"mars\"; allowed: one of east"}`,
		},
		{
			"issued in the future", "/v1/requests", callerSecret, `{"entry":"lookup","key":"a","origin":"east","issued_at":"2026-03-01T12:00:02Z"}`, 400,
			`{"code":"invalid","message":"the body is not valid: issued_at: found 2026-03-01T12:00:02Z; allowed: at most 1s ahead of the host's clock"}`,
		},
		{
			"too large", "/v1/requests", callerSecret, `{"entry":"` + long + `"}`, 413,
			`{"code":"too_large","message":"the body is too large; allowed: at most 1048576 bytes"}`,
		},
		{
			"wrong entry", "/v1/catalogue", operatorSecret, `{"name":"lookup","expected_version":0,"entry":{"name":"lookup","owner":"desk","class":"call","resources":{"memory":"5"},"share":1,"repeatable":true}}`, 400,
			`{"code":"invalid","message":"the body is not valid: entry:1: resources.memory: found \"5\"; allowed: an amount with unit (MB, GB, TB) from 0MB to 64TB"}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(0)
			recorder := fixture.post(test.path, test.token, test.body)
			require.Equal(t, test.status, recorder.Code)
			require.JSONEq(t, test.answer, recorder.Body.String())
		})
	}
}

// Guards against a change that is reported as accepted although the log did not accept it.
func TestChangeReturnsTheOutcome(t *testing.T) {
	fixture := newFixture(1)
	answers := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		answers <- fixture.post("/v1/catalogue", operatorSecret, `{"name":"lookup","removed":true,"expected_version":7}`)
	}()
	message := (<-fixture.cataloguer.Messages()).(almondcross.ChangeCatalogue)
	require.Equal(t, "ada", message.Change().Operator())
	require.EqualValues(t, 7, message.Change().Expected())
	message.Replier().ReplyChange(almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: "lookup", Certain: true, Version: 9, Code: almondcross.CodeVersionConflict,
	}))
	recorder := <-answers
	require.Equal(t, http.StatusConflict, recorder.Code)
	require.JSONEq(t, `{"name":"lookup","accepted":false,"certain":true,"version":9,"code":"version_conflict"}`, recorder.Body.String())
}
