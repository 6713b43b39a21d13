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

// maxResponseBytes is the maximum size of a response body. A catalogue of 100,000 entries is about 40 MB.
const maxResponseBytes = 64 << 20

// connectTimeout bounds the time to connect to a host.
const connectTimeout = 2 * time.Second

// ErrNotSent is returned, with almondcross.ErrAPIUnreachable, when a call certainly did not reach the host.
const ErrNotSent = errors.ConstError("the call was not sent")

// ErrBadServer is returned for a malformed server address.
const ErrBadServer = errors.ConstError("not the address of an entry host")

// Config holds the settings of a Client.
type Config struct {
	Server string // Server is an address such as "127.0.0.1:7201" or "https://10.0.0.1:7201".
	Token  string
}

// Client calls the API of one entry host. It is safe for concurrent use.
type Client struct {
	baseURL    url.URL
	token      string
	httpClient *http.Client
}

// New returns a Client, or ErrBadServer if the address is malformed.
func New(config Config) (*Client, error) {
	address := config.Server
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	baseURL, err := url.Parse(address)
	if err != nil || baseURL.Host == "" || baseURL.Port() == "" || (baseURL.Scheme != "http" && baseURL.Scheme != "https") ||
		strings.Trim(baseURL.Path, "/") != "" || baseURL.User != nil || baseURL.RawQuery != "" {
		return nil, errors.Annotatef(ErrBadServer, "server: found %q; allowed: an address and port such as 127.0.0.1:7201", config.Server)
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		baseURL: *baseURL, token: config.Token,
		httpClient: &http.Client{
			Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Server returns the address and port of the host.
func (client *Client) Server() string { return client.baseURL.Host }

// Call describes one API call.
type Call struct {
	Method string
	Path   []string // Path holds the unescaped path segments.
	Query  url.Values
	Body   any // Body is encoded as JSON; nil for no body.
}

// Response is the response of a host.
type Response struct {
	Status int
	Body   []byte
}

// Do sends a call. It returns almondcross.ErrAPIUnreachable when no complete response arrived, together
// with ErrNotSent when the call certainly did not reach the host.
func (client *Client) Do(ctx context.Context, call Call) (Response, error) {
	var body io.Reader
	if call.Body != nil {
		encoded, err := json.Marshal(call.Body)
		if err != nil {
			return Response{}, errors.Annotate(err, "encoding the body")
		}
		body = bytes.NewReader(encoded)
	}
	requestURL := client.baseURL.JoinPath(escapeSegments(call.Path)...)
	requestURL.RawQuery = call.Query.Encode()
	request, err := http.NewRequestWithContext(ctx, call.Method, requestURL.String(), body)
	if err != nil {
		return Response{}, errors.Annotate(err, "building the request")
	}
	request.Header.Set("Content-Type", "application/json")
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return Response{}, client.transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return Response{}, client.transportError(err)
	}
	if len(content) > maxResponseBytes {
		return Response{}, errors.Annotatef(almondcross.ErrAPIRefused, "%s: the response has more than %d bytes", client.Server(), maxResponseBytes)
	}
	return Response{Status: response.StatusCode, Body: content}, nil
}

func escapeSegments(segments []string) []string {
	escaped := make([]string, len(segments))
	for index, segment := range segments {
		escaped[index] = url.PathEscape(segment)
	}
	return escaped
}

// transportError adds ErrNotSent if the connection failed; after any other error the host may have received the call.
func (client *Client) transportError(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		err = errors.WithType(err, ErrNotSent)
	}
	return errors.Annotate(errors.WithType(err, almondcross.ErrAPIUnreachable), client.Server())
}

// ResponseError returns the error for a response with status 4xx or 5xx.
func (client *Client) ResponseError(response Response) error {
	var body encoder.ErrorJSON
	if err := json.Unmarshal(response.Body, &body); err != nil || body.Code == "" {
		return errors.Annotatef(almondcross.ErrAPIRefused, "%s responded with status %d and no error code", client.Server(), response.Status)
	}
	return errors.WithType(errors.Errorf("%s: %s: %s", client.Server(), body.Code, body.Message), almondcross.ErrAPIRefused)
}

// Get requests a path and decodes the body of the response into out.
func (client *Client) Get(ctx context.Context, path []string, query url.Values, out any) error {
	response, err := client.Do(ctx, Call{Method: http.MethodGet, Path: path, Query: query})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return client.ResponseError(response)
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return errors.Annotatef(errors.WithType(err, almondcross.ErrAPIRefused), "%s: decoding the response", client.Server())
	}
	return nil
}
