package claimer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// Defaults and limits of a machine.
const (
	// DefaultHorizon is the age above which a key is refused.
	DefaultHorizon = 62 * 24 * time.Hour
	// DefaultAppendTimeout is the time after which an append without an answer counts as uncertain; it is longer
	// than the appender takes to determine the result of an append whose answer was lost.
	DefaultAppendTimeout = 8 * time.Second
	// DefaultCheckpointAge is the age of the last checkpoint from which a new one is written: half of a log
	// retention of one day.
	DefaultCheckpointAge = 12 * time.Hour
	// DefaultCheckpointRetry is the time after which a checkpoint that was sent but not read back is abandoned, and
	// the delay after a failed part before a new checkpoint is begun.
	DefaultCheckpointRetry = 10 * time.Minute
	// DefaultPartSize is the number of records in one part of a checkpoint, about 300 KB.
	DefaultPartSize = 1000
	// partsPerTick limits the rate of appends of a large checkpoint, so that they do not delay claims.
	partsPerTick = 8
	// maxTrackedCheckpoints is the number of checkpoints whose parts are tracked at the same time.
	maxTrackedCheckpoints = 4
)

// MachineConfig holds the identity and limits of a machine; a limit of zero selects its default.
type MachineConfig struct {
	Prefix          string               // Prefix is the prefix of record ids; it is unique for each start of a host.
	DataCentre      string               // DataCentre is the data centre of the host.
	Self            almondcross.MemberID // Self is the host with its incarnation at the start.
	Horizon         time.Duration
	AppendTimeout   time.Duration
	CheckpointAge   time.Duration // CheckpointAge is the age of the last checkpoint from which a new one is written.
	CheckpointRetry time.Duration
	PartSize        int
}

// Effect is an action that the machine requests and the duty performs.
type Effect interface{ effect() }

// AppendClaim appends a claim, void or settlement to the claims stream.
type AppendClaim struct{ Record almondcross.ClaimRecord }

// AppendPart appends one part of a checkpoint to the claims stream.
type AppendPart struct {
	ID   string
	Part almondcross.ClaimCheckpoint
}

// StoreAnswer appends the answer of a key to the answers stream; the result arrives as an AnswerAppended message.
type StoreAnswer struct{ Outcome almondcross.Outcome }

// NotifyCoordinator sends a message to the coordinator.
type NotifyCoordinator struct {
	Message almondcross.CoordinatorMessage
}

func (AppendClaim) effect()       {}
func (AppendPart) effect()        {}
func (StoreAnswer) effect()       {}
func (NotifyCoordinator) effect() {}

// pendingRequest is a claim or void of one key that has not been read back from the log.
type pendingRequest struct {
	key       almondcross.Key
	claimID   string // the id of the claim, empty if only a void was requested
	entry     string
	issuedAt  time.Time
	sentAt    time.Time // the time of the last append, zero if the next tick must append again
	needsVoid bool
}

// pendingSettlement is the end of a key whose record has not been read back from the log.
type pendingSettlement struct {
	outcome almondcross.Outcome
	sentAt  time.Time // the time of the last append, zero if the next tick must append again
}

// Machine contains the decision logic of the claimer; it is not safe for concurrent use.
type Machine struct {
	config             MachineConfig
	self               almondcross.MemberID
	table              table
	pendingRequests    map[claimName]pendingRequest
	awaitedSettlements map[claimName]almondcross.Key // refused keys with a claim under another origin, whose settlement the coordinator is notified of
	pendingSettlements map[almondcross.Key]pendingSettlement
	pendingAppends     map[string]almondcross.Key // the keys of records whose append is unanswered, by record id
	sequence           uint64
	lastRead           almondcross.Offset // the offset of the last record read, -1 for none
	caughtUp           bool
	checkpoints        checkpoints
}

// NewMachine returns a machine with an empty table that has read no record.
func NewMachine(config MachineConfig) *Machine {
	config.Horizon = orDefault(config.Horizon, DefaultHorizon)
	config.AppendTimeout = orDefault(config.AppendTimeout, DefaultAppendTimeout)
	config.CheckpointAge = orDefault(config.CheckpointAge, DefaultCheckpointAge)
	config.CheckpointRetry = orDefault(config.CheckpointRetry, DefaultCheckpointRetry)
	config.PartSize = orDefault(config.PartSize, DefaultPartSize)
	return &Machine{
		config: config, self: config.Self, table: table{claims: map[claimName]decision{}},
		pendingRequests: map[claimName]pendingRequest{}, awaitedSettlements: map[claimName]almondcross.Key{},
		pendingSettlements: map[almondcross.Key]pendingSettlement{},
		pendingAppends:     map[string]almondcross.Key{}, lastRead: -1,
		checkpoints: checkpoints{partsRead: map[string]map[int]bool{}},
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Len returns the number of key names in the table.
func (machine *Machine) Len() int { return len(machine.table.claims) }

// Apply processes a message and returns the effects that the duty must perform.
func (machine *Machine) Apply(message almondcross.ClaimerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.ClaimKey:
		return machine.claim(message, now)
	case almondcross.VoidKey:
		return machine.void(message, now)
	case almondcross.SettleKey:
		return machine.settle(message.Outcome(), now)
	case almondcross.ClaimRecordsRead:
		return machine.applyRecords(message, now)
	case almondcross.ClaimCheckpointRead:
		return machine.applyCheckpoint(message, now)
	case almondcross.ClaimsStarted:
		machine.checkpoints.setStart(message, now)
	case almondcross.ClaimsCaughtUp:
		machine.caughtUp = true
	case almondcross.AppendAnswered:
		return machine.appendAnswered(message, now)
	case almondcross.AnswerAppended:
		return machine.answerAppended(message, now)
	case almondcross.ViewChanged:
		machine.self = message.View().Self().ID()
	case almondcross.ClaimTick:
		return machine.tick(message, now)
	}
	return nil
}

// claim appends a claim, or refuses the key if it is already decided, has no issue time, is too old, or may have an
// unread claim.
func (machine *Machine) claim(message almondcross.ClaimKey, now time.Time) []Effect {
	key, issuedAt := message.Key(), message.Request().IssuedAt()
	if current, known := machine.table.lookup(key); known {
		code := machine.refusalCode(current, issuedAt)
		if code == almondcross.CodeVoided && (issuedAt.IsZero() || now.Sub(issuedAt) > machine.config.Horizon) {
			// A claim before the void may have expired from the table, so the void does not prove that the key never ran.
			code = almondcross.CodeHeldBack
		}
		return machine.refuse(key, code, current.decisive())
	}
	switch {
	case issuedAt.IsZero():
		return machine.refuse(key, almondcross.CodeIssuedAtMissing, almondcross.ClaimRecord{})
	case now.Sub(issuedAt) > machine.config.Horizon:
		return machine.refuse(key, almondcross.CodeKeyExpired, almondcross.ClaimRecord{})
	case !machine.checkpoints.isComplete(issuedAt):
		// An earlier claim may be among the records that were not read, so the key may have run.
		return machine.refuse(key, almondcross.CodeHeldBack, almondcross.ClaimRecord{})
	}
	request, pending := machine.pendingRequests[nameOf(key)]
	if pending && request.key != key {
		return machine.refuse(key, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{})
	}
	if request.claimID != "" {
		return nil
	}
	request.key = key
	record := machine.newRecord(almondcross.ClaimRequested, key).WithEntry(message.Entry()).WithIssuedAt(issuedAt)
	request.claimID, request.entry, request.issuedAt, request.sentAt = record.ID(), message.Entry(), issuedAt, now
	machine.pendingRequests[nameOf(key)] = request
	return []Effect{AppendClaim{Record: record}}
}

// void appends a void. If a claim of the key is pending, the order of the two records in the log decides.
func (machine *Machine) void(message almondcross.VoidKey, now time.Time) []Effect {
	key := message.Key()
	if current, known := machine.table.lookup(key); known {
		return machine.refuse(key, machine.refusalCode(current, time.Time{}), current.decisive())
	}
	request, pending := machine.pendingRequests[nameOf(key)]
	if pending && request.key != key {
		return machine.refuse(key, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{})
	}
	request.key, request.needsVoid = key, true
	machine.pendingRequests[nameOf(key)] = request
	return machine.appendVoid(key, now)
}

func (machine *Machine) appendVoid(key almondcross.Key, now time.Time) []Effect {
	request := machine.pendingRequests[nameOf(key)]
	request.sentAt = now
	machine.pendingRequests[nameOf(key)] = request
	// A void expires like a key that is issued now, so it never expires before its own key.
	record := machine.newRecord(almondcross.ClaimVoid, key).WithEntry(request.entry).WithIssuedAt(now)
	return []Effect{AppendClaim{Record: record}}
}

// newRecord returns a new record of a key and adds it to pendingAppends until its append is answered.
func (machine *Machine) newRecord(kind almondcross.ClaimKind, key almondcross.Key) almondcross.ClaimRecord {
	id := machine.nextID()
	machine.pendingAppends[id] = key
	return almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: id, Kind: kind, Key: key, Claimant: machine.self, DataCentre: machine.config.DataCentre, AnswerOffset: -1,
	})
}

func (machine *Machine) nextID() string {
	machine.sequence++
	return machine.config.Prefix + "/" + strconv.FormatUint(machine.sequence, 10)
}

// refusalCode returns the reason why a decided key may not start. A void proves that the key never runs only if no
// earlier claim can be missing from the table; issuedAt is zero if it is not known.
func (machine *Machine) refusalCode(decision decision, issuedAt time.Time) almondcross.Code {
	if decision.hasSettlement || decision.first.Kind() != almondcross.ClaimVoid {
		return almondcross.CodeClaimedElsewhere
	}
	if !machine.checkpoints.isComplete(issuedAt) {
		return almondcross.CodeHeldBack
	}
	return almondcross.CodeVoided
}

// refuse notifies the coordinator that a key may not start. A key that was claimed under another origin is added to
// awaitedSettlements, so that its coordinator is notified of the settlement.
func (machine *Machine) refuse(
	key almondcross.Key, code almondcross.Code, decisive almondcross.ClaimRecord,
) []Effect {
	if code == almondcross.CodeClaimedElsewhere && decisive.Kind() == almondcross.ClaimRequested && decisive.Key() != key {
		machine.awaitedSettlements[nameOf(key)] = key
	}
	return []Effect{NotifyCoordinator{Message: almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: key, Code: code, Decisive: decisive,
	})}}
}

// applyRecords merges records in log order and decides the pending requests of their keys.
func (machine *Machine) applyRecords(message almondcross.ClaimRecordsRead, now time.Time) []Effect {
	var effects []Effect
	for _, record := range message.Records() {
		effects = append(effects, machine.mergeRecord(record, now)...)
		machine.lastRead = max(machine.lastRead, record.Offset())
	}
	machine.lastRead = max(machine.lastRead, message.Next()-1)
	return effects
}

func (machine *Machine) mergeRecord(record almondcross.ClaimRecord, now time.Time) []Effect {
	delete(machine.pendingAppends, record.ID())
	expires := record.IssuedAt().Add(machine.config.Horizon + expiryMargin)
	if !now.Before(expires) {
		return nil
	}
	changed := machine.table.merge(record, expires)
	effects := machine.decide(nameOf(record.Key()), now)
	if record.Kind() == almondcross.ClaimSettled {
		machine.dropPendingSettlement(record.Key())
		// Settlements that are read while catching up are not reported: a later claim of the key is refused with the
		// settlement.
		if changed && machine.caughtUp {
			effects = append(effects, machine.notifySettlement(record)...)
		}
	}
	return effects
}

// notifySettlement notifies the coordinator of a settlement, with the origin under which this host's coordinator has
// the key.
func (machine *Machine) notifySettlement(record almondcross.ClaimRecord) []Effect {
	notification := func(record almondcross.ClaimRecord) Effect {
		return NotifyCoordinator{Message: almondcross.NewClaimSettlementSeen(
			almondcross.ClaimSettlementSeenConfig{Record: record},
		)}
	}
	var effects []Effect
	if record.Key().Origin() == machine.config.DataCentre {
		effects = append(effects, notification(record))
	}
	if key, ok := machine.awaitedSettlements[nameOf(record.Key())]; ok {
		delete(machine.awaitedSettlements, nameOf(record.Key()))
		effects = append(effects, notification(record.WithKey(key)))
	}
	return effects
}

// dropPendingSettlement drops the pending settlement of a key unless it would replace the one in the log.
func (machine *Machine) dropPendingSettlement(key almondcross.Key) {
	settlement, ok := machine.pendingSettlements[key]
	current, _ := machine.table.lookup(key)
	if ok && !statusSupersedes(settlement.outcome.Status(), current.settlement) {
		delete(machine.pendingSettlements, key)
	}
}

// decide answers the pending request of a key that the log has decided: it grants or refuses the claim.
func (machine *Machine) decide(name claimName, now time.Time) []Effect {
	request, ok := machine.pendingRequests[name]
	if !ok {
		return nil
	}
	key, current := request.key, machine.table.claims[name]
	delete(machine.pendingRequests, name)
	ownClaim := request.claimID != "" && current.hasFirst && current.first.ID() == request.claimID
	if !ownClaim || current.hasSettlement {
		return machine.refuse(key, machine.refusalCode(current, request.issuedAt), current.decisive())
	}
	if !machine.checkpoints.isComplete(request.issuedAt) {
		return machine.refuse(key, almondcross.CodeHeldBack, current.first)
	}
	if current.first.Claimant() != machine.self {
		// The host rejoined while the claim was pending. The claim is never granted, so the key certainly does not run.
		effects := machine.refuse(key, almondcross.CodeNoLinkLease, current.first)
		return append(effects, machine.settle(almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: key, Status: almondcross.StatusNotRun, Code: almondcross.CodeNoLinkLease,
		}), now)...)
	}
	return []Effect{NotifyCoordinator{Message: almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: key, Granted: true, Decisive: current.first,
	})}}
}

// settle stores the answer of a key, if there is one, and appends the settlement.
func (machine *Machine) settle(outcome almondcross.Outcome, now time.Time) []Effect {
	if current, known := machine.table.lookup(outcome.Key()); !known || !current.hasFirst {
		// The answer of a task with a lost coordinator may belong to work that needs no claim.
		return nil
	}
	machine.pendingSettlements[outcome.Key()] = pendingSettlement{outcome: outcome, sentAt: now}
	if len(outcome.Answer()) > 0 {
		return []Effect{StoreAnswer{Outcome: outcome}}
	}
	return machine.appendSettled(outcome, -1, now)
}

// answerAppended appends the settlement of a key after its answer was appended. A failed append is repeated at the next
// tick.
func (machine *Machine) answerAppended(message almondcross.AnswerAppended, now time.Time) []Effect {
	key := message.Outcome().Key()
	settlement, ok := machine.pendingSettlements[key]
	if !ok {
		return nil
	}
	if message.Result() != almondcross.AppendAccepted {
		settlement.sentAt = time.Time{}
		machine.pendingSettlements[key] = settlement
		return nil
	}
	outcome := message.Outcome()
	if message.Offset() < 0 {
		// The answer cannot be fetched: it does not fit into a record, or its offset is not known.
		outcome = outcome.WithCode(almondcross.CodeAnswerStored)
	}
	return machine.appendSettled(outcome, message.Offset(), now)
}

func (machine *Machine) appendSettled(outcome almondcross.Outcome, offset almondcross.Offset, now time.Time) []Effect {
	key := outcome.Key()
	issuedAt := now
	entry := ""
	if current, known := machine.table.lookup(key); known && current.hasFirst {
		issuedAt, entry = current.first.IssuedAt(), current.first.Entry()
	}
	machine.pendingSettlements[key] = pendingSettlement{outcome: outcome, sentAt: now}
	record := machine.newRecord(almondcross.ClaimSettled, key).WithStatus(outcome.Status()).WithCode(outcome.Code()).
		WithAnswerOffset(offset).WithIssuedAt(issuedAt).WithEntry(entry)
	return []Effect{AppendClaim{Record: record}}
}
