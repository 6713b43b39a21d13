package placer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// resendInterval is the time after which reports that a link refused are resent.
	resendInterval = almondcross.PingInterval
	// resendTimeout is how long a report is retried. A peer that has been unreachable for longer than
	// HoldBack has been replaced as coordinator.
	resendTimeout = 2 * almondcross.HoldBack
	// maxUnsentReports bounds the reports that wait to be resent.
	maxUnsentReports = 8192
)

// Config holds the dependencies of a new Placer.
type Config struct {
	Ring        *ring.Ring[almondcross.PlacerMessage]
	Policies    Policies
	Seed        uint64 // Seed is the seed of the random choices, such as the peer that a task is forwarded to.
	Dispatchers almondcross.DispatcherManager
	Peers       almondcross.PeerSender
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Registrar   almondcross.Sink[almondcross.RegistrarMessage]
	Accounter   almondcross.Accounter
	Decisions   almondcross.DecisionRecorder
	Clock       almondcross.Clock
	Metrics     *metrics.Set // Metrics receives the counters and gauges; nil for none.
}

// Placer is the duty that passes messages and timers to the machine and performs its effects. The
// goroutine of Run owns every field except heldTargets and waitingTasks.
type Placer struct {
	config         Config
	machine        *Machine
	sinks          map[string]almondcross.Sink[almondcross.DispatcherMessage]
	unsentReports  map[string][]unsentReport
	unsentCount    int // the number of reports in unsentReports
	heldTargets    atomic.Pointer[[]almondcross.HeldTarget]
	unsentEffects  []Effect
	droppedReports *metrics.Counter
	waitingTasks   atomic.Int64 // waitingTasks is the number of waiting tasks in the latest summary.
}

// unsentReport is a report that a link refused.
type unsentReport struct {
	report   Report
	queuedAt time.Time
}

// New returns a placer without targets.
func New(config Config) *Placer {
	placer := &Placer{
		config:        config,
		machine:       NewMachine(MachineConfig{Policies: config.Policies, Seed: config.Seed}),
		sinks:         map[string]almondcross.Sink[almondcross.DispatcherMessage]{},
		unsentReports: map[string][]unsentReport{},
	}
	set := config.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	placer.droppedReports = set.NewCounter("almondcross_placer_reports_dropped_total")
	set.NewGauge("almondcross_placer_targets_held", func() float64 { return float64(len(placer.HeldTargets())) })
	set.NewGauge("almondcross_placer_targets_ejected", func() float64 {
		ejected := 0
		for _, held := range placer.HeldTargets() {
			if held.Ejected() {
				ejected++
			}
		}
		return float64(ejected)
	})
	set.NewGauge("almondcross_placer_tasks_waiting", func() float64 { return float64(placer.waitingTasks.Load()) })
	placer.heldTargets.Store(&[]almondcross.HeldTarget{})
	return placer
}

// HeldTargets returns the latest published snapshot. It is safe for concurrent use.
func (placer *Placer) HeldTargets() []almondcross.HeldTarget { return *placer.heldTargets.Load() }

// Run handles messages and timers until the context ends, and then returns nil. It returns an error if
// a report cannot be put into the ring of the local coordinator.
func (placer *Placer) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		placer.setTimer(timer)
		var effects []Effect
		select {
		case <-ctx.Done():
			return nil
		case message := <-placer.config.Ring.Messages():
			effects = placer.machine.Apply(message, placer.config.Clock.Now())
		case <-timer.C:
			effects = placer.machine.Tick(placer.config.Clock.Now())
			placer.resendReports()
		}
		if err := placer.performAll(ctx, effects); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Annotate(err, "reporting to the coordinator")
		}
	}
}

func (placer *Placer) setTimer(timer *time.Timer) {
	wait := time.Hour
	if deadline, ok := placer.machine.NextDeadline(); ok {
		wait = max(0, deadline.Sub(placer.config.Clock.Now()))
	}
	if placer.unsentCount > 0 {
		wait = min(wait, resendInterval)
	}
	timer.Reset(wait)
}

// performAll performs effects, and those that result from effects that could not be sent.
func (placer *Placer) performAll(ctx context.Context, effects []Effect) error {
	for {
		placer.unsentEffects = placer.unsentEffects[:0]
		for _, effect := range effects {
			if err := placer.perform(ctx, effect); err != nil {
				return err
			}
		}
		if len(placer.unsentEffects) == 0 {
			return nil
		}
		// The machine reuses its slice of effects, so the effects of several calls are copied.
		effects = nil
		for _, effect := range placer.unsentEffects {
			effects = append(effects, placer.machine.HandleUnsent(effect, placer.config.Clock.Now())...)
		}
	}
}

func (placer *Placer) perform(ctx context.Context, effect Effect) error {
	switch effect.Kind {
	case EffectCreate:
		placer.sinks[effect.Target.Name()] = placer.config.Dispatchers.Create(effect.Target)
	case EffectDrop:
		delete(placer.sinks, effect.Name)
		placer.config.Dispatchers.Drop(effect.Name)
	case EffectSend:
		if sink, ok := placer.sinks[effect.Name]; !ok || !sink.Offer(effect.Dispatch) {
			placer.unsentEffects = append(placer.unsentEffects, effect)
		}
	case EffectReport:
		return placer.report(ctx, effect.Member, effect.Report)
	case EffectForward:
		if !placer.config.Peers.Send(effect.Member.Name(), effect.Peer) {
			placer.unsentEffects = append(placer.unsentEffects, effect)
		}
	case EffectSummary:
		placer.waitingTasks.Store(int64(effect.Summary.Waiting()))
		placer.config.Registrar.Offer(almondcross.NewSummaryChanged(almondcross.SummaryChangedConfig{Summary: effect.Summary}))
	case EffectPublish:
		placer.heldTargets.Store(&effect.Held)
	case EffectAccount:
		placer.config.Accounter.Account(*effect.Account)
	case EffectDecision:
		placer.config.Decisions.Record(*effect.Decision)
	}
	return nil
}

// report sends a report to its coordinator. It blocks while the ring of the local coordinator is full. A
// report that a peer's link refuses is kept and resent in order, or dropped beyond maxUnsentReports.
func (placer *Placer) report(ctx context.Context, member almondcross.MemberID, report Report) error {
	name := member.Name()
	if name == placer.machine.Self().Name() {
		return errors.Trace(placer.config.Coordinator.Put(ctx, report))
	}
	if len(placer.unsentReports[name]) == 0 && placer.config.Peers.Send(name, report) {
		return nil
	}
	if placer.unsentCount >= maxUnsentReports {
		placer.droppedReports.Inc()
		return nil
	}
	placer.unsentCount++
	placer.unsentReports[name] = append(placer.unsentReports[name], unsentReport{report: report, queuedAt: placer.config.Clock.Now()})
	return nil
}

// resendReports retries the reports that links refused, and drops those that still fail after resendTimeout.
func (placer *Placer) resendReports() {
	now := placer.config.Clock.Now()
	for name, reports := range placer.unsentReports {
		for len(reports) > 0 {
			if !placer.config.Peers.Send(name, reports[0].report) {
				if now.Sub(reports[0].queuedAt) < resendTimeout {
					break
				}
				placer.droppedReports.Inc()
			}
			reports = reports[1:]
			placer.unsentCount--
		}
		if len(reports) == 0 {
			delete(placer.unsentReports, name)
		} else {
			placer.unsentReports[name] = reports
		}
	}
}
