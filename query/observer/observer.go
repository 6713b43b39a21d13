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
	// maxReads is how often a damaged answer is read again before its task counts as failed. The
	// worker keeps the event, so a fault of the transfer is repaired by the next read.
	maxReads = 3
)

// Config holds the settings of an observer.
type Config struct {
	LiveList string        // LiveList is the IP address and port of the live list.
	Timeout  time.Duration // Timeout is the time for one read beyond its wait, 0 for 2 s.
	Metrics  *metrics.Set  // Metrics receives the counters; nil for none.
}

// Observer implements almondcross.LiveList and almondcross.WorkerObserver.
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

// New returns an observer; it connects with the first read.
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

// List returns the list and waits up to a time for a version other than the given one.
func (observer *Observer) List(
	ctx context.Context, known uint64, wait time.Duration,
) (almondcross.LiveHosts, error) {
	address := fmt.Sprintf("http://%s/v1/live?known=%d&wait_ms=%d", observer.liveList, known, wait.Milliseconds())
	var shape encoder.PlatformHosts
	err := observer.list.Do(ctx, wait, http.MethodGet, address, nil, &shape)
	if err == nil && shape.Version == 0 {
		err = errors.New("the answer has no version")
	}
	if err != nil {
		observer.failures.Inc()
		return almondcross.LiveHosts{}, errors.WithType(
			errors.Annotate(err, "read the live list"), almondcross.ErrLiveListUnreachable)
	}
	return shape.LiveHosts(), nil
}

// Events returns the ends of tasks after an index, which it acknowledges, and waits up to a time for
// the first one. An answer that stays damaged is returned as a failed result with the code truncated
// and no answer, so that it doesn't block the events behind it.
func (observer *Observer) Events(
	ctx context.Context, target almondcross.Target, term almondcross.Term, after uint64, wait time.Duration,
) ([]almondcross.WorkerEvent, error) {
	for reads := 1; ; reads++ {
		shapes, err := observer.readEvents(ctx, target, term, after, wait)
		if err != nil {
			return nil, err
		}
		whole := wholePrefix(shapes)
		switch {
		case whole == len(shapes):
			return observer.values(shapes), nil
		case whole > 0:
			// The damaged event is read again with the next call.
			return observer.values(shapes[:whole]), nil
		case reads == maxReads:
			observer.truncated.Inc()
			return observer.values(shapes[:1]), nil
		}
	}
}

func wholePrefix(shapes []encoder.WorkerEvent) int {
	for position, shape := range shapes {
		if !shape.Result.Whole() {
			return position
		}
	}
	return len(shapes)
}

func (observer *Observer) readEvents(
	ctx context.Context, target almondcross.Target, term almondcross.Term, after uint64, wait time.Duration,
) ([]encoder.WorkerEvent, error) {
	address := fmt.Sprintf("http://%s/v1/events?boot=%d&counter=%d&after=%d&wait_ms=%d",
		target.Address(), term.Boot(), term.Counter(), after, wait.Milliseconds())
	var shape encoder.WorkerEvents
	err := observer.workers.Do(ctx, wait, http.MethodGet, address, nil, &shape)
	if err == nil {
		return shape.Events, nil
	}
	observer.failures.Inc()
	kind := almondcross.ErrWorkerUnreachable
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && failure.Code == encoder.PlatformTermStale {
		kind = almondcross.ErrTermStale
	}
	return nil, errors.WithType(errors.Annotatef(err, "events of %s", target.Name()), kind)
}

func (observer *Observer) values(shapes []encoder.WorkerEvent) []almondcross.WorkerEvent {
	observer.events.Add(len(shapes))
	events := make([]almondcross.WorkerEvent, 0, len(shapes))
	for _, shape := range shapes {
		events = append(events, shape.Value())
	}
	return events
}
