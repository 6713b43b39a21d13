package locator

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

const (
	// queryTimeout bounds a query: connecting to another region and reading the response takes 100 ms.
	queryTimeout = 300 * time.Millisecond
	// maxResponseBytes is the size up to which a response body is read.
	maxResponseBytes = 4 << 10
)

// Config holds the dependencies of a Locator.
type Config struct {
	Codec almondcross.JournalCodec
	Log   almondcross.EventLog
}

// Locator queries hosts over HTTP for the pointer to the scheduler.
type Locator struct {
	config Config
	client *http.Client
}

// New returns a locator.
func New(config Config) *Locator {
	// Queries are rare, so connections are not kept open.
	return &Locator{config: config, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: queryTimeout}).DialContext, DisableKeepAlives: true,
	}}}
}

// hostResponse is the result of querying one host; a pointer without a host means that the queried host knows
// no scheduler.
type hostResponse struct {
	pointer almondcross.SchedulerPointer
	err     error
}

// Locate returns the pointer with the highest epoch among the responses of the hosts at these addresses, and
// false if none of them knows a scheduler. It returns after queryTimeout at the latest.
func (locator *Locator) Locate(ctx context.Context, addresses []string) (almondcross.SchedulerPointer, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	responses := make(chan hostResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			pointer, err := locator.queryHost(ctx, address)
			responses <- hostResponse{pointer: pointer, err: err}
		}()
	}
	var best almondcross.SchedulerPointer
	failed, reason := 0, ""
	for range addresses {
		response := <-responses
		switch {
		case response.err != nil:
			failed, reason = failed+1, response.err.Error()
		case response.pointer.Host() != "" && (best.Host() == "" || response.pointer.Epoch() > best.Epoch()):
			best = response.pointer
		}
	}
	locator.config.Log.Record("peers_asked", almondcross.Number("asked", len(addresses)), almondcross.Number("failed", failed),
		almondcross.Text("scheduler", best.Host()), almondcross.Number("epoch", best.Epoch()), almondcross.Text("reason", reason))
	return best, best.Host() != ""
}

func (locator *Locator) queryHost(ctx context.Context, address string) (almondcross.SchedulerPointer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+encoder.SchedulerPath, nil)
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	response, err := locator.client.Do(request)
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }() // The body was read or is not needed.
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return almondcross.SchedulerPointer{}, nil
	default:
		return almondcross.SchedulerPointer{}, errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	pointer, err := locator.config.Codec.DecodePointer(body)
	return pointer, errors.Trace(err)
}
