package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Effect is something that the duty carries out for the machine.
type Effect interface{ effect() }

// The effects of the machine.
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
	// ManageWorker opens the duties of a worker or changes its announcement.
	ManageWorker struct{ Worker almondcross.Worker }
	// ReleaseWorker ends the duties of a worker.
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
	// Ask passes an advice query to a host.
	Ask struct {
		Adviser string
		Query   almondcross.AdviceQuery
	}
	// Push passes committed batches to linked hosts.
	Push struct {
		Hosts  []string
		Pushed almondcross.JournalPushed
	}
	// PushViews passes changed views to linked hosts.
	PushViews struct {
		Hosts  []string
		Pushed almondcross.ViewsPushed
	}
	// Assign tells a linked host what it keeps.
	Assign struct {
		Host     string
		Assigned almondcross.Assigned
	}
	// TellPeers tells linked hosts where other hosts accept links.
	TellPeers struct {
		Hosts []string
		Peers almondcross.PeersKnown
	}
	// ReadPointer asks which host schedules.
	ReadPointer struct{ Query almondcross.PointerQuery }
	// StoreUsage stores the account.
	StoreUsage struct{ Request almondcross.UsageStore }
	// StorePointer tells all hosts which one schedules.
	StorePointer struct{ Pointer almondcross.SchedulerPointer }
	// TellStored tells a host that its forwarded intake is stored.
	TellStored struct {
		Host   string
		Stored almondcross.IntakeStored
	}
	// Lead tells who schedules now.
	Lead struct {
		// Pointer names the scheduler; it is empty while none is known.
		Pointer almondcross.SchedulerPointer
		Own     bool // Own tells whether it is this host.
		// Strength is how well this host could schedule, up to 100.
		Strength int
	}
)

func (ReadSnapshot) effect()  {}
func (ReadJournal) effect()   {}
func (ReadIntake) effect()    {}
func (ReadWorkers) effect()   {}
func (Commit) effect()        {}
func (StoreSnapshot) effect() {}
func (ManageWorker) effect()  {}
func (ReleaseWorker) effect() {}
func (SendLease) effect()     {}
func (SendStart) effect()     {}
func (SendStop) effect()      {}
func (Ask) effect()           {}
func (Push) effect()          {}
func (PushViews) effect()     {}
func (Assign) effect()        {}
func (ReadPointer) effect()   {}
func (TellPeers) effect()     {}
func (StoreUsage) effect()    {}
func (StorePointer) effect()  {}
func (TellStored) effect()    {}
func (Lead) effect()          {}
