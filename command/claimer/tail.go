package claimer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/retrier"
)

// Timeouts, retry delays and the batch size of the tail.
const (
	pollTimeout    = 10 * time.Second
	maxReadRecords = 1000
	minRetryDelay  = 100 * time.Millisecond
	// maxRetryDelay limits the delay before a host reads its claims back after the log can be reached again.
	maxRetryDelay = time.Second
)

// TailConfig holds the dependencies of a Tail.
type TailConfig struct {
	Reader almondcross.LogReader
	Codec  almondcross.ClaimCodec
	Sink   almondcross.Sink[almondcross.ClaimerMessage]
	Logger logrus.FieldLogger
}

// Tail is the duty that reads the claims stream from its oldest record on.
type Tail struct {
	config   TailConfig
	next     almondcross.Offset // the next offset to read, -1 if the oldest offset must be looked up first
	caughtUp bool
	failed   bool
}

// NewTail returns a tail that starts at the oldest record of the stream.
func NewTail(config TailConfig) *Tail {
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Tail{config: config, next: -1}
}

// Run reads until the context ends.
func (tail *Tail) Run(ctx context.Context) error {
	retries := retrier.New(retrier.Config{MinDelay: minRetryDelay, MaxDelay: maxRetryDelay})
	for ctx.Err() == nil {
		err := tail.readNext(ctx)
		tail.setFailed(ctx, err)
		if err == nil {
			retries.Reset()
			continue
		}
		retries.Pause(ctx)
	}
	return nil
}

func (tail *Tail) setFailed(ctx context.Context, err error) {
	if ctx.Err() != nil || tail.failed == (err != nil) {
		return
	}
	tail.failed = err != nil
	if tail.failed {
		tail.config.Logger.WithError(err).Warn("claims stream cannot be read")
		return
	}
	tail.config.Logger.Info("claims stream can be read again")
}

func (tail *Tail) readNext(ctx context.Context) error {
	if tail.next < 0 {
		return tail.findStart(ctx)
	}
	batch, err := tail.config.Reader.Read(ctx, almondcross.StreamClaims, tail.next, maxReadRecords, pollTimeout)
	if errors.Is(err, almondcross.ErrLogTrimmed) {
		tail.next = -1
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "reading the claims stream")
	}
	if err := tail.deliver(ctx, batch); err != nil {
		return err
	}
	tail.next = max(tail.next, batch.Next())
	if !tail.caughtUp && tail.next >= batch.End() {
		tail.caughtUp = true
		return tail.send(ctx, almondcross.ClaimsCaughtUp{})
	}
	return nil
}

// findStart looks up the oldest record and reports it to the claimer. Earlier records are missing if the log trimmed
// them before this tail read them.
func (tail *Tail) findStart(ctx context.Context) error {
	oldest, _, err := tail.config.Reader.End(ctx, almondcross.StreamClaims)
	if err != nil {
		return errors.Annotate(err, "finding the start of the claims stream")
	}
	batch, err := tail.config.Reader.Read(ctx, almondcross.StreamClaims, oldest, 1, 0)
	if err != nil {
		return errors.Annotate(err, "reading the oldest claim record")
	}
	started := almondcross.ClaimsStartedConfig{Oldest: oldest, Trimmed: oldest > 1}
	if len(batch.Records()) > 0 {
		started.Since = batch.Records()[0].Appended()
	}
	if err := tail.send(ctx, almondcross.NewClaimsStarted(started)); err != nil {
		return err
	}
	tail.next = oldest
	return nil
}

// deliver sends the records of a batch to the claimer in log order.
func (tail *Tail) deliver(ctx context.Context, batch almondcross.Batch) error {
	var claims []almondcross.ClaimRecord
	flush := func(next almondcross.Offset) error {
		message := almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{Records: claims, Next: next})
		claims = nil
		return tail.send(ctx, message)
	}
	for _, record := range batch.Records() {
		claim, part, checkpoint, err := tail.config.Codec.DecodeClaim(record)
		if err != nil {
			if len(record.Body()) > 0 {
				tail.config.Logger.WithError(err).WithField("offset", record.Offset()).Error("claims record is malformed")
			}
			continue
		}
		if !checkpoint {
			claims = append(claims, claim)
			continue
		}
		if err := flush(record.Offset()); err != nil {
			return err
		}
		err = tail.send(ctx, almondcross.NewClaimCheckpointRead(almondcross.ClaimCheckpointReadConfig{
			Checkpoint: part, Appended: record.Appended(),
		}))
		if err != nil {
			return err
		}
	}
	if batch.Next() <= tail.next {
		return nil
	}
	return flush(batch.Next())
}

func (tail *Tail) send(ctx context.Context, message almondcross.ClaimerMessage) error {
	return errors.Annotate(tail.config.Sink.Put(ctx, message), "sending claims to the claimer")
}
