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

// ExchangeError is a failed exchange.
type ExchangeError struct {
	Sent   bool                 // Sent tells whether the request may have reached the server.
	Status int                  // Status is the HTTP status, 0 when there was no whole answer.
	Code   encoder.PlatformCode // Code is the code of a refusal, empty when the answer had none.
	Oldest int64                // Oldest is the oldest offset kept, with the code trimmed.
	Cause  error                // Cause is the error of the transport or of the decoding.
	Detail string               // Detail is the message of a refusal.
}

// Error returns the description of the failure.
func (exchangeerror *ExchangeError) Error() string {
	if exchangeerror.Cause != nil {
		return exchangeerror.Cause.Error()
	}
	return fmt.Sprintf("status %d, code %q: %s", exchangeerror.Status, exchangeerror.Code, exchangeerror.Detail)
}

// Unwrap returns the error of the transport or of the decoding.
func (exchangeerror *ExchangeError) Unwrap() error { return exchangeerror.Cause }

// Config holds the settings of a exchanger.
type Config struct {
	Connections int           // Connections is the most connections to one server.
	Timeout     time.Duration // Timeout is the time for one exchange beyond the wait of a long poll.
}

// Exchanger makes exchanges; it is safe for concurrent use.
type Exchanger struct {
	client  *http.Client
	timeout time.Duration
}

// New returns a exchanger with its own connections.
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

// Do sends in as the body, unless it is nil, and decodes the answer into out. The wait is added to
// the timeout. Every error is an *ExchangeError.
func (exchanger *Exchanger) Do(ctx context.Context, wait time.Duration, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+exchanger.timeout)
	defer cancel()
	// A request is written only after a connection was obtained, so without one nothing was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	response, err := exchanger.client.Do(request)
	if err != nil {
		return &ExchangeError{Sent: connected.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, out)
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

func decode(response *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, encoder.MaxPlatformBody+1))
	if err != nil {
		return &ExchangeError{Sent: true, Cause: errors.Annotate(err, "read the answer")}
	}
	if len(body) > encoder.MaxPlatformBody {
		return &ExchangeError{Sent: true, Cause: errors.Errorf("the answer has more than %d bytes", encoder.MaxPlatformBody)}
	}
	if response.StatusCode != http.StatusOK {
		var refusal encoder.PlatformFailure
		if err := json.Unmarshal(body, &refusal); err != nil {
			return &ExchangeError{Sent: true, Status: response.StatusCode, Detail: "the refusal is malformed"}
		}
		return &ExchangeError{
			Sent: true, Status: response.StatusCode, Code: refusal.Code, Oldest: refusal.Oldest, Detail: refusal.Message,
		}
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &ExchangeError{Sent: true, Cause: errors.Annotate(err, "decode the answer")}
	}
	return nil
}
