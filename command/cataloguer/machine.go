package cataloguer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// MachineConfig holds the limits of a machine; zero values stand for the defaults.
type MachineConfig struct {
	// Prefix begins the ids of records that the machine names itself; it is unique for each run of a host.
	Prefix string
	// AnswerLimit is the time after which a change that was not read back is answered as uncertain.
	AnswerLimit time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is written.
	CheckpointRecords int
	// CheckpointAge is the age of the oldest record without a checkpoint at which one is written;
	// half of the log's retention.
	CheckpointAge time.Duration
	// CheckpointRetry is the time after which an unanswered checkpoint is written again.
	CheckpointRetry time.Duration
}

// Defaults of the configuration.
const (
	// DefaultAnswerLimit is longer than the appender takes to settle a lost answer.
	DefaultAnswerLimit       = 8 * time.Second
	DefaultCheckpointRecords = 1000
	DefaultCheckpointAge     = 12 * time.Hour
	DefaultCheckpointRetry   = 30 * time.Second
)

// Effect is something that the duty does for the machine.
type Effect interface{ effect() }

// AppendChange appends a change to the catalogue stream. ProbeID is set while the stream may be
// empty: a record with this id and an empty body goes first, so that no change has offset 0, which
// as a version means that the entry does not exist.
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

// PublishCatalogue makes a catalogue the current one of the host.
type PublishCatalogue struct{ Catalogue almondcross.Catalogue }

// PublishAudit makes the audit trail readable.
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

// waiter is an operator's change that was not read back yet.
type waiter struct {
	change   almondcross.CatalogueChange
	repliers []almondcross.ChangeReplier
	until    time.Time
}

// Machine decides for the cataloguer; it is not safe for concurrent use.
type Machine struct {
	config    MachineConfig
	state     reducer
	published almondcross.Catalogue
	waiters   map[string]waiter
	sequence  uint64

	covered      almondcross.Offset // the offset covered by the last checkpoint that the log has
	since        int                // the records read since then
	oldest       time.Time          // the time of the first of them
	checkpointID string             // the checkpoint that is being appended
	checkpointAt time.Time          // the time at which it was sent
	sentOffset   almondcross.Offset // the offset that it covers
}

// NewMachine returns a machine with an empty catalogue.
func NewMachine(config MachineConfig) *Machine {
	if config.AnswerLimit == 0 {
		config.AnswerLimit = DefaultAnswerLimit
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
		config: config, state: newReducer(), published: almondcross.NewCatalogue(),
		waiters: map[string]waiter{}, covered: -1,
	}
}

// Catalogue returns the current catalogue.
func (machine *Machine) Catalogue() almondcross.Catalogue { return machine.published }

// Reduced returns the offset that the reducer covers; the loader reads on from there.
func (machine *Machine) Reduced() almondcross.Offset { return machine.state.catalogue.Offset() }

// Apply changes the state by one message and returns what is to be done.
func (machine *Machine) Apply(message almondcross.CataloguerMessage, now time.Time) []Effect {
	switch message := message.(type) {
	case almondcross.ChangeCatalogue:
		return machine.change(message, now)
	case almondcross.CatalogueRecordsRead:
		return machine.read(message)
	case almondcross.CatalogueCheckpointRead:
		return machine.restore(message.Checkpoint())
	case almondcross.CatalogueLoaded:
		return machine.publish(message.Catalogue())
	case almondcross.AppendAnswered:
		return machine.appended(message)
	case almondcross.CatalogueTick:
		return machine.tick(message.Writer(), now)
	case almondcross.PeerCatalogueRequest:
		if machine.published.Offset() > message.Offset() {
			return []Effect{SendCatalogue{Member: message.Member().Name(), Catalogue: machine.published}}
		}
	}
	return nil
}

func (machine *Machine) change(message almondcross.ChangeCatalogue, now time.Time) []Effect {
	change := message.Change()
	if change.Name() == "" || (!change.Removed() && change.Entry().Name() != change.Name()) {
		return []Effect{answer(message.Replier(), change, almondcross.CodeInvalid, "the change and its entry differ in name", true)}
	}
	if change.ID() == "" {
		change = change.WithID(machine.nextID())
	}
	if waiting, ok := machine.waiters[change.ID()]; ok {
		waiting.repliers = append(waiting.repliers, message.Replier())
		machine.waiters[change.ID()] = waiting
		return nil
	}
	machine.waiters[change.ID()] = waiter{
		change: change, repliers: []almondcross.ChangeReplier{message.Replier()}, until: now.Add(machine.config.AnswerLimit),
	}
	effect := AppendChange{Change: change}
	if machine.Reduced() < 0 {
		effect.ProbeID = machine.nextID()
	}
	return []Effect{effect}
}

func (machine *Machine) nextID() string {
	machine.sequence++
	return machine.config.Prefix + "/" + strconv.FormatUint(machine.sequence, 10)
}

func answer(
	replier almondcross.ChangeReplier, change almondcross.CatalogueChange, code almondcross.Code, detail string, certain bool,
) Effect {
	return AnswerChange{Replier: replier, Outcome: almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: change.Name(), Certain: certain, Code: code, Detail: detail,
	})}
}

// read applies records of the stream in order.
func (machine *Machine) read(message almondcross.CatalogueRecordsRead) []Effect {
	var effects []Effect
	before := machine.state.catalogue.Offset()
	for _, change := range message.Changes() {
		if change.Offset() > machine.state.catalogue.Offset() {
			machine.since++
			if machine.oldest.IsZero() {
				machine.oldest = change.Appended()
			}
		}
		outcome, fresh := machine.state.reduce(change)
		waiting, ok := machine.waiters[change.ID()]
		if !ok {
			continue
		}
		delete(machine.waiters, change.ID())
		for _, replier := range waiting.repliers {
			if fresh {
				effects = append(effects, AnswerChange{Replier: replier, Outcome: outcome})
			} else {
				effects = append(effects, answer(replier, change, almondcross.CodeInvalid, "a record of this id came before", false))
			}
		}
	}
	machine.state.skip(message.Next())
	if machine.state.catalogue.Offset() == before {
		return effects
	}
	if len(message.Changes()) > 0 {
		effects = append([]Effect{PublishAudit{Lines: machine.state.lines()}}, effects...)
	}
	// The catalogue is in force before the operator is told that it is.
	return append(machine.publish(machine.state.catalogue), effects...)
}

// restore goes on from a checkpoint that covers more than the reducer does.
func (machine *Machine) restore(checkpoint almondcross.CatalogueCheckpoint) []Effect {
	offset := checkpoint.Catalogue().Offset()
	machine.checkpointed(offset)
	if offset <= machine.state.catalogue.Offset() {
		return nil
	}
	machine.state = reducerFrom(checkpoint)
	machine.since, machine.oldest = 0, time.Time{}
	return append(machine.publish(checkpoint.Catalogue()), PublishAudit{Lines: machine.state.lines()})
}

func (machine *Machine) publish(catalogue almondcross.Catalogue) []Effect {
	if catalogue.Offset() <= machine.published.Offset() {
		return nil
	}
	machine.published = catalogue
	return []Effect{PublishCatalogue{Catalogue: catalogue}}
}

// appended handles the answer to an append. A taken or uncertain change is answered when it is read
// back or at its time limit.
func (machine *Machine) appended(message almondcross.AppendAnswered) []Effect {
	var effects []Effect
	for _, id := range message.IDs() {
		if id == machine.checkpointID {
			machine.checkpointID = ""
			if message.Outcome() == almondcross.AppendTaken {
				machine.checkpointed(machine.sentOffset)
			}
			continue
		}
		waiting, ok := machine.waiters[id]
		if !ok || message.Outcome() != almondcross.AppendRefused {
			continue
		}
		delete(machine.waiters, id)
		for _, replier := range waiting.repliers {
			effects = append(effects, answer(replier, waiting.change, almondcross.CodeLogDown, "the log did not take the change", true))
		}
	}
	return effects
}

// checkpointed notes that the log has a checkpoint; records that it does not cover count for the
// next one. They were read after it was sent, so that time bounds their age well enough.
func (machine *Machine) checkpointed(offset almondcross.Offset) {
	if offset <= machine.covered {
		return
	}
	machine.covered = offset
	rest := machine.state.catalogue.Offset() - offset
	if rest <= 0 {
		machine.since, machine.oldest = 0, time.Time{}
		return
	}
	machine.since = min(machine.since, int(rest))
	if machine.checkpointAt.After(machine.oldest) {
		machine.oldest = machine.checkpointAt
	}
}

func (machine *Machine) tick(writer bool, now time.Time) []Effect {
	var effects []Effect
	for id, waiting := range machine.waiters {
		if now.Before(waiting.until) {
			continue
		}
		delete(machine.waiters, id)
		for _, replier := range waiting.repliers {
			effects = append(effects, answer(
				replier, waiting.change, almondcross.CodeTimeout, "the change was not read back in time; it may still be accepted", false,
			))
		}
	}
	if machine.checkpointID != "" && now.Sub(machine.checkpointAt) >= machine.config.CheckpointRetry {
		machine.checkpointID = ""
	}
	due := machine.since >= machine.config.CheckpointRecords ||
		(!machine.oldest.IsZero() && now.Sub(machine.oldest) >= machine.config.CheckpointAge)
	if !writer || machine.checkpointID != "" || !due {
		return effects
	}
	machine.checkpointID = machine.nextID()
	machine.checkpointAt, machine.sentOffset = now, machine.state.catalogue.Offset()
	return append(effects, AppendCheckpoint{ID: machine.checkpointID, Checkpoint: machine.state.checkpoint()})
}
