package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// drainBatch is the most messages that are applied before the effects are carried out.
const drainBatch = 64

// Rings are where the duty puts its requests to the store. Each has one request under way at a time,
// except ReadIntakes, which has one for each partition.
type Rings struct {
	ReadPointer   almondcross.Sink[almondcross.PointerQuery]
	ReadSnapshot  almondcross.Sink[almondcross.SnapshotQuery]
	ReadJournal   almondcross.Sink[almondcross.JournalQuery]
	ReadIntakes   []almondcross.Sink[almondcross.IntakeQuery]
	ReadWorkers   almondcross.Sink[almondcross.WorkersQuery]
	Commit        almondcross.Sink[almondcross.JournalCommit]
	StoreSnapshot almondcross.Sink[almondcross.SnapshotStore]
	StorePointer  almondcross.Sink[almondcross.SchedulerPointer]
	StoreUsage    almondcross.Sink[almondcross.UsageStore]
}

// DutyConfig holds what a Duty needs.
type DutyConfig struct {
	Machine *Machine
	Ring    *ring.Ring[almondcross.SchedulerMessage]
	Rings   Rings
	Workers almondcross.WorkerManager
	Desk    almondcross.AdviceDesk
	Clock   almondcross.Clock
	// Leaders is told who schedules whenever that changes.
	Leaders func(lead Lead)
}

// Duty feeds the machine from the ring and carries out its effects.
type Duty struct {
	config DutyConfig
	leads  atomic.Bool
	done   chan struct{}
	once   bool
}

// NewDuty returns a duty; Run starts it.
func NewDuty(config DutyConfig) *Duty { return &Duty{config: config, done: make(chan struct{})} }

// Leads reports whether this host is the scheduler.
func (duty *Duty) Leads() bool { return duty.leads.Load() }

// Resigned is closed when this host, asked to stop, no longer schedules.
func (duty *Duty) Resigned() <-chan struct{} { return duty.done }

// Run works until the context ends.
func (duty *Duty) Run(ctx context.Context) error {
	machine, messages := duty.config.Machine, duty.config.Ring.Messages()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-messages:
			machine.Apply(message, duty.config.Clock.Now())
			duty.drain(messages)
		case <-timer.C:
		}
		now := duty.config.Clock.Now()
		for effects := machine.Advance(now); len(effects) > 0; effects = machine.Advance(now) {
			for _, effect := range effects {
				duty.carryOut(ctx, effect)
			}
		}
		duty.observe()
		timer.Reset(time.Until(machine.NextDeadline(now)))
	}
}

func (duty *Duty) drain(messages <-chan almondcross.SchedulerMessage) {
	for range drainBatch {
		select {
		case message := <-messages:
			duty.config.Machine.Apply(message, duty.config.Clock.Now())
		default:
			return
		}
	}
}

func (duty *Duty) observe() {
	machine := duty.config.Machine
	duty.leads.Store(machine.Leads())
	if machine.stopping && !machine.Leads() && !duty.once {
		duty.once = true
		close(duty.done)
	}
}

func (duty *Duty) carryOut(ctx context.Context, effect Effect) {
	rings := duty.config.Rings
	// A request that finds its ring full can only belong to an epoch that is over, since each ring
	// holds more than is under way at a time; Put waits until the stale one was taken.
	var err error
	switch effect := effect.(type) {
	case ReadSnapshot:
		err = rings.ReadSnapshot.Put(ctx, effect.Query)
	case ReadJournal:
		err = rings.ReadJournal.Put(ctx, effect.Query)
	case ReadIntake:
		err = rings.ReadIntakes[effect.Query.Partition()].Put(ctx, effect.Query)
	case ReadWorkers:
		err = rings.ReadWorkers.Put(ctx, effect.Query)
	case Commit:
		err = rings.Commit.Put(ctx, effect.Request)
	case StoreSnapshot:
		err = rings.StoreSnapshot.Put(ctx, effect.Request)
	case Ask:
		duty.ask(effect)
	case Push:
		duty.config.Desk.Push(effect.Hosts, effect.Pushed)
	case PushViews:
		duty.config.Desk.PushViews(effect.Hosts, effect.Pushed)
	case Assign:
		duty.config.Desk.Assign(effect.Host, effect.Assigned)
	case TellPeers:
		duty.config.Desk.TellPeers(effect.Hosts, effect.Peers)
	case ReadPointer:
		err = rings.ReadPointer.Put(ctx, effect.Query)
	case StoreUsage:
		err = rings.StoreUsage.Put(ctx, effect.Request)
	case StorePointer:
		err = rings.StorePointer.Put(ctx, effect.Pointer)
	case TellStored:
		duty.config.Desk.Stored(effect.Host, effect.Stored)
	case Lead:
		duty.config.Leaders(effect)
	default:
		duty.order(effect)
	}
	if err != nil {
		return // The context has ended, and Run ends with it.
	}
}

func (duty *Duty) ask(effect Ask) {
	if duty.config.Desk.Ask(effect.Adviser, effect.Query) {
		return
	}
	duty.config.Machine.Apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: effect.Adviser, Query: effect.Query, Err: almondcross.ErrStoreRefused,
	}), duty.config.Clock.Now())
}

// order passes orders to the workers' duties. An order that finds too many before it was not sent.
func (duty *Duty) order(effect Effect) {
	workers, now := duty.config.Workers, duty.config.Clock.Now()
	switch effect := effect.(type) {
	case ManageWorker:
		workers.Manage(effect.Worker)
	case ReleaseWorker:
		workers.Release(effect.Worker)
	case SendLease:
		if !workers.Lease(effect.Order, effect.Pause) {
			duty.config.Machine.Apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
				Order: effect.Order, Result: almondcross.OrderNotSent, Sent: now, Received: now,
			}), now)
		}
	case SendStart:
		if !workers.Start(effect.Order) {
			duty.config.Machine.Apply(almondcross.NewRunStarted(almondcross.RunStartedConfig{
				Order: effect.Order, Result: almondcross.OrderNotSent, Received: now,
			}), now)
		}
	case SendStop:
		if !workers.Stop(effect.Order) {
			duty.config.Machine.Apply(almondcross.NewRunStopped(almondcross.RunStoppedConfig{
				Order: effect.Order, Result: almondcross.OrderNotSent,
			}), now)
		}
	}
}
