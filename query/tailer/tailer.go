package tailer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

const (
	defaultLimit      = 500
	defaultWait       = 10 * time.Second
	defaultMinBackoff = 50 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
)

// Config holds the dependencies and settings of a Tailer.
type Config[T any] struct {
	Reader almondcross.LogReader // Reader reads the stream.
	Stream almondcross.Stream    // Stream is the stream to follow.
	From   almondcross.Offset    // From is the first offset to read.
	Sink   almondcross.Sink[T]   // Sink receives the decoded batches.
	// Decode converts a batch to a message and returns false if there is nothing to deliver. It must
	// handle records that cannot be decoded, since reading them again would not help.
	Decode func(batch almondcross.Batch) (T, bool)
	// OnTrimmed is called when the log no longer keeps an offset. It loads a checkpoint and returns
	// the offset at which to continue. After an error it is called again later.
	OnTrimmed  func(ctx context.Context, from almondcross.Offset) (almondcross.Offset, error)
	Limit      int            // Limit is the maximum number of records of a batch, 0 for 500.
	Wait       time.Duration  // Wait is the duration of a long poll, 0 for 10 s.
	MinBackoff time.Duration  // MinBackoff is the backoff after the first failure, 0 for 50 ms.
	MaxBackoff time.Duration  // MaxBackoff is the maximum backoff, 0 for 2 s.
	Metrics    *metrics.Set   // Metrics receives the counters; nil for none.
	Logger     *logrus.Logger // Logger receives state changes; nil for the standard logger.
}

// Tailer is the duty that follows one stream.
type Tailer[T any] struct {
	config     Config[T]
	logger     *logrus.Entry
	next       atomic.Int64
	end        atomic.Int64
	failures   int  // the failed attempts since the last success
	lossLogged bool // whether the log ended before the next offset at the last read

	batches, failed, trims *metrics.Counter
}

// New returns a tailer that follows its stream once Run is called. It returns an error if the configuration has
// no Reader, Sink, Decode or OnTrimmed.
func New[T any](config Config[T]) (*Tailer[T], error) {
	if config.Reader == nil || config.Sink == nil || config.Decode == nil || config.OnTrimmed == nil {
		return nil, errors.Errorf("the tailer of %s needs a Reader, a Sink, a Decode function and an OnTrimmed function", config.Stream)
	}
	config.Limit = orDefault(config.Limit, defaultLimit)
	config.Wait = orDefault(config.Wait, defaultWait)
	config.MinBackoff = orDefault(config.MinBackoff, defaultMinBackoff)
	config.MaxBackoff = orDefault(config.MaxBackoff, defaultMaxBackoff)
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	label := fmt.Sprintf("{stream=%q}", string(config.Stream))
	tailer := &Tailer[T]{
		config:  config,
		logger:  config.Logger.WithField("stream", config.Stream),
		batches: config.Metrics.GetOrCreateCounter("almondcross_tailer_batches_total" + label),
		failed:  config.Metrics.GetOrCreateCounter("almondcross_tailer_failures_total" + label),
		trims:   config.Metrics.GetOrCreateCounter("almondcross_tailer_trims_total" + label),
	}
	tailer.next.Store(int64(config.From))
	return tailer, nil
}

func orDefault[N int | time.Duration](value, fallback N) N {
	if value <= 0 {
		return fallback
	}
	return value
}

// Next returns the next offset to read; all records before it were put to the sink.
func (tailer *Tailer[T]) Next() almondcross.Offset { return almondcross.Offset(tailer.next.Load()) }

// End returns the offset after the last record of the stream as of the last read.
func (tailer *Tailer[T]) End() almondcross.Offset { return almondcross.Offset(tailer.end.Load()) }

// Run follows the stream until the context ends; it always returns nil.
func (tailer *Tailer[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := tailer.readBatch(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			tailer.succeed()
			continue
		}
		tailer.fail(err)
		tailer.backOff(ctx)
	}
	return nil
}

func (tailer *Tailer[T]) readBatch(ctx context.Context) error {
	from := tailer.Next()
	started := time.Now()
	batch, err := tailer.config.Reader.Read(ctx, tailer.config.Stream, from, tailer.config.Limit, tailer.config.Wait)
	if errors.Is(err, almondcross.ErrLogTrimmed) {
		return tailer.handleTrim(ctx, from)
	}
	if err != nil {
		return errors.Trace(err)
	}
	tailer.end.Store(int64(batch.End()))
	tailer.logLoss(batch.End() < from)
	if len(batch.Records()) == 0 {
		// Without this error, empty responses well before the end of the wait would make the duty spin.
		if time.Since(started) < tailer.config.Wait/2 {
			return errors.New("the log returned an empty response long before the end of a long poll")
		}
		return nil
	}
	if batch.Next() <= from {
		return errors.Errorf("the log responded to a read from %d with next offset %d", from, batch.Next())
	}
	if message, ok := tailer.config.Decode(batch); ok {
		if err := tailer.config.Sink.Put(ctx, message); err != nil {
			return errors.Trace(err)
		}
	}
	tailer.next.Store(int64(batch.Next()))
	tailer.batches.Inc()
	return nil
}

func (tailer *Tailer[T]) handleTrim(ctx context.Context, from almondcross.Offset) error {
	tailer.trims.Inc()
	tailer.logger.WithField("offset", from).Warn("the log no longer keeps the next offset")
	next, err := tailer.config.OnTrimmed(ctx, from)
	if err != nil {
		return errors.Annotate(err, "continuing after a trim")
	}
	if next <= from {
		return errors.Errorf("the log trimmed offset %d, but the checkpoint covers only records before %d", from, next)
	}
	tailer.next.Store(int64(next))
	return nil
}

// logLoss logs once that the log ends before the next offset, which means that it lost records.
func (tailer *Tailer[T]) logLoss(lost bool) {
	if lost && !tailer.lossLogged {
		tailer.logger.WithFields(logrus.Fields{"next": tailer.Next(), "end": tailer.End()}).
			Error("the log ends before the next offset")
	}
	tailer.lossLogged = lost
}

func (tailer *Tailer[T]) succeed() {
	if tailer.failures > 0 {
		tailer.logger.WithField("failures", tailer.failures).Info("the stream can be read again")
	}
	tailer.failures = 0
}

func (tailer *Tailer[T]) fail(err error) {
	tailer.failed.Inc()
	if tailer.failures == 0 {
		tailer.logger.WithError(err).Warn("the stream cannot be read")
	}
	tailer.failures++
}

// backOff waits for a random time between half of the backoff and all of it, so that the hosts of a cell do not
// all retry at the same time.
func (tailer *Tailer[T]) backOff(ctx context.Context) {
	backoff := tailer.config.MinBackoff
	for attempt := 1; attempt < tailer.failures && backoff < tailer.config.MaxBackoff; attempt++ {
		backoff *= 2
	}
	backoff = min(backoff, tailer.config.MaxBackoff)
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
