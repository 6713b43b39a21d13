package coordinator

import (
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// servicesInterval is the time between two comparisons of service replicas with the catalogue.
	servicesInterval = time.Second
	// lookupRetryInterval is the time after which an unanswered lookup is sent again.
	lookupRetryInterval = 500 * time.Millisecond
	// holdRecheckInterval is the time between two checks of a key that waits for a valid link lease from every peer or for a placer.
	holdRecheckInterval = 100 * time.Millisecond
	// stopRetryInterval is the time after which the stop of a task without a reported end is sent again.
	stopRetryInterval = time.Second
	// rerouteDelay is the time before a request is routed again after a peer refused it.
	rerouteDelay = 100 * time.Millisecond
	// replicaLookupInterval is the time after which a replica that another member runs is looked up at the peers again.
	replicaLookupInterval = 5 * time.Second
	// outcomeRetention is how long the outcome of an ended key is kept for callers that retry.
	outcomeRetention = time.Minute
	// maxOutcomes limits the number of outcomes that are kept, for keys that ran and for keys that did not.
	maxOutcomes = 50_000
	// repeatDelay is the time after not_run from which a request with the retry flag is taken for a repeat by a caller
	// that was told so, and not for one that was under way at that time.
	repeatDelay = time.Second
	// maxFailedTargets is the number of different targets on which a repeatable request may fail before its
	// caller gets the failure; several failures on one target may be caused by that target.
	maxFailedTargets = 3
	// maxFailedAttempts limits the failed attempts on all targets. It is higher than the number of failures after
	// which a target is ejected.
	maxFailedAttempts = 10
	// serviceBackoff is the time before a service replica that ended is placed again.
	serviceBackoff = time.Second
	// maxServiceBackoff limits the exponential backoff of a service replica that fails repeatedly.
	maxServiceBackoff = time.Minute
	// crashBackoff is the time before a service replica is placed again after almondcross.MaxLostTargets targets were
	// lost under it in a row. A service is never given up, so the delay doubles with each further loss, up to
	// maxCrashBackoff, to bound how often it can crash a target.
	crashBackoff    = time.Minute
	maxCrashBackoff = 30 * time.Minute
	// stableServiceTime is the run time after which the loss of its target is not attributed to a service replica.
	stableServiceTime = 10 * time.Minute
	// defaultTimeout is how long a caller without a timeout of its own waits.
	defaultTimeout = 30 * time.Second
	// homeUnreachableRetryAfter is the retry delay sent to a caller when the home data centre of its key cannot be reached.
	homeUnreachableRetryAfter = 5 * time.Second
	// serviceCaller is the caller name in the keys of service replicas.
	serviceCaller = "almondcross"
)

// MachineConfig holds the initial state of a Machine.
type MachineConfig struct {
	View      almondcross.View
	Catalogue almondcross.Catalogue
	Start     time.Time
}

// Machine owns the keys of one member.
type Machine struct {
	view            almondcross.View
	catalogue       almondcross.Catalogue
	services        []almondcross.Entry // services holds the service entries in order of name.
	keys            map[almondcross.Key]*record
	endedKeys       []almondcross.Key // endedKeys holds ended keys that may have run, in order of their end.
	refusedKeys     []almondcross.Key // refusedKeys holds keys that were answered with not_run, in order of their end.
	forwards        map[uint64]*forward
	lastCorrelation uint64
	timers          timerHeap
	foundElsewhere  map[almondcross.Key]time.Time // foundElsewhere holds the times at which service replicas were found at another member.
	effects         []Effect
	draining        bool
	lastEvictedEnd  time.Time // lastEvictedEnd is the latest end, in wall-clock time, of a key that was evicted before outcomeRetention had passed.
}

// NewMachine returns a machine with an empty key table.
func NewMachine(config MachineConfig) *Machine {
	machine := &Machine{
		view:           config.View,
		catalogue:      config.Catalogue,
		keys:           map[almondcross.Key]*record{},
		forwards:       map[uint64]*forward{},
		foundElsewhere: map[almondcross.Key]time.Time{},
	}
	machine.schedule(timer{at: config.Start.Add(servicesInterval), kind: timerServices})
	return machine
}

// Apply processes a message and returns the effects that the duty must perform.
func (machine *Machine) Apply(message almondcross.CoordinatorMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.SubmitRequest:
		machine.submit(message, now)
	case almondcross.CancelRequest:
		machine.cancel(message, now)
	case almondcross.LookupRequest:
		machine.lookup(message, now)
	case almondcross.PeerReply:
		machine.receiveReply(message, now)
	case almondcross.ClaimDecided:
		machine.claimDecided(message, now)
	case almondcross.ClaimSettlementSeen:
		machine.settlementSeen(message, now)
	case almondcross.AnswerRead:
		machine.answerRead(message, now)
	case almondcross.ViewChanged:
		machine.applyView(message.View(), now)
	case almondcross.CatalogueChanged:
		machine.applyCatalogue(message.Catalogue())
		machine.reconcileServices(now)
	case almondcross.DrainCoordinator:
		machine.draining = true
	default:
		machine.applyReport(message, now)
	}
	return machine.takeEffects()
}

func (machine *Machine) applyReport(message almondcross.CoordinatorMessage, now time.Time) {
	switch message := message.(type) {
	case almondcross.TaskForwarded:
		machine.taskForwarded(message, now)
	case almondcross.TaskStarted:
		machine.taskStarted(message, now)
	case almondcross.TaskRefused:
		machine.taskRefused(message, now)
	case almondcross.TaskEnded:
		machine.taskEnded(message, now)
	case almondcross.TaskLost:
		machine.taskLost(message, now)
	case almondcross.AdoptTask:
		machine.adopt(message, now)
	}
}

// ActiveCount returns the number of keys that a graceful shutdown waits for, because a caller waits for them or they
// are being claimed or placed, plus the number of forwarded messages without a reply. Running tasks are not
// counted: other members adopt them after the stop.
func (machine *Machine) ActiveCount() int {
	count := len(machine.forwards)
	for _, record := range machine.keys {
		if len(record.waiters) > 0 || record.phase == phaseClaiming || record.phase == phasePlaced && !record.service {
			count++
		}
	}
	return count
}

// Drained reports whether a graceful shutdown has begun and no work is left.
func (machine *Machine) Drained() bool { return machine.draining && machine.ActiveCount() == 0 }

// Len returns the number of keys in the table, including ended ones.
func (machine *Machine) Len() int { return len(machine.keys) }

// Draining reports whether a graceful shutdown has begun.
func (machine *Machine) Draining() bool { return machine.draining }

func (machine *Machine) applyCatalogue(catalogue almondcross.Catalogue) {
	machine.catalogue, machine.services = catalogue, nil
	for entry := range catalogue.Entries {
		if entry.Class() == almondcross.ClassService {
			machine.services = append(machine.services, entry)
		}
	}
	slices.SortFunc(machine.services, func(first, second almondcross.Entry) int {
		return strings.Compare(first.Name(), second.Name())
	})
}

// sortedRecords returns the matching records in order of key. Go's map order is random, but a simulation must be
// reproducible from its seed.
func (machine *Machine) sortedRecords(match func(record *record) bool) []*record {
	var records []*record
	for _, record := range machine.keys {
		if match(record) {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(first, second *record) int {
		return first.request.Key().Compare(second.request.Key())
	})
	return records
}

func (machine *Machine) takeEffects() []Effect {
	effects := machine.effects
	machine.effects = nil
	return effects
}

func (machine *Machine) emit(effect Effect) { machine.effects = append(machine.effects, effect) }

func (machine *Machine) reply(replier almondcross.Replier, outcome almondcross.Outcome) {
	if replier == nil {
		return
	}
	machine.emit(Reply{Replier: replier, Outcome: outcome.WithHost(machine.view.Self().ID().Name())})
}

func (machine *Machine) self() almondcross.MemberID { return machine.view.Self().ID() }

func (machine *Machine) recordDecision(record *record, event string, code almondcross.Code, target string, now time.Time) {
	machine.emit(RecordDecision{Event: almondcross.NewDecisionEvent(almondcross.DecisionEventConfig{
		At: now.Round(0), Key: record.request.Key(), Entry: record.request.Entry(), Event: event, Code: code,
		Host: machine.self().Name(), Target: target,
	})})
}

func newOutcome(key almondcross.Key, status almondcross.Status, code almondcross.Code) almondcross.Outcome {
	return almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: status, Code: code})
}

// progress returns the outcome to send to a caller before the key ends, or the final outcome if the key has ended.
func (machine *Machine) progress(record *record) almondcross.Outcome {
	key := record.request.Key()
	switch record.phase {
	case phaseEnded:
		return record.outcome
	case phaseLookup, phaseHeld:
		return newOutcome(key, almondcross.StatusUnknown, almondcross.CodeHeldBack).WithRetryAfter(time.Second)
	case phaseFetching:
		return unknownOutcome(key, almondcross.CodeAnswerStored)
	case phaseClaimedElsewhere:
		return newOutcome(key, almondcross.StatusUnknown, almondcross.CodeClaimedElsewhere).WithRetryAfter(time.Second)
	}
	outcome := newOutcome(key, almondcross.StatusRunning, almondcross.CodeNone).WithRetryAfter(time.Second)
	if len(record.tasks) > 0 {
		outcome = outcome.WithTarget(record.tasks[0].target)
	}
	return outcome
}
