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
	// lookupRepeat is the time after which an unanswered lookup is sent again.
	lookupRepeat = 500 * time.Millisecond
	// heldRecheck is the time between two checks of a key that waits for standing.
	heldRecheck = 100 * time.Millisecond
	// rerouteDelay is the time before a request is routed again after a peer did not take it.
	rerouteDelay = 100 * time.Millisecond
	// searchAgain is the time after which a replica that another member runs is searched again.
	searchAgain = 5 * time.Second
	// outcomeRetention is how long the outcome of an ended key is kept for callers that ask again.
	outcomeRetention = time.Minute
	// retainedOutcomes bounds the number of outcomes that are kept.
	retainedOutcomes = 50_000
	// mostFailures is the number of targets on which a repeatable request fails before its caller is
	// told; failures on one target may be the target's fault.
	mostFailures = 3
	// mostAttempts bounds the failed attempts on all targets. It is more than the failures after which
	// a target is ejected.
	mostAttempts = 10
	// serviceBackoff is the time before a service replica that ended is placed again.
	serviceBackoff = time.Second
	// mostServiceBackoff bounds the growing backoff of a service replica that keeps failing.
	mostServiceBackoff = time.Minute
	// defaultWait is how long a caller waits that names no timeout.
	defaultWait = 30 * time.Second
	// homeRetryAfter is the advised wait when the home data centre cannot be reached.
	homeRetryAfter = 5 * time.Second
	// serviceCaller is the caller of the keys of service replicas.
	serviceCaller = "almondcross"
)

// MachineConfig holds the fields of a new Machine.
type MachineConfig struct {
	View      almondcross.View
	Catalogue almondcross.Catalogue
	Start     time.Time
}

// Machine owns the keys of one member.
type Machine struct {
	view      almondcross.View
	catalogue almondcross.Catalogue
	services  []almondcross.Entry // services holds the service entries in order of name.
	keys      map[almondcross.Key]*record
	ended     []almondcross.Key // ended holds ended keys in order of their end.
	forwards  map[uint64]*forward
	sequence  uint64
	timers    timerHeap
	elsewhere map[almondcross.Key]time.Time // elsewhere holds when replicas were found at another member.
	effects   []Effect
	draining  bool
	forgotten time.Time // forgotten is the wall-clock time of the last end that was forgotten early.
}

// NewMachine returns a machine that knows no key.
func NewMachine(config MachineConfig) *Machine {
	machine := &Machine{
		view:      config.View,
		catalogue: config.Catalogue,
		keys:      map[almondcross.Key]*record{},
		forwards:  map[uint64]*forward{},
		elsewhere: map[almondcross.Key]time.Time{},
	}
	machine.schedule(timer{at: config.Start.Add(servicesInterval), kind: timerServices})
	return machine
}

// Apply processes a message and returns what the duty is to do.
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
		machine.changeView(message.View(), now)
	case almondcross.CatalogueChanged:
		machine.setCatalogue(message.Catalogue())
		machine.reconcileServices(now)
	case almondcross.DrainCoordinator:
		machine.draining = true
	default:
		machine.applyReport(message, now)
	}
	return machine.take()
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

// Active returns the number of keys that a caller waits for or that are not running yet, and of
// forwarded messages without a reply. Running tasks are adopted by other members after a stop.
func (machine *Machine) Active() int {
	count := len(machine.forwards)
	for _, record := range machine.keys {
		if len(record.waiters) > 0 || record.phase == phaseClaiming || record.phase == phasePlaced && !record.standing {
			count++
		}
	}
	return count
}

// Drained reports whether a planned stop has nothing left to finish.
func (machine *Machine) Drained() bool { return machine.draining && machine.Active() == 0 }

// Len returns the number of keys that are known, ended ones included.
func (machine *Machine) Len() int { return len(machine.keys) }

// Draining reports whether a planned stop has begun.
func (machine *Machine) Draining() bool { return machine.draining }

func (machine *Machine) setCatalogue(catalogue almondcross.Catalogue) {
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

// sorted returns the matching records in order of key. Go's map order is random, and a seed must
// give the same history each time.
func (machine *Machine) sorted(match func(record *record) bool) []*record {
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

func (machine *Machine) take() []Effect {
	effects := machine.effects
	machine.effects = nil
	return effects
}

func (machine *Machine) do(effect Effect) { machine.effects = append(machine.effects, effect) }

func (machine *Machine) reply(replier almondcross.Replier, outcome almondcross.Outcome) {
	if replier == nil {
		return
	}
	machine.do(Reply{Replier: replier, Outcome: outcome.WithHost(machine.view.Self().ID().Name())})
}

func (machine *Machine) self() almondcross.MemberID { return machine.view.Self().ID() }

func (machine *Machine) tell(record *record, event string, code almondcross.Code, target string, now time.Time) {
	machine.do(Story{Event: almondcross.NewStoryEvent(almondcross.StoryEventConfig{
		At: now.Round(0), Key: record.request.Key(), Entry: record.request.Entry(), Event: event, Code: code,
		Host: machine.self().Name(), Target: target,
	})})
}

func outcomeOf(key almondcross.Key, status almondcross.Status, code almondcross.Code) almondcross.Outcome {
	return almondcross.NewOutcome(almondcross.OutcomeConfig{Key: key, Status: status, Code: code})
}

// progress returns what a caller is told of a key that has not ended.
func (machine *Machine) progress(record *record) almondcross.Outcome {
	key := record.request.Key()
	switch record.phase {
	case phaseEnded:
		return record.outcome
	case phaseLooking, phaseHeld:
		return outcomeOf(key, almondcross.StatusUnknown, almondcross.CodeHeldBack).WithRetryAfter(time.Second)
	case phaseFetching:
		return undecided(key, almondcross.CodeAnswerStored)
	case phaseClaimedElsewhere:
		return outcomeOf(key, almondcross.StatusUnknown, almondcross.CodeClaimedElsewhere).WithRetryAfter(time.Second)
	}
	outcome := outcomeOf(key, almondcross.StatusRunning, almondcross.CodeNone).WithRetryAfter(time.Second)
	if len(record.tasks) > 0 {
		outcome = outcome.WithTarget(record.tasks[0].target)
	}
	return outcome
}
