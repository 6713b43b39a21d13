package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// RingCapacity is the capacity of the coordinator's ring.
	RingCapacity = 8192
	// maxTimerWait is the longest time between two checks of the timers.
	maxTimerWait = time.Second
)

// Config holds the dependencies and the initial view of a Coordinator.
type Config struct {
	Ring      *ring.Ring[almondcross.CoordinatorMessage]
	Placer    almondcross.Sink[almondcross.PlacerMessage]
	Claimer   almondcross.Sink[almondcross.ClaimerMessage]
	Answers   almondcross.Sink[almondcross.ReadAnswer]
	Sender    almondcross.PeerSender
	Accounter almondcross.Accounter
	Recorder  almondcross.DecisionRecorder
	Clock     almondcross.Clock
	View      almondcross.View
	Metrics   *metrics.Set
	Logger    logrus.FieldLogger
}

// Coordinator is the duty that owns the keys of a member.
type Coordinator struct {
	config        Config
	machine       *Machine
	drained       chan struct{}
	drainedClosed bool
	keyCount      atomic.Int64 // keyCount is the number of keys after the last message or tick.
	messages      *metrics.Counter
	lostMessages  *metrics.Counter
	replies       map[almondcross.Status]*metrics.Counter
}

// New returns a coordinator with an empty key table.
func New(config Config) *Coordinator {
	coordinator := &Coordinator{
		config: config,
		machine: NewMachine(MachineConfig{
			View: config.View, Catalogue: almondcross.NewCatalogue(), Start: config.Clock.Now(),
		}),
		drained:      make(chan struct{}),
		messages:     config.Metrics.NewCounter("almondcross_coordinator_messages_total"),
		lostMessages: config.Metrics.NewCounter("almondcross_coordinator_lost_messages_total"),
		replies:      map[almondcross.Status]*metrics.Counter{},
	}
	for _, status := range []almondcross.Status{
		almondcross.StatusDone, almondcross.StatusNotRun, almondcross.StatusRunning,
		almondcross.StatusUnknown, almondcross.StatusFailed,
	} {
		coordinator.replies[status] = config.Metrics.NewCounter(`almondcross_coordinator_replies_total{status="` + string(status) + `"}`)
	}
	config.Metrics.NewGauge("almondcross_coordinator_keys", func() float64 { return float64(coordinator.keyCount.Load()) })
	return coordinator
}

// Drained returns a channel that is closed when a graceful shutdown has begun and no work is left.
func (coordinator *Coordinator) Drained() <-chan struct{} { return coordinator.drained }

// Run processes messages until the context ends.
func (coordinator *Coordinator) Run(ctx context.Context) error {
	timer := time.NewTimer(maxTimerWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-coordinator.config.Ring.Messages():
			coordinator.messages.Inc()
			coordinator.performAll(coordinator.machine.Apply(message, coordinator.config.Clock.Now()))
		case <-timer.C:
		}
		coordinator.performAll(coordinator.machine.Tick(coordinator.config.Clock.Now()))
		coordinator.keyCount.Store(int64(coordinator.machine.Len()))
		coordinator.checkDrained()
		timer.Reset(coordinator.untilDeadline())
	}
}

func (coordinator *Coordinator) untilDeadline() time.Duration {
	deadline, ok := coordinator.machine.NextDeadline()
	if !ok {
		return maxTimerWait
	}
	return max(0, min(maxTimerWait, deadline.Sub(coordinator.config.Clock.Now())))
}

func (coordinator *Coordinator) checkDrained() {
	if !coordinator.machine.Draining() {
		return
	}
	if coordinator.machine.Drained() && !coordinator.drainedClosed {
		coordinator.drainedClosed = true
		close(coordinator.drained)
	}
}

// performAll performs effects. A message that its receiver did not accept is reported to the machine, and the effects
// that result are performed as well.
func (coordinator *Coordinator) performAll(effects []Effect) {
	for len(effects) > 0 {
		var followUps []Effect
		for _, effect := range effects {
			followUps = append(followUps, coordinator.perform(effect)...)
		}
		effects = followUps
	}
}

func (coordinator *Coordinator) perform(effect Effect) []Effect {
	switch effect := effect.(type) {
	case Reply:
		coordinator.replies[effect.Outcome.Status()].Inc()
		effect.Replier.Reply(effect.Outcome)
	case Send:
		if !coordinator.config.Sender.Send(effect.Member, effect.Message) {
			coordinator.lostMessages.Inc()
			return coordinator.machine.SendFailed(effect.Message, coordinator.config.Clock.Now())
		}
	case NotifyPlacer:
		if !coordinator.config.Placer.Offer(effect.Message) {
			return coordinator.undeliveredToPlacer(effect.Message)
		}
	case NotifyClaimer:
		if !coordinator.config.Claimer.Offer(effect.Message) {
			return coordinator.undeliveredToClaimer(effect.Message)
		}
	case FetchAnswer:
		if !coordinator.config.Answers.Offer(effect.Message) {
			return coordinator.machine.Apply(almondcross.NewAnswerRead(almondcross.AnswerReadConfig{
				Key: effect.Message.Key(),
			}), coordinator.config.Clock.Now())
		}
	case Account:
		coordinator.config.Accounter.Account(effect.Event)
	case RecordDecision:
		coordinator.config.Recorder.Record(effect.Event)
	}
	return nil
}

func (coordinator *Coordinator) undeliveredToPlacer(message almondcross.PlacerMessage) []Effect {
	place, ok := message.(almondcross.PlaceTask)
	if !ok {
		coordinator.lostMessages.Inc()
		return nil
	}
	task := place.Task()
	return coordinator.machine.Apply(almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: task.Coordinator(),
		Code: almondcross.CodeOverloaded, RetryAfter: time.Second.Milliseconds(),
	}), coordinator.config.Clock.Now())
}

func (coordinator *Coordinator) undeliveredToClaimer(message almondcross.ClaimerMessage) []Effect {
	claim, ok := message.(almondcross.ClaimKey)
	if !ok {
		coordinator.lostMessages.Inc()
		return nil
	}
	return coordinator.machine.Apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: claim.Key(), Code: almondcross.CodeOverloaded,
	}), coordinator.config.Clock.Now())
}
