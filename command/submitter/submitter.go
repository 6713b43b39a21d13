package submitter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 700 * time.Millisecond
	// retryPause is the pause before a failed append is repeated.
	retryPause = 60 * time.Millisecond
	// batchIntakes is the most intakes of one append.
	batchIntakes = 100
	// gather is how long an append waits for more intakes; it halves the appends at the crest.
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
}

// Submission is an intake with the channel of its outcome.
type Submission struct {
	Intake   almondcross.Intake
	Deadline time.Time  // Deadline is when the caller must be answered.
	Outcome  chan error // Outcome takes one value and needs a capacity of 1.
}

// Submitter stores submissions.
type Submitter struct {
	config    Config
	partition int
}

// New returns a submitter.
func New(config Config) *Submitter {
	return &Submitter{config: config, partition: config.Partition % config.Partitions}
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
		case first := <-submissions.Messages():
			batch := submitter.add(nil, first)
			if !ring.Pause(ctx, gather) {
				return nil
			}
			batch = submitter.fill(batch, submissions)
			for len(batch) > 0 && ctx.Err() == nil {
				batch = submitter.store(ctx, batch)
				batch = submitter.fill(batch, submissions)
			}
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
	record, err := submitter.config.Codec.EncodeIntake(submission.Intake)
	if err != nil {
		submission.Outcome <- errors.WithType(err, almondcross.ErrNotStored)
		return batch
	}
	return append(batch, pending{submission: submission, record: record})
}

// store appends a batch and returns what is left to store.
func (submitter *Submitter) store(ctx context.Context, batch []pending) []pending {
	records := make([][]byte, len(batch))
	for index, pending := range batch {
		records[index] = pending.record
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	partition := almondcross.Partition{Topic: submitter.config.Topic, Number: submitter.partition}
	_, err := submitter.config.Writer.Append(limited, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
		Partition: partition, Records: records,
	}))
	if err == nil {
		for _, pending := range batch {
			pending.submission.Outcome <- nil
		}
		return nil
	}
	submitter.config.Log.Record("intake_append_failed", almondcross.Number("partition", partition.Number),
		almondcross.Number("intakes", len(batch)), almondcross.Text("reason", err.Error()))
	submitter.partition = (submitter.partition + 1) % submitter.config.Partitions
	maybe := !errors.Is(err, almondcross.ErrStoreRefused)
	left := batch[:0]
	for _, pending := range batch {
		pending.maybe = pending.maybe || maybe
		if submitter.config.Clock.Now().Add(retryPause).Before(pending.submission.Deadline) {
			left = append(left, pending)
			continue
		}
		if pending.maybe {
			pending.submission.Outcome <- errors.Annotate(almondcross.ErrMaybeStored, err.Error())
		} else {
			pending.submission.Outcome <- errors.Annotate(almondcross.ErrNotStored, err.Error())
		}
	}
	ring.Pause(ctx, retryPause)
	return left
}
