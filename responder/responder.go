package responder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/bodyreader"
	"github.com/almondcross/almondcross/encoder"
)

// MaxBodyBytes is the maximum size of a request body. It equals the limit for messages between peers.
const MaxBodyBytes = 1 << 20

// overloadedRetryAfter is the time after which a caller should retry when a ring is full. Rings drain
// within milliseconds; a delay of a second keeps the retries of many callers from filling them again.
const overloadedRetryAfter = time.Second

// Config holds the settings of a Responder.
type Config struct {
	Tokens  []almondcross.Token
	Bodies  almondcross.Limiter // Bodies limits the bytes of all bodies, nil for no limit.
	Metrics *metrics.Set        // Metrics receives the request counters; nil for none.
}

// Responder checks the tokens of requests and counts responses. It is safe for concurrent use.
type Responder struct {
	tokens  []almondcross.Token
	bodies  almondcross.Limiter
	metrics *metrics.Set
}

// New returns a Responder.
func New(config Config) *Responder {
	return &Responder{tokens: config.Tokens, bodies: config.Bodies, metrics: config.Metrics}
}

// Handler handles a request whose token is valid.
type Handler func(writer http.ResponseWriter, request *http.Request, token almondcross.Token)

// Guard wraps a handler: it rejects requests whose token has none of the given roles, and reads the body within the limits on its own
// size and on that of all bodies. The bytes of a body are held until the request is answered.
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
		reserved := bodyreader.NewReservation(responder.bodies)
		defer reserved.Release()
		body, err := bodyreader.ReadAll(writer, request, MaxBodyBytes, reserved)
		if err != nil {
			// The rest of the body is not read, so the connection cannot carry another request.
			writer.Header().Set("Connection", "close")
			Fail(writer, bodyFailure(err))
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		handler(writer, request, token)
	}
}

// Count wraps a handler with a request counter for each route, method and status.
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

// Failure describes an error response. NotRun may be set only if the request certainly has not run and
// never will.
type Failure struct {
	Status     int
	Code       almondcross.Code
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Fail writes an error response.
func Fail(writer http.ResponseWriter, failure Failure) {
	body := encoder.ErrorJSON{Code: failure.Code, Message: failure.Message}
	if failure.NotRun {
		body.Status = almondcross.StatusNotRun
	}
	if failure.RetryAfter > 0 {
		retryAfter := encoder.Duration(failure.RetryAfter)
		body.RetryAfter = &retryAfter
		setRetryAfter(writer, failure.RetryAfter)
	}
	JSON(writer, failure.Status, body)
}

// Overloaded returns the failure for a full ring.
func Overloaded(ring string, notRun bool) Failure {
	return Failure{
		Status: http.StatusServiceUnavailable, Code: almondcross.CodeOverloaded, NotRun: notRun,
		Message: "the queue of the " + ring + " is full", RetryAfter: overloadedRetryAfter,
	}
}

// Invalid returns the failure for a malformed request.
func Invalid(message string) Failure {
	return Failure{Status: http.StatusBadRequest, Code: almondcross.CodeInvalid, Message: message}
}

// bodyFailure returns the failure for a body that was not read to its end. Nothing of its request has run.
func bodyFailure(err error) Failure {
	if !errors.Is(err, bodyreader.ErrOverBudget) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return InvalidBody(err)
	}
	return Failure{
		Status: http.StatusServiceUnavailable, Code: almondcross.CodeOverloaded, NotRun: true, Message: err.Error(), RetryAfter: overloadedRetryAfter,
	}
}

// InvalidBody returns the failure for a body that could not be decoded.
func InvalidBody(err error) Failure {
	var maxBytesError *http.MaxBytesError
	if errors.As(err, &maxBytesError) {
		return Failure{
			Status: http.StatusRequestEntityTooLarge, Code: encoder.CodeTooLarge,
			Message: fmt.Sprintf("the body is too large; allowed: at most %d bytes", MaxBodyBytes),
		}
	}
	return Invalid("the body is not valid: " + err.Error())
}

// setRetryAfter sets the Retry-After header, which takes whole seconds, and rounds up.
func setRetryAfter(writer http.ResponseWriter, retryAfter time.Duration) {
	seconds := (retryAfter + time.Second - 1) / time.Second
	writer.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// JSON writes a value as JSON with an HTTP status.
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
	JSON(writer, outcomeHTTPStatus(outcome), encoder.NewOutcomeJSON(outcome))
}

// outcomeHTTPStatus returns a 2xx status only for an outcome that is not an error, so that a client
// that checks only the status does not mistake a failure for a success.
func outcomeHTTPStatus(outcome almondcross.Outcome) int {
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

// OutcomeOK writes the outcome of a key with status 200, for a caller that reads or cancels the key:
// its own request succeeded, whatever the outcome is.
func OutcomeOK(writer http.ResponseWriter, outcome almondcross.Outcome) {
	if outcome.RetryAfter() > 0 {
		setRetryAfter(writer, outcome.RetryAfter())
	}
	JSON(writer, http.StatusOK, encoder.NewOutcomeJSON(outcome))
}

// NotFound writes the error response for a path that is not part of the API.
func NotFound(writer http.ResponseWriter, _ *http.Request) {
	Fail(writer, Failure{Status: http.StatusNotFound, Code: encoder.CodeNotFound, Message: "the path is not one of the API"})
}

// MethodNotAllowed writes the error response for a method that the path does not support.
func MethodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	Fail(writer, Failure{Status: http.StatusMethodNotAllowed, Code: encoder.CodeMethodNotAllowed, Message: "the path does not take this method"})
}
