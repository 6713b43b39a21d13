package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Effect is an action that the duty carries out for the machine.
type Effect interface{ effect() }

// Effects of the machine.
type (
	// ReadSnapshot reads the newest snapshot.
	ReadSnapshot struct{ Query almondcross.SnapshotQuery }
	// ReadJournal reads the journal.
	ReadJournal struct{ Query almondcross.JournalQuery }
	// ReadIntake reads one intake partition.
	ReadIntake struct{ Query almondcross.IntakeQuery }
	// ReadWorkers reads the announced workers.
	ReadWorkers struct{ Query almondcross.WorkersQuery }
	// Commit appends to the journal.
	Commit struct{ Request almondcross.JournalCommit }
	// StoreSnapshot stores a snapshot.
	StoreSnapshot struct{ Request almondcross.SnapshotStore }
	// ManageWorker starts the duties of a worker or updates its announcement.
	ManageWorker struct{ Worker almondcross.Worker }
	// ReleaseWorker stops the duties of a worker.
	ReleaseWorker struct{ Worker string }
	// SendLease sends a lease order after a pause.
	SendLease struct {
		Order almondcross.LeaseOrder
		Pause time.Duration
	}
	// SendStart sends a start order.
	SendStart struct{ Order almondcross.StartOrder }
	// SendStop sends a stop order.
	SendStop struct{ Order almondcross.StopOrder }
	// SendAdviceQuery sends an advice query to a host.
	SendAdviceQuery struct {
		Adviser string
		Query   almondcross.AdviceQuery
	}
	// PushBatches sends committed batches to linked hosts.
	PushBatches struct {
		Hosts  []string
		Pushed almondcross.JournalPushed
	}
	// PushViews sends changed views to linked hosts.
	PushViews struct {
		Hosts  []string
		Pushed almondcross.ViewsPushed
	}
	// SendNumber sends the number of a push of views to linked hosts that get the views from relays.
	SendNumber struct {
		Hosts    []string
		Numbered almondcross.ViewsNumbered
	}
	// AssignViews tells a linked host from where it gets views.
	AssignViews struct {
		Host     string
		Assigned almondcross.ViewsAssigned
	}
	// RelayViews sends views over links that other hosts have opened to this one for views.
	RelayViews struct {
		Links  []int64
		Pushed almondcross.ViewsPushed
	}
	// CloseViewers closes such links.
	CloseViewers struct{ Links []int64 }
	// FollowRelay opens a link to a relay in place of the earlier one, or none.
	FollowRelay struct{ Relay almondcross.ViewRelayLink }
	// ReportMissed tells the scheduler that views from a relay are missing.
	ReportMissed struct{ Missed almondcross.ViewsMissed }
	// AssignRole tells a linked host whether it is a standby.
	AssignRole struct {
		Host     string
		Assigned almondcross.RoleAssigned
	}
	// SendPeers sends linked hosts the addresses on which other hosts accept links.
	SendPeers struct {
		Hosts []string
		Peers almondcross.PeersKnown
	}
	// ReadPointer queries the store and other hosts for the current scheduler.
	ReadPointer struct{ Query almondcross.PointerQuery }
	// StoreUsage stores the usage of queues.
	StoreUsage struct{ Request almondcross.UsageStore }
	// StorePointer stores the pointer to the current scheduler.
	StorePointer struct{ Pointer almondcross.SchedulerPointer }
	// ConfirmIntake confirms to a host that its forwarded intake is stored.
	ConfirmIntake struct {
		Host   string
		Stored almondcross.IntakeStored
	}
	// AnnounceScheduler announces the current scheduler.
	AnnounceScheduler struct {
		// Pointer names the scheduler; it is empty while none is known.
		Pointer almondcross.SchedulerPointer
		Own     bool // Own is set if this host is the scheduler.
		// Strength is the scheduling strength of this host, up to 100.
		Strength int
		// Ends holds the ends of runs that this host has read as scheduler and may not have recorded.
		Ends []almondcross.Change
	}
)

func (ReadSnapshot) effect()      {}
func (ReadJournal) effect()       {}
func (ReadIntake) effect()        {}
func (ReadWorkers) effect()       {}
func (Commit) effect()            {}
func (StoreSnapshot) effect()     {}
func (ManageWorker) effect()      {}
func (ReleaseWorker) effect()     {}
func (SendLease) effect()         {}
func (SendStart) effect()         {}
func (SendStop) effect()          {}
func (SendAdviceQuery) effect()   {}
func (PushBatches) effect()       {}
func (PushViews) effect()         {}
func (AssignRole) effect()        {}
func (SendNumber) effect()        {}
func (AssignViews) effect()       {}
func (RelayViews) effect()        {}
func (CloseViewers) effect()      {}
func (FollowRelay) effect()       {}
func (ReportMissed) effect()      {}
func (ReadPointer) effect()       {}
func (SendPeers) effect()         {}
func (StoreUsage) effect()        {}
func (StorePointer) effect()      {}
func (ConfirmIntake) effect()     {}
func (AnnounceScheduler) effect() {}
