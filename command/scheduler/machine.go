package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// role is the role of this host in scheduling.
type role int

const (
	roleDiscovering role = iota // roleDiscovering looks for the scheduler.
	roleViewer                  // roleViewer is linked to the scheduler and keeps only the views of jobs.
	roleLoading                 // roleLoading reads the snapshot.
	roleFollower                // roleFollower applies the journal.
	roleCandidate               // roleCandidate waits for the answer to an election append.
	roleLeader                  // roleLeader writes the journal and sends orders to workers.
)

// Config holds the dependencies and settings of a Machine.
type Config struct {
	Host                string        // Host is the name of this host.
	Address             string        // Address is the address of this host's link for other hosts.
	Partitions          int           // Partitions is the number of intake partitions.
	Retention           time.Duration // Retention is how long the state of a final job stays readable.
	MaxLease            time.Duration // MaxLease is the longest lease that workers grant.
	Strength            int           // Strength is the scheduling strength of this host, up to 100, before its latency to the store is subtracted.
	IgnoresAttemptLimit bool          // IgnoresAttemptLimit makes this host apply failed runs by another rule than this version, in simulations; see asRead.
	FormatAbove         int           // FormatAbove is by how much the number of the journal's format is above that of this version, in simulations of a later one.
	SnapshotInterval    time.Duration // SnapshotInterval is the time between two snapshots.
	StateBytes          int64         // StateBytes is the memory in bytes that the jobs of the state may take on this host, 0 for no limit.
	RecordBytes         int           // RecordBytes is the maximum size of a journal record in bytes.
	BatchesPerAppend    int           // BatchesPerAppend is how many journal records of the largest size fit in one append.
	Random              *rand.Rand
	Publisher           almondcross.JobPublisher
	Picker              almondcross.WorkerPicker
	Order               almondcross.OrderPolicy
	Room                almondcross.RoomPolicy              // Room decides which jobs the state has room for; it is not used without a limit.
	NewShares           func() almondcross.SharePolicy      // NewShares returns the policy that orders the workspaces in one pool.
	NewRunTimes         func() almondcross.RuntimeEstimator // NewRunTimes returns the estimator of an epoch, nil to use the callers' estimates.
	NewSpeeds           func() almondcross.WorkerSpeeds     // NewSpeeds returns the estimator of an epoch, nil to treat workers as equally fast.
	ViewRelays          almondcross.ViewRelayChooser        // ViewRelays chooses the relays of views; nil for none.
	ViewRelayThreshold  int                                 // ViewRelayThreshold is the number of linked hosts above which relays are used.
	Log                 almondcross.EventLog
	Metrics             Metrics
}

// Machine is the decision code of the scheduler: a state machine without clocks and transports. It is not safe
// for concurrent use.
type Machine struct {
	config   Config
	state    *state
	routes   almondcross.RouteTable
	queues   map[string]almondcross.Queue    // queues holds the queues of the route table by name.
	queuesAt map[queuePath]almondcross.Queue // queuesAt holds them by path.
	// workspaces holds the workspaces by name, as the last version of the route table that has them.
	workspaces map[string]almondcross.Workspace
	role       role
	now        time.Time
	effects    []Effect

	discovery discovery
	follower  follower
	source    viewSource
	leader    *leader
	reads     pendingReads
	gap       gap

	unrecordedEnds unrecordedEnds

	// triedEpoch is the highest epoch that this host has used in an election.
	triedEpoch int64
	// unreadableEpoch is the epoch of the last scheduler whose journal this host cannot read in full, zero for none. It outlives
	// reloads of the state.
	unreadableEpoch int64
	stopping        bool
	// largeStateAt is when this host last gave up a state that it cannot hold, zero for never.
	largeStateAt time.Time
	linkedHosts  map[string]*linkedHost
	// snapshotKeys holds the keys of snapshots that the store had when this host loaded the state, until it has stored one.
	snapshotKeys    []string
	snapshotPending bool // snapshotPending is set while a snapshot is being stored, also by an earlier epoch of this host.

	acceptedJobs map[almondcross.JobID]acceptedJob // acceptedJobs holds the jobs of this host that no published state has had.
	// peers holds the addresses on which other hosts accept links, newest last.
	peers []string
	// largeCell is set if the last scheduler that assigned views to this host used relays of views.
	largeCell bool
	// lastViewLink is the number of the last link to a relay of views.
	lastViewLink int64
}

// NewMachine returns a machine that starts to look for the scheduler.
func NewMachine(config Config) *Machine {
	machine := &Machine{config: config, state: newState(config.Retention), linkedHosts: map[string]*linkedHost{}, acceptedJobs: map[almondcross.JobID]acceptedJob{}, workspaces: map[string]almondcross.Workspace{}}
	machine.reads.intakes = map[int]bool{}
	machine.linkedHosts[config.Host] = &linkedHost{name: config.Host}
	machine.discoverScheduler()
	return machine
}

// Leads reports whether this host is the scheduler.
func (machine *Machine) Leads() bool { return machine.role == roleLeader }

// Leader returns the host name and link address of the scheduler. Both are empty when none is known.
func (machine *Machine) Leader() (host, address string) {
	if machine.state.resigned {
		return "", ""
	}
	return machine.state.schedulerHost, machine.state.schedulerAddress
}

// Apply handles a message. Its effects are returned by the next Advance.
func (machine *Machine) Apply(message almondcross.SchedulerMessage, now time.Time) {
	machine.setTime(now)
	switch message := message.(type) {
	case almondcross.LinkLost:
		if machine.role == roleViewer && message.Scheduler() == machine.discovery.pointer.Host() {
			machine.config.Log.Record("scheduler_link_lost", almondcross.Text("host", message.Scheduler()))
			machine.discoverScheduler()
		}
		machine.linkLost(message)
	case almondcross.RoleAssigned:
		machine.roleAssigned(message)
	case almondcross.PeersKnown:
		machine.peersKnown(message.Addresses())
	case almondcross.ViewsPushed:
		machine.viewsPushed(message)
	case almondcross.JournalPushed:
		machine.journalPushed(message)
	case almondcross.JournalCommitted:
		machine.committed(message)
	case almondcross.JobAccepted:
		machine.jobAccepted(message.Job(), message.Settings())
	case almondcross.HostLinkChanged:
		machine.hostLinkChanged(message)
	case almondcross.ViewsAssigned, almondcross.ViewsNumbered, almondcross.ViewsMissed, almondcross.ViewerLinkChanged, almondcross.RelayedViews, almondcross.ViewRelayLost:
		machine.applyViewMessage(message)
	case almondcross.StopScheduling:
		machine.stopping = true
	default:
		machine.applyRead(message)
	}
}

// applyRead handles the answers to reads.
func (machine *Machine) applyRead(message almondcross.SchedulerMessage) {
	switch message := message.(type) {
	case almondcross.PointerRead:
		machine.pointerRead(message)
	case almondcross.SnapshotRead:
		machine.snapshotRead(message)
	case almondcross.JournalRead:
		machine.journalRead(message)
	case almondcross.IntakeRead:
		machine.intakeRead(message)
	case almondcross.WorkersRead:
		machine.workersRead(message)
	case almondcross.SnapshotStored:
		machine.snapshotStored(message)
	case almondcross.RoutesRead:
		machine.routesRead(message.Table())
	default:
		if machine.leader != nil {
			machine.applyLeader(message)
		}
	}
}

// setTime sets the current time. If this host was paused, what comes over the link may have waited for as long, so that
// views must come anew, over a new link for a viewer.
func (machine *Machine) setTime(now time.Time) {
	paused := now.Sub(machine.now) > linkTimeout
	machine.now = now
	if !paused {
		return
	}
	machine.discovery.viewsReceived = false
	if machine.role == roleViewer {
		machine.checkSchedulerLink()
	}
}

// linkLost handles the loss of the link to the scheduler, over which views and batches arrived. A standby then reads the journal
// at once: a scheduler that resigns closes its links before it has pushed its resignation.
func (machine *Machine) linkLost(lost almondcross.LinkLost) {
	if lost.Scheduler() == machine.discovery.pointer.Host() {
		machine.discovery.viewsReceived, machine.follower.pushedEnd, machine.follower.lastPushAt, machine.follower.linkLost = false, 0, time.Time{}, true
	}
	if lost.Refused() {
		machine.noteRefusal(lost.Scheduler())
	}
}

// applyLeader handles the messages that concern only the scheduler. Answers to requests of an earlier epoch
// are recognised by their fencing tokens and offsets.
func (machine *Machine) applyLeader(message almondcross.SchedulerMessage) {
	switch message := message.(type) {
	case almondcross.LeaseAnswered:
		machine.leaseAnswered(message)
	case almondcross.StartOrderAnswered:
		machine.startOrderAnswered(message)
	case almondcross.StopOrderAnswered:
		machine.stopOrderAnswered(message)
	case almondcross.AdviceAnswered:
		machine.adviceAnswered(message)
	case almondcross.UsageStored:
		machine.usageStored(message)
	case almondcross.IntakeForwarded:
		machine.intakeForwarded(message)
	}
}

// Advance carries out the work that is due and returns the effects to carry out.
func (machine *Machine) Advance(now time.Time) []Effect {
	machine.setTime(now)
	switch machine.role {
	case roleDiscovering:
		machine.checkDiscoveryTimeout()
	case roleViewer:
		machine.checkSchedulerLink()
		machine.checkViewRelay()
	case roleFollower:
		machine.readDueJournal()
		machine.checkStandbyContact()
		machine.checkElection()
	case roleLeader:
		machine.runLeader()
	case roleLoading, roleCandidate:
	}
	effects := machine.effects
	machine.effects = nil
	return effects
}

// NextDeadline returns the latest time for the next call of Advance.
func (machine *Machine) NextDeadline(now time.Time) time.Time {
	if machine.role == roleLeader {
		if machine.leader.placementDue {
			return now.Add(min(machine.leader.placementInterval(), leaderTick))
		}
		if len(machine.leader.pendingChanges) > 0 && machine.leader.inflight == nil {
			return machine.leader.lastAppendAt.Add(minAppendInterval)
		}
		return now.Add(leaderTick)
	}
	next := now.Add(followerTick)
	if electionAt := machine.follower.electionAt; machine.role == roleFollower && electionAt.After(now) && electionAt.Before(next) {
		return electionAt
	}
	return next
}

func (machine *Machine) emit(effect Effect) { machine.effects = append(machine.effects, effect) }

func (machine *Machine) routesRead(table almondcross.RouteTable) {
	if table.Version() <= machine.routes.Version() {
		return
	}
	machine.auditWorkspaces(machine.routes, table)
	machine.setRoutes(table)
	machine.noteWorkspaces(table.Workspaces())
	machine.config.Log.Record("routes_in_force", almondcross.Number("version", table.Version()),
		almondcross.Number("queues", len(table.Queues())))
	if machine.leader != nil {
		for _, waiting := range machine.leader.waitingStages {
			machine.rank(waiting)
		}
		machine.sortWaitingStages()
		machine.renewShares()
		machine.settleJobs()
		machine.leader.placementDue = true
	}
}

// acceptedJob is a job that this host has stored and that was in no state or view when it was.
type acceptedJob struct {
	view almondcross.JobView
	at   time.Time // at is when the job was stored.
}

// jobAccepted publishes a job that this host has stored and the scheduler has not admitted yet.
func (machine *Machine) jobAccepted(accepted almondcross.Job, settings almondcross.QueueSettings) {
	if _, known := machine.state.jobs[accepted.ID()]; known {
		return
	}
	if _, known := machine.config.Publisher.Find(accepted.ID()); known {
		// This message may have waited while this host was paused, and a viewer has no state.
		return
	}
	view := newJobView(accepted, settings, almondcross.JobQueued)
	machine.acceptedJobs[accepted.ID()] = acceptedJob{view: view, at: machine.now}
	machine.config.Publisher.Publish(view)
}

// takeViewChanges returns the views of the changed jobs, sorted by job, and clears the set of these jobs.
func (machine *Machine) takeViewChanges() []almondcross.JobViewChange {
	changes := make([]almondcross.JobViewChange, 0, len(machine.state.changedJobs))
	for _, id := range slices.Sorted(maps.Keys(machine.state.changedJobs)) {
		config := almondcross.JobViewChangeConfig{ID: id}
		if job := machine.state.jobs[id]; job != nil {
			config.Known, config.View = true, job.view()
		}
		changes = append(changes, almondcross.NewJobViewChange(config))
	}
	clear(machine.state.changedJobs)
	return changes
}

// replaceViews publishes all views of a state in the place of the earlier ones, in one step. Jobs that this host has stored
// and that are not in the state yet stay published.
func (machine *Machine) replaceViews(changes []almondcross.JobViewChange) {
	views := make([]almondcross.JobView, 0, len(changes)+len(machine.acceptedJobs))
	for _, change := range changes {
		if change.Known() {
			views = append(views, change.View())
			delete(machine.acceptedJobs, change.ID())
		}
	}
	maps.DeleteFunc(machine.acceptedJobs, func(_ almondcross.JobID, accepted acceptedJob) bool {
		return machine.now.Sub(accepted.at) > machine.config.Retention // No scheduler has admitted the job: its record is unreadable or deleted.
	})
	for _, accepted := range machine.acceptedJobs {
		views = append(views, accepted.view)
	}
	machine.config.Publisher.Replace(views)
}

func (machine *Machine) publish(changes []almondcross.JobViewChange) {
	for _, change := range changes {
		delete(machine.acceptedJobs, change.ID())
		if change.Known() {
			machine.config.Publisher.Publish(change.View())
		} else {
			machine.config.Publisher.Forget(change.ID())
		}
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
