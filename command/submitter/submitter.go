package submitter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds one append. A slow store takes a quarter of a second.
	appendTimeout = 500 * time.Millisecond
	// linkRest is the time in which nothing is forwarded after the scheduler did not answer.
	linkRest = 400 * time.Millisecond
	// quickFailure is the time within which a failed append is repeated once at another partition.
	quickFailure = 150 * time.Millisecond
	// probeTimeout bounds a probe of a store that did not answer.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two probes.
	probePause = 200 * time.Millisecond
	// batchIntakes is the most intakes of one append.
	batchIntakes = 100
	// gather is how long an append waits for more intakes; it halves the appends at peak load.
	gather = 2 * time.Millisecond
)

// Config holds what a submitter needs.
type Config struct {
	Writer     almondcross.StoreWriter
	Codec      almondcross.JournalCodec
	Clock      almondcross.Clock
	Log        almondcross.EventLog
	Topic      string // Topic is the topic of the intake.
	Partition  int    // Partition is the partition that this host uses first.
	Partitions int    // Partitions is the number of partitions.
	// Forward sends an intake to the scheduler's host and reports false when there is no link.
	Forward func(forwarded almondcross.IntakeForwarded) bool
	// Stored takes the answers to forwarded intakes.
	Stored *ring.Ring[almondcross.IntakeStored]
}

// Submission is an intake with the channel of its outcome.
type Submission struct {
	Intake  almondcross.Intake
	Outcome chan error // Outcome takes one value and needs a capacity of 1.
	// Taken is set by the submitter before anything is sent, or by the caller who withdraws.
	Taken *atomic.Bool
}

// Submitter stores submissions.
type Submitter struct {
	config    Config
	partition int
	number    int64 // number is that of the last forwarded intake.
	// linkRestAt is until when nothing is forwarded after the scheduler did not answer.
	linkRestAt time.Time
	down       error      // down is the failure of the last append, nil after a success.
	probes     chan error // probes takes the results of probes.
}

// New returns a submitter.
func New(config Config) *Submitter {
	return &Submitter{config: config, partition: config.Partition % config.Partitions, probes: make(chan error, 1)}
}

// pending is a submission with what is known of it.
type pending struct {
	submission Submission
	record     []byte
	maybe      bool // maybe tells that an append with it had no answer.
}

// Run stores submissions until the context ends.
func (submitter *Submitter) Run(ctx context.Context, submissions *ring.Ring[Submission]) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-submitter.probes:
			submitter.probed(ctx, err)
		case first := <-submissions.Messages():
			batch := submitter.add(nil, first)
			if submitter.down == nil && !ring.Pause(ctx, gather) {
				return nil
			}
			submitter.store(ctx, submitter.fill(batch, submissions))
		}
	}
}

func (submitter *Submitter) fill(batch []pending, submissions *ring.Ring[Submission]) []pending {
	for len(batch) < batchIntakes {
		select {
		case submission := <-submissions.Messages():
			batch = submitter.add(batch, submission)
		default:
			return batch
		}
	}
	return batch
}

func (submitter *Submitter) add(batch []pending, submission Submission) []pending {
	if !submission.Taken.CompareAndSwap(false, true) {
		return batch // Its caller was refused meanwhile.
	}
	record, err := submitter.config.Codec.EncodeIntake(submission.Intake)
	if err != nil {
		submission.Outcome <- errors.WithType(err, almondcross.ErrNotStored)
		return batch
	}
	return append(batch, pending{submission: submission, record: record})
}

// store hands a batch to the scheduler, which stores it with the journal. What it does not answer for is
// appended to the intake, and the rest is refused.
func (submitter *Submitter) store(ctx context.Context, batch []pending) {
	if submitter.config.Clock.Now().After(submitter.linkRestAt) {
		if batch = submitter.forward(ctx, batch); len(batch) > 0 {
			submitter.linkRestAt = submitter.config.Clock.Now().Add(linkRest)
		}
	}
	if submitter.down == nil && len(batch) > 0 {
		started := submitter.config.Clock.Now()
		err := submitter.append(ctx, batch, appendTimeout)
		if err != nil && submitter.config.Clock.Now().Sub(started) < quickFailure {
			err = submitter.append(ctx, batch, appendTimeout)
		}
		if err == nil {
			return
		}
		submitter.down = err
		submitter.config.Log.Record("intake_store_lost", almondcross.Text("reason", err.Error()), almondcross.Number("intakes", len(batch)))
		go submitter.probe(ctx)
	}
	for _, waiting := range batch {
		outcome := almondcross.ErrNotStored
		if waiting.maybe {
			outcome = almondcross.ErrMaybeStored
		}
		waiting.submission.Outcome <- errors.Annotate(outcome, submitter.down.Error())
	}
}

// append stores a batch and answers it, or notes what may have become of it.
func (submitter *Submitter) append(ctx context.Context, batch []pending, timeout time.Duration) error {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	records := make([][]byte, len(batch))
	for index, pending := range batch {
		records[index] = pending.record
	}
	_, err := submitter.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: submitter.target(), Records: records,
	}))
	if err != nil {
		submitter.partition = (submitter.partition + 1) % submitter.config.Partitions
		for index := range batch {
			batch[index].maybe = batch[index].maybe || !errors.Is(err, almondcross.ErrStoreRefused)
		}
		return errors.Trace(err)
	}
	for _, pending := range batch {
		pending.submission.Outcome <- nil
	}
	return nil
}

func (submitter *Submitter) target() almondcross.Partition {
	return almondcross.Partition{Topic: submitter.config.Topic, Number: submitter.partition}
}

// probe asks the store once whether it takes appends again, without holding a caller up for it.
func (submitter *Submitter) probe(ctx context.Context) {
	if !ring.Pause(ctx, probePause) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := submitter.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: almondcross.Partition{Topic: submitter.config.Topic, Number: submitter.config.Partition % submitter.config.Partitions},
	}))
	submitter.probes <- err
}

func (submitter *Submitter) probed(ctx context.Context, err error) {
	if err != nil {
		go submitter.probe(ctx)
		return
	}
	submitter.down = nil
	submitter.config.Log.Record("intake_store_regained", almondcross.Number("partition", submitter.partition))
}
