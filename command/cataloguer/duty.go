package cataloguer

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// tickInterval is the resolution of the time limits for answers and checkpoints.
const tickInterval = time.Second

// Config holds the parts of the cataloguer duty; sinks that are nil get nothing.
type Config struct {
	Ring        *ring.Ring[almondcross.CataloguerMessage]
	Member      almondcross.MemberID // Member is the host in the incarnation in which it started.
	Machine     MachineConfig        // Machine holds the limits; its prefix is set by the duty.
	Codec       almondcross.CatalogueCodec
	Changes     almondcross.Appender // Changes appends to the catalogue stream.
	Checkpoints almondcross.Appender // Checkpoints appends to the checkpoint stream.
	Members     almondcross.MemberViewer
	Peers       almondcross.PeerSender
	Clock       almondcross.Clock
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Placer      almondcross.Sink[almondcross.PlacerMessage]
	Accountant  almondcross.Sink[almondcross.AccountantMessage]
	Registrar   almondcross.Sink[almondcross.RegistrarMessage]
	Metrics     *metrics.Set
	Logger      logrus.FieldLogger
}

// Duty owns the machine. Catalogue and AuditLines may be called from any goroutine.
type Duty struct {
	config    Config
	machine   *Machine
	catalogue atomic.Pointer[almondcross.Catalogue]
	audit     atomic.Pointer[[]almondcross.AuditLine]
	accepted  *metrics.Counter
	refused   *metrics.Counter
}

// New returns the duty of a host.
func New(config Config) *Duty {
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	config.Machine.Prefix = "catalogue/" + config.Member.Name() + "/" + strconv.FormatUint(config.Member.Incarnation(), 10)
	duty := &Duty{
		config:   config,
		machine:  NewMachine(config.Machine),
		accepted: config.Metrics.NewCounter(`almondcross_catalogue_answers_total{accepted="true"}`),
		refused:  config.Metrics.NewCounter(`almondcross_catalogue_answers_total{accepted="false"}`),
	}
	config.Metrics.NewGauge("almondcross_catalogue_offset", func() float64 { return float64(duty.Catalogue().Offset()) })
	catalogue := duty.machine.Catalogue()
	duty.catalogue.Store(&catalogue)
	duty.audit.Store(&[]almondcross.AuditLine{})
	return duty
}

// Catalogue returns the current catalogue.
func (duty *Duty) Catalogue() almondcross.Catalogue { return *duty.catalogue.Load() }

// AuditLines returns the audit lines that are kept, in log order.
func (duty *Duty) AuditLines() []almondcross.AuditLine { return *duty.audit.Load() }

// Run takes messages until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(ctx, message)
		case <-ticker.C:
			duty.apply(ctx, almondcross.NewCatalogueTick(almondcross.CatalogueTickConfig{Writer: duty.isWriter()}))
			duty.tellRegistrar()
		case <-ctx.Done():
			return nil
		}
	}
}

// isWriter reports whether this host writes the checkpoints.
func (duty *Duty) isWriter() bool {
	view := duty.config.Members.View()
	return view.Writer(almondcross.StreamCatalogueCheckpoint) == view.Self().ID()
}

func (duty *Duty) apply(ctx context.Context, message almondcross.CataloguerMessage) {
	for _, effect := range duty.machine.Apply(message, duty.config.Clock.Now()) {
		duty.execute(ctx, effect)
	}
}

func (duty *Duty) execute(ctx context.Context, effect Effect) {
	switch effect := effect.(type) {
	case AppendChange:
		duty.appendChange(ctx, effect)
	case AppendCheckpoint:
		body, err := duty.config.Codec.EncodeCatalogueCheckpoint(effect.Checkpoint)
		duty.append(ctx, duty.config.Checkpoints, []almondcross.Record{record(effect.ID, body)}, err)
	case AnswerChange:
		if effect.Outcome.Accepted() {
			duty.accepted.Inc()
		} else {
			duty.refused.Inc()
		}
		effect.Replier.ReplyChange(effect.Outcome)
	case PublishCatalogue:
		duty.publish(ctx, effect.Catalogue)
	case PublishAudit:
		duty.audit.Store(&effect.Lines)
	case SendCatalogue:
		duty.config.Peers.Send(effect.Member, almondcross.NewPeerCatalogue(
			almondcross.PeerCatalogueConfig{Catalogue: effect.Catalogue},
		))
	}
}

func record(id string, body []byte) almondcross.Record {
	return almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: body})
}

func (duty *Duty) appendChange(ctx context.Context, effect AppendChange) {
	body, err := duty.config.Codec.EncodeChange(effect.Change)
	var records []almondcross.Record
	if effect.ProbeID != "" {
		records = append(records, record(effect.ProbeID, nil))
	}
	duty.append(ctx, duty.config.Changes, append(records, record(effect.Change.ID(), body)), err)
}

// append queues records; what cannot be encoded or queued is answered as refused at once.
func (duty *Duty) append(
	ctx context.Context, appender almondcross.Appender, records []almondcross.Record, encoding error,
) {
	if encoding != nil {
		duty.config.Logger.WithError(encoding).Error("catalogue record cannot be encoded")
	}
	queued := encoding == nil && appender.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: records,
		// An answer that finds the ring full is made up for by the time limit of the change.
		Answer: func(answer almondcross.AppendAnswered) { duty.config.Ring.Offer(answer) },
	}))
	if queued {
		return
	}
	ids := make([]string, 0, len(records))
	for _, record := range records {
		ids = append(ids, record.ID())
	}
	duty.apply(ctx, almondcross.NewAppendAnswered(almondcross.AppendAnsweredConfig{
		IDs: ids, Outcome: almondcross.AppendRefused,
	}))
}

// publish makes a catalogue readable and hands it to the other duties. It waits for room in their
// rings, since a lost change would stay out of force; none of them waits for this duty.
func (duty *Duty) publish(ctx context.Context, catalogue almondcross.Catalogue) {
	duty.catalogue.Store(&catalogue)
	changed := almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: catalogue})
	var err error
	if duty.config.Coordinator != nil {
		err = duty.config.Coordinator.Put(ctx, changed)
	}
	if duty.config.Placer != nil && err == nil {
		err = duty.config.Placer.Put(ctx, changed)
	}
	if duty.config.Accountant != nil && err == nil {
		err = duty.config.Accountant.Put(ctx, changed)
	}
	if err != nil && ctx.Err() == nil {
		duty.config.Logger.WithError(errors.Trace(err)).Error("catalogue change was not handed on")
	}
	duty.tellRegistrar()
}

// tellRegistrar is repeated at each tick, so a full ring only delays the offset.
func (duty *Duty) tellRegistrar() {
	if duty.config.Registrar == nil {
		return
	}
	duty.config.Registrar.Offer(almondcross.NewOffsetChanged(
		almondcross.OffsetChangedConfig{Offset: duty.Catalogue().Offset()},
	))
}
