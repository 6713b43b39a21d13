package placer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// publishInterval bounds how often the snapshot and the summary change; peers are pinged
	// at the same interval.
	publishInterval = almondcross.PingInterval
	// renewalDelay gathers started tasks into one RenewTasks; it is small against TaskLease.
	renewalDelay = 500 * time.Millisecond
	// adoptInterval is the time after which an unanswered adoption notice is repeated.
	adoptInterval = time.Second
	// haltInterval is the time after which a stop without a confirmed end is repeated.
	haltInterval = time.Second
	// accountInterval is the interval of the account.
	accountInterval = 10 * time.Second
	// rememberEnded is how long a repeated PlaceTask of an ended task is recognised. Messages
	// of a coordinator that lost its link lease are refused after LinkLease anyway.
	rememberEnded = time.Minute
)

// Policies are the exchangeable parts of the decisions.
type Policies struct {
	Placement almondcross.PlacementPolicy
	Share     almondcross.SharePolicy
	Estimator almondcross.RuntimeEstimator
	Admission almondcross.AdmissionPolicy
}

// MachineConfig holds the parts of a new Machine.
type MachineConfig struct {
	Policies
	Seed uint64 // Seed starts the choice of peers that tasks are forwarded to.
}

// Machine decides for the targets that this host holds. One goroutine uses it.
type Machine struct {
	Policies
	now       time.Time
	self      almondcross.MemberID
	view      almondcross.View
	sentEnds  []sentEnd              // the ends that were reported lately, in order
	sentBytes int                    // the bytes of their answers
	leased    []almondcross.MemberID // the members with a valid link lease
	peers     []almondcross.Peer     // the members of the view in order of name
	catalogue almondcross.Catalogue
	random    uint64

	effects []Effect
	timers  timers

	sorted      []*target             // the targets by name, so that decisions do not depend on the order of a map
	hosts       almondcross.LiveHosts // the last live list
	targets     map[string]*target
	total       almondcross.Resources // the capacity of the held targets
	listed      int                   // the number of targets in the live list
	heldTargets int                   // the number of targets with a lease
	jobs        map[jobKey]*job
	ended       map[almondcross.TaskID]ended
	endOrder    []almondcross.TaskID

	lines    map[lineKey]*line
	order    []*line // the lines with waiting tasks
	ranking  ranking
	waiting  int
	running  map[string]int // tasks that are sent and have no confirmed end, by entry
	gangs    map[almondcross.Key]*gang
	gangLine []*gang // complete gangs that wait
	holder   *gang   // the gang that holds the reservation

	gained        []*target             // targets with new room since the last pass
	short         almondcross.Resources // what tasks of the short band run on or wait for
	straggling    almondcross.Resources // what stragglers of the short band run on
	shortOwners   map[string]int        // the tasks of the short band by owner
	shortPeak     float64               // the highest demand of short work in the account interval
	reserveMost   int64                 // the bound of the reserve
	reserve       int64                 // the part of each target that long work may not take, of reserveParts
	lastShort     time.Time             // the last arrival of a task of the short band
	ejected       int
	reclaiming    int                // the tasks for which lent work is being stopped
	lentTaken     map[string]float64 // the share that is being taken from each owner
	entryFailures map[string]*entryFailure
	proven        map[string]bool // entries with a success since they were last blamed
	adoptSet      bool
	publishSet    bool
	forgetSet     bool
	accountSet    bool
	returnAt      time.Time // the time at which waiting tasks may next claim lent work
	sequence      uint64    // the number of starts so far
	seekBudget    int       // the tasks that the current search for victims may still look at
	draining      bool
}

// NewMachine returns a machine without targets, tasks and view.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{
		Policies:      config.Policies,
		random:        config.Seed | 1,
		targets:       map[string]*target{},
		jobs:          map[jobKey]*job{},
		ended:         map[almondcross.TaskID]ended{},
		lines:         map[lineKey]*line{},
		running:       map[string]int{},
		ranking:       ranking{owners: map[string]*ownerLines{}},
		gangs:         map[almondcross.Key]*gang{},
		lentTaken:     map[string]float64{},
		shortOwners:   map[string]int{},
		entryFailures: map[string]*entryFailure{},
		proven:        map[string]bool{},
	}
}

// Apply takes one message. The returned effects are valid until the next call.
func (machine *Machine) Apply(message almondcross.PlacerMessage, now time.Time) []Effect {
	machine.begin(now)
	switch message := message.(type) {
	case almondcross.PlaceTask:
		machine.place(message)
	case almondcross.StopTask:
		machine.stop(message)
	case almondcross.TargetsListed:
		machine.list(message.Hosts())
	case almondcross.TargetGranted:
		machine.grant(message.Grant())
	case almondcross.TargetRenewed:
		machine.renewed(message)
	case almondcross.TargetReleased:
		machine.released(message)
	case almondcross.StartAnswered:
		machine.startAnswered(message)
	case almondcross.TaskFinished:
		machine.taskFinished(message)
	case almondcross.AdoptAnswered:
		machine.adoptAnswered(message)
	case almondcross.ViewChanged:
		machine.viewChanged(message.View())
	case almondcross.CatalogueChanged:
		machine.catalogue = message.Catalogue()
		machine.Share.SetCatalogue(machine.catalogue)
		machine.rerankAll()
		for _, entry := range machine.lines {
			machine.setLimit(entry)
		}
		machine.retryLines()
	case almondcross.DrainPlacer:
		machine.drain()
	}
	return machine.finish()
}

// Unsent tells the machine that an effect could not be carried out because a ring or link was full.
func (machine *Machine) Unsent(effect Effect, now time.Time) []Effect {
	machine.begin(now)
	if effect.Kind == EffectForward {
		if place, ok := effect.Peer.(almondcross.PlaceTask); ok {
			machine.unremember(place.Task().ID())
			machine.place(place.WithForwarded(true))
		}
		return machine.finish()
	}
	entry, ok := machine.targets[effect.Name]
	if !ok {
		return machine.finish()
	}
	switch message := effect.Dispatch.(type) {
	case almondcross.StartTask:
		machine.startUnsent(entry, message)
	case almondcross.AcquireLease:
		entry.state = stateIdle
		machine.retryAcquire(entry, acquireInterval)
	case almondcross.ReleaseLease:
		entry.state = stateHeld
		machine.setRoom(entry)
		machine.retryAcquire(entry, acquireInterval)
	case almondcross.RenewTasks:
		// A list that drops a task of a lost coordinator must not wait for renewalDelay: the
		// hold-back of the key's new coordinator allows 500 ms between two hosts' views.
		machine.after(congestionTime, timer{kind: timerRenew, target: entry})
	}
	return machine.finish()
}

func (machine *Machine) begin(now time.Time) {
	machine.now = now
	clear(machine.effects)
	machine.effects = machine.effects[:0]
}

func (machine *Machine) finish() []Effect {
	machine.schedule()
	return machine.effects
}

func (machine *Machine) viewChanged(view almondcross.View) {
	before := machine.view
	machine.view, machine.self = view, view.Self().ID()
	machine.setPeers()
	machine.forwardWaiting()
	if before.Self().ID() != machine.self {
		machine.unconfirmAll()
	}
	if sameMembers(before, view) {
		machine.noticeLeases()
		return
	}
	machine.noticeLeases()
	machine.repeatEnds()
	if before.Self().DataCentre() != view.Self().DataCentre() {
		machine.list(machine.hosts)
	}
	for _, entry := range slices.Clone(machine.sorted) {
		machine.pursue(entry)
		if entry.state == stateHeld && len(entry.jobs) > 0 {
			machine.sendRenewal(entry)
			machine.askAdoptions(entry, before.Self().ID() != machine.self)
		}
	}
}

// noticeLeases renews the lists of named tasks when the set of members with a valid link lease changed.
func (machine *Machine) noticeLeases() {
	var leased []almondcross.MemberID
	if machine.view.HasLease(machine.self, machine.now) {
		leased = append(leased, machine.self)
	}
	for _, peer := range machine.peers {
		if machine.view.HasLease(peer.Member().ID(), machine.now) {
			leased = append(leased, peer.Member().ID())
		}
	}
	if slices.Equal(leased, machine.leased) {
		return
	}
	machine.leased = leased
	for _, entry := range machine.sorted {
		if len(entry.jobs) > 0 {
			machine.sendRenewal(entry)
		}
	}
}

// setPeers keeps the peers in order of name: Go's map order is random, and a seed must give the same
// decisions each time.
func (machine *Machine) setPeers() {
	machine.peers = machine.peers[:0]
	for _, peer := range machine.view.Peers() {
		machine.peers = append(machine.peers, peer)
	}
	slices.SortFunc(machine.peers, func(first, second almondcross.Peer) int {
		return strings.Compare(first.Member().ID().Name(), second.Member().ID().Name())
	})
}

// unconfirmAll asks again for every task: coordinators lost the incarnation that held them.
func (machine *Machine) unconfirmAll() {
	for _, entry := range machine.targets {
		for _, item := range entry.jobs {
			item.unconfirmed = true
		}
	}
}

// sameMembers reports whether two views differ only in link leases and summaries, which change
// with every ping.
func sameMembers(first, second almondcross.View) bool {
	if first.Self() != second.Self() || len(first.Peers()) != len(second.Peers()) || !first.ReadyAt().Equal(second.ReadyAt()) {
		return false
	}
	for name, peer := range first.Peers() {
		if other, ok := second.Peers()[name]; !ok || other.Member() != peer.Member() {
			return false
		}
	}
	return true
}

func compareTasks(first, second almondcross.TaskID) int {
	return cmp.Or(first.Key().Compare(second.Key()), cmp.Compare(first.Index(), second.Index()))
}

// drain takes no new work, refuses what waits and releases every target.
func (machine *Machine) drain() {
	machine.draining = true
	machine.resetRooms()
	waiting := slices.SortedFunc(maps.Values(machine.jobs), func(first, second *job) int {
		return cmp.Or(first.queuedAt.Compare(second.queuedAt), compareTasks(first.task.ID(), second.task.ID()))
	})
	for _, item := range waiting {
		if item.state == jobQueued {
			machine.refuse(item, almondcross.CodeStopping)
		}
	}
	for _, entry := range slices.Clone(machine.sorted) {
		machine.pursue(entry)
	}
}

// nextRandom is xorshift64*; it needs no lock and is repeatable from the seed.
func (machine *Machine) nextRandom() uint64 {
	machine.random ^= machine.random >> 12
	machine.random ^= machine.random << 25
	machine.random ^= machine.random >> 27
	return machine.random * 0x2545f4914f6cdd1d
}

func (machine *Machine) publishSoon() {
	if !machine.publishSet {
		machine.publishSet = true
		machine.after(publishInterval, timer{kind: timerPublish})
	}
}

// Self returns this host as the current view names it.
func (machine *Machine) Self() almondcross.MemberID { return machine.self }
