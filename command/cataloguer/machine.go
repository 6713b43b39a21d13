package cataloguer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// MachineConfig holds the limits of a machine; zero values mean the defaults.
type MachineConfig struct {
	// Prefix is the prefix of the record IDs that the machine generates; it is unique to each run of a host.
	Prefix string
	// ChangeTimeout is the time after which a change that was not read back from the log is answered as
	// uncertain.
	ChangeTimeout time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is written.
	CheckpointRecords int
	// CheckpointAge is the age of the oldest record not covered by a checkpoint at which a new one is
	// written; half of the log's retention.
	CheckpointAge time.Duration
	// CheckpointRetry is the time after which a checkpoint is written again if its append was not
	// answered.
	CheckpointRetry time.Duration
}

// Defaults of the configuration.
const (
	// DefaultChangeTimeout is longer than the appender takes to find out whether an append whose answer was
	// lost has succeeded.
	DefaultChangeTimeout     = 8 * time.Second
	DefaultCheckpointRecords = 1000
	DefaultCheckpointAge     = 12 * time.Hour
	DefaultCheckpointRetry   = 30 * time.Second
)

// Effect is an action that the machine returns for the duty to execute.
type Effect interface{ effect() }

// AppendChange appends a change to the catalogue stream. ProbeID is set while the stream may be empty:
// a record with this ID and an empty body is appended first, so that no change has offset 0. As a
// version, 0 means that the entry does not exist.
type AppendChange struct {
	Change  almondcross.CatalogueChange
	ProbeID string
}

// AppendCheckpoint appends a checkpoint to the checkpoint stream.
type AppendCheckpoint struct {
	ID         string
	Checkpoint almondcross.CatalogueCheckpoint
}

// AnswerChange answers an operator's change.
type AnswerChange struct {
	Replier almondcross.ChangeReplier
	Outcome almondcross.ChangeOutcome
}

// PublishCatalogue makes a catalogue the current one of the host and sends it to the other duties.
type PublishCatalogue struct{ Catalogue almondcross.Catalogue }

// PublishAudit publishes the audit trail for readers.
type PublishAudit struct{ Lines []almondcross.AuditLine }

// SendCatalogue sends the current catalogue to a peer.
type SendCatalogue struct {
	Member    string
	Catalogue almondcross.Catalogue
}

func (AppendChange) effect()     {}
func (AppendCheckpoint) effect() {}
func (AnswerChange) effect()     {}
func (PublishCatalogue) effect() {}
func (PublishAudit) effect()     {}
func (SendCatalogue) effect()    {}

// pendingChange is an operator's change that was not yet read back from the log.
type pendingChange struct {
	change   almondcross.CatalogueChange
	repliers []almondcross.ChangeReplier
	deadline time.Time
}

// Machine is the state machine of the cataloguer; it performs no I/O and is not safe for concurrent use.
type Machine struct {
	config         MachineConfig
	reducer        reducer
	published      almondcross.Catalogue
	pendingChanges map[string]pendingChange
	sequence       uint64

	checkpointedOffset      almondcross.Offset // the offset covered by the newest checkpoint in the log, -1 if none is known
	recordsSinceCheckpoint  int                // the number of records that this checkpoint does not cover
	oldestUncheckpointed    time.Time          // the time at which the first of them was appended
	pendingCheckpointID     string             // the record ID of the checkpoint that is being appended, or empty
	checkpointSentAt        time.Time          // the time at which the last checkpoint was sent
	pendingCheckpointOffset almondcross.Offset // the offset that the last sent checkpoint covers
}

// NewMachine returns a machine with an empty catalogue.
func NewMachine(config MachineConfig) *Machine {
	if config.ChangeTimeout == 0 {
		config.ChangeTimeout = DefaultChangeTimeout
	}
	if config.CheckpointRecords == 0 {
		config.CheckpointRecords = DefaultCheckpointRecords
	}
	if config.CheckpointAge == 0 {
		config.CheckpointAge = DefaultCheckpointAge
	}
	if config.CheckpointRetry == 0 {
		config.CheckpointRetry = DefaultCheckpointRetry
	}
	return &Machine{
		config: config, reducer: newReducer(), published: almondcross.NewCatalogue(),
		pendingChanges: map[string]pendingChange{}, checkpointedOffset: -1,
	}
}

// Catalogue returns the current catalogue.
func (machine *Machine) Catalogue() almondcross.Catalogue { return machine.published }

// ReducedOffset returns the offset up to which the reducer has applied the stream, -1 before the first
// record.
func (machine *Machine) ReducedOffset() almondcross.Offset { return machine.reducer.catalogue.Offset() }

// Apply updates the state with one message and returns the effects to execute, in order.
func (machine *Machine) Apply(message almondcross.CataloguerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.ChangeCatalogue:
		return machine.requestChange(message, now)
	case almondcross.CatalogueRecordsRead:
		return machine.applyRecords(message)
	case almondcross.CatalogueCheckpointRead:
		return machine.restoreCheckpoint(message.Checkpoint())
	case almondcross.CatalogueLoaded:
		return machine.publishNewer(message.Catalogue())
	case almondcross.AppendAnswered:
		return machine.handleAppendAnswer(message)
	case almondcross.CatalogueTick:
		return machine.tick(message.Writer(), now)
	case almondcross.PeerCatalogueRequest:
		if machine.published.Offset() > message.Offset() {
			return []Effect{SendCatalogue{Member: message.Member().Name(), Catalogue: machine.published}}
		}
	}
	return nil
}

func (machine *Machine) requestChange(message almondcross.ChangeCatalogue, now time.Time) []Effect {
	change := message.Change()
	if change.Name() == "" || (!change.Removed() && change.Entry().Name() != change.Name()) {
		return []Effect{newAnswer(message.Replier(), change, almondcross.CodeInvalid, "the change and its entry differ in name", true)}
	}
	if change.ID() == "" {
		change = change.WithID(machine.nextID())
	}
	if pending, ok := machine.pendingChanges[change.ID()]; ok {
		pending.repliers = append(pending.repliers, message.Replier())
		machine.pendingChanges[change.ID()] = pending
		return nil
	}
	machine.pendingChanges[change.ID()] = pendingChange{
		change: change, repliers: []almondcross.ChangeReplier{message.Replier()}, deadline: now.Add(machine.config.ChangeTimeout),
	}
	effect := AppendChange{Change: change}
	if machine.ReducedOffset() < 0 {
		effect.ProbeID = machine.nextID()
	}
	return []Effect{effect}
}

func (machine *Machine) nextID() string {
	machine.sequence++
	return machine.config.Prefix + "/" + strconv.FormatUint(machine.sequence, 10)
}

func newAnswer(
	replier almondcross.ChangeReplier, change almondcross.CatalogueChange, code almondcross.Code, detail string, certain bool,
) Effect {
	return AnswerChange{Replier: replier, Outcome: almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: change.Name(), Certain: certain, Code: code, Detail: detail,
	})}
}

// applyRecords applies records of the stream in order and answers the pending changes among them.
func (machine *Machine) applyRecords(message almondcross.CatalogueRecordsRead) []Effect {
	var effects []Effect
	before := machine.reducer.catalogue.Offset()
	for _, change := range message.Changes() {
		if change.Offset() > machine.reducer.catalogue.Offset() {
			machine.recordsSinceCheckpoint++
			if machine.oldestUncheckpointed.IsZero() {
				machine.oldestUncheckpointed = change.Appended()
			}
		}
		outcome, applied := machine.reducer.reduce(change)
		pending, ok := machine.pendingChanges[change.ID()]
		if !ok {
			continue
		}
		delete(machine.pendingChanges, change.ID())
		for _, replier := range pending.repliers {
			if applied {
				effects = append(effects, AnswerChange{Replier: replier, Outcome: outcome})
			} else {
				effects = append(effects, newAnswer(replier, change, almondcross.CodeInvalid, "a record of this id came before", false))
			}
		}
	}
	machine.reducer.advanceTo(message.Next())
	if machine.reducer.catalogue.Offset() == before {
		return effects
	}
	if len(message.Changes()) > 0 {
		effects = append([]Effect{PublishAudit{Lines: machine.reducer.auditLines()}}, effects...)
	}
	// The catalogue is published before the operator's change is answered.
	return append(machine.publishNewer(machine.reducer.catalogue), effects...)
}

// restoreCheckpoint replaces the state of the reducer if the checkpoint covers a higher offset.
func (machine *Machine) restoreCheckpoint(checkpoint almondcross.CatalogueCheckpoint) []Effect {
	offset := checkpoint.Catalogue().Offset()
	machine.setCheckpointed(offset)
	if offset <= machine.reducer.catalogue.Offset() {
		return nil
	}
	machine.reducer = restoreReducer(checkpoint)
	machine.recordsSinceCheckpoint, machine.oldestUncheckpointed = 0, time.Time{}
	return append(machine.publishNewer(checkpoint.Catalogue()), PublishAudit{Lines: machine.reducer.auditLines()})
}

func (machine *Machine) publishNewer(catalogue almondcross.Catalogue) []Effect {
	if catalogue.Offset() <= machine.published.Offset() {
		return nil
	}
	machine.published = catalogue
	return []Effect{PublishCatalogue{Catalogue: catalogue}}
}

// handleAppendAnswer handles the answer to an append. A change that was appended, or for which that is
// uncertain, is answered when it is read back or at its time limit.
func (machine *Machine) handleAppendAnswer(message almondcross.AppendAnswered) []Effect {
	var effects []Effect
	for _, id := range message.IDs() {
		if id == machine.pendingCheckpointID {
			machine.pendingCheckpointID = ""
			if message.Result() == almondcross.AppendAccepted {
				machine.setCheckpointed(machine.pendingCheckpointOffset)
			}
			continue
		}
		pending, ok := machine.pendingChanges[id]
		if !ok || message.Result() != almondcross.AppendRefused {
			continue
		}
		delete(machine.pendingChanges, id)
		for _, replier := range pending.repliers {
			effects = append(effects, newAnswer(replier, pending.change, almondcross.CodeLogDown, "the log did not take the change", true))
		}
	}
	return effects
}

// setCheckpointed records that the log has a checkpoint; the records that it does not cover count towards
// the next one. They were read after the checkpoint was sent, so the time of sending is used as the time
// of the oldest one.
func (machine *Machine) setCheckpointed(offset almondcross.Offset) {
	if offset <= machine.checkpointedOffset {
		return
	}
	machine.checkpointedOffset = offset
	uncovered := machine.reducer.catalogue.Offset() - offset
	if uncovered <= 0 {
		machine.recordsSinceCheckpoint, machine.oldestUncheckpointed = 0, time.Time{}
		return
	}
	machine.recordsSinceCheckpoint = min(machine.recordsSinceCheckpoint, int(uncovered))
	if machine.checkpointSentAt.After(machine.oldestUncheckpointed) {
		machine.oldestUncheckpointed = machine.checkpointSentAt
	}
}

func (machine *Machine) tick(writer bool, now time.Time) []Effect {
	var effects []Effect
	for id, pending := range machine.pendingChanges {
		if now.Before(pending.deadline) {
			continue
		}
		delete(machine.pendingChanges, id)
		for _, replier := range pending.repliers {
			effects = append(effects, newAnswer(
				replier, pending.change, almondcross.CodeTimeout, "the change was not read back in time; it may still be accepted", false,
			))
		}
	}
	if machine.pendingCheckpointID != "" && now.Sub(machine.checkpointSentAt) >= machine.config.CheckpointRetry {
		machine.pendingCheckpointID = ""
	}
	due := machine.recordsSinceCheckpoint >= machine.config.CheckpointRecords ||
		(!machine.oldestUncheckpointed.IsZero() && now.Sub(machine.oldestUncheckpointed) >= machine.config.CheckpointAge)
	if !writer || machine.pendingCheckpointID != "" || !due {
		return effects
	}
	machine.pendingCheckpointID = machine.nextID()
	machine.checkpointSentAt, machine.pendingCheckpointOffset = now, machine.reducer.catalogue.Offset()
	return append(effects, AppendCheckpoint{ID: machine.pendingCheckpointID, Checkpoint: machine.reducer.checkpoint()})
}
