package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
)

// role is what the machine does with the journal.
type role int

const (
	roleSeeking   role = iota // roleSeeking looks for the scheduler.
	roleLight                 // roleLight is linked to the scheduler and keeps only the views of jobs.
	roleLoading               // roleLoading reads the snapshot.
	roleFollower              // roleFollower applies the journal.
	roleCandidate             // roleCandidate waits for the answer to its election append.
	roleLeader                // roleLeader writes the journal and gives orders.
)

// Config holds what a Machine needs.
type Config struct {
	Host       string        // Host is the name of this host.
	Address    string        // Address is the address of this host's link for advisers.
	Partitions int           // Partitions is the number of intake partitions.
	Retain     time.Duration // Retain is how long the state of a final job stays readable.
	MaxLease   time.Duration // MaxLease is the longest lease that workers grant.
	Strength   int           // Strength is how well this host could schedule, up to 100, its distance from the store left out.
	Snapshots  time.Duration // Snapshots is the time between two snapshots.
	Random     *rand.Rand
	Publisher  almondcross.JobPublisher
	Picker     almondcross.WorkerPicker
	Log        almondcross.EventLog
	Meters     Meters
}

// Machine is the decision code of the scheduler: a state machine without clocks and transports.
type Machine struct {
	config  Config
	state   *state
	routes  almondcross.RouteTable
	queues  map[string]almondcross.Queue // queues holds the queues of routes by name.
	role    role
	now     time.Time
	effects []Effect

	seeker   seeker
	follower follower
	leader   *leader

	// tried is the highest epoch that this host used in an election.
	tried    int64
	stopping bool
	advisers map[string]*adviser
	// peers holds the addresses on which other hosts accept links, the newest last.
	peers []string
}

// NewMachine returns a machine that begins to load the state.
func NewMachine(config Config) *Machine {
	machine := &Machine{config: config, state: newState(config.Retain), advisers: map[string]*adviser{}}
	machine.advisers[config.Host] = &adviser{name: config.Host}
	machine.seek()
	return machine
}

// Leads reports whether this host is the scheduler.
func (machine *Machine) Leads() bool { return machine.role == roleLeader }

// Leader returns the host of the scheduler and the address of its link, empty when none is known.
func (machine *Machine) Leader() (host, address string) {
	if machine.state.resigned {
		return "", ""
	}
	return machine.state.host, machine.state.address
}

// Apply takes a message. Its effects are returned by Advance.
func (machine *Machine) Apply(message almondcross.SchedulerMessage, now time.Time) {
	machine.now = now
	switch message := message.(type) {
	case almondcross.PointerRead:
		machine.pointerRead(message)
	case almondcross.LinkLost:
		if machine.role == roleLight && message.Scheduler() == machine.seeker.pointer.Host() {
			machine.config.Log.Record("scheduler_link_lost", almondcross.Text("host", message.Scheduler()))
			machine.seek()
		}
	case almondcross.Assigned:
		machine.assigned(message)
	case almondcross.PeersKnown:
		machine.peersKnown(message.Addresses())
	case almondcross.ViewsPushed:
		machine.viewsPushed(message)
	case almondcross.SnapshotRead:
		machine.snapshotRead(message)
	case almondcross.JournalRead:
		machine.journalRead(message)
	case almondcross.JournalPushed:
		machine.journalPushed(message)
	case almondcross.JournalCommitted:
		machine.committed(message)
	case almondcross.RoutesRead:
		machine.routesRead(message.Table())
	case almondcross.JobAccepted:
		machine.jobAccepted(message.Job())
	case almondcross.AdviserChanged:
		machine.adviserChanged(message)
	case almondcross.StopScheduling:
		machine.stopping = true
	default:
		if machine.leader != nil {
			machine.applyLeader(message)
		}
	}
}

// applyLeader takes the messages that concern only the scheduler. The answers to what an earlier
// epoch of this host asked are told apart by their fences and offsets.
func (machine *Machine) applyLeader(message almondcross.SchedulerMessage) {
	switch message := message.(type) {
	case almondcross.IntakeRead:
		machine.intakeRead(message)
	case almondcross.WorkersRead:
		machine.workersRead(message)
	case almondcross.LeaseAnswered:
		machine.leaseAnswered(message)
	case almondcross.RunStarted:
		machine.runStarted(message)
	case almondcross.RunStopped:
		machine.runStopped(message)
	case almondcross.AdviceAnswered:
		machine.adviceAnswered(message)
	case almondcross.UsageStored:
		machine.usageStored(message)
	case almondcross.IntakeForwarded:
		machine.intakeForwarded(message)
	case almondcross.SnapshotStored:
		machine.snapshotStored(message)
	}
}

// Advance does what is due and returns the effects to carry out.
func (machine *Machine) Advance(now time.Time) []Effect {
	machine.now = now
	switch machine.role {
	case roleSeeking:
		machine.considerLoading()
	case roleLight:
		machine.considerSeeking()
	case roleFollower:
		machine.considerMoving()
		machine.considerElection()
	case roleLeader:
		machine.lead()
	case roleLoading, roleCandidate:
	}
	effects := machine.effects
	machine.effects = nil
	return effects
}

// NextDeadline returns when Advance has to be called again at the latest.
func (machine *Machine) NextDeadline(now time.Time) time.Time {
	if machine.role == roleLeader {
		if machine.leader.dirty {
			return now.Add(placePause)
		}
		if len(machine.leader.pending) > 0 && machine.leader.inflight == nil {
			return machine.leader.flushed.Add(appendPause)
		}
		return now.Add(leaderTick)
	}
	return now.Add(followerTick)
}

func (machine *Machine) do(effect Effect) { machine.effects = append(machine.effects, effect) }

func (machine *Machine) routesRead(table almondcross.RouteTable) {
	if table.Version() <= machine.routes.Version() {
		return
	}
	machine.routes, machine.queues = table, make(map[string]almondcross.Queue, len(table.Queues()))
	for _, queue := range table.Queues() {
		machine.queues[queue.Name()] = queue
	}
	machine.config.Log.Record("routes_in_force", almondcross.Number("version", table.Version()),
		almondcross.Number("queues", len(table.Queues())))
	if machine.leader != nil {
		machine.leader.dirty = true
	}
}

// jobAccepted shows a job that this host stored before the scheduler has admitted it.
func (machine *Machine) jobAccepted(accepted almondcross.Job) {
	if _, known := machine.state.jobs[accepted.ID()]; known {
		return
	}
	machine.config.Publisher.Publish(almondcross.NewJobView(almondcross.JobViewConfig{
		ID: accepted.ID(), Queue: accepted.Queue(), State: almondcross.JobQueued, Counted: accepted.Runs() == 0,
	}))
}

// views returns the views of the touched jobs and empties their set.
func (machine *Machine) views() []almondcross.JobViewChange {
	changes := make([]almondcross.JobViewChange, 0, len(machine.state.touched))
	for id := range machine.state.touched {
		config := almondcross.JobViewChangeConfig{ID: id}
		if job := machine.state.jobs[id]; job != nil {
			config.Known, config.View = true, job.view()
		}
		changes = append(changes, almondcross.NewJobViewChange(config))
	}
	clear(machine.state.touched)
	return changes
}

func (machine *Machine) publish(changes []almondcross.JobViewChange) {
	for _, change := range changes {
		if change.Known() {
			machine.config.Publisher.Publish(change.View())
		} else {
			machine.config.Publisher.Forget(change.ID())
		}
	}
}
