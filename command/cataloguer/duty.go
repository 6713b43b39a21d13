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

// tickInterval is the interval at which the time limits of answers and checkpoints are checked.
const tickInterval = time.Second

// Config holds the dependencies of the cataloguer duty; a nil sink is skipped.
type Config struct {
	Ring        *ring.Ring[almondcross.CataloguerMessage]
	Member      almondcross.MemberID // Member is this host, with its incarnation at the start.
	Machine     MachineConfig        // Machine holds the limits; the duty sets its Prefix.
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
	config          Config
	machine         *Machine
	catalogue       atomic.Pointer[almondcross.Catalogue]
	auditLines      atomic.Pointer[[]almondcross.AuditLine]
	acceptedChanges *metrics.Counter
	refusedChanges  *metrics.Counter
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
		config:          config,
		machine:         NewMachine(config.Machine),
		acceptedChanges: config.Metrics.NewCounter(`almondcross_catalogue_answers_total{accepted="true"}`),
		refusedChanges:  config.Metrics.NewCounter(`almondcross_catalogue_answers_total{accepted="false"}`),
	}
	config.Metrics.NewGauge("almondcross_catalogue_offset", func() float64 { return float64(duty.Catalogue().Offset()) })
	catalogue := duty.machine.Catalogue()
	duty.catalogue.Store(&catalogue)
	duty.auditLines.Store(&[]almondcross.AuditLine{})
	return duty
}

// Catalogue returns the current catalogue.
func (duty *Duty) Catalogue() almondcross.Catalogue { return *duty.catalogue.Load() }

// AuditLines returns the most recent audit lines, in log order.
func (duty *Duty) AuditLines() []almondcross.AuditLine { return *duty.auditLines.Load() }

// Run processes messages until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-duty.config.Ring.Messages():
			duty.apply(ctx, message)
		case <-ticker.C:
			duty.apply(ctx, almondcross.NewCatalogueTick(almondcross.CatalogueTickConfig{Writer: duty.isCheckpointWriter()}))
			duty.notifyRegistrar()
		case <-ctx.Done():
			return nil
		}
	}
}

// isCheckpointWriter reports whether this host writes the checkpoints.
func (duty *Duty) isCheckpointWriter() bool {
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
		duty.append(ctx, duty.config.Checkpoints, []almondcross.Record{newRecord(effect.ID, body)}, err)
	case AnswerChange:
		if effect.Outcome.Accepted() {
			duty.acceptedChanges.Inc()
		} else {
			duty.refusedChanges.Inc()
		}
		effect.Replier.ReplyChange(effect.Outcome)
	case PublishCatalogue:
		duty.publish(ctx, effect.Catalogue)
	case PublishAudit:
		duty.auditLines.Store(&effect.Lines)
	case SendCatalogue:
		duty.config.Peers.Send(effect.Member, almondcross.NewPeerCatalogue(
			almondcross.PeerCatalogueConfig{Catalogue: effect.Catalogue},
		))
	}
}

func newRecord(id string, body []byte) almondcross.Record {
	return almondcross.NewRecord(almondcross.RecordConfig{ID: id, Body: body})
}

func (duty *Duty) appendChange(ctx context.Context, effect AppendChange) {
	body, err := duty.config.Codec.EncodeChange(effect.Change)
	var records []almondcross.Record
	if effect.ProbeID != "" {
		records = append(records, newRecord(effect.ProbeID, nil))
	}
	duty.append(ctx, duty.config.Changes, append(records, newRecord(effect.Change.ID(), body)), err)
}

// append queues records for an appender. If they cannot be encoded or queued, it applies the answer
// "refused" at once.
func (duty *Duty) append(
	ctx context.Context, appender almondcross.Appender, records []almondcross.Record, encodeErr error,
) {
	if encodeErr != nil {
		duty.config.Logger.WithError(encodeErr).Error("catalogue record cannot be encoded")
	}
	queued := encodeErr == nil && appender.Append(almondcross.NewAppendRecords(almondcross.AppendRecordsConfig{
		Records: records,
		// If the ring is full, the answer is lost and the change or checkpoint ends by its time limit.
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
		IDs: ids, Result: almondcross.AppendRefused,
	}))
}

// publish stores a catalogue for readers and sends it to the other duties. It blocks while their rings
// are full, because a duty that misses the message would not apply the change. This cannot deadlock,
// because none of these duties waits for this one.
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
		duty.config.Logger.WithError(errors.Trace(err)).Error("catalogue change was not sent to all duties")
	}
	duty.notifyRegistrar()
}

// notifyRegistrar sends the current offset to the registrar. It is called again at each tick, so a full
// ring only delays the offset.
func (duty *Duty) notifyRegistrar() {
	if duty.config.Registrar == nil {
		return
	}
	duty.config.Registrar.Offer(almondcross.NewOffsetChanged(
		almondcross.OffsetChangedConfig{Offset: duty.Catalogue().Offset()},
	))
}
