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

// tickInterval is the resolution of time limits and of repeated appends.
const tickInterval = time.Second

// Config holds the parts of the claimer duty.
type Config struct {
	Ring        *ring.Ring[almondcross.ClaimerMessage]
	Member      almondcross.MemberID // Member is the host in the incarnation in which it started.
	DataCentre  string
	Machine     MachineConfig // Machine holds the limits; the duty sets its prefix, data centre and self.
	Codec       almondcross.ClaimCodec
	Claims      almondcross.Appender         // Claims appends to the claims stream.
	Answers     almondcross.LocatingAppender // Answers appends to the answers stream of the data centre.
	Members     almondcross.MemberViewer
	Clock       almondcross.Clock
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Metrics     *metrics.Set
	Logger      logrus.FieldLogger
}

// Duty owns the machine and runs its effects.
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

// Run takes messages until the context ends.
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

// apply first tells the machine of a new incarnation, so that a claim of the former one is not granted.
func (duty *Duty) apply(ctx context.Context, message almondcross.ClaimerMessage) {
	now := duty.config.Clock.Now()
	if view := duty.config.Members.View(); view.Self().ID() != duty.self {
		duty.self = view.Self().ID()
		duty.run(ctx, duty.machine.Apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: view}), now))
	}
	duty.run(ctx, duty.machine.Apply(message, now))
}

func (duty *Duty) run(ctx context.Context, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case AppendClaim:
			if effect.Record.Kind() == almondcross.ClaimVoid {
				duty.voids.Inc()
			}
			body, err := duty.config.Codec.EncodeClaim(effect.Record)
			duty.append(ctx, effect.Record.ID(), body, err)
		case AppendPart:
			body, err := duty.config.Codec.EncodeClaimCheckpoint(effect.Part)
			duty.append(ctx, effect.ID, body, err)
		case StoreAnswer:
			duty.store(ctx, effect.Outcome)
		case TellCoordinator:
			duty.tell(ctx, effect.Message)
		}
	}
}

// append queues a record; what cannot be encoded or queued is answered as refused at once.
func (duty *Duty) append(ctx context.Context, id string, body []byte, err error) {
	if err != nil {
		duty.config.Logger.WithError(err).Error("claim record cannot be encoded")
	}
	queued := err == nil && duty.config.Claims.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: body})},
		// An answer that finds the ring full counts as lost after the machine's answer limit.
		Answer: func(answer almondcross.AppendAnswered) { duty.config.Ring.Offer(answer) },
	}))
	if !queued {
		duty.apply(ctx, almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
			IDs: []string{id}, Outcome: almondcross.AppendRefused,
		}))
	}
}

// store queues the answer of a key. A key whose answer does not fit into a record is settled without it.
func (duty *Duty) store(ctx context.Context, outcome almondcross.Outcome) {
	answered := func(offset almondcross.Offset, result almondcross.AppendResult) almondcross.AnswerAppended {
		return almondcross.NewAnswerAppended(almondcross.AnswerAppendedConfig{Outcome: outcome, Offset: offset, Result: result})
	}
	body, err := duty.config.Codec.EncodeAnswer(outcome)
	if err != nil {
		duty.config.Logger.WithError(err).WithField("key", outcome.Key().String()).Error("answer cannot be stored")
		duty.apply(ctx, answered(-1, almondcross.AppendTaken))
		return
	}
	record := almondcross.NewRecord(almondcross.RecordConfig{
		ID: "answer/" + duty.config.Machine.Prefix + "/" + outcome.Key().String(), Body: body,
	})
	queued := duty.config.Answers.AppendLocated(record, func(offset almondcross.Offset, result almondcross.AppendResult) {
		duty.config.Ring.Offer(answered(offset, result))
	})
	if !queued {
		duty.apply(ctx, answered(-1, almondcross.AppendRefused))
	}
}

// tell waits for room in the coordinator's ring; the coordinator never waits for the claimer.
func (duty *Duty) tell(ctx context.Context, message almondcross.CoordinatorMessage) {
	if decided, ok := message.(almondcross.ClaimDecided); ok {
		if decided.Granted() {
			duty.granted.Inc()
		} else {
			duty.refused.Inc()
		}
	}
	if err := duty.config.Coordinator.Put(ctx, message); err != nil && ctx.Err() == nil {
		duty.config.Logger.WithError(err).Error("claim decision was not handed on")
	}
}
