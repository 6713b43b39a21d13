package submitter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds one append. A slow store takes a quarter of a second.
	appendTimeout = 500 * time.Millisecond
	// fastFailureLimit is the duration below which a failed append is retried once on another partition.
	fastFailureLimit = 150 * time.Millisecond
	// probeTimeout bounds a probe of a store that did not respond: a store that is slow, but takes appends in time, is not lost.
	probeTimeout = appendTimeout
	// probeDelay is the delay before each probe.
	probeDelay = 200 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to return. It grows with the time
	// for which the store has been lost: an outage that has lasted long ends later than one that has just begun, and callers
	// give up after a few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

// appender appends intakes to a partition of the intake topic, one batch at a time.
type appender struct {
	config    Config
	partition int
	queued    []*pending    // queued holds the intakes that wait for the append in flight.
	inflight  []*pending    // inflight holds the intakes of the append in flight, nil for none.
	results   chan appended // results receives the result of the append in flight.
	probes    chan error    // probes receives the results of probes.
	storeErr  error         // storeErr is the error of the last append, nil while the store responds.
	lostAt    time.Time     // lostAt is when the store was lost.
}

// appended is the result of an append.
type appended struct {
	err  error
	took time.Duration
	// again is set if the append was the second attempt.
	again bool
}

func newAppender(config Config) appender {
	return appender{
		config: config, partition: config.Partition % config.Partitions,
		results: make(chan appended, 1), probes: make(chan error, 1),
	}
}

// enqueue adds intakes to those that wait for an append.
func (appender *appender) enqueue(batch []*pending) {
	appender.queued = append(appender.queued, batch...)
}

// startAppend appends the next batch unless an append is in flight. While the store is lost, it refuses the intakes instead.
func (submitter *Submitter) startAppend(ctx context.Context) {
	appender := &submitter.appender
	if appender.storeErr != nil {
		appender.refuse(appender.queued, submitter.config.Clock.Now())
		appender.queued = nil
		return
	}
	if appender.inflight != nil {
		return
	}
	if appender.inflight = appender.takeBatch(); appender.inflight != nil {
		go appender.append(ctx, appender.currentPartition(), appender.inflight, false)
	}
}

// takeBatch removes and returns the first queued intakes that are still wanted, as many as fit in an append.
func (appender *appender) takeBatch() []*pending {
	var batch []*pending
	size := 0
	for len(appender.queued) > 0 && len(batch) < maxBatchIntakes {
		next := appender.queued[0]
		size += recordsSize(next.records)
		if len(batch) > 0 && size > appender.config.CallBytes {
			break
		}
		appender.queued = appender.queued[1:]
		if !next.answered && next.claim() {
			batch = append(batch, next)
		}
	}
	return batch
}

// append appends a batch to a partition and reports the result.
func (appender *appender) append(ctx context.Context, partition almondcross.Partition, batch []*pending, again bool) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var records [][]byte
	for _, pending := range batch {
		records = append(records, pending.records...)
	}
	started := appender.config.Clock.Now()
	_, err := appender.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{Partition: partition, Records: records}))
	appender.results <- appended{err: errors.Trace(err), took: appender.config.Clock.Now().Sub(started), again: again}
}

// handleAppended answers the callers of an append. Any error switches to the next partition; after a quick one the append is
// tried there once.
func (submitter *Submitter) handleAppended(ctx context.Context, result appended) {
	appender := &submitter.appender
	batch := appender.inflight
	appender.inflight = nil
	if result.err == nil {
		for _, pending := range batch {
			pending.answer(nil)
		}
		return
	}
	appender.partition = (appender.partition + 1) % appender.config.Partitions
	for _, pending := range batch {
		pending.maybeStored = pending.maybeStored || !errors.Is(result.err, almondcross.ErrStoreRefused)
	}
	if !result.again && result.took < fastFailureLimit {
		appender.inflight = batch
		go appender.append(ctx, appender.currentPartition(), batch, true)
		return
	}
	now := submitter.config.Clock.Now()
	appender.storeErr, appender.lostAt = result.err, now
	submitter.config.Log.Record("intake_store_lost", almondcross.Text("reason", result.err.Error()), almondcross.Number("intakes", len(batch)))
	go appender.probe(ctx)
	appender.refuse(batch, now)
}

// refuse answers callers whose intakes were not stored, or may have been.
func (appender *appender) refuse(batch []*pending, now time.Time) {
	after := min(max(now.Sub(appender.lostAt), minRetryAfter), maxRetryAfter)
	for _, pending := range batch {
		if pending.answered || !pending.claim() {
			continue
		}
		if pending.maybeStored {
			pending.answer(errors.Annotate(almondcross.ErrMaybeStored, appender.storeErr.Error()))
			continue
		}
		pending.answer(almondcross.NewNotStoredError(errors.Annotate(almondcross.ErrNotStored, appender.storeErr.Error()), after))
	}
}

func (appender *appender) currentPartition() almondcross.Partition {
	return almondcross.Partition{Topic: appender.config.Topic, Number: appender.partition}
}

// probe sends one empty append to the store after a delay, to detect whether it accepts appends again. It runs in
// a separate goroutine, so that no caller waits for it.
func (appender *appender) probe(ctx context.Context) {
	if !ring.Pause(ctx, probeDelay) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := appender.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: almondcross.Partition{Topic: appender.config.Topic, Number: appender.config.Partition % appender.config.Partitions},
	}))
	appender.probes <- err
}

// handleWaitingProbe handles the result of a probe if one is available, without waiting.
func (submitter *Submitter) handleWaitingProbe(ctx context.Context) {
	select {
	case err := <-submitter.appender.probes:
		submitter.handleProbe(ctx, err)
	default:
	}
}

func (submitter *Submitter) handleProbe(ctx context.Context, err error) {
	appender := &submitter.appender
	if err != nil {
		go appender.probe(ctx)
		return
	}
	appender.storeErr = nil
	submitter.config.Log.Record("intake_store_regained", almondcross.Number("partition", appender.partition))
}
