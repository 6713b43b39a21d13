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

// DefaultTimeout bounds the reading of one answer; callers wait for it.
const DefaultTimeout = 2 * time.Second

// Errors of the retriever.
const (
	errMissing = errors.ConstError("the log has no record at the offset")
	errForeign = errors.ConstError("the record is not the answer to the request")
)

// Config holds the fields of a new Retriever.
type Config struct {
	Ring        *ring.Ring[almondcross.ReadAnswer]
	Reader      almondcross.LogReader
	Codec       almondcross.ClaimCodec
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Timeout     time.Duration // Timeout bounds one read; zero stands for DefaultTimeout.
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

// Run answers messages until the context ends.
func (retriever *Retriever) Run(ctx context.Context) error {
	for {
		select {
		case message := <-retriever.config.Ring.Messages():
			outcome, err := retriever.fetch(ctx, message.Record())
			retriever.answer(ctx, message, outcome, err)
			if errors.Is(err, almondcross.ErrLogUnreachable) {
				retriever.giveUp(ctx, err)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// giveUp answers what is queued, since the log could not be reached.
func (retriever *Retriever) giveUp(ctx context.Context, err error) {
	for range retriever.config.Ring.Depth() {
		retriever.answer(ctx, <-retriever.config.Ring.Messages(), almondcross.Outcome{}, err)
	}
}

// fetch returns the outcome that a settlement names.
func (retriever *Retriever) fetch(ctx context.Context, settled almondcross.ClaimRecord) (almondcross.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, retriever.config.Timeout)
	defer cancel()
	stream := almondcross.AnswersStream(settled.DataCentre())
	batch, err := retriever.config.Reader.Read(ctx, stream, settled.AnswerOffset(), 1, 0)
	if err != nil {
		return almondcross.Outcome{}, errors.Annotatef(err, "reading %s at %d", stream, settled.AnswerOffset())
	}
	if len(batch.Records()) == 0 || batch.Records()[0].Offset() != settled.AnswerOffset() {
		return almondcross.Outcome{}, errors.Annotatef(errMissing, "%s at %d", stream, settled.AnswerOffset())
	}
	outcome, err := retriever.config.Codec.DecodeAnswer(batch.Records()[0])
	if err != nil {
		return almondcross.Outcome{}, errors.Annotatef(err, "decoding %s at %d", stream, settled.AnswerOffset())
	}
	// The settlement may name the key under another origin.
	same := outcome.Key().WithOrigin("") == settled.Key().WithOrigin("")
	if !same || outcome.Status() != almondcross.StatusDone {
		return almondcross.Outcome{}, errors.Annotatef(errForeign, "%s at %d", stream, settled.AnswerOffset())
	}
	return outcome, nil
}

func (retriever *Retriever) answer(
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
		retriever.config.Logger.WithError(err).Error("stored answer was not handed on")
	}
}
