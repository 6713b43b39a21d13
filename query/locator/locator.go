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
type Config struct{ Codec almondcross.JournalCodec }

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

// Locate returns the pointer of the highest epoch that hosts at these addresses know of, false for none.
func (locator *Locator) Locate(ctx context.Context, addresses []string) (almondcross.SchedulerPointer, bool) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	answers := make(chan almondcross.SchedulerPointer, len(addresses))
	for _, address := range addresses {
		go func() {
			pointer, err := locator.ask(ctx, address)
			if err != nil {
				pointer = almondcross.SchedulerPointer{} // A host that does not answer knows of no scheduler.
			}
			answers <- pointer
		}()
	}
	var best almondcross.SchedulerPointer
	for range addresses {
		if pointer := <-answers; pointer.Host() != "" && (best.Host() == "" || pointer.Epoch() > best.Epoch()) {
			best = pointer
		}
	}
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
	if response.StatusCode != http.StatusOK {
		return almondcross.SchedulerPointer{}, errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, longestAnswer))
	if err != nil {
		return almondcross.SchedulerPointer{}, errors.Trace(err)
	}
	pointer, err := locator.config.Codec.DecodePointer(body)
	return pointer, errors.Trace(err)
}
