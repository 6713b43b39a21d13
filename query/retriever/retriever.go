package retriever

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// DefaultTimeout bounds the read of one answer. It is short because callers wait for the answer.
const DefaultTimeout = 2 * time.Second

// Reasons why the record at an offset cannot be used.
const (
	errNoRecord    = errors.ConstError("the log has no record at the offset")
	errWrongRecord = errors.ConstError("the record is not the answer to the request")
)

// Config holds the dependencies of a Retriever.
type Config struct {
	Ring        *ring.Ring[almondcross.ReadAnswer]
	Reader      almondcross.LogReader
	Codec       almondcross.ClaimCodec
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Timeout     time.Duration // Timeout bounds one read, 0 for DefaultTimeout.
	Metrics     *metrics.Set
	Logger      logrus.FieldLogger
}

// Retriever is the duty that reads stored answers.
type Retriever struct {
	config Config
	read   *metrics.Counter
	failed *metrics.Counter
}

// New returns a retriever.
func New(config Config) *Retriever {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Retriever{
		config: config,
		read:   config.Metrics.NewCounter(`almondcross_stored_answers_total{read="true"}`),
		failed: config.Metrics.NewCounter(`almondcross_stored_answers_total{read="false"}`),
	}
}

// Run processes messages until the context ends; it always returns nil.
func (retriever *Retriever) Run(ctx context.Context) error {
	for {
		select {
		case message := <-retriever.config.Ring.Messages():
			outcome, err := retriever.fetch(ctx, message.Record())
			retriever.reply(ctx, message, outcome, err)
			if errors.Is(err, almondcross.ErrLogUnreachable) {
				retriever.failQueued(ctx, err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// failQueued replies to all queued messages with an error, since the log could not be reached.
func (retriever *Retriever) failQueued(ctx context.Context, err error) {
	for range retriever.config.Ring.Depth() {
		retriever.reply(ctx, <-retriever.config.Ring.Messages(), almondcross.Outcome{}, err)
	}
}

// fetch returns the outcome from the record that a settlement references.
func (retriever *Retriever) fetch(ctx context.Context, settlement almondcross.ClaimRecord) (almondcross.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, retriever.config.Timeout)
	defer cancel()
	stream := almondcross.AnswersStream(settlement.DataCentre())
	batch, err := retriever.config.Reader.Read(ctx, stream, settlement.AnswerOffset(), 1, 0)
	if err != nil {
		return almondcross.Outcome{}, errors.Annotatef(err, "reading %s at %d", stream, settlement.AnswerOffset())
	}
	if len(batch.Records()) == 0 || batch.Records()[0].Offset() != settlement.AnswerOffset() {
		return almondcross.Outcome{}, errors.Annotatef(errNoRecord, "%s at %d", stream, settlement.AnswerOffset())
	}
	outcome, err := retriever.config.Codec.DecodeAnswer(batch.Records()[0])
	if err != nil {
		return almondcross.Outcome{}, errors.Annotatef(err, "decoding %s at %d", stream, settlement.AnswerOffset())
	}
	// The settlement may contain the key with another origin.
	sameKey := outcome.Key().WithOrigin("") == settlement.Key().WithOrigin("")
	if !sameKey || outcome.Status() != almondcross.StatusDone {
		return almondcross.Outcome{}, errors.Annotatef(errWrongRecord, "%s at %d", stream, settlement.AnswerOffset())
	}
	return outcome, nil
}

func (retriever *Retriever) reply(
	ctx context.Context, message almondcross.ReadAnswer, outcome almondcross.Outcome, err error,
) {
	if err != nil {
		retriever.failed.Inc()
		retriever.config.Logger.WithError(err).WithField("key", message.Key().String()).Warn("stored answer cannot be read")
	} else {
		retriever.read.Inc()
	}
	answer := almondcross.NewAnswerRead(almondcross.AnswerReadConfig{
		Key: message.Key(), Found: err == nil, Outcome: outcome,
	})
	if err := retriever.config.Coordinator.Put(ctx, answer); err != nil && ctx.Err() == nil {
		retriever.config.Logger.WithError(err).Error("stored answer could not be sent to the coordinator")
	}
}
