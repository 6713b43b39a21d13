package accountant

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// tickInterval is the resolution of intervals and of repeated appends.
	tickInterval = time.Second
	// finalLimit bounds the wait for the last batch when the host ends.
	finalLimit = 2 * time.Second
)

// Config holds the parts of the accountant duty.
type Config struct {
	Ring       *ring.Ring[almondcross.AccountantMessage]
	Member     almondcross.MemberID // Member is the host in the incarnation in which it started.
	DataCentre string
	Machine    MachineConfig // Machine holds the limits; the duty sets its self and data centre.
	Codec      almondcross.UsageCodec
	Log        almondcross.Appender      // Log appends to the account stream of the data centre.
	Members    almondcross.MemberViewer  // Members tells of a new incarnation.
	Holdings   almondcross.HoldingViewer // Holdings gives the capacity; nil for none.
	Clock      almondcross.Clock
	Metrics    *metrics.Set
	Logger     logrus.FieldLogger
}

// Duty owns the machine. Account and Record may be called from any goroutine.
type Duty struct {
	Intake
	config  Config
	machine *Machine
	self    almondcross.MemberID
	missed  *metrics.Counter
}

// New returns the duty of a host.
func New(config Config) *Duty {
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	config.Machine.Self, config.Machine.DataCentre = config.Member, config.DataCentre
	return &Duty{
		Intake: NewIntake(config.Ring),
		config: config, machine: NewMachine(config.Machine), self: config.Member,
		missed: config.Metrics.NewCounter("almondcross_account_batches_dropped_total"),
	}
}

// Run takes messages until the context ends, and then appends the last batch.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(message)
		case <-ticker.C:
			duty.apply(duty.tick(false))
		case <-ctx.Done():
			duty.finish()
			return nil
		}
	}
}

// finish closes the account: it takes what is queued and waits for the log within a limit.
func (duty *Duty) finish() {
	for range duty.config.Ring.Depth() {
		duty.apply(<-duty.config.Ring.Messages())
	}
	duty.apply(duty.tick(true))
	timer := time.NewTimer(finalLimit)
	defer timer.Stop()
	for len(duty.machine.pending) > 0 && !duty.config.Log.Down() {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(message)
		case <-timer.C:
			return
		}
	}
}

func (duty *Duty) tick(final bool) almondcross.AccountTick {
	var capacity almondcross.Resources
	if duty.config.Holdings != nil {
		for _, held := range duty.config.Holdings.HeldTargets() {
			capacity = capacity.Add(held.Total())
		}
	}
	return almondcross.NewAccountTick(almondcross.AccountTickConfig{
		Refused: duty.config.Ring.Refused(), Capacity: capacity, Final: final,
	})
}

func (duty *Duty) apply(message almondcross.AccountantMessage) {
	now := duty.config.Clock.Now()
	if view := duty.config.Members.View(); view.Self().ID() != duty.self {
		duty.self = view.Self().ID()
		duty.machine.Apply(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: view}), now)
	}
	before := duty.machine.Dropped()
	for _, effect := range duty.machine.Apply(message, now) {
		switch effect := effect.(type) {
		case AppendBatch:
			duty.append(effect, now)
		case AnswerStory:
			effect.Replier.ReplyStory(effect.Story)
		}
	}
	if dropped := duty.machine.Dropped() - before; dropped > 0 {
		duty.missed.Add(int(dropped))
		duty.config.Logger.WithField("batches", dropped).Warn("account batches were dropped; the account has a gap")
	}
}

func (duty *Duty) append(effect AppendBatch, now time.Time) {
	body, err := duty.config.Codec.EncodeUsage(effect.Batch)
	if err != nil {
		duty.config.Logger.WithError(err).Error("account batch cannot be encoded")
		duty.machine.discard(effect.ID)
		return
	}
	queued := duty.config.Log.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: effect.ID, Body: body})},
		Answer:  func(answer almondcross.AppendAnswered) { duty.config.Ring.Offer(answer) },
	}))
	if !queued {
		duty.machine.Apply(almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
			IDs: []string{effect.ID}, Outcome: almondcross.AppendRefused,
		}), now)
	}
}
