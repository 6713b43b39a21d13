package responder

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// MaxBody is the largest body of a request in bytes; it equals the limit of a peer message.
const MaxBody = 1 << 20

// overloadedRetry is the time after which a caller asks again when a ring is full. Rings drain
// within milliseconds; a second keeps retries of many callers from filling them again.
const overloadedRetry = time.Second

// Config holds what a Responder needs.
type Config struct {
	Tokens  []almondcross.Token
	Metrics *metrics.Set // Metrics receives the request counters; nil for none.
}

// Responder checks tokens and counts answers.
type Responder struct {
	tokens  []almondcross.Token
	metrics *metrics.Set
}

// New returns a Responder.
func New(config Config) *Responder {
	return &Responder{tokens: config.Tokens, metrics: config.Metrics}
}

// Handler answers a request of a known bearer.
type Handler func(writer http.ResponseWriter, request *http.Request, token almondcross.Token)

// Guard lets only bearers of the given roles reach a handler, and bounds the body.
func (responder *Responder) Guard(handler Handler, roles ...almondcross.Role) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		scheme, secret, _ := strings.Cut(request.Header.Get("Authorization"), " ")
		token, known := almondcross.FindToken(responder.tokens, secret)
		if !known || !strings.EqualFold(scheme, "Bearer") {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			Fail(writer, Failure{Status: http.StatusUnauthorized, Code: encoder.CodeUnauthenticated, Message: "the token is missing or not known"})
			return
		}
		if !slices.Contains(roles, token.Role()) {
			Fail(writer, Failure{
				Status: http.StatusForbidden, Code: encoder.CodeForbidden,
				Message: fmt.Sprintf("a token of role %s does not allow this; allowed: %v", token.Role(), roles),
			})
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, MaxBody)
		handler(writer, request, token)
	}
}

// Count wraps a handler with a counter for each route and status.
func (responder *Responder) Count(route string, handler http.Handler) http.Handler {
	if responder.metrics == nil {
		return handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorder := &statusRecorder{ResponseWriter: writer, status: http.StatusOK}
		handler.ServeHTTP(recorder, request)
		name := fmt.Sprintf("almondcross_http_requests_total{route=%q,method=%q,status=\"%d\"}", route, request.Method, recorder.status)
		responder.metrics.GetOrCreateCounter(name).Inc()
	})
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (statusrecorder *statusRecorder) WriteHeader(status int) {
	statusrecorder.status = status
	statusrecorder.ResponseWriter.WriteHeader(status)
}

// Failure is an error answer. NotRun may be set only where the request certainly did not run and
// never will.
type Failure struct {
	Status     int
	Code       almondcross.Code
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Fail writes an error answer.
func Fail(writer http.ResponseWriter, failure Failure) {
	shape := encoder.ErrorShape{Code: failure.Code, Message: failure.Message}
	if failure.NotRun {
		shape.Status = almondcross.StatusNotRun
	}
	if failure.RetryAfter > 0 {
		retry := encoder.Duration(failure.RetryAfter)
		shape.RetryAfter = &retry
		setRetryAfter(writer, failure.RetryAfter)
	}
	JSON(writer, failure.Status, shape)
}

// Overloaded returns the failure for a full ring.
func Overloaded(ring string, notRun bool) Failure {
	return Failure{
		Status: http.StatusServiceUnavailable, Code: almondcross.CodeOverloaded, NotRun: notRun,
		Message: "the queue of the " + ring + " is full", RetryAfter: overloadedRetry,
	}
}

// Invalid returns the failure for a request that breaks the format.
func Invalid(message string) Failure {
	return Failure{Status: http.StatusBadRequest, Code: almondcross.CodeInvalid, Message: message}
}

// InvalidBody returns the failure for a body that could not be decoded.
func InvalidBody(err error) Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Failure{
			Status: http.StatusRequestEntityTooLarge, Code: encoder.CodeTooLarge,
			Message: fmt.Sprintf("the body is too large; allowed: at most %d bytes", MaxBody),
		}
	}
	return Invalid("the body is not valid: " + err.Error())
}

// setRetryAfter writes whole seconds, rounded up, as the header requires.
func setRetryAfter(writer http.ResponseWriter, retry time.Duration) {
	seconds := (retry + time.Second - 1) / time.Second
	writer.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// JSON writes a value with a status.
func JSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"code":"unavailable","message":"the answer could not be encoded"}`)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}

// Outcome writes the outcome of a submission.
func Outcome(writer http.ResponseWriter, outcome almondcross.Outcome) {
	if outcome.RetryAfter() > 0 {
		setRetryAfter(writer, outcome.RetryAfter())
	}
	JSON(writer, outcomeStatus(outcome), encoder.NewOutcomeShape(outcome))
}

// outcomeStatus gives a status of 2xx only to an outcome that is not an error, so that a client
// that looks at nothing else does not take a failure for an answer.
func outcomeStatus(outcome almondcross.Outcome) int {
	switch outcome.Status() {
	case almondcross.StatusDone:
		return http.StatusOK
	case almondcross.StatusRunning, almondcross.StatusUnknown:
		return http.StatusAccepted
	case almondcross.StatusFailed:
		return http.StatusBadGateway
	}
	switch outcome.Code() {
	case almondcross.CodeUnknownEntry:
		return http.StatusNotFound
	case almondcross.CodeKeyConflict, almondcross.CodeCancelled, almondcross.CodeVoided, almondcross.CodeClaimedElsewhere:
		return http.StatusConflict
	case almondcross.CodeKeyExpired:
		return http.StatusGone
	case almondcross.CodeInvalid, almondcross.CodeIssuedAtMissing:
		return http.StatusBadRequest
	case almondcross.CodeNeverFits:
		return http.StatusUnprocessableEntity
	case almondcross.CodeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// JSONOutcome writes what became of a key to a reader or canceller, for whom every status is a
// full answer.
func JSONOutcome(writer http.ResponseWriter, outcome almondcross.Outcome) {
	if outcome.RetryAfter() > 0 {
		setRetryAfter(writer, outcome.RetryAfter())
	}
	JSON(writer, http.StatusOK, encoder.NewOutcomeShape(outcome))
}

// NotFound answers a path that is not one of the API.
func NotFound(writer http.ResponseWriter, _ *http.Request) {
	Fail(writer, Failure{Status: http.StatusNotFound, Code: encoder.CodeNotFound, Message: "the path is not one of the API"})
}

// MethodNotAllowed answers a method that a path does not take.
func MethodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	Fail(writer, Failure{Status: http.StatusMethodNotAllowed, Code: encoder.CodeMethodNotAllowed, Message: "the path does not take this method"})
}
