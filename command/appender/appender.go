package appender

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Defaults of the configuration.
const (
	// DefaultInterval bounds a host to 50 appends a second per stream.
	DefaultInterval = 20 * time.Millisecond
	// DefaultProbeInterval is the time between two probes while the log is down.
	DefaultProbeInterval = time.Second
	// DefaultTimeout is the time after which the answer to an append counts as lost.
	DefaultTimeout = 2 * time.Second
	// DefaultSettleLimit is the time for finding out whether an unanswered append took effect.
	DefaultSettleLimit = 2 * time.Second
	// DefaultCapacity is the number of requests that wait for an append.
	DefaultCapacity = 4096
	// DefaultMaxRecords is the most records in one append.
	DefaultMaxRecords = 1024
	// DefaultMaxBytes is the most bytes in one append; one record may exceed it.
	DefaultMaxBytes = 1 << 20
)

// Config holds the parts of an appender; zero numbers stand for the defaults.
type Config struct {
	Stream        almondcross.Stream
	Log           almondcross.LogAppender
	Reader        almondcross.LogReader
	Clock         almondcross.Clock
	Member        string // Member is the name of the host, used in the ids of probes.
	Interval      time.Duration
	ProbeInterval time.Duration
	Timeout       time.Duration
	SettleLimit   time.Duration
	Capacity      int
	MaxRecords    int
	MaxBytes      int
	Metrics       *metrics.Set
	Logger        logrus.FieldLogger
}

// request is what a duty asked to append.
type request struct {
	records []almondcross.Record
	answer  func(offset almondcross.Offset, result almondcross.AppendResult)
}

// Appender is the duty that appends to one stream. Append, AppendLocated and Down may be called
// from any goroutine; everything else belongs to Run.
type Appender struct {
	config  Config
	ring    *ring.Ring[request]
	down    atomic.Bool
	counts  counts
	carried []request          // a request that did not fit into the last batch
	floor   almondcross.Offset // the first offset at which unsettled records can be, -1 when not known
	started time.Time          // the time at which the last append was sent
	probes  uint64
	failure error // the failure of the last append that failed
}

type counts struct {
	appends, records, bytes, failures, settled, uncertain *metrics.Counter
}

// New returns an appender of one stream.
func New(config Config) *Appender {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.ProbeInterval = orDefault(config.ProbeInterval, DefaultProbeInterval)
	config.Timeout = orDefault(config.Timeout, DefaultTimeout)
	config.SettleLimit = orDefault(config.SettleLimit, DefaultSettleLimit)
	config.Capacity = orDefault(config.Capacity, DefaultCapacity)
	config.MaxRecords = orDefault(config.MaxRecords, DefaultMaxRecords)
	config.MaxBytes = orDefault(config.MaxBytes, DefaultMaxBytes)
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	label := `{stream="` + string(config.Stream) + `"}`
	appender := &Appender{
		config: config,
		ring: ring.New[request](ring.Config{
			Name: "appender." + string(config.Stream), Capacity: config.Capacity, Metrics: config.Metrics,
		}),
		floor: -1,
		counts: counts{
			appends:   config.Metrics.NewCounter("almondcross_appends_total" + label),
			records:   config.Metrics.NewCounter("almondcross_append_records_total" + label),
			bytes:     config.Metrics.NewCounter("almondcross_append_bytes_total" + label),
			failures:  config.Metrics.NewCounter("almondcross_append_failures_total" + label),
			settled:   config.Metrics.NewCounter("almondcross_append_settled_total" + label),
			uncertain: config.Metrics.NewCounter("almondcross_append_uncertain_total" + label),
		},
	}
	config.Metrics.NewGauge("almondcross_log_down"+label, func() float64 {
		if appender.Down() {
			return 1
		}
		return 0
	})
	return appender
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Append queues records and reports false when the queue is full or the log is known to be down.
func (appender *Appender) Append(message almondcross.AppendRecords) bool {
	ids := make([]string, 0, len(message.Records()))
	for _, record := range message.Records() {
		ids = append(ids, record.ID())
	}
	return appender.offer(request{
		records: message.Records(),
		answer: func(_ almondcross.Offset, result almondcross.AppendResult) {
			message.Answer()(almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{IDs: ids, Outcome: result}))
		},
	})
}

// AppendLocated queues one record whose offset the answer tells.
func (appender *Appender) AppendLocated(
	record almondcross.Record, answer func(offset almondcross.Offset, result almondcross.AppendResult),
) bool {
	return appender.offer(request{records: []almondcross.Record{record}, answer: answer})
}

func (appender *Appender) offer(message request) bool {
	return !appender.Down() && appender.ring.Offer(message)
}

// Down reports whether the last append failed.
func (appender *Appender) Down() bool { return appender.down.Load() }

// State returns the state of the appender's ring.
func (appender *Appender) State() almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: appender.ring.Name(), Depth: appender.ring.Depth(),
		Capacity: appender.ring.Capacity(), Refused: appender.ring.Refused(),
	})
}

// Run appends until the context ends, and then once more what is queued by then.
func (appender *Appender) Run(ctx context.Context) error {
	appender.findFloor(ctx)
	for ctx.Err() == nil {
		if appender.Down() {
			appender.refuseQueued()
			appender.probe(ctx)
			continue
		}
		batch := appender.collect(ctx)
		if ctx.Err() != nil {
			appender.finish(ctx, batch)
			break
		}
		appender.write(ctx, batch)
	}
	appender.down.Store(true)
	appender.refuseQueued()
	return nil
}

// findFloor learns the end of the stream, so that a lost answer is settled without reading all of it.
func (appender *Appender) findFloor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.Timeout)
	defer cancel()
	if _, end, err := appender.config.Reader.End(ctx, appender.config.Stream); err == nil {
		appender.floor = end
	}
}

// collect waits for a request and for the end of the interval, and returns what fits into one append.
func (appender *Appender) collect(ctx context.Context) []request {
	batch := appender.carried
	appender.carried = nil
	if len(batch) == 0 {
		select {
		case message := <-appender.ring.Messages():
			batch = append(batch, message)
		case <-ctx.Done():
			return nil
		}
	}
	records, bytes := size(batch)
	wait := appender.started.Add(appender.config.Interval).Sub(appender.config.Clock.Now())
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		var message request
		select {
		case message = <-appender.ring.Messages():
		default:
			select {
			case message = <-appender.ring.Messages():
			case <-timer.C:
				return batch
			case <-ctx.Done():
				return batch
			}
		}
		moreRecords, moreBytes := size([]request{message})
		records, bytes = records+moreRecords, bytes+moreBytes
		if records > appender.config.MaxRecords || bytes > appender.config.MaxBytes {
			appender.carried = []request{message}
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			return batch
		}
		batch = append(batch, message)
	}
}

func size(batch []request) (records, bytes int) {
	for _, message := range batch {
		records += len(message.records)
		for _, record := range message.records {
			bytes += len(record.Body()) + len(record.ID())
		}
	}
	return records, bytes
}

// finish appends a last batch within the timeout although the context ended.
func (appender *Appender) finish(ctx context.Context, batch []request) {
	if len(batch) == 0 {
		return
	}
	appender.write(context.WithoutCancel(ctx), batch)
}

// write appends a batch and answers its requests.
func (appender *Appender) write(ctx context.Context, batch []request) {
	first, result := appender.append(ctx, flatten(batch))
	switch result {
	case almondcross.AppendTaken:
		answerTaken(batch, first)
	case almondcross.AppendRefused:
		answerAll(batch, result)
	default:
		appender.settle(ctx, batch)
	}
}

func flatten(batch []request) []almondcross.Record {
	records, _ := size(batch)
	list := make([]almondcross.Record, 0, records)
	for _, message := range batch {
		list = append(list, message.records...)
	}
	return list
}

func answerTaken(batch []request, first almondcross.Offset) {
	for _, message := range batch {
		message.answer(first, almondcross.AppendTaken)
		first += almondcross.Offset(len(message.records))
	}
}

func answerAll(batch []request, result almondcross.AppendResult) {
	for _, message := range batch {
		message.answer(-1, result)
	}
}

// append sends one append and keeps the state of the stream. An append without an answer does not show
// that the log is down before the stream was read: the record may be there, and an operator who has seen
// it must not be told next that the log is down.
func (appender *Appender) append(
	ctx context.Context, records []almondcross.Record,
) (almondcross.Offset, almondcross.AppendResult) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.Timeout)
	defer cancel()
	appender.started = appender.config.Clock.Now()
	appender.counts.appends.Inc()
	first, err := appender.config.Log.Append(ctx, appender.config.Stream, records)
	if err != nil {
		appender.counts.failures.Inc()
		appender.failure = err
		if resultOf(err) == almondcross.AppendRefused {
			appender.setDown(true, err)
		}
		return -1, resultOf(err)
	}
	appender.counts.records.Add(len(records))
	for _, record := range records {
		appender.counts.bytes.Add(len(record.Body()))
	}
	appender.floor = first + almondcross.Offset(len(records))
	appender.setDown(false, nil)
	return first, almondcross.AppendTaken
}

func (appender *Appender) setDown(down bool, err error) {
	if appender.down.Swap(down) == down {
		return
	}
	logger := appender.config.Logger.WithField("stream", appender.config.Stream)
	if down {
		logger.WithError(err).Warn("log stream is down")
		return
	}
	logger.Info("log stream is up")
}

// refuseQueued answers requests that were queued before the stream went down; nothing was sent for them.
func (appender *Appender) refuseQueued() {
	answerAll(appender.carried, almondcross.AppendRefused)
	appender.carried = nil
	for {
		select {
		case message := <-appender.ring.Messages():
			message.answer(-1, almondcross.AppendRefused)
		default:
			return
		}
	}
}
