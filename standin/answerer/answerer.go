package answerer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
	// MaxPollWait is the longest wait of a long poll.
	MaxPollWait = 30 * time.Second
)

// Response is the response of a duty to one message.
type Response struct {
	Status int           // Status is the HTTP status, 0 for OK.
	Body   any           // Body is the value to encode as JSON.
	Delay  time.Duration // Delay is the time to wait before the response is written.
	Abort  bool          // Abort closes the connection without a response.
}

// ErrorResponse returns the response to a rejected request.
func ErrorResponse(status int, code encoder.PlatformCode, message string) Response {
	return Response{Status: status, Body: encoder.PlatformError{Code: code, Message: message}}
}

// Listen returns the given listener, or a new TCP listener on the address if it is nil.
func Listen(listener net.Listener, address string) (net.Listener, error) {
	if listener != nil {
		return listener, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Annotatef(err, "listen on %s", address)
}

// Serve handles requests until the context ends, then shuts the server down. Connections still open
// after shutdownTimeout are closed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(listener) }()
	select {
	case err := <-serveError:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownContext) != nil {
		_ = server.Close()
	}
	if err := <-serveError; !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// DecodeBody decodes a bounded JSON body. It reports whether that succeeded; if not, it has already
// written an error response.
func DecodeBody(writer http.ResponseWriter, request *http.Request, destination any) bool {
	request.Body = http.MaxBytesReader(writer, request.Body, encoder.MaxPlatformBody)
	err := json.NewDecoder(request.Body).Decode(destination)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteResponse(writer, ErrorResponse(http.StatusRequestEntityTooLarge, encoder.PlatformTooLarge, err.Error()))
		return false
	}
	WriteResponse(writer, ErrorResponse(http.StatusBadRequest, encoder.PlatformInvalid, err.Error()))
	return false
}

// QueryInt returns an integer parameter of the query string, or 0 if it is absent or malformed.
func QueryInt(request *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	return value
}

// QueryUint returns an unsigned integer parameter of the query string, or 0 if it is absent or malformed.
func QueryUint(request *http.Request, name string) uint64 {
	value, _ := strconv.ParseUint(request.URL.Query().Get(name), 10, 64)
	return value
}

// PollWait returns the wait of a long poll, from 0 to MaxPollWait, as requested by the wait_ms parameter.
func PollWait(request *http.Request) time.Duration {
	return min(max(time.Duration(QueryInt(request, "wait_ms"))*time.Millisecond, 0), MaxPollWait)
}

// Exchange puts a message on a ring, waits for the response of the duty and writes it. If the request
// is cancelled first, it aborts the connection.
func Exchange[M any](
	writer http.ResponseWriter, request *http.Request, messages *ring.Ring[M], message M, responses <-chan Response,
) {
	ctx := request.Context()
	if messages.Put(ctx, message) != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case response := <-responses:
		writeAfterDelay(ctx, writer, response)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// writeAfterDelay writes a response after its delay. It closes the connection for an aborted response
// by panicking with http.ErrAbortHandler, as net/http documents.
func writeAfterDelay(ctx context.Context, writer http.ResponseWriter, response Response) {
	if response.Delay > 0 {
		timer := time.NewTimer(response.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	if response.Abort {
		panic(http.ErrAbortHandler)
	}
	WriteResponse(writer, response)
}

// WriteResponse writes a response as JSON, or aborts the connection if the body can't be encoded.
func WriteResponse(writer http.ResponseWriter, response Response) {
	body, err := json.Marshal(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if response.Status != 0 {
		writer.WriteHeader(response.Status)
	}
	_, _ = writer.Write(body)
}
