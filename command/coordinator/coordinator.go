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
	// idleWait is the longest time between two looks at the timers.
	idleWait = time.Second
)

// Config holds the fields of a new Coordinator.
type Config struct {
	Ring      *ring.Ring[almondcross.CoordinatorMessage]
	Placer    almondcross.Sink[almondcross.PlacerMessage]
	Claimer   almondcross.Sink[almondcross.ClaimerMessage]
	Answers   almondcross.Sink[almondcross.ReadAnswer]
	Sender    almondcross.PeerSender
	Accounter almondcross.Accounter
	Recorder  almondcross.StoryRecorder
	Clock     almondcross.Clock
	View      almondcross.View
	Metrics   *metrics.Set
	Logger    logrus.FieldLogger
}

// Coordinator is the duty that owns the keys of a member.
type Coordinator struct {
	config   Config
	machine  *Machine
	drained  chan struct{}
	closed   bool
	known    atomic.Int64 // known is the number of keys after the last step.
	messages *metrics.Counter
	lost     *metrics.Counter
	replies  map[almondcross.Status]*metrics.Counter
}

// New returns a coordinator that knows no key.
func New(config Config) *Coordinator {
	coordinator := &Coordinator{
		config: config,
		machine: NewMachine(MachineConfig{
			View: config.View, Catalogue: almondcross.NewCatalogue(), Start: config.Clock.Now(),
		}),
		drained:  make(chan struct{}),
		messages: config.Metrics.NewCounter("almondcross_coordinator_messages_total"),
		lost:     config.Metrics.NewCounter("almondcross_coordinator_lost_messages_total"),
		replies:  map[almondcross.Status]*metrics.Counter{},
	}
	for _, status := range []almondcross.Status{
		almondcross.StatusDone, almondcross.StatusNotRun, almondcross.StatusRunning,
		almondcross.StatusUnknown, almondcross.StatusFailed,
	} {
		coordinator.replies[status] = config.Metrics.NewCounter(`almondcross_coordinator_replies_total{status="` + string(status) + `"}`)
	}
	config.Metrics.NewGauge("almondcross_coordinator_keys", func() float64 { return float64(coordinator.known.Load()) })
	return coordinator
}

// Drained returns a channel that is closed when a planned stop has nothing left to finish.
func (coordinator *Coordinator) Drained() <-chan struct{} { return coordinator.drained }

// Run processes messages until the context ends.
func (coordinator *Coordinator) Run(ctx context.Context) error {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-coordinator.config.Ring.Messages():
			coordinator.messages.Inc()
			coordinator.carryOut(coordinator.machine.Apply(message, coordinator.config.Clock.Now()))
		case <-timer.C:
		}
		coordinator.carryOut(coordinator.machine.Tick(coordinator.config.Clock.Now()))
		coordinator.known.Store(int64(coordinator.machine.Len()))
		coordinator.checkDrained()
		timer.Reset(coordinator.untilDeadline())
	}
}

func (coordinator *Coordinator) untilDeadline() time.Duration {
	deadline, ok := coordinator.machine.NextDeadline()
	if !ok {
		return idleWait
	}
	return max(0, min(idleWait, deadline.Sub(coordinator.config.Clock.Now())))
}

func (coordinator *Coordinator) checkDrained() {
	if !coordinator.machine.Draining() {
		return
	}
	if coordinator.machine.Drained() && !coordinator.closed {
		coordinator.closed = true
		close(coordinator.drained)
	}
}

// carryOut performs effects; a refusal goes back to the machine, whose effects follow.
func (coordinator *Coordinator) carryOut(effects []Effect) {
	for len(effects) > 0 {
		var more []Effect
		for _, effect := range effects {
			more = append(more, coordinator.perform(effect)...)
		}
		effects = more
	}
}

func (coordinator *Coordinator) perform(effect Effect) []Effect {
	switch effect := effect.(type) {
	case Reply:
		coordinator.replies[effect.Outcome.Status()].Inc()
		effect.Replier.Reply(effect.Outcome)
	case Send:
		if !coordinator.config.Sender.Send(effect.Member, effect.Message) {
			coordinator.lost.Inc()
			return coordinator.machine.SendFailed(effect.Message, coordinator.config.Clock.Now())
		}
	case Place:
		if !coordinator.config.Placer.Offer(effect.Message) {
			return coordinator.placerRefused(effect.Message)
		}
	case Claim:
		if !coordinator.config.Claimer.Offer(effect.Message) {
			return coordinator.claimerRefused(effect.Message)
		}
	case FetchAnswer:
		if !coordinator.config.Answers.Offer(effect.Message) {
			return coordinator.machine.Apply(almondcross.NewAnswerRead(almondcross.AnswerReadConfig{
				Key: effect.Message.Key(),
			}), coordinator.config.Clock.Now())
		}
	case Account:
		coordinator.config.Accounter.Account(effect.Event)
	case Story:
		coordinator.config.Recorder.Record(effect.Event)
	}
	return nil
}

func (coordinator *Coordinator) placerRefused(message almondcross.PlacerMessage) []Effect {
	place, ok := message.(almondcross.PlaceTask)
	if !ok {
		coordinator.lost.Inc()
		return nil
	}
	task := place.Task()
	return coordinator.machine.Apply(almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: task.Coordinator(),
		Code: almondcross.CodeOverloaded, RetryAfter: time.Second.Milliseconds(),
	}), coordinator.config.Clock.Now())
}

func (coordinator *Coordinator) claimerRefused(message almondcross.ClaimerMessage) []Effect {
	claim, ok := message.(almondcross.ClaimKey)
	if !ok {
		coordinator.lost.Inc()
		return nil
	}
	return coordinator.machine.Apply(almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: claim.Key(), Code: almondcross.CodeOverloaded,
	}), coordinator.config.Clock.Now())
}
