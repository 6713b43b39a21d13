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
	// MaxWait bounds the wait of a long poll.
	MaxWait = 30 * time.Second
)

// Answer is what a duty answers to one message.
type Answer struct {
	Status int           // Status is the HTTP status, 0 for OK.
	Body   any           // Body is the shape to encode.
	Delay  time.Duration // Delay is the time for which the answer is held up.
	Abort  bool          // Abort closes the connection without an answer.
}

// Refusal returns the answer of a refused operation.
func Refusal(status int, code encoder.PlatformCode, message string) Answer {
	return Answer{Status: status, Body: encoder.PlatformFailure{Code: code, Message: message}}
}

// Listen returns the given listener, or a new one on the address when it is nil.
func Listen(listener net.Listener, address string) (net.Listener, error) {
	if listener != nil {
		return listener, nil
	}
	listener, err := net.Listen("tcp", address)
	return listener, errors.Annotatef(err, "listen on %s", address)
}

// Serve answers requests until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(stop) != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// Decode reads a bounded JSON body and answers the request itself when it is malformed.
func Decode(writer http.ResponseWriter, request *http.Request, into any) bool {
	request.Body = http.MaxBytesReader(writer, request.Body, encoder.MaxPlatformBody)
	err := json.NewDecoder(request.Body).Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Write(writer, Refusal(http.StatusRequestEntityTooLarge, encoder.PlatformTooLarge, err.Error()))
		return false
	}
	Write(writer, Refusal(http.StatusBadRequest, encoder.PlatformInvalid, err.Error()))
	return false
}

// Int returns an integer of the query string, or 0 when it is absent or malformed.
func Int(request *http.Request, name string) int64 {
	value, _ := strconv.ParseInt(request.URL.Query().Get(name), 10, 64)
	return value
}

// Uint returns an unsigned integer of the query string, or 0 when it is absent or malformed.
func Uint(request *http.Request, name string) uint64 {
	value, _ := strconv.ParseUint(request.URL.Query().Get(name), 10, 64)
	return value
}

// Wait returns the bounded wait of a long poll.
func Wait(request *http.Request) time.Duration {
	return min(max(time.Duration(Int(request, "wait_ms"))*time.Millisecond, 0), MaxWait)
}

// Exchange puts a message, waits for its answer and writes it.
func Exchange[M any](
	writer http.ResponseWriter, request *http.Request, messages *ring.Ring[M], message M, answers <-chan Answer,
) {
	ctx := request.Context()
	if messages.Put(ctx, message) != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case answer := <-answers:
		deliver(ctx, writer, answer)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// deliver closes the connection for an aborted answer; net/http documents the panic for this.
func deliver(ctx context.Context, writer http.ResponseWriter, answer Answer) {
	if answer.Delay > 0 {
		timer := time.NewTimer(answer.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	if answer.Abort {
		panic(http.ErrAbortHandler)
	}
	Write(writer, answer)
}

// Write encodes an answer.
func Write(writer http.ResponseWriter, answer Answer) {
	body, err := json.Marshal(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if answer.Status != 0 {
		writer.WriteHeader(answer.Status)
	}
	_, _ = writer.Write(body)
}
