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
	// askLimit bounds a question: a connection to another region and the answer take a tenth of a second.
	askLimit = 300 * time.Millisecond
	// longestAnswer is the largest answer in bytes.
	longestAnswer = 4 << 10
)

// Config holds what a locator needs.
type Config struct {
	Codec almondcross.JournalCodec
	Log   almondcross.EventLog
}

// Locator asks hosts over HTTP.
type Locator struct {
	config Config
	client *http.Client
}

// New returns a locator.
func New(config Config) *Locator {
	// Questions are rare, so that no connection is kept for the next one.
	return &Locator{config: config, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: askLimit}).DialContext, DisableKeepAlives: true,
	}}}
}

// answer is what one host said; a pointer without a host means that it knows of no scheduler.
type answer struct {
	pointer almondcross.SchedulerPointer
	err     error
}

// Locate returns the pointer of the highest epoch that hosts at these addresses know of, false for none.
func (locator *Locator) Locate(ctx context.Context, addresses []string) (almondcross.SchedulerPointer, bool) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			pointer, err := locator.ask(ctx, address)
			answers <- answer{pointer: pointer, err: err}
		}()
	}
	var best almondcross.SchedulerPointer
	failed, reason := 0, ""
	for range addresses {
		told := <-answers
		switch {
		case told.err != nil:
			failed, reason = failed+1, told.err.Error()
		case told.pointer.Host() != "" && (best.Host() == "" || told.pointer.Epoch() > best.Epoch()):
			best = told.pointer
		}
	}
	locator.config.Log.Record("peers_asked", almondcross.Number("asked", len(addresses)), almondcross.Number("failed", failed),
		almondcross.Text("scheduler", best.Host()), almondcross.Number("epoch", best.Epoch()), almondcross.Text("reason", reason))
	return best, best.Host() != ""
}

func (locator *Locator) ask(ctx context.Context, address string) (almondcross.SchedulerPointer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+encoder.PointerPath, nil)
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	response, err := locator.client.Do(request)
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }() // The answer was read, or is not needed.
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return almondcross.SchedulerPointer{}, nil
	default:
		return almondcross.SchedulerPointer{}, errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, longestAnswer))
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	pointer, err := locator.config.Codec.DecodePointer(body)
	return pointer, errors.Trace(err)
}
