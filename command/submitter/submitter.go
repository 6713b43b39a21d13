package submitter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds one append. A slow store takes a quarter of a second.
	appendTimeout = 500 * time.Millisecond
	// forwardBackoff is the time for which nothing is forwarded after the scheduler did not answer.
	forwardBackoff = 400 * time.Millisecond
	// fastFailureLimit is the duration below which a failed append is retried once on another partition.
	fastFailureLimit = 150 * time.Millisecond
	// probeTimeout bounds a probe of a store that did not respond.
	probeTimeout = 300 * time.Millisecond
	// probeDelay is the delay before each probe.
	probeDelay = 200 * time.Millisecond
	// maxBatchIntakes is the maximum number of intakes in one append.
	maxBatchIntakes = 100
	// batchDelay is how long a batch waits for more intakes; it halves the number of appends at peak load.
	batchDelay = 2 * time.Millisecond
	// recordReserveBytes is the space that the records of an intake leave in one record, so that the journal can hold the job in
	// a batch with the settings of its queue.
	recordReserveBytes = 8 << 10
	// lengthBytes is the size of the length that precedes a record in an append.
	lengthBytes = 4
)

// Config holds the dependencies and settings of a submitter.
type Config struct {
	Writer     almondcross.StoreWriter
	Codec      almondcross.JournalCodec
	Clock      almondcross.Clock
	Log        almondcross.EventLog
	Topic      string // Topic is the topic of intakes.
	Partition  int    // Partition is the partition that this host uses first.
	Partitions int    // Partitions is the number of partitions.
	// RecordBytes is the maximum size of a record and CallBytes that of the records of one append, in bytes.
	RecordBytes, CallBytes int
	// Forward sends an intake to the scheduler's host and reports false when it could not be sent.
	Forward func(forwarded almondcross.IntakeForwarded) bool
	// Stored receives the answers to forwarded intakes.
	Stored *ring.Ring[almondcross.IntakeStored]
}

// Submission is an intake with the channel that receives its outcome.
type Submission struct {
	Intake  almondcross.Intake
	Outcome chan error // Outcome receives one value, nil for a stored intake; it needs a capacity of 1.
	// Decided is set by the submitter before it sends the intake, or by the caller to withdraw it; the first one decides.
	Decided *atomic.Bool
}

// Submitter is the duty that stores submissions.
type Submitter struct {
	config     Config
	partition  int
	lastNumber int64 // lastNumber is the number of the last forwarded intake.
	// forwardAfter is the time until which nothing is forwarded because the scheduler did not answer.
	forwardAfter time.Time
	storeErr     error      // storeErr is the error of the last append, nil while the store responds.
	probeResults chan error // probeResults receives the results of probes.
}

// New returns a submitter.
func New(config Config) *Submitter {
	return &Submitter{
		config: config, partition: config.Partition % config.Partitions, probeResults: make(chan error, 1),
		// Answers to intakes of an earlier process must not match those of this one.
		lastNumber: rand.Int64N(1 << 62), //nolint:gosec // The number needs no secrecy.
	}
}

// pending is a submission with its encoded records.
type pending struct {
	submission  Submission
	records     [][]byte
	maybeStored bool // maybeStored is set when the intake was sent and may have been stored.
}

// Run stores submissions until the context ends.
func (submitter *Submitter) Run(ctx context.Context, submissions *ring.Ring[Submission]) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-submitter.probeResults:
			submitter.handleProbe(ctx, err)
		case first := <-submissions.Messages():
			submitter.handleWaitingProbe(ctx) // The result shows whether the store answers again.
			batch := submitter.add(nil, first)
			if submitter.storeErr == nil && !ring.Pause(ctx, batchDelay) {
				return nil
			}
			submitter.store(ctx, submitter.fill(batch, submissions))
		}
	}
}

func (submitter *Submitter) fill(batch []pending, submissions *ring.Ring[Submission]) []pending {
	for len(batch) < maxBatchIntakes && size(batch) <= submitter.config.CallBytes-submitter.config.RecordBytes {
		select {
		case submission := <-submissions.Messages():
			batch = submitter.add(batch, submission)
		default:
			return batch
		}
	}
	return batch
}

// size returns the size of a batch in an append.
func size(batch []pending) int {
	size := 0
	for _, pending := range batch {
		for _, record := range pending.records {
			size += lengthBytes + len(record)
		}
	}
	return size
}

func (submitter *Submitter) add(batch []pending, submission Submission) []pending {
	if !submission.Decided.CompareAndSwap(false, true) {
		return batch // The caller has withdrawn it.
	}
	records, err := submitter.config.Codec.EncodeIntake(submission.Intake)
	if err != nil {
		submission.Outcome <- errors.WithType(err, almondcross.ErrNotStored)
		return batch
	}
	added := pending{submission: submission, records: records}
	if bytes := size([]pending{added}); bytes > submitter.config.RecordBytes-recordReserveBytes {
		submission.Outcome <- errors.Annotatef(almondcross.ErrTooLarge, "records of %d bytes", bytes)
		return batch
	}
	return append(batch, added)
}

// store forwards a batch to the scheduler, which stores it with the journal. Intakes that the scheduler does not
// confirm are appended to a partition of the intake topic; those that are not stored there either are refused.
func (submitter *Submitter) store(ctx context.Context, batch []pending) {
	if submitter.config.Clock.Now().After(submitter.forwardAfter) {
		if batch = submitter.forward(ctx, batch); len(batch) > 0 {
			submitter.forwardAfter = submitter.config.Clock.Now().Add(forwardBackoff)
		}
	}
	if submitter.storeErr == nil && len(batch) > 0 {
		started := submitter.config.Clock.Now()
		err := submitter.append(ctx, batch, appendTimeout)
		if err != nil && submitter.config.Clock.Now().Sub(started) < fastFailureLimit {
			err = submitter.append(ctx, batch, appendTimeout)
		}
		if err == nil {
			return
		}
		submitter.storeErr = err
		submitter.config.Log.Record("intake_store_lost", almondcross.Text("reason", err.Error()), almondcross.Number("intakes", len(batch)))
		go submitter.probe(ctx)
	}
	for _, pending := range batch {
		outcome := almondcross.ErrNotStored
		if pending.maybeStored {
			outcome = almondcross.ErrMaybeStored
		}
		pending.submission.Outcome <- errors.Annotate(outcome, submitter.storeErr.Error())
	}
}

// append appends a batch and answers its submissions. After an error other than a refusal it marks them as possibly
// stored. Any error switches to the next partition.
func (submitter *Submitter) append(ctx context.Context, batch []pending, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var records [][]byte
	for _, pending := range batch {
		records = append(records, pending.records...)
	}
	_, err := submitter.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: submitter.currentPartition(), Records: records,
	}))
	if err != nil {
		submitter.partition = (submitter.partition + 1) % submitter.config.Partitions
		for index := range batch {
			batch[index].maybeStored = batch[index].maybeStored || !errors.Is(err, almondcross.ErrStoreRefused)
		}
		return errors.Trace(err)
	}
	for _, pending := range batch {
		pending.submission.Outcome <- nil
	}
	return nil
}

func (submitter *Submitter) currentPartition() almondcross.Partition {
	return almondcross.Partition{Topic: submitter.config.Topic, Number: submitter.partition}
}

// probe sends one empty append to the store after a delay, to detect whether it accepts appends again. It runs in
// a separate goroutine, so that no caller waits for it.
func (submitter *Submitter) probe(ctx context.Context) {
	if !ring.Pause(ctx, probeDelay) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := submitter.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: almondcross.Partition{Topic: submitter.config.Topic, Number: submitter.config.Partition % submitter.config.Partitions},
	}))
	submitter.probeResults <- err
}

// handleWaitingProbe handles the result of a probe if one is available, without waiting.
func (submitter *Submitter) handleWaitingProbe(ctx context.Context) {
	select {
	case err := <-submitter.probeResults:
		submitter.handleProbe(ctx, err)
	default:
	}
}

func (submitter *Submitter) handleProbe(ctx context.Context, err error) {
	if err != nil {
		go submitter.probe(ctx)
		return
	}
	submitter.storeErr = nil
	submitter.config.Log.Record("intake_store_regained", almondcross.Number("partition", submitter.partition))
}
