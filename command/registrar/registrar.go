package registrar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// RingCapacity is the capacity of the registrar's ring.
const RingCapacity = 1024

// Config holds the identity, peers and dependencies of a Registrar.
type Config struct {
	Self        almondcross.Member
	Peers       []PeerConfig
	Clock       almondcross.Clock
	Sender      almondcross.PeerSender
	Ring        *ring.Ring[almondcross.RegistrarMessage]
	Subscribers []func(almondcross.ViewChanged) // Subscribers holds the functions that receive each new view; they must not block.
	Metrics     *metrics.Set
	Logger      logrus.FieldLogger
}

// Registrar is the duty that maintains the view of the members.
type Registrar struct {
	config  Config
	machine *Machine
	view    atomic.Pointer[almondcross.View]
	rejoins *metrics.Counter
	losses  *metrics.Counter
}

// New returns a registrar whose view has no peers yet.
func New(config Config) *Registrar {
	registrar := &Registrar{
		config: config,
		machine: NewMachine(MachineConfig{
			Self: config.Self, Peers: config.Peers, Start: config.Clock.Now(),
		}),
		rejoins: config.Metrics.NewCounter("almondcross_registrar_rejoins_total"),
		losses:  config.Metrics.NewCounter("almondcross_registrar_losses_total"),
	}
	view := registrar.machine.View(config.Clock.Now())
	registrar.view.Store(&view)
	return registrar
}

// View returns the last published view; it may be called from any goroutine.
func (registrar *Registrar) View() almondcross.View { return *registrar.view.Load() }

// Run maintains the view until the context ends.
func (registrar *Registrar) Run(ctx context.Context) error {
	ticker := time.NewTicker(almondcross.PingInterval)
	defer ticker.Stop()
	registrar.tick()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-registrar.config.Ring.Messages():
			effects, changed := registrar.machine.Apply(message, registrar.config.Clock.Now())
			// The view is published before the pong is sent: a peer with a pong may rely on being in this host's view.
			if changed {
				registrar.publish()
			}
			registrar.send(effects)
		case <-ticker.C:
			registrar.tick()
		}
	}
}

// tick publishes the view even if it did not change, since a view expires.
func (registrar *Registrar) tick() {
	effects, _ := registrar.machine.Tick(registrar.config.Clock.Now())
	registrar.send(effects)
	registrar.publish()
}

func (registrar *Registrar) send(effects []Send) {
	for _, effect := range effects {
		registrar.config.Sender.Send(effect.Member, effect.Message)
	}
}

func (registrar *Registrar) publish() {
	before := registrar.view.Load()
	view := registrar.machine.View(registrar.config.Clock.Now())
	registrar.view.Store(&view)
	for _, publish := range registrar.config.Subscribers {
		publish(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: view}))
	}
	registrar.reportChanges(*before, view)
}

// reportChanges counts and logs rejoins of this host, members that joined the view and members that left it.
func (registrar *Registrar) reportChanges(before, after almondcross.View) {
	if before.Self().ID() != after.Self().ID() {
		registrar.rejoins.Inc()
		registrar.config.Logger.WithField("incarnation", after.Self().ID().Incarnation()).Warn("removed from a peer's view, rejoining")
	}
	for name, peer := range after.Peers() {
		if _, ok := before.Peers()[name]; !ok {
			registrar.config.Logger.WithField("member", name).
				WithField("incarnation", peer.Member().ID().Incarnation()).Info("member joined the view")
		}
	}
	for name := range before.Peers() {
		if _, ok := after.Peers()[name]; !ok {
			registrar.losses.Inc()
			registrar.config.Logger.WithField("member", name).Warn("member left the view")
		}
	}
}
