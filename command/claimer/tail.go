package claimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

// Timing and sizes of the tail.
const (
	pollWait   = 10 * time.Second
	readLimit  = 1000
	firstRetry = 100 * time.Millisecond
	// lastRetry bounds how late a host reads its claims back after the log can be reached again.
	lastRetry = time.Second
)

// TailConfig holds the parts of a tail.
type TailConfig struct {
	Reader almondcross.LogReader
	Codec  almondcross.ClaimCodec
	Sink   almondcross.Sink[almondcross.ClaimerMessage]
	Logger logrus.FieldLogger
}

// Tail is the duty that reads the claims stream from its oldest record on.
type Tail struct {
	config   TailConfig
	next     almondcross.Offset // the offset to read from next, -1 before the start is known
	caughtUp bool
	failed   bool
}

// NewTail returns a tail.
func NewTail(config TailConfig) *Tail {
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Tail{config: config, next: -1}
}

// Run reads until the context ends.
func (tail *Tail) Run(ctx context.Context) error {
	retry := firstRetry
	for ctx.Err() == nil {
		err := tail.step(ctx)
		tail.setFailed(ctx, err)
		if err == nil {
			retry = firstRetry
			continue
		}
		timer := time.NewTimer(retry/2 + rand.N(retry/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		retry = min(2*retry, lastRetry)
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
	tail.config.Logger.Info("claims stream is read again")
}

func (tail *Tail) step(ctx context.Context) error {
	if tail.next < 0 {
		return tail.start(ctx)
	}
	batch, err := tail.config.Reader.Read(ctx, almondcross.StreamClaims, tail.next, readLimit, pollWait)
	if errors.Is(err, almondcross.ErrLogTrimmed) {
		tail.next = -1
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "reading the claims stream")
	}
	if err := tail.pass(ctx, batch); err != nil {
		return err
	}
	tail.next = max(tail.next, batch.Next())
	if !tail.caughtUp && tail.next >= batch.End() {
		tail.caughtUp = true
		return tail.put(ctx, almondcross.ClaimsCaughtUp{})
	}
	return nil
}

// start finds the oldest record. Records before it are missing when the log has trimmed the stream,
// or when this tail had read less than that.
func (tail *Tail) start(ctx context.Context) error {
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
	if err := tail.put(ctx, almondcross.NewClaimsStarted(started)); err != nil {
		return err
	}
	tail.next = oldest
	return nil
}

// pass hands the records of a batch on in log order.
func (tail *Tail) pass(ctx context.Context, batch almondcross.Batch) error {
	var claims []almondcross.ClaimRecord
	flush := func(next almondcross.Offset) error {
		message := almondcross.NewClaimRecordsRead(almondcross.ClaimRecordsReadConfig{Records: claims, Next: next})
		claims = nil
		return tail.put(ctx, message)
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
		err = tail.put(ctx, almondcross.NewClaimCheckpointRead(almondcross.ClaimCheckpointReadConfig{
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

func (tail *Tail) put(ctx context.Context, message almondcross.ClaimerMessage) error {
	return errors.Annotate(tail.config.Sink.Put(ctx, message), "handing claims on")
}
