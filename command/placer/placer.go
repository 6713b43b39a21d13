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
	// resendInterval is the time after which reports that a link refused are sent again.
	resendInterval = almondcross.PingInterval
	// resendLimit is how long a report is repeated: from HoldBack on, the coordinator of a peer
	// that is still unreachable has been replaced.
	resendLimit = 2 * almondcross.HoldBack
	// resendCapacity bounds the reports that wait for links.
	resendCapacity = 8192
)

// Config holds the parts of a new Placer.
type Config struct {
	Ring        *ring.Ring[almondcross.PlacerMessage]
	Policies    Policies
	Seed        uint64 // Seed starts the choice of peers that tasks are forwarded to.
	Dispatchers almondcross.DispatcherManager
	Peers       almondcross.PeerSender
	Coordinator almondcross.Sink[almondcross.CoordinatorMessage]
	Registrar   almondcross.Sink[almondcross.RegistrarMessage]
	Accounter   almondcross.Accounter
	Stories     almondcross.StoryRecorder
	Clock       almondcross.Clock
	Metrics     *metrics.Set // Metrics receives the counters; nil for none.
}

// Placer is the duty that feeds the machine and carries out its effects. Run owns every field
// but the snapshot.
type Placer struct {
	config  Config
	machine *Machine
	sinks   map[string]almondcross.Sink[almondcross.DispatcherMessage]
	resends map[string][]resend
	waiting int // the number of reports in resends
	held    atomic.Pointer[[]almondcross.HeldTarget]
	unsent  []Effect
	lost    *metrics.Counter
	queued  atomic.Int64 // queued is the number of waiting tasks in the last summary.
}

// resend is a report that a link refused.
type resend struct {
	report Report
	since  time.Time
}

// New returns a placer without targets.
func New(config Config) *Placer {
	placer := &Placer{
		config:  config,
		machine: NewMachine(MachineConfig{Policies: config.Policies, Seed: config.Seed}),
		sinks:   map[string]almondcross.Sink[almondcross.DispatcherMessage]{},
		resends: map[string][]resend{},
	}
	set := config.Metrics
	if set == nil {
		set = metrics.NewSet()
	}
	placer.lost = set.NewCounter("almondcross_placer_reports_dropped_total")
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
	set.NewGauge("almondcross_placer_tasks_waiting", func() float64 { return float64(placer.queued.Load()) })
	placer.held.Store(&[]almondcross.HeldTarget{})
	return placer
}

// HeldTargets returns the last published snapshot; any goroutine may call it.
func (placer *Placer) HeldTargets() []almondcross.HeldTarget { return *placer.held.Load() }

// Run takes messages and timers until the context ends.
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
			placer.resend()
		}
		if err := placer.carryOut(ctx, effects); err != nil {
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
	if placer.waiting > 0 {
		wait = min(wait, resendInterval)
	}
	timer.Reset(wait)
}

// carryOut carries out effects, and those that follow from effects that could not be sent.
func (placer *Placer) carryOut(ctx context.Context, effects []Effect) error {
	for {
		placer.unsent = placer.unsent[:0]
		for _, effect := range effects {
			if err := placer.do(ctx, effect); err != nil {
				return err
			}
		}
		if len(placer.unsent) == 0 {
			return nil
		}
		// The machine reuses its slice of effects, so those of several calls are copied.
		effects = nil
		for _, effect := range placer.unsent {
			effects = append(effects, placer.machine.Unsent(effect, placer.config.Clock.Now())...)
		}
	}
}

func (placer *Placer) do(ctx context.Context, effect Effect) error {
	switch effect.Kind {
	case EffectCreate:
		placer.sinks[effect.Target.Name()] = placer.config.Dispatchers.Create(effect.Target)
	case EffectDrop:
		delete(placer.sinks, effect.Name)
		placer.config.Dispatchers.Drop(effect.Name)
	case EffectSend:
		if sink, ok := placer.sinks[effect.Name]; !ok || !sink.Offer(effect.Dispatch) {
			placer.unsent = append(placer.unsent, effect)
		}
	case EffectReport:
		return placer.report(ctx, effect.Member, effect.Report)
	case EffectForward:
		if !placer.config.Peers.Send(effect.Member.Name(), effect.Peer) {
			placer.unsent = append(placer.unsent, effect)
		}
	case EffectSummary:
		placer.queued.Store(int64(effect.Summary.Waiting()))
		placer.config.Registrar.Offer(almondcross.NewSummaryChanged(almondcross.SummaryChangedConfig{Summary: effect.Summary}))
	case EffectPublish:
		placer.held.Store(&effect.Held)
	case EffectAccount:
		placer.config.Accounter.Account(*effect.Account)
	case EffectStory:
		placer.config.Stories.Record(*effect.Story)
	}
	return nil
}

// report waits for room at the local coordinator. A report to a peer whose link is full is
// repeated in order.
func (placer *Placer) report(ctx context.Context, member almondcross.MemberID, report Report) error {
	name := member.Name()
	if name == placer.machine.Self().Name() {
		return errors.Trace(placer.config.Coordinator.Put(ctx, report))
	}
	if len(placer.resends[name]) == 0 && placer.config.Peers.Send(name, report) {
		return nil
	}
	if placer.waiting >= resendCapacity {
		placer.lost.Inc()
		return nil
	}
	placer.waiting++
	placer.resends[name] = append(placer.resends[name], resend{report: report, since: placer.config.Clock.Now()})
	return nil
}

// resend sends the reports again that links refused, and drops those of peers that stay away.
func (placer *Placer) resend() {
	now := placer.config.Clock.Now()
	for name, list := range placer.resends {
		for len(list) > 0 {
			if !placer.config.Peers.Send(name, list[0].report) {
				if now.Sub(list[0].since) < resendLimit {
					break
				}
				placer.lost.Inc()
			}
			list = list[1:]
			placer.waiting--
		}
		if len(list) == 0 {
			delete(placer.resends, name)
		} else {
			placer.resends[name] = list
		}
	}
}
