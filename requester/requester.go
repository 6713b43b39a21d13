package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// maxAnswer bounds the answers that are read. A catalogue of 100,000 entries is about 40 MB.
const maxAnswer = 64 << 20

// connectTimeout is the time within which a host must accept a connection.
const connectTimeout = 2 * time.Second

// ErrNotSent marks a call that certainly did not reach the host.
const ErrNotSent = errors.ConstError("the call was not sent")

// ErrBadServer is returned for an address that is not one of an entry host.
const ErrBadServer = errors.ConstError("not the address of an entry host")

// Config holds what a Client needs.
type Config struct {
	Server string // Server is an address such as "127.0.0.1:7201" or "https://10.0.0.1:7201".
	Token  string
}

// Client calls the API of one entry host.
type Client struct {
	base  url.URL
	token string
	http  *http.Client
}

// New returns a Client.
func New(config Config) (*Client, error) {
	text := config.Server
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	base, err := url.Parse(text)
	if err != nil || base.Host == "" || base.Port() == "" || (base.Scheme != "http" && base.Scheme != "https") ||
		strings.Trim(base.Path, "/") != "" || base.User != nil || base.RawQuery != "" {
		return nil, errors.Annotatef(ErrBadServer, "server: found %q; allowed: an address and port such as 127.0.0.1:7201", config.Server)
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		base: *base, token: config.Token,
		http: &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Server returns the address of the host.
func (client *Client) Server() string { return client.base.Host }

// Call is one call of the API.
type Call struct {
	Method string
	Path   []string // Path holds the segments, not escaped.
	Query  url.Values
	Body   any // Body is encoded as JSON; nil for none.
}

// Answer is what a host answered.
type Answer struct {
	Status int
	Body   []byte
}

// Do sends a call. ErrAPIUnreachable means that no whole answer came; it comes with ErrNotSent
// when the call certainly did not reach the host.
func (client *Client) Do(ctx context.Context, call Call) (Answer, error) {
	var body io.Reader
	if call.Body != nil {
		encoded, err := json.Marshal(call.Body)
		if err != nil {
			return Answer{}, errors.Annotate(err, "encoding the body")
		}
		body = bytes.NewReader(encoded)
	}
	target := client.base.JoinPath(escape(call.Path)...)
	target.RawQuery = call.Query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return Answer{}, errors.Annotate(err, "building the request")
	}
	request.Header.Set("Content-Type", "application/json")
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return Answer{}, client.unreachable(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, client.unreachable(err)
	}
	if len(content) > maxAnswer {
		return Answer{}, errors.Annotatef(almondcross.ErrAPIRefused, "%s: the answer has more than %d bytes", client.Server(), maxAnswer)
	}
	return Answer{Status: response.StatusCode, Body: content}, nil
}

func escape(segments []string) []string {
	escaped := make([]string, len(segments))
	for index, segment := range segments {
		escaped[index] = url.PathEscape(segment)
	}
	return escaped
}

// unreachable keeps apart a connection that was never made from an answer that was lost.
func (client *Client) unreachable(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		err = errors.WithType(err, ErrNotSent)
	}
	return errors.Annotate(errors.WithType(err, almondcross.ErrAPIUnreachable), client.Server())
}

// Refusal returns the error that an answer of 4xx or 5xx stands for.
func (client *Client) Refusal(answer Answer) error {
	var shape encoder.ErrorShape
	if err := json.Unmarshal(answer.Body, &shape); err != nil || shape.Code == "" {
		return errors.Annotatef(almondcross.ErrAPIRefused, "%s answered %d without a code", client.Server(), answer.Status)
	}
	return errors.WithType(errors.Errorf("%s: %s: %s", client.Server(), shape.Code, shape.Message), almondcross.ErrAPIRefused)
}

// Get reads a path into a shape.
func (client *Client) Get(ctx context.Context, path []string, query url.Values, into any) error {
	answer, err := client.Do(ctx, Call{Method: http.MethodGet, Path: path, Query: query})
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return client.Refusal(answer)
	}
	if err := json.Unmarshal(answer.Body, into); err != nil {
		return errors.Annotatef(errors.WithType(err, almondcross.ErrAPIRefused), "%s: decoding the answer", client.Server())
	}
	return nil
}
