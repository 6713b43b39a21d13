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
	// DefaultInterval limits a host to 50 appends a second per stream.
	DefaultInterval = 20 * time.Millisecond
	// DefaultProbeInterval is the time between two probes while the stream is down.
	DefaultProbeInterval = time.Second
	// DefaultTimeout is the time after which an append without a response has an unknown outcome.
	DefaultTimeout = 2 * time.Second
	// DefaultResolveTimeout bounds the reads and the retry that determine whether an append without a response took effect.
	DefaultResolveTimeout = 2 * time.Second
	// DefaultCapacity is the maximum number of queued requests.
	DefaultCapacity = 4096
	// DefaultMaxRecords is the maximum number of records in one append.
	DefaultMaxRecords = 1024
	// DefaultMaxBytes is the maximum size of one append in bytes; a single request may exceed it.
	DefaultMaxBytes = 1 << 20
)

// Config holds the dependencies and settings of an appender; a zero number selects its default.
type Config struct {
	Stream         almondcross.Stream
	Log            almondcross.LogAppender
	Reader         almondcross.LogReader
	Clock          almondcross.Clock
	Member         string // Member is the name of the host, used in the IDs of probes.
	Interval       time.Duration
	ProbeInterval  time.Duration
	Timeout        time.Duration
	ResolveTimeout time.Duration
	Capacity       int
	MaxRecords     int
	MaxBytes       int
	Metrics        *metrics.Set
	Logger         logrus.FieldLogger
}

// request is one call of Append or AppendWithOffset.
type request struct {
	records []almondcross.Record
	answer  func(offset almondcross.Offset, result almondcross.AppendResult)
}

// Appender is the duty that appends to one stream. Append, AppendWithOffset, Down and State may be called
// from any goroutine; the other state is used only by the goroutine of Run.
type Appender struct {
	config     Config
	ring       *ring.Ring[request]
	down       atomic.Bool
	counters   counters
	deferred   []request          // a request that did not fit into the last batch and starts the next one
	scanFrom   almondcross.Offset // the lowest offset at which records of an append without a response can be, -1 if not known
	lastSent   time.Time          // the time of the last append
	probeCount uint64
	lastErr    error // the error of the last failed append
}

type counters struct {
	appends, records, bytes, failures, resolved, uncertain *metrics.Counter
}

// New returns an appender of one stream.
func New(config Config) *Appender {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.ProbeInterval = orDefault(config.ProbeInterval, DefaultProbeInterval)
	config.Timeout = orDefault(config.Timeout, DefaultTimeout)
	config.ResolveTimeout = orDefault(config.ResolveTimeout, DefaultResolveTimeout)
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
		scanFrom: -1,
		counters: counters{
			appends:   config.Metrics.NewCounter("almondcross_appends_total" + label),
			records:   config.Metrics.NewCounter("almondcross_append_records_total" + label),
			bytes:     config.Metrics.NewCounter("almondcross_append_bytes_total" + label),
			failures:  config.Metrics.NewCounter("almondcross_append_failures_total" + label),
			resolved:  config.Metrics.NewCounter("almondcross_append_settled_total" + label),
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
			message.Answer()(almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{IDs: ids, Result: result}))
		},
	})
}

// AppendWithOffset queues one record and passes its offset to answer. It reports false when the queue is full or
// the log is known to be down.
func (appender *Appender) AppendWithOffset(
	record almondcross.Record, answer func(offset almondcross.Offset, result almondcross.AppendResult),
) bool {
	return appender.offer(request{records: []almondcross.Record{record}, answer: answer})
}

func (appender *Appender) offer(message request) bool {
	return !appender.Down() && appender.ring.Offer(message)
}

// Down reports whether the stream is marked as down. It stays down after Run has returned.
func (appender *Appender) Down() bool { return appender.down.Load() }

// State returns the state of the appender's ring.
func (appender *Appender) State() almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: appender.ring.Name(), Depth: appender.ring.Depth(),
		Capacity: appender.ring.Capacity(), Refused: appender.ring.Refused(),
	})
}

// Run appends batches until the context ends. It then appends the batch that it has collected and refuses the other
// queued requests.
func (appender *Appender) Run(ctx context.Context) error {
	appender.findEnd(ctx)
	for ctx.Err() == nil {
		if appender.Down() {
			appender.refuseQueued()
			appender.probe(ctx)
			continue
		}
		batch := appender.collect(ctx)
		if ctx.Err() != nil {
			appender.writeLast(ctx, batch)
			break
		}
		appender.write(ctx, batch)
	}
	appender.down.Store(true)
	appender.refuseQueued()
	return nil
}

// findEnd reads the end offset of the stream, so that a lost response is resolved without reading the whole stream.
func (appender *Appender) findEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.Timeout)
	defer cancel()
	if _, end, err := appender.config.Reader.End(ctx, appender.config.Stream); err == nil {
		appender.scanFrom = end
	}
}

// collect waits for a request and for the end of the interval, and returns the requests that fit into one append.
func (appender *Appender) collect(ctx context.Context) []request {
	batch := appender.deferred
	appender.deferred = nil
	if len(batch) == 0 {
		select {
		case message := <-appender.ring.Messages():
			batch = append(batch, message)
		case <-ctx.Done():
			return nil
		}
	}
	records, bytes := size(batch)
	wait := appender.lastSent.Add(appender.config.Interval).Sub(appender.config.Clock.Now())
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
			appender.deferred = []request{message}
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

// writeLast appends the last batch, within the timeout, after the context has ended.
func (appender *Appender) writeLast(ctx context.Context, batch []request) {
	if len(batch) == 0 {
		return
	}
	appender.write(context.WithoutCancel(ctx), batch)
}

// write appends a batch and answers its requests.
func (appender *Appender) write(ctx context.Context, batch []request) {
	first, result := appender.append(ctx, flatten(batch))
	switch result {
	case almondcross.AppendAccepted:
		answerAccepted(batch, first)
	case almondcross.AppendRefused:
		answerAll(batch, result)
	default:
		appender.resolveUncertain(ctx, batch)
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

func answerAccepted(batch []request, first almondcross.Offset) {
	for _, message := range batch {
		message.answer(first, almondcross.AppendAccepted)
		first += almondcross.Offset(len(message.records))
	}
}

func answerAll(batch []request, result almondcross.AppendResult) {
	for _, message := range batch {
		message.answer(-1, result)
	}
}

// append sends one append and updates the state of the stream. An append without a response does not mark the
// stream as down before the stream has been read: the record may have been stored, and an operator who has seen
// it in the stream must not get a report that the log is down.
func (appender *Appender) append(
	ctx context.Context, records []almondcross.Record,
) (almondcross.Offset, almondcross.AppendResult) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.Timeout)
	defer cancel()
	appender.lastSent = appender.config.Clock.Now()
	appender.counters.appends.Inc()
	first, err := appender.config.Log.Append(ctx, appender.config.Stream, records)
	if err != nil {
		appender.counters.failures.Inc()
		appender.lastErr = err
		if resultOf(err) == almondcross.AppendRefused {
			appender.setDown(true, err)
		}
		return -1, resultOf(err)
	}
	appender.counters.records.Add(len(records))
	for _, record := range records {
		appender.counters.bytes.Add(len(record.Body()))
	}
	appender.scanFrom = first + almondcross.Offset(len(records))
	appender.setDown(false, nil)
	return first, almondcross.AppendAccepted
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

// refuseQueued refuses the queued requests; none of their records were sent.
func (appender *Appender) refuseQueued() {
	answerAll(appender.deferred, almondcross.AppendRefused)
	appender.deferred = nil
	for {
		select {
		case message := <-appender.ring.Messages():
			message.answer(-1, almondcross.AppendRefused)
		default:
			return
		}
	}
}
