package dispatcher

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// RingCapacity is the capacity of the ring of one dispatcher.
const RingCapacity = 64

// Config holds the dependencies of a Manager.
type Config struct {
	Context   context.Context // Context stops all dispatchers when it ends.
	Members   almondcross.MemberViewer
	Commander almondcross.WorkerCommander
	Observer  almondcross.WorkerObserver
	Placer    almondcross.Sink[almondcross.PlacerMessage]
	Clock     almondcross.Clock
	Metrics   *metrics.Set
	Logger    logrus.FieldLogger
}

// Manager creates and stops the dispatchers of targets; the placer's duty owns it.
type Manager struct {
	config      Config
	dispatchers map[string]runningDispatcher
	counters    counters
	group       sync.WaitGroup
}

// runningDispatcher holds the ring of a dispatcher and the function that stops it.
type runningDispatcher struct {
	messages *ring.Ring[almondcross.DispatcherMessage]
	cancel   context.CancelFunc
}

// counters are shared by all dispatchers of a host, because the number of counters per target would grow with the cell.
type counters struct {
	acquired, renewed, lost, started, refused *metrics.Counter
}

// NewManager returns a manager without dispatchers.
func NewManager(config Config) *Manager {
	return &Manager{
		config:      config,
		dispatchers: map[string]runningDispatcher{},
		counters: counters{
			acquired: config.Metrics.NewCounter("almondcross_dispatcher_leases_acquired_total"),
			renewed:  config.Metrics.NewCounter("almondcross_dispatcher_leases_renewed_total"),
			lost:     config.Metrics.NewCounter("almondcross_dispatcher_leases_lost_total"),
			started:  config.Metrics.NewCounter("almondcross_dispatcher_starts_total"),
			refused:  config.Metrics.NewCounter("almondcross_dispatcher_starts_refused_total"),
		},
	}
}

// Create starts the dispatcher of a target, without a lease, and returns its ring. If the target already has a
// dispatcher, Create returns the ring of that one.
func (manager *Manager) Create(target almondcross.Target) almondcross.Sink[almondcross.DispatcherMessage] {
	if existing, ok := manager.dispatchers[target.Name()]; ok {
		return existing.messages
	}
	ctx, cancel := context.WithCancel(manager.config.Context)
	messages := ring.New[almondcross.DispatcherMessage](ring.Config{
		Name: "dispatch/" + target.Name(), Capacity: RingCapacity,
	})
	manager.dispatchers[target.Name()] = runningDispatcher{messages: messages, cancel: cancel}
	dispatcher := newDispatcher(manager.config, manager.counters, target, messages)
	manager.group.Go(func() { dispatcher.run(ctx) })
	return messages
}

// Drop stops the dispatcher of a target; the messages left in its ring are discarded.
func (manager *Manager) Drop(target string) {
	if existing, ok := manager.dispatchers[target]; ok {
		existing.cancel()
		delete(manager.dispatchers, target)
	}
}

// Wait returns when every dispatcher has stopped.
func (manager *Manager) Wait() { manager.group.Wait() }
