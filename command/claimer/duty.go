package claimer

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// tickInterval is the time between two checks for timeouts and repeated appends.
const tickInterval = time.Second

// Config holds the dependencies and limits of the claimer duty.
type Config struct {
	Ring        *ring.Ring[almondcross.ClaimerMessage]
	Member      almondcross.MemberID // Member is the host with its incarnation at the start.
	DataCentre  string
	Machine     MachineConfig // Machine holds the limits; New sets its Prefix, DataCentre and Self.
	Codec       almondcross.ClaimCodec
	Claims      almondcross.Appender         // Claims appends to the claims stream.
	Answers     almondcross.LocatingAppender // Answers appends to the answers stream of the data centre.
	Members     almondcross.MemberViewer
	Clock       almondcross.Clock
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Metrics     *metrics.Set
	Logger      logrus.FieldLogger
}

// Duty owns the machine and performs its effects.
type Duty struct {
	config  Config
	machine *Machine
	self    almondcross.MemberID
	granted *metrics.Counter
	refused *metrics.Counter
	voids   *metrics.Counter
}

// New returns the duty of a host.
func New(config Config) *Duty {
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	config.Machine.Prefix = "claims/" + config.Member.Name() + "/" + strconv.FormatUint(config.Member.Incarnation(), 10)
	config.Machine.DataCentre = config.DataCentre
	config.Machine.Self = config.Member
	return &Duty{
		config:  config,
		machine: NewMachine(config.Machine),
		self:    config.Member,
		granted: config.Metrics.NewCounter(`almondcross_claims_decided_total{granted="true"}`),
		refused: config.Metrics.NewCounter(`almondcross_claims_decided_total{granted="false"}`),
		voids:   config.Metrics.NewCounter("almondcross_claims_voids_total"),
	}
}

// Run processes messages until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(ctx, message)
		case <-ticker.C:
			view := duty.config.Members.View()
			duty.apply(ctx, almondcross.NewClaimTick(almondcross.ClaimTickConfig{
				Writer:  view.Writer(almondcross.StreamClaims) == view.Self().ID(),
				LogDown: duty.config.Claims.Down(),
			}))
		case <-ctx.Done():
			return nil
		}
	}
}

// apply processes a message. If the host has a new incarnation, the machine gets the new view first, so that it does
// not grant a claim of the former incarnation.
func (duty *Duty) apply(ctx context.Context, message almondcross.ClaimerMessage) {
	now := duty.config.Clock.Now()
	if view := duty.config.Members.View(); view.Self().ID() != duty.self {
		duty.self = view.Self().ID()
		duty.perform(ctx, duty.machine.Apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: view}), now))
	}
	duty.perform(ctx, duty.machine.Apply(message, now))
}

func (duty *Duty) perform(ctx context.Context, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case AppendClaim:
			if effect.Record.Kind() == almondcross.ClaimVoid {
				duty.voids.Inc()
			}
			body, err := duty.config.Codec.EncodeClaim(effect.Record)
			duty.appendRecord(ctx, effect.Record.ID(), body, err)
		case AppendPart:
			body, err := duty.config.Codec.EncodeClaimCheckpoint(effect.Part)
			duty.appendRecord(ctx, effect.ID, body, err)
		case StoreAnswer:
			duty.storeAnswer(ctx, effect.Outcome)
		case NotifyCoordinator:
			duty.notifyCoordinator(ctx, effect.Message)
		}
	}
}

// appendRecord queues a record for the claims stream. A record that cannot be encoded or queued is reported to the
// machine as refused.
func (duty *Duty) appendRecord(ctx context.Context, id string, body []byte, err error) {
	if err != nil {
		duty.config.Logger.WithError(err).Error("claim record cannot be encoded")
	}
	queued := err == nil && duty.config.Claims.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: body})},
		// If the ring is full, the result is dropped, and the append counts as uncertain after the append timeout.
		Answer: func(answer almondcross.AppendAnswered) { duty.config.Ring.Offer(answer) },
	}))
	if !queued {
		duty.apply(ctx, almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
			IDs: []string{id}, Result: almondcross.AppendRefused,
		}))
	}
}

// storeAnswer queues the answer of a key for the answers stream. A key whose answer cannot be encoded, for example
// because it is too large for a record, is settled without it.
func (duty *Duty) storeAnswer(ctx context.Context, outcome almondcross.Outcome) {
	answerAppended := func(offset almondcross.Offset, result almondcross.AppendResult) almondcross.AnswerAppended {
		return almondcross.NewAnswerAppended(almondcross.AnswerAppendedConfig{Outcome: outcome, Offset: offset, Result: result})
	}
	body, err := duty.config.Codec.EncodeAnswer(outcome)
	if err != nil {
		duty.config.Logger.WithError(err).WithField("key", outcome.Key().String()).Error("answer cannot be stored")
		duty.apply(ctx, answerAppended(-1, almondcross.AppendAccepted))
		return
	}
	record := almondcross.NewRecord(almondcross.RecordConfig{
		ID: "answer/" + duty.config.Machine.Prefix + "/" + outcome.Key().String(), Body: body,
	})
	queued := duty.config.Answers.AppendWithOffset(record, func(offset almondcross.Offset, result almondcross.AppendResult) {
		duty.config.Ring.Offer(answerAppended(offset, result))
	})
	if !queued {
		duty.apply(ctx, answerAppended(-1, almondcross.AppendRefused))
	}
}

// notifyCoordinator blocks while the coordinator's ring is full. The coordinator never blocks on the claimer, so
// there is no deadlock.
func (duty *Duty) notifyCoordinator(ctx context.Context, message almondcross.CoordinatorMessage) {
	if decided, ok := message.(almondcross.ClaimDecided); ok {
		if decided.Granted() {
			duty.granted.Inc()
		} else {
			duty.refused.Inc()
		}
	}
	if err := duty.config.Coordinator.Put(ctx, message); err != nil && ctx.Err() == nil {
		duty.config.Logger.WithError(err).Error("message could not be delivered to the coordinator")
	}
}
