package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// maxDrainedMessages is the maximum number of messages applied before the effects are carried out.
const maxDrainedMessages = 64

// Rings are the rings for requests to the store. Each has at most one pending request, except ReadIntakes,
// which has one per partition.
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

// DutyConfig holds the dependencies of a Duty.
type DutyConfig struct {
	Machine *Machine
	Ring    *ring.Ring[almondcross.SchedulerMessage]
	Rings   Rings
	Workers almondcross.WorkerManager
	Links   almondcross.LinkSender
	Views   almondcross.ViewLinker
	Clock   almondcross.Clock
	// OnSchedulerChange is called whenever the scheduler changes.
	OnSchedulerChange func(announcement AnnounceScheduler)
	// OnJournalFormat is called with the highest number of a format of the journal when it changes; nil for no call.
	OnJournalFormat func(format int)
	// OnLargeCell is called with whether the cell uses relays of views when that changes; nil for no call.
	OnLargeCell func(large bool)
}

// Duty passes messages from the ring to the machine and carries out the machine's effects.
type Duty struct {
	config         DutyConfig
	leads          atomic.Bool
	resigned       chan struct{}
	resignedClosed bool
	journalFormat  int  // journalFormat is the number that OnJournalFormat was last called with.
	largeCell      bool // largeCell is what OnLargeCell was last called with.
}

// NewDuty returns a duty that is not running; call Run to start it.
func NewDuty(config DutyConfig) *Duty { return &Duty{config: config, resigned: make(chan struct{})} }

// Leads reports whether this host is the scheduler.
func (duty *Duty) Leads() bool { return duty.leads.Load() }

// Resigned returns a channel that is closed once this host has been asked to stop and no longer schedules.
func (duty *Duty) Resigned() <-chan struct{} { return duty.resigned }

// Run runs the duty until the context ends.
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
			// The timer and messages may be ready together, in particular after a pause of this process.
			duty.drain(messages)
		}
		now := duty.config.Clock.Now()
		for effects := machine.Advance(now); len(effects) > 0; effects = machine.Advance(now) {
			for _, effect := range effects {
				duty.carryOut(ctx, effect)
			}
		}
		duty.updateStatus()
		timer.Reset(time.Until(machine.NextDeadline(now)))
	}
}

func (duty *Duty) drain(messages <-chan almondcross.SchedulerMessage) {
	for range maxDrainedMessages {
		select {
		case message := <-messages:
			duty.config.Machine.Apply(message, duty.config.Clock.Now())
		default:
			return
		}
	}
}

func (duty *Duty) updateStatus() {
	machine := duty.config.Machine
	duty.leads.Store(machine.Leads())
	if format := machine.state.format; format != duty.journalFormat && duty.config.OnJournalFormat != nil {
		duty.journalFormat = format
		duty.config.OnJournalFormat(format)
	}
	if large := machine.usesViewRelays(); large != duty.largeCell && duty.config.OnLargeCell != nil {
		duty.largeCell = large
		duty.config.OnLargeCell(large)
	}
	if machine.stopping && !machine.Leads() && !duty.resignedClosed {
		duty.resignedClosed = true
		close(duty.resigned)
	}
}

func (duty *Duty) carryOut(ctx context.Context, effect Effect) {
	rings := duty.config.Rings
	// Each ring holds more than the requests that can be pending, so a full ring contains a request of an
	// earlier epoch. Put waits until that one has been taken.
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
	case SendAdviceQuery:
		duty.sendAdviceQuery(effect)
	case PushBatches:
		duty.config.Links.PushBatches(effect.Hosts, effect.Pushed)
	case PushViews:
		duty.config.Links.PushViews(effect.Hosts, effect.Pushed)
	case AssignRole:
		duty.config.Links.Assign(effect.Host, effect.Assigned)
	case SendPeers:
		duty.config.Links.SendPeers(effect.Hosts, effect.Peers)
	case ReadPointer:
		err = rings.ReadPointer.Put(ctx, effect.Query)
	case StoreUsage:
		err = rings.StoreUsage.Put(ctx, effect.Request)
	case StorePointer:
		err = rings.StorePointer.Put(ctx, effect.Pointer)
	case ConfirmIntake:
		duty.config.Links.ConfirmIntake(effect.Host, effect.Stored)
	case AnnounceScheduler:
		duty.config.OnSchedulerChange(effect)
	default:
		duty.carryViews(effect)
	}
	if err != nil {
		return // The context has ended, so Run returns.
	}
}

// carryViews carries out the effects of cells with relays of views, and passes orders to workers on.
func (duty *Duty) carryViews(effect Effect) {
	views := duty.config.Views
	switch effect := effect.(type) {
	case SendNumber:
		views.SendNumber(effect.Hosts, effect.Numbered)
	case AssignViews:
		views.AssignViews(effect.Host, effect.Assigned)
	case RelayViews:
		views.RelayViews(effect.Links, effect.Pushed)
	case CloseViewers:
		views.CloseViewers(effect.Links)
	case FollowRelay:
		views.FollowRelay(effect.Relay)
	case ReportMissed:
		views.ReportMissed(effect.Missed)
	default:
		duty.sendOrder(effect)
	}
}

func (duty *Duty) sendAdviceQuery(effect SendAdviceQuery) {
	if duty.config.Links.SendAdviceQuery(effect.Adviser, effect.Query) {
		return
	}
	duty.config.Machine.Apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: effect.Adviser, Query: effect.Query, Err: almondcross.ErrStoreRefused,
	}), duty.config.Clock.Now())
}

// sendOrder passes an order to the duties of its worker. An order that finds the queue of its worker full
// counts as not sent.
func (duty *Duty) sendOrder(effect Effect) {
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
			duty.config.Machine.Apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{
				Order: effect.Order, Result: almondcross.OrderNotSent, Received: now,
			}), now)
		}
	case SendStop:
		if !workers.Stop(effect.Order) {
			duty.config.Machine.Apply(almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{
				Order: effect.Order, Result: almondcross.OrderNotSent,
			}), now)
		}
	}
}
