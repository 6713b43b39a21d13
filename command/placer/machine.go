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
	// publishInterval is the least time between two changes of the snapshot and the summary. Peers are
	// pinged at the same interval.
	publishInterval = almondcross.PingInterval
	// renewalDelay is the time in which started tasks are combined into one RenewTasks; it is much shorter
	// than TaskLease.
	renewalDelay = 500 * time.Millisecond
	// adoptionRetryInterval is the time after which an unanswered adoption request is resent.
	adoptionRetryInterval = time.Second
	// haltRetryInterval is the time after which a HaltTask without a confirmed end is resent.
	haltRetryInterval = time.Second
	// accountInterval is the interval at which the usage of running tasks is recorded.
	accountInterval = 10 * time.Second
	// closedRetention is how long a repeated PlaceTask of a closed attempt is recognised. Messages
	// of a coordinator whose link lease to this host is not renewed are refused after LinkLease in any case.
	closedRetention = time.Minute
)

// Policies are the exchangeable policies on which the decisions are based.
type Policies struct {
	Placement almondcross.PlacementPolicy
	Share     almondcross.SharePolicy
	Estimator almondcross.RuntimeEstimator
	Admission almondcross.AdmissionPolicy
}

// MachineConfig holds the policies and the seed of a new Machine.
type MachineConfig struct {
	Policies
	Seed uint64 // Seed is the seed of the random choices, such as the peer that a task is forwarded to.
}

// Machine makes the decisions about leases and placement for one host. It is not safe for concurrent use;
// the placer's goroutine owns it.
type Machine struct {
	Policies
	now           time.Time
	self          almondcross.MemberID
	view          almondcross.View
	reportedEnds  []reportedEnd          // the recently reported ends, oldest first
	reportedBytes int                    // the total size of their answers in bytes
	leasedMembers []almondcross.MemberID // the members from which this host has a valid link lease
	peers         []almondcross.Peer     // the peers of the view in order of name
	catalogue     almondcross.Catalogue
	randomState   uint64

	effects []Effect
	timers  timers

	sortedTargets []*target             // the targets in order of name, so that decisions do not depend on map order
	liveHosts     almondcross.LiveHosts // the latest live list
	targets       map[string]*target
	totalCapacity almondcross.Resources // the capacity of the held targets
	listedCount   int                   // the number of targets in the live list
	heldCount     int                   // the number of targets with a lease
	attempts      map[taskKey]*attempt
	closed        map[almondcross.TaskID]closedAttempt
	closedOrder   []almondcross.TaskID

	queues         map[queueKey]*queue
	activeQueues   []*queue // the queues with waiting tasks
	ranking        ranking
	waitingCount   int
	runningByEntry map[string]int  // the number of tasks that were sent and have no confirmed end, by entry
	limitedEntries map[string]bool // the entries of which only a number of tasks may run at once
	gangs          map[almondcross.Key]*gang
	gangQueue      []*gang // the complete gangs that wait, in order
	reservedGang   *gang   // the gang that holds the reservation, nil for none

	pendingTargets     []*target             // the targets that gained free capacity since the last scheduling pass
	shortResources     almondcross.Resources // the resources of running and waiting tasks of the short band, without stragglers
	stragglerResources almondcross.Resources // the resources of stragglers of the short band
	shortTasksByOwner  map[string]int        // the number of tasks of the short band, by owner
	shortDemandPeak    float64               // the highest demand of the short band in the current account interval
	reserveLimit       int64                 // the upper bound of the reserve, in units of 1/reserveParts
	reserve            int64                 // the part of each target that long work may not use, in units of 1/reserveParts
	lastShortArrival   time.Time             // the time at which a task of the short band last arrived
	ejectedCount       int
	reclaimCount       int                // the number of reclaims in progress
	reclaimedShares    map[string]float64 // the dominant share that is being reclaimed from each owner
	entryFailures      map[string]*entryFailure
	provenEntries      map[string]bool // the entries with a success since their failures were last attributed to them
	adoptionTimerSet   bool
	publishTimerSet    bool
	closedTimerSet     bool
	accountTimerSet    bool
	shareReclaimDue    time.Time // the time at which shares are next reclaimed for waiting tasks
	startSequence      uint64    // the sequence number of the latest start
	searchBudget       int       // the number of tasks that the current search for victims may still examine
	draining           bool
}

// NewMachine returns a machine without targets, tasks or a view.
func NewMachine(config MachineConfig) *Machine {
	return &Machine{
		Policies:          config.Policies,
		randomState:       config.Seed | 1,
		targets:           map[string]*target{},
		attempts:          map[taskKey]*attempt{},
		closed:            map[almondcross.TaskID]closedAttempt{},
		queues:            map[queueKey]*queue{},
		runningByEntry:    map[string]int{},
		limitedEntries:    map[string]bool{},
		ranking:           ranking{owners: map[string]*ownerQueues{}},
		gangs:             map[almondcross.Key]*gang{},
		reclaimedShares:   map[string]float64{},
		shortTasksByOwner: map[string]int{},
		entryFailures:     map[string]*entryFailure{},
		provenEntries:     map[string]bool{},
	}
}

// Apply handles one message. The returned effects are valid until the next call of a method that returns effects.
func (machine *Machine) Apply(message almondcross.PlacerMessage, now time.Time) []Effect {
	machine.begin(now)
	switch message := message.(type) {
	case almondcross.PlaceTask:
		machine.place(message)
	case almondcross.StopTask:
		machine.stop(message)
	case almondcross.TargetsListed:
		machine.applyLiveList(message.Hosts())
	case almondcross.TargetGranted:
		machine.granted(message.Grant())
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
		machine.Share.SetWeights(shareWeights(machine.catalogue))
		machine.updateAllRanks()
		for _, queue := range machine.queues {
			machine.setMaxRunning(queue)
		}
		machine.startFromQueues()
	case almondcross.DrainPlacer:
		machine.drain()
	}
	return machine.finish()
}

// HandleUnsent handles an effect that could not be performed because a ring or link was full. The returned
// effects are valid until the next call of a method that returns effects.
func (machine *Machine) HandleUnsent(effect Effect, now time.Time) []Effect {
	machine.begin(now)
	if effect.Kind == EffectForward {
		if place, ok := effect.Peer.(almondcross.PlaceTask); ok {
			machine.clearClosed(place.Task().ID())
			machine.reportForwarded(place.Task(), machine.self)
			machine.place(place.WithForwarded(true))
		}
		return machine.finish()
	}
	target, ok := machine.targets[effect.Name]
	if !ok {
		return machine.finish()
	}
	switch message := effect.Dispatch.(type) {
	case almondcross.StartTask:
		machine.startNotSent(target, message)
	case almondcross.AcquireLease:
		target.state = leaseIdle
		machine.scheduleAcquire(target, acquireInterval)
	case almondcross.ReleaseLease:
		target.state = leaseHeld
		machine.updateFree(target)
		machine.scheduleAcquire(target, acquireInterval)
	case almondcross.RenewTasks:
		// The retry must not wait for renewalDelay, since the list may leave out a task of a lost coordinator.
		// The key's new coordinator waits only for HoldBack, which allows 500 ms between the views of two hosts.
		machine.setTimer(congestionDelay, timer{kind: timerRenew, target: target})
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
	previous := machine.view
	machine.view, machine.self = view, view.Self().ID()
	machine.setPeers()
	machine.forwardWaiting()
	if previous.Self().ID() != machine.self {
		machine.unconfirmAllTasks()
	}
	if sameMembers(previous, view) {
		machine.updateLinkLeases()
		return
	}
	machine.updateLinkLeases()
	machine.resendEnds()
	if previous.Self().DataCentre() != view.Self().DataCentre() {
		machine.applyLiveList(machine.liveHosts)
	}
	for _, target := range slices.Clone(machine.sortedTargets) {
		machine.reconcile(target)
		if target.state == leaseHeld && len(target.attempts) > 0 {
			machine.sendRenewList(target)
			machine.requestAdoptions(target, previous.Self().ID() != machine.self)
		}
	}
}

// updateLinkLeases resends the lists of tasks to renew if the set of members from which this
// host has a valid link lease changed.
func (machine *Machine) updateLinkLeases() {
	var leased []almondcross.MemberID
	if machine.view.HasLease(machine.self, machine.now) {
		leased = append(leased, machine.self)
	}
	for _, peer := range machine.peers {
		if machine.view.HasLease(peer.Member().ID(), machine.now) {
			leased = append(leased, peer.Member().ID())
		}
	}
	if slices.Equal(leased, machine.leasedMembers) {
		return
	}
	machine.leasedMembers = leased
	for _, target := range machine.sortedTargets {
		if len(target.attempts) > 0 {
			machine.sendRenewList(target)
		}
	}
}

// setPeers sorts the peers of the view by name. Map order is random, and the decisions must be
// reproducible from the seed.
func (machine *Machine) setPeers() {
	machine.peers = machine.peers[:0]
	for _, peer := range machine.view.Peers() {
		machine.peers = append(machine.peers, peer)
	}
	slices.SortFunc(machine.peers, func(first, second almondcross.Peer) int {
		return strings.Compare(first.Member().ID().Name(), second.Member().ID().Name())
	})
}

// unconfirmAllTasks marks every task as unconfirmed after this host's incarnation changed, since the
// coordinators confirmed the tasks for the previous incarnation.
func (machine *Machine) unconfirmAllTasks() {
	for _, target := range machine.targets {
		for _, attempt := range target.attempts {
			attempt.unconfirmed = true
		}
	}
}

// sameMembers reports whether two views differ at most in link leases and summaries, which change
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

// drain refuses new and waiting tasks and releases every target.
func (machine *Machine) drain() {
	machine.draining = true
	machine.updateAllFree()
	waiting := slices.SortedFunc(maps.Values(machine.attempts), func(first, second *attempt) int {
		return cmp.Or(first.queuedAt.Compare(second.queuedAt), compareTasks(first.task.ID(), second.task.ID()))
	})
	for _, attempt := range waiting {
		if attempt.state == queued {
			machine.refuse(attempt, almondcross.CodeStopping)
		}
	}
	for _, target := range slices.Clone(machine.sortedTargets) {
		machine.reconcile(target)
	}
}

// nextRandom returns the next number of a xorshift64* generator, which needs no lock and is reproducible
// from the seed.
func (machine *Machine) nextRandom() uint64 {
	machine.randomState ^= machine.randomState >> 12
	machine.randomState ^= machine.randomState << 25
	machine.randomState ^= machine.randomState >> 27
	return machine.randomState * 0x2545f4914f6cdd1d
}

func (machine *Machine) schedulePublish() {
	if !machine.publishTimerSet {
		machine.publishTimerSet = true
		machine.setTimer(publishInterval, timer{kind: timerPublish})
	}
}

// Self returns the ID of this host in the current view.
func (machine *Machine) Self() almondcross.MemberID { return machine.self }

// shareWeights returns the weights of the entries of a catalogue: their shares.
func shareWeights(catalogue almondcross.Catalogue) []almondcross.ShareWeight {
	var weights []almondcross.ShareWeight
	for entry := range catalogue.Entries {
		weights = append(weights, almondcross.NewShareWeight(almondcross.ShareWeightConfig{Owner: entry.Owner(), Entry: entry.Name(), Weight: entry.Share()}))
	}
	return weights
}
