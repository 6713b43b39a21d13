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
	// tickInterval is the time between two checks for the end of the interval and for repeated appends.
	tickInterval = time.Second
	// finalAppendTimeout limits the wait for the append of the last batches when the host stops.
	finalAppendTimeout = 2 * time.Second
)

// Config holds the dependencies and limits of the accountant duty.
type Config struct {
	Ring       *ring.Ring[almondcross.AccountantMessage]
	Member     almondcross.MemberID // Member is the host with its incarnation at the start.
	DataCentre string
	Machine    MachineConfig // Machine holds the limits; New sets its Self and DataCentre.
	Codec      almondcross.UsageCodec
	Log        almondcross.Appender      // Log appends to the account stream of the data centre.
	Members    almondcross.MemberViewer  // Members gives the view with the current incarnation.
	Holdings   almondcross.HoldingViewer // Holdings gives the held targets, whose capacity is recorded; nil for none.
	Clock      almondcross.Clock
	Metrics    *metrics.Set
	Logger     logrus.FieldLogger
}

// Duty owns the machine and performs its effects. Account and Record may be called from any goroutine.
type Duty struct {
	EventQueue
	config         Config
	machine        *Machine
	self           almondcross.MemberID
	droppedBatches *metrics.Counter
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
		EventQueue: NewEventQueue(config.Ring),
		config:     config, machine: NewMachine(config.Machine), self: config.Member,
		droppedBatches: config.Metrics.NewCounter("almondcross_account_batches_dropped_total"),
	}
}

// Run processes messages until the context ends, and then appends the last batch.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(message)
		case <-ticker.C:
			duty.apply(duty.newTick(false))
		case <-ctx.Done():
			duty.finish()
			return nil
		}
	}
}

// finish processes the queued messages, closes the last interval and waits for the append of the pending batches, at
// most finalAppendTimeout and only while the log is not known to be down.
func (duty *Duty) finish() {
	for range duty.config.Ring.Depth() {
		duty.apply(<-duty.config.Ring.Messages())
	}
	duty.apply(duty.newTick(true))
	timer := time.NewTimer(finalAppendTimeout)
	defer timer.Stop()
	for len(duty.machine.pendingBatches) > 0 && !duty.config.Log.Down() {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(message)
		case <-timer.C:
			return
		}
	}
}

func (duty *Duty) newTick(final bool) almondcross.AccountTick {
	var capacity almondcross.Resources
	if duty.config.Holdings != nil {
		for _, target := range duty.config.Holdings.HeldTargets() {
			capacity = capacity.Add(target.Total())
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
	droppedBefore := duty.machine.Dropped()
	for _, effect := range duty.machine.Apply(message, now) {
		switch effect := effect.(type) {
		case AppendBatch:
			duty.appendBatch(effect, now)
		case ReplyDecisions:
			effect.Replier.ReplyDecisions(effect.Decisions)
		}
	}
	if newlyDropped := duty.machine.Dropped() - droppedBefore; newlyDropped > 0 {
		duty.droppedBatches.Add(int(newlyDropped))
		duty.config.Logger.WithField("batches", newlyDropped).Warn("usage batches were dropped; the account has a gap")
	}
}

func (duty *Duty) appendBatch(effect AppendBatch, now time.Time) {
	body, err := duty.config.Codec.EncodeUsage(effect.Batch)
	if err != nil {
		duty.config.Logger.WithError(err).Error("usage batch cannot be encoded")
		duty.machine.discard(effect.ID)
		return
	}
	queued := duty.config.Log.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: []almondcross.Record{almondcross.NewRecord(almondcross.RecordConfig{ID: effect.ID, Body: body})},
		Answer:  func(answer almondcross.AppendAnswered) { duty.config.Ring.Offer(answer) },
	}))
	if !queued {
		duty.machine.Apply(almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
			IDs: []string{effect.ID}, Result: almondcross.AppendRefused,
		}), now)
	}
}
