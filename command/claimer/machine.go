package claimer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// Defaults of the configuration.
const (
	// DefaultHorizon is the age of a key from which it is refused.
	DefaultHorizon = 62 * 24 * time.Hour
	// DefaultAnswerLimit is the time after which the answer to an append counts as lost; it is longer
	// than the appender takes to settle one.
	DefaultAnswerLimit = 8 * time.Second
	// DefaultCheckpointAge is half of a retention of one day.
	DefaultCheckpointAge   = 12 * time.Hour
	DefaultCheckpointRetry = 10 * time.Minute
	// DefaultPartSize is the number of records in one part of a checkpoint, about 300 KB.
	DefaultPartSize = 1000
	// partsPerTick bounds the appends of a large checkpoint, so that claims are not held up by it.
	partsPerTick = 8
	// maxCheckpoints is the number of checkpoints whose parts are counted at the same time.
	maxCheckpoints = 4
)

// MachineConfig holds the limits of a machine; zero values stand for the defaults.
type MachineConfig struct {
	Prefix          string               // Prefix begins the ids of records; it is unique for each run of a host.
	DataCentre      string               // DataCentre is the data centre of the host.
	Self            almondcross.MemberID // Self is the host with its incarnation at the start.
	Horizon         time.Duration
	AnswerLimit     time.Duration
	CheckpointAge   time.Duration // CheckpointAge is half of the log's retention.
	CheckpointRetry time.Duration
	PartSize        int
}

// Effect is something that the duty does for the machine.
type Effect interface{ effect() }

// AppendClaim appends a claim, void or settled record.
type AppendClaim struct{ Record almondcross.ClaimRecord }

// AppendPart appends one part of a checkpoint.
type AppendPart struct {
	ID   string
	Part almondcross.ClaimCheckpoint
}

// StoreAnswer appends the answer of a key to the answers stream; AnswerAppended follows.
type StoreAnswer struct{ Outcome almondcross.Outcome }

// TellCoordinator passes a message to the coordinator.
type TellCoordinator struct {
	Message almondcross.CoordinatorMessage
}

func (AppendClaim) effect()     {}
func (AppendPart) effect()      {}
func (StoreAnswer) effect()     {}
func (TellCoordinator) effect() {}

// request is a claim or void of one key that the log has not decided yet.
type request struct {
	key       almondcross.Key
	claimID   string // the id of the claim, empty when only a void was asked for
	entry     string
	issuedAt  time.Time
	sentAt    time.Time // the time of the last append, zero when the next tick is to append
	needsVoid bool
}

// settlement is the end of a key that was not read back yet.
type settlement struct {
	outcome almondcross.Outcome
	sentAt  time.Time // the time of the last append, zero when the next tick is to append
}

// Machine decides for the claimer; it is not safe for concurrent use.
type Machine struct {
	config      MachineConfig
	self        almondcross.MemberID
	table       table
	requests    map[claimName]request
	followed    map[claimName]almondcross.Key // the keys that were refused for a claim under another origin
	settlements map[almondcross.Key]settlement
	sent        map[string]almondcross.Key // the keys of records that are being appended, by record id
	sequence    uint64
	read        almondcross.Offset // the offset of the last record read, -1 for none
	caughtUp    bool
	checkpoints checkpoints
}

// NewMachine returns a machine that has read nothing.
func NewMachine(config MachineConfig) *Machine {
	config.Horizon = orDefault(config.Horizon, DefaultHorizon)
	config.AnswerLimit = orDefault(config.AnswerLimit, DefaultAnswerLimit)
	config.CheckpointAge = orDefault(config.CheckpointAge, DefaultCheckpointAge)
	config.CheckpointRetry = orDefault(config.CheckpointRetry, DefaultCheckpointRetry)
	config.PartSize = orDefault(config.PartSize, DefaultPartSize)
	return &Machine{
		config: config, self: config.Self, table: table{claims: map[claimName]decision{}},
		requests: map[claimName]request{}, followed: map[claimName]almondcross.Key{},
		settlements: map[almondcross.Key]settlement{},
		sent:        map[string]almondcross.Key{}, read: -1,
		checkpoints: checkpoints{parts: map[string]map[int]bool{}},
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Len returns the number of claims in the table.
func (machine *Machine) Len() int { return len(machine.table.claims) }

// Apply changes the state by one message and returns what is to be done.
func (machine *Machine) Apply(message almondcross.ClaimerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.ClaimKey:
		return machine.claim(message, now)
	case almondcross.VoidKey:
		return machine.void(message, now)
	case almondcross.SettleKey:
		return machine.settle(message.Outcome(), now)
	case almondcross.ClaimRecordsRead:
		return machine.readRecords(message, now)
	case almondcross.ClaimCheckpointRead:
		return machine.readCheckpoint(message, now)
	case almondcross.ClaimsStarted:
		machine.checkpoints.start(message, now)
	case almondcross.ClaimsCaughtUp:
		machine.caughtUp = true
	case almondcross.AppendAnswered:
		return machine.appended(message, now)
	case almondcross.AnswerAppended:
		return machine.answerStored(message, now)
	case almondcross.ViewChanged:
		machine.self = message.View().Self().ID()
	case almondcross.ClaimTick:
		return machine.tick(message, now)
	}
	return nil
}

// claim appends a claim unless the key is refused at once.
func (machine *Machine) claim(message almondcross.ClaimKey, now time.Time) []Effect {
	key, issuedAt := message.Key(), message.Request().IssuedAt()
	if current, known := machine.table.of(key); known {
		code := machine.refusal(current, issuedAt)
		if code == almondcross.CodeVoided && (issuedAt.IsZero() || now.Sub(issuedAt) > machine.config.Horizon) {
			// A claim before the void may have left the table, so the void proves nothing.
			code = almondcross.CodeHeldBack
		}
		return machine.refuse(key, code, current.decisive())
	}
	switch {
	case issuedAt.IsZero():
		return machine.refuse(key, almondcross.CodeIssuedAtMissing, almondcross.ClaimRecord{})
	case now.Sub(issuedAt) > machine.config.Horizon:
		return machine.refuse(key, almondcross.CodeKeyExpired, almondcross.ClaimRecord{})
	case !machine.checkpoints.safe(issuedAt):
		// An earlier claim may be among the records that were not read, so the key may have run.
		return machine.refuse(key, almondcross.CodeHeldBack, almondcross.ClaimRecord{})
	}
	waiting, open := machine.requests[nameOf(key)]
	if open && waiting.key != key {
		return machine.refuse(key, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{})
	}
	if waiting.claimID != "" {
		return nil
	}
	waiting.key = key
	record := machine.record(almondcross.ClaimTaken, key).WithEntry(message.Entry()).WithIssuedAt(issuedAt)
	waiting.claimID, waiting.entry, waiting.issuedAt, waiting.sentAt = record.ID(), message.Entry(), issuedAt, now
	machine.requests[nameOf(key)] = waiting
	return []Effect{AppendClaim{Record: record}}
}

// void appends a void. When a claim of the key is under way, the log order of the two decides.
func (machine *Machine) void(message almondcross.VoidKey, now time.Time) []Effect {
	key := message.Key()
	if current, known := machine.table.of(key); known {
		return machine.refuse(key, machine.refusal(current, time.Time{}), current.decisive())
	}
	waiting, open := machine.requests[nameOf(key)]
	if open && waiting.key != key {
		return machine.refuse(key, almondcross.CodeClaimedElsewhere, almondcross.ClaimRecord{})
	}
	waiting.key, waiting.needsVoid = key, true
	machine.requests[nameOf(key)] = waiting
	return machine.appendVoid(key, now)
}

func (machine *Machine) appendVoid(key almondcross.Key, now time.Time) []Effect {
	waiting := machine.requests[nameOf(key)]
	waiting.sentAt = now
	machine.requests[nameOf(key)] = waiting
	// A void expires like a key that is issued now, which is no earlier than its key.
	record := machine.record(almondcross.ClaimVoid, key).WithEntry(waiting.entry).WithIssuedAt(now)
	return []Effect{AppendClaim{Record: record}}
}

// record returns a new record of a key and remembers it until its append is answered.
func (machine *Machine) record(kind almondcross.ClaimKind, key almondcross.Key) almondcross.ClaimRecord {
	id := machine.nextID()
	machine.sent[id] = key
	return almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: id, Kind: kind, Key: key, Claimant: machine.self, DataCentre: machine.config.DataCentre, AnswerOffset: -1,
	})
}

func (machine *Machine) nextID() string {
	machine.sequence++
	return machine.config.Prefix + "/" + strconv.FormatUint(machine.sequence, 10)
}

// refusal returns the reason for which a decided key may not start. A void proves that the key never
// runs only if no claim before it can be missing from the table; the time of issue is zero when it is
// not known.
func (machine *Machine) refusal(current decision, issuedAt time.Time) almondcross.Code {
	if current.ended || current.standing.Kind() != almondcross.ClaimVoid {
		return almondcross.CodeClaimedElsewhere
	}
	if !machine.checkpoints.safe(issuedAt) {
		return almondcross.CodeHeldBack
	}
	return almondcross.CodeVoided
}

// refuse tells the coordinator that a key may not start. A key that another origin claimed is followed,
// so that its coordinator hears of the settlement.
func (machine *Machine) refuse(
	key almondcross.Key, code almondcross.Code, decisive almondcross.ClaimRecord,
) []Effect {
	if code == almondcross.CodeClaimedElsewhere && decisive.Kind() == almondcross.ClaimTaken && decisive.Key() != key {
		machine.followed[nameOf(key)] = key
	}
	return []Effect{TellCoordinator{Message: almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: key, Code: code, Decisive: decisive,
	})}}
}

// readRecords merges records in log order and decides the keys that wait for them.
func (machine *Machine) readRecords(message almondcross.ClaimRecordsRead, now time.Time) []Effect {
	var effects []Effect
	for _, record := range message.Records() {
		effects = append(effects, machine.merge(record, now)...)
		machine.read = max(machine.read, record.Offset())
	}
	machine.read = max(machine.read, message.Next()-1)
	return effects
}

func (machine *Machine) merge(record almondcross.ClaimRecord, now time.Time) []Effect {
	delete(machine.sent, record.ID())
	expires := record.IssuedAt().Add(machine.config.Horizon + expiryMargin)
	if !now.Before(expires) {
		return nil
	}
	changed := machine.table.merge(record, expires)
	effects := machine.decide(nameOf(record.Key()), now)
	if record.Kind() == almondcross.ClaimSettled {
		machine.settledInLog(record.Key())
		// Settlements of the past are of interest only to a coordinator that asks for their key.
		if changed && machine.caughtUp {
			effects = append(effects, machine.tellSettlement(record)...)
		}
	}
	return effects
}

// tellSettlement passes a settlement on under the key that this host's coordinator knows.
func (machine *Machine) tellSettlement(record almondcross.ClaimRecord) []Effect {
	tell := func(record almondcross.ClaimRecord) Effect {
		return TellCoordinator{Message: almondcross.NewClaimSettlementSeen(
			almondcross.ClaimSettlementSeenConfig{Record: record},
		)}
	}
	var effects []Effect
	if record.Key().Origin() == machine.config.DataCentre {
		effects = append(effects, tell(record))
	}
	if key, ok := machine.followed[nameOf(record.Key())]; ok {
		delete(machine.followed, nameOf(record.Key()))
		effects = append(effects, tell(record.WithKey(key)))
	}
	return effects
}

// settledInLog drops the settlement that this host is to record unless it says more than the log does.
func (machine *Machine) settledInLog(key almondcross.Key) {
	waiting, ok := machine.settlements[key]
	current, _ := machine.table.of(key)
	if ok && !supersedesStatus(waiting.outcome.Status(), current.settled) {
		delete(machine.settlements, key)
	}
}

// decide answers the request for a claim that the log has decided.
func (machine *Machine) decide(name claimName, now time.Time) []Effect {
	waiting, ok := machine.requests[name]
	if !ok {
		return nil
	}
	key, current := waiting.key, machine.table.claims[name]
	delete(machine.requests, name)
	own := waiting.claimID != "" && current.stands && current.standing.ID() == waiting.claimID
	if !own || current.ended {
		return machine.refuse(key, machine.refusal(current, waiting.issuedAt), current.decisive())
	}
	if !machine.checkpoints.safe(waiting.issuedAt) {
		return machine.refuse(key, almondcross.CodeHeldBack, current.standing)
	}
	if current.standing.Claimant() != machine.self {
		// The host rejoined while the claim was under way. The claim was not granted and never will
		// be, so the key certainly does not run.
		effects := machine.refuse(key, almondcross.CodeNoStanding, current.standing)
		return append(effects, machine.settle(almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: key, Status: almondcross.StatusNotRun, Code: almondcross.CodeNoStanding,
		}), now)...)
	}
	return []Effect{TellCoordinator{Message: almondcross.NewClaimDecided(almondcross.ClaimDecidedConfig{
		Key: key, Granted: true, Decisive: current.standing,
	})}}
}

// settle stores the answer, if there is one, and records the end of a key.
func (machine *Machine) settle(outcome almondcross.Outcome, now time.Time) []Effect {
	if current, known := machine.table.of(outcome.Key()); !known || !current.stands {
		// An answer whose coordinator was lost may belong to work that needs no claim.
		return nil
	}
	machine.settlements[outcome.Key()] = settlement{outcome: outcome, sentAt: now}
	if len(outcome.Answer()) > 0 {
		return []Effect{StoreAnswer{Outcome: outcome}}
	}
	return machine.appendSettled(outcome, -1, now)
}

func (machine *Machine) answerStored(message almondcross.AnswerAppended, now time.Time) []Effect {
	key := message.Outcome().Key()
	waiting, ok := machine.settlements[key]
	if !ok {
		return nil
	}
	if message.Result() != almondcross.AppendTaken {
		waiting.sentAt = time.Time{}
		machine.settlements[key] = waiting
		return nil
	}
	outcome := message.Outcome()
	if message.Offset() < 0 {
		// The answer does not fit into a record, or its offset is not known.
		outcome = outcome.WithCode(almondcross.CodeAnswerStored)
	}
	return machine.appendSettled(outcome, message.Offset(), now)
}

func (machine *Machine) appendSettled(outcome almondcross.Outcome, offset almondcross.Offset, now time.Time) []Effect {
	key := outcome.Key()
	issuedAt := now
	entry := ""
	if current, known := machine.table.of(key); known && current.stands {
		issuedAt, entry = current.standing.IssuedAt(), current.standing.Entry()
	}
	machine.settlements[key] = settlement{outcome: outcome, sentAt: now}
	record := machine.record(almondcross.ClaimSettled, key).WithStatus(outcome.Status()).WithCode(outcome.Code()).
		WithAnswerOffset(offset).WithIssuedAt(issuedAt).WithEntry(entry)
	return []Effect{AppendClaim{Record: record}}
}
