package almondcross

import "time"

//go:generate go run ./tools/valuer -output records_generated.go records.go

// CatalogueCheckpoint is a whole catalogue with what a reducer needs to go on from its offset.
//
//value:generate
type CatalogueCheckpoint struct {
	catalogue Catalogue   // the catalogue at its offset
	ids       []string    // the ids of the last records read, by which a repeated record is recognised
	audit     []AuditLine // the last lines of the audit trail, in log order
}

// ClaimCheckpoint is one part of a copy of the claims table.
//
//value:generate
type ClaimCheckpoint struct {
	id      string        // the id of the checkpoint, the same for all its parts
	part    int           // the number of the part, from 0
	parts   int           // the number of parts
	covered Offset        // the offset of the last record that the checkpoint covers
	claims  []ClaimRecord // the records that decide the keys of this part
	offset  Offset        // the offset of the record, set by the log
}

// CatalogueCheckpointRead tells the cataloguer of a checkpoint from the log.
//
//value:generate
type CatalogueCheckpointRead struct {
	checkpoint CatalogueCheckpoint // the checkpoint
}

// CatalogueTick lets the cataloguer check its time limits.
//
//value:generate
type CatalogueTick struct {
	writer bool // whether this host is the one that writes checkpoints
}

// ClaimCheckpointRead tells the claimer of a checkpoint part in the claims stream.
//
//value:generate
type ClaimCheckpointRead struct {
	checkpoint ClaimCheckpoint // the part
	appended   time.Time       // the time at which the log took the part
}

// ClaimsStarted tells the claimer where reading of the claims stream starts.
//
//value:generate
type ClaimsStarted struct {
	oldest  Offset    // the oldest offset that the log keeps
	since   time.Time // the time at which the log took the record there, zero for an empty stream
	trimmed bool      // whether records before that offset were not read
}

// ClaimsCaughtUp tells the claimer that reading reached the end of the claims stream.
//
//value:generate
type ClaimsCaughtUp struct{}

// ClaimTick lets the claimer check its time limits.
//
//value:generate
type ClaimTick struct {
	writer  bool // whether this host is the one that writes checkpoints
	logDown bool // whether the last append to the claims stream failed
}

// AnswerAppended tells the claimer where the answer of a key was stored.
//
//value:generate
type AnswerAppended struct {
	outcome Outcome      // the outcome with the answer
	offset  Offset       // the offset of the answer, -1 when it is not known
	result  AppendResult // how the append ended
}

// LinkChannel names what a connection between two entry hosts carries.
type LinkChannel string

// The channels of a link.
const (
	ChannelData      LinkChannel = "data"      // ChannelData carries sequenced messages, which are acknowledged.
	ChannelHeartbeat LinkChannel = "heartbeat" // ChannelHeartbeat carries heartbeats, which are never repeated.
)

// Hello is the first frame of a connection in each direction. The host that opened the connection
// names itself and the channel; the other one answers with its own name and run.
//
//value:generate
type Hello struct {
	name     string      // the name of the entry host that sends the hello
	run      uint64      // the number of the run of its process
	channel  LinkChannel // the channel of the connection
	received uint64      // in an answer, the highest sequence received from the run that opened the connection
}

// Sequenced carries a message of the data channel.
//
//value:generate
type Sequenced struct {
	sequence uint64      // the number of the message, from 1 and rising within a run of the sender
	message  PeerMessage // the message
}

// Acknowledged tells the sender of a data channel how far its messages were received.
//
//value:generate
type Acknowledged struct {
	sequence uint64 // the highest sequence that was handed to its duty
}

func (CatalogueCheckpointRead) cataloguerMessage() {}
func (CatalogueTick) cataloguerMessage()           {}
func (PeerCatalogueRequest) cataloguerMessage()    {}

func (ClaimCheckpointRead) claimerMessage() {}
func (ClaimsStarted) claimerMessage()       {}
func (ClaimsCaughtUp) claimerMessage()      {}
func (ClaimTick) claimerMessage()           {}
func (AnswerAppended) claimerMessage()      {}
func (ViewChanged) claimerMessage()         {}

func (Hello) peerMessage()        {}
func (Sequenced) peerMessage()    {}
func (Acknowledged) peerMessage() {}

// CatalogueCodec encodes the bodies of the catalogue streams.
type CatalogueCodec interface {
	EncodeChange(change CatalogueChange) ([]byte, error)
	// DecodeChange sets the id, the offset and the time of the record.
	DecodeChange(record Record) (CatalogueChange, error)
	EncodeCatalogueCheckpoint(checkpoint CatalogueCheckpoint) ([]byte, error)
	DecodeCatalogueCheckpoint(record Record) (CatalogueCheckpoint, error)
}

// ClaimCodec encodes the bodies of the claims stream and of the answers streams.
type ClaimCodec interface {
	EncodeClaim(claim ClaimRecord) ([]byte, error)
	EncodeClaimCheckpoint(checkpoint ClaimCheckpoint) ([]byte, error)
	// DecodeClaim returns either a claim record or, with checkpoint true, a part of a checkpoint.
	DecodeClaim(record Record) (claim ClaimRecord, part ClaimCheckpoint, checkpoint bool, err error)
	EncodeAnswer(outcome Outcome) ([]byte, error)
	DecodeAnswer(record Record) (Outcome, error)
}

// UsageCodec encodes the bodies of the account streams.
type UsageCodec interface {
	EncodeUsage(batch UsageBatch) ([]byte, error)
	DecodeUsage(record Record) (UsageBatch, error)
	EncodeHour(hour UsageHour) ([]byte, error)
	DecodeHour(record Record) (UsageHour, error)
}

// PeerCodec encodes the frames of links between entry hosts.
type PeerCodec interface {
	EncodePeer(message PeerMessage) ([]byte, error)
	DecodePeer(frame []byte) (PeerMessage, error)
}

// LocatingAppender appends one record and tells at which offset the log stored it.
type LocatingAppender interface {
	// AppendLocated queues a record and reports false when the queue is full or the log is known
	// to be down; the answer does not block, and its offset is -1 when it is not known.
	AppendLocated(record Record, answer func(offset Offset, result AppendResult)) bool
}

// AuditViewer gives the audit trail of the catalogue, in log order.
type AuditViewer interface {
	// AuditLines returns the lines that are kept.
	AuditLines() []AuditLine
}

// NewCatalogueOf returns a catalogue that covers the log up to an offset and holds the entries.
func NewCatalogueOf(offset Offset, entries []Entry) Catalogue {
	catalogue := Catalogue{offset: offset, entries: make(map[string]Entry, len(entries))}
	for _, entry := range entries {
		catalogue.entries[entry.name] = entry
	}
	return catalogue
}

// Writer returns the member of the view that writes checkpoints of a stream. Hosts with different
// views may name different members; a second checkpoint is harmless.
func (view View) Writer(stream Stream) MemberID {
	seed := hash(string(stream), "")
	best, bestWeight := view.self.id, weigh(seed, view.self.id.name)
	for name, peer := range view.peers {
		weight := weigh(seed, name)
		if weight > bestWeight || (weight == bestWeight && name < best.name) {
			best, bestWeight = peer.member.id, weight
		}
	}
	return best
}

// Codes of account events that count tasks. Events with an empty code add use, and events with
// another code count that reason; the duration of the waited_ codes adds to the time waited.
const (
	CodeTaskStarted  Code = "task_started"  // CodeTaskStarted counts tasks that a target runs.
	CodeTaskFinished Code = "task_finished" // CodeTaskFinished counts tasks that ended with an answer.
)

// AccountTick lets the accountant close its interval and append its batches.
//
//value:generate
type AccountTick struct {
	refused  uint64    // the number of events refused since the start
	capacity Resources // the capacity of the targets that the host holds
	final    bool      // whether the host ends
}

func (AccountTick) accountantMessage() {}
