package exchanger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/encoder"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// ExchangeError is the error of a failed exchange.
type ExchangeError struct {
	MaybeSent    bool                 // MaybeSent is true if the request may have reached the server.
	Status       int                  // Status is the HTTP status of an error response, 0 if there was none.
	Code         encoder.PlatformCode // Code is the code of an error response, or PlatformTooLarge for a body that was not sent; empty for none.
	OldestOffset int64                // OldestOffset is the oldest offset that the server retains, set with the code trimmed.
	Cause        error                // Cause is the error of the encoding, the transport or the decoding.
	Detail       string               // Detail is the message of an error response.
}

// Error returns the description of the failure.
func (exchangeerror *ExchangeError) Error() string {
	if exchangeerror.Cause != nil {
		return exchangeerror.Cause.Error()
	}
	return fmt.Sprintf("status %d, code %q: %s", exchangeerror.Status, exchangeerror.Code, exchangeerror.Detail)
}

// Unwrap returns the cause, nil for an error response.
func (exchangeerror *ExchangeError) Unwrap() error { return exchangeerror.Cause }

// Config holds the settings of an Exchanger.
type Config struct {
	Connections int           // Connections is the maximum number of connections to one server.
	Timeout     time.Duration // Timeout bounds one exchange, in addition to the wait time of a long poll.
}

// Exchanger sends requests and decodes the responses. It is safe for concurrent use.
type Exchanger struct {
	client  *http.Client
	timeout time.Duration
}

// New returns an Exchanger with its own connection pool.
func New(config Config) *Exchanger {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: min(dialTimeout, config.Timeout)}).DialContext,
		MaxConnsPerHost:        config.Connections,
		MaxIdleConnsPerHost:    config.Connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 16 << 10,
		DisableCompression:     true,
	}
	return &Exchanger{client: &http.Client{Transport: transport}, timeout: config.Timeout}
}

// Close closes idle connections.
func (exchanger *Exchanger) Close() { exchanger.client.CloseIdleConnections() }

// Do sends in as the request body, unless it is nil, and decodes the response body into out. The wait
// of a long poll is added to the timeout. Every error is an *ExchangeError.
func (exchanger *Exchanger) Do(ctx context.Context, wait time.Duration, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+exchanger.timeout)
	defer cancel()
	// The request is written only after a connection was obtained; without a connection nothing was sent.
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	request, err := newRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	response, err := exchanger.client.Do(request)
	if err != nil {
		return &ExchangeError{MaybeSent: gotConnection.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, out)
}

func newRequest(ctx context.Context, method, url string, in any) (*http.Request, error) {
	if in == nil {
		return buildRequest(ctx, method, url, http.NoBody)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &ExchangeError{Cause: errors.Trace(err)}
	}
	if len(body) > encoder.MaxPlatformBody {
		return nil, &ExchangeError{
			Code:  encoder.PlatformTooLarge,
			Cause: errors.Errorf("the body has %d bytes, more than %d", len(body), encoder.MaxPlatformBody),
		}
	}
	return buildRequest(ctx, method, url, bytes.NewReader(body))
}

func buildRequest(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, &ExchangeError{Cause: errors.Trace(err)}
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func decodeResponse(response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, encoder.MaxPlatformBody+1))
	if err != nil {
		return &ExchangeError{MaybeSent: true, Cause: errors.Annotate(err, "reading the response")}
	}
	if len(body) > encoder.MaxPlatformBody {
		return &ExchangeError{MaybeSent: true, Cause: errors.Errorf("the response has more than %d bytes", encoder.MaxPlatformBody)}
	}
	if response.StatusCode != http.StatusOK {
		var failure encoder.PlatformError
		if err := json.Unmarshal(body, &failure); err != nil {
			return &ExchangeError{MaybeSent: true, Status: response.StatusCode, Detail: "the error response is malformed"}
		}
		return &ExchangeError{
			MaybeSent: true, Status: response.StatusCode, Code: failure.Code, OldestOffset: failure.Oldest, Detail: failure.Message,
		}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &ExchangeError{MaybeSent: true, Cause: errors.Annotate(err, "decoding the response")}
	}
	return nil
}
