package observer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
)

const (
	workerConnections = 1
	listConnections   = 2
	defaultTimeout    = 2 * time.Second
	// maxReadAttempts is how often a damaged result is read before its task counts as failed. The worker
	// keeps the event until it is acknowledged, so the next read can repair a transmission error.
	maxReadAttempts = 3
)

// Config holds the settings of an Observer.
type Config struct {
	LiveList string        // LiveList is the IP address and port of the live list.
	Timeout  time.Duration // Timeout bounds one read, in addition to its wait time, 0 for 2 s.
	Metrics  *metrics.Set  // Metrics receives the counters; nil for none.
}

// Observer implements almondcross.LiveList and almondcross.WorkerObserver. It is safe for concurrent use.
type Observer struct {
	liveList string
	list     *exchanger.Exchanger
	workers  *exchanger.Exchanger

	events, truncated, failures *metrics.Counter
}

var (
	_ almondcross.LiveList       = (*Observer)(nil)
	_ almondcross.WorkerObserver = (*Observer)(nil)
)

// New returns an observer; it connects on the first read.
func New(config Config) *Observer {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return &Observer{
		liveList:  config.LiveList,
		list:      exchanger.New(exchanger.Config{Connections: listConnections, Timeout: config.Timeout}),
		workers:   exchanger.New(exchanger.Config{Connections: workerConnections, Timeout: config.Timeout}),
		events:    config.Metrics.GetOrCreateCounter("almondcross_worker_events_read_total"),
		truncated: config.Metrics.GetOrCreateCounter("almondcross_worker_answers_truncated_total"),
		failures:  config.Metrics.GetOrCreateCounter("almondcross_observer_failures_total"),
	}
}

// Run closes the idle connections when the context ends.
func (observer *Observer) Run(ctx context.Context) error {
	<-ctx.Done()
	observer.list.Close()
	observer.workers.Close()
	return nil
}

// List returns the live list and waits up to the given time for a version other than the known one. It returns
// ErrLiveListUnreachable on any failure.
func (observer *Observer) List(
	ctx context.Context, known uint64, wait time.Duration,
) (almondcross.LiveHosts, error) {
	address := fmt.Sprintf("http://%s/v1/live?known=%d&wait_ms=%d", observer.liveList, known, wait.Milliseconds())
	var response encoder.PlatformHosts
	err := observer.list.Do(ctx, wait, http.MethodGet, address, nil, &response)
	if err == nil && response.Version == 0 {
		err = errors.New("the response has no version")
	}
	if err != nil {
		observer.failures.Inc()
		return almondcross.LiveHosts{}, errors.WithType(
			errors.Annotate(err, "reading the live list"), almondcross.ErrLiveListUnreachable)
	}
	return response.LiveHosts(), nil
}

// Events returns the events of ended tasks after an index and waits up to the given time for the first one; it
// acknowledges the events up to the index. A result that is still damaged after maxReadAttempts is returned as
// failed with the code truncated and without an answer, so that it does not block later events. It returns
// ErrTermStale if the worker refuses the term, and ErrWorkerUnreachable for any other failure.
func (observer *Observer) Events(
	ctx context.Context, target almondcross.Target, term almondcross.Term, after uint64, wait time.Duration,
) ([]almondcross.WorkerEvent, error) {
	for attempt := 1; ; attempt++ {
		events, err := observer.readEvents(ctx, target, term, after, wait)
		if err != nil {
			return nil, err
		}
		intact := intactPrefix(events)
		switch {
		case intact == len(events):
			return observer.convertEvents(events), nil
		case intact > 0:
			// The next call reads the damaged event again.
			return observer.convertEvents(events[:intact]), nil
		case attempt == maxReadAttempts:
			observer.truncated.Inc()
			return observer.convertEvents(events[:1]), nil
		}
	}
}

func intactPrefix(events []encoder.WorkerEvent) int {
	for index, event := range events {
		if !event.Result.Complete() {
			return index
		}
	}
	return len(events)
}

func (observer *Observer) readEvents(
	ctx context.Context, target almondcross.Target, term almondcross.Term, after uint64, wait time.Duration,
) ([]encoder.WorkerEvent, error) {
	address := fmt.Sprintf("http://%s/v1/events?boot=%d&counter=%d&after=%d&wait_ms=%d",
		target.Address(), term.Boot(), term.Counter(), after, wait.Milliseconds())
	var response encoder.WorkerEvents
	err := observer.workers.Do(ctx, wait, http.MethodGet, address, nil, &response)
	if err == nil {
		return response.Events, nil
	}
	observer.failures.Inc()
	errorType := almondcross.ErrWorkerUnreachable
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && failure.Code == encoder.PlatformTermStale {
		errorType = almondcross.ErrTermStale
	}
	return nil, errors.WithType(errors.Annotatef(err, "reading the events of %s", target.Name()), errorType)
}

func (observer *Observer) convertEvents(received []encoder.WorkerEvent) []almondcross.WorkerEvent {
	observer.events.Add(len(received))
	events := make([]almondcross.WorkerEvent, 0, len(received))
	for _, event := range received {
		events = append(events, event.Value())
	}
	return events
}
