package submitter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// maxBatchIntakes is the maximum number of intakes in one batch.
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
	// IntakeBytes is the memory in bytes of the jobs that all hosts together may store in the intake before the scheduler has read them,
	// 0 for no limit.
	IntakeBytes int64
	// Hosts returns the number of hosts that share IntakeBytes, as far as this host knows, nil for one.
	Hosts func() int
	// Forward sends an intake to the scheduler's host and reports false when it could not be sent.
	Forward func(forwarded almondcross.IntakeForwarded) bool
	// Stored receives the answers to forwarded intakes.
	Stored *ring.Ring[almondcross.IntakeStored]
}

// Submitter is the duty that stores submissions.
type Submitter struct {
	config    Config
	forwarder forwarder
	appender  appender
	batch     []*pending  // batch holds the intakes that wait for batchDelay.
	timer     *time.Timer // timer wakes the duty for the batch and for forwarded intakes without an answer.
	batchDue  time.Time   // batchDue is when the batch is sent on, zero without one.
}

// New returns a submitter.
func New(config Config) *Submitter {
	return &Submitter{
		config:    config,
		forwarder: newForwarder(rand.Int64N(1 << 62)), //nolint:gosec // The number needs no secrecy.
		appender:  newAppender(config),
	}
}

// Run stores submissions until the context ends.
func (submitter *Submitter) Run(ctx context.Context, submissions *ring.Ring[Submission]) error {
	submitter.timer = time.NewTimer(0)
	defer submitter.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case result := <-submitter.appender.results:
			submitter.handleAppended(ctx, result)
		case err := <-submitter.appender.probes:
			submitter.handleProbe(ctx, err)
		case answer := <-submitter.config.Stored.Messages():
			submitter.forwarder.confirm(answer, submitter.config.Clock.Now())
		case submission := <-submissions.Messages():
			submitter.handleWaitingProbe(ctx) // The result shows whether the store answers again.
			submitter.add(submission)
		case <-submitter.timer.C:
		}
		submitter.advance(ctx)
	}
}

// advance sends on what is due and sets the timer.
func (submitter *Submitter) advance(ctx context.Context) {
	now := submitter.config.Clock.Now()
	if len(submitter.batch) > 0 && (len(submitter.batch) >= maxBatchIntakes || !now.Before(submitter.batchDue)) {
		batch := submitter.batch
		submitter.batch = nil
		submitter.storeUnread(submitter.forwarder.forward(batch, submitter.config.Forward, now), now)
	}
	submitter.storeUnread(submitter.forwarder.expire(now), now)
	submitter.startAppend(ctx)
	next, due := submitter.forwarder.nextExpiry()
	if len(submitter.batch) > 0 && (!due || submitter.batchDue.Before(next)) {
		next, due = submitter.batchDue, true
	}
	if due {
		submitter.timer.Reset(max(next.Sub(now), 0))
	}
}

// storeUnread has the appender store intakes that the scheduler has not confirmed, and refuses those beyond the limit on what it may
// not have read. The outcome of one that was sent to the scheduler stays unknown.
func (submitter *Submitter) storeUnread(batch []*pending, now time.Time) {
	var stored []*pending
	limit := submitter.config.IntakeBytes
	if submitter.config.Hosts != nil {
		limit /= int64(max(submitter.config.Hosts(), 1))
	}
	for _, pending := range batch {
		switch {
		case submitter.forwarder.unread.take(pending.submission.Intake.Job(), limit, now):
			stored = append(stored, pending)
		case !pending.claim() || pending.answered:
		case pending.maybeStored:
			pending.answer(errors.Annotate(almondcross.ErrMaybeStored, "the scheduler has not answered"))
		default:
			pending.answer(noRoom(minRetryAfter))
		}
	}
	submitter.appender.enqueue(stored)
}

// add encodes a submission and adds it to the batch, or answers it if it cannot be stored.
func (submitter *Submitter) add(submission Submission) {
	if err := submitter.forwarder.refusals.errorFor(submission.Intake, submitter.config.Clock.Now()); err != nil {
		refused := &pending{submission: submission}
		if refused.claim() {
			refused.answer(err)
		}
		return
	}
	records, err := submitter.config.Codec.EncodeIntake(submission.Intake)
	if err == nil {
		if bytes := recordsSize(records); bytes > submitter.config.RecordBytes-recordReserveBytes {
			err = errors.Annotatef(almondcross.ErrTooLarge, "records of %d bytes", bytes)
		}
	} else {
		err = errors.WithType(err, almondcross.ErrNotStored)
	}
	added := &pending{submission: submission, records: records}
	if err != nil {
		if added.claim() {
			added.answer(err)
		}
		return
	}
	if len(submitter.batch) == 0 {
		submitter.batchDue = submitter.config.Clock.Now().Add(batchDelay)
	}
	submitter.batch = append(submitter.batch, added)
}

// recordsSize returns the size of records in an append.
func recordsSize(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += lengthBytes + len(record)
	}
	return size
}
