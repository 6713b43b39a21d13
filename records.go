package almondcross

import "time"

//go:generate go run ./tools/valuer -output records_generated.go records.go

// CatalogueCheckpoint is a complete catalogue with the state that a reducer needs to continue from its offset.
//
//value:generate
type CatalogueCheckpoint struct {
	catalogue Catalogue   // the catalogue at its offset
	ids       []string    // the ids of the last records read, which identify repeated records
	audit     []AuditLine // the last lines of the audit trail, in log order
}

// ClaimCheckpoint is one part of a checkpoint of the claims table.
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

// CatalogueCheckpointRead passes a checkpoint from the log to the cataloguer.
//
//value:generate
type CatalogueCheckpointRead struct {
	checkpoint CatalogueCheckpoint // the checkpoint
}

// CatalogueTick tells the cataloguer to check its timeouts.
//
//value:generate
type CatalogueTick struct {
	writer bool // whether this host writes the checkpoints
}

// ClaimCheckpointRead passes a checkpoint part from the claims stream to the claimer.
//
//value:generate
type ClaimCheckpointRead struct {
	checkpoint ClaimCheckpoint // the part
	appended   time.Time       // the time at which the log stored the part
}

// ClaimsStarted tells the claimer where reading of the claims stream starts.
//
//value:generate
type ClaimsStarted struct {
	oldest  Offset    // the oldest retained offset
	since   time.Time // the time at which the log stored the record at that offset, zero for an empty stream
	trimmed bool      // whether records before that offset were not read
}

// ClaimsCaughtUp tells the claimer that reading reached the end of the claims stream.
//
//value:generate
type ClaimsCaughtUp struct{}

// ClaimTick tells the claimer to check its timeouts.
//
//value:generate
type ClaimTick struct {
	writer  bool // whether this host writes the checkpoints
	logDown bool // whether the last append to the claims stream failed
}

// AnswerAppended tells the claimer where the answer of a key was stored.
//
//value:generate
type AnswerAppended struct {
	outcome Outcome      // the outcome with the answer
	offset  Offset       // the offset of the answer, -1 when it is not known
	result  AppendResult // the result of the append
}

// LinkChannel is the kind of messages that a connection between two entry hosts carries.
type LinkChannel string

// The channels of a link.
const (
	ChannelData      LinkChannel = "data"      // ChannelData carries sequenced messages, which are acknowledged.
	ChannelHeartbeat LinkChannel = "heartbeat" // ChannelHeartbeat carries heartbeats, which are never resent.
)

// Hello is the first frame of a connection in each direction. The host that opened the connection
// sends its name, its run and the channel; the other one answers with its own name and run.
//
//value:generate
type Hello struct {
	name     string      // the name of the entry host that sends the hello
	runID    uint64      // the random ID of the process run
	channel  LinkChannel // the channel of the connection
	received uint64      // in an answer, the highest sequence number received from the run that opened the connection
}

// Sequenced carries a message of the data channel.
//
//value:generate
type Sequenced struct {
	sequence uint64      // the sequence number of the message, from 1 and increasing within a run of the sender
	message  PeerMessage // the message
}

// Acknowledged acknowledges the messages of a data channel up to a sequence number.
//
//value:generate
type Acknowledged struct {
	sequence uint64 // the highest sequence number that was delivered to its duty
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
	EncodeUsageHour(hour UsageHour) ([]byte, error)
	DecodeUsageHour(record Record) (UsageHour, error)
}

// PeerCodec encodes the frames of links between entry hosts.
type PeerCodec interface {
	EncodePeer(message PeerMessage) ([]byte, error)
	DecodePeer(frame []byte) (PeerMessage, error)
}

// LocatingAppender appends one record and reports the offset at which the log stored it.
type LocatingAppender interface {
	// AppendWithOffset queues a record and reports false when the queue is full or the log is known
	// to be down. The answer function must not block; its offset is -1 when it is not known.
	AppendWithOffset(record Record, answer func(offset Offset, result AppendResult)) bool
}

// AuditViewer provides the audit trail of the catalogue, in log order.
type AuditViewer interface {
	// AuditLines returns the retained lines.
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
// views may choose different members; a second checkpoint is harmless.
func (view View) Writer(stream Stream) MemberID {
	seed := hashStrings(string(stream), "")
	best, bestWeight := view.self.id, rendezvousWeight(seed, view.self.id.name)
	for name, peer := range view.peers {
		weight := rendezvousWeight(seed, name)
		if weight > bestWeight || (weight == bestWeight && name < best.name) {
			best, bestWeight = peer.member.id, weight
		}
	}
	return best
}

// Codes of account events that count tasks. Events with an empty code add usage, and events with
// another code count that reason; the duration of the waited_ codes adds to the waiting time.
const (
	CodeTaskStarted  Code = "task_started"  // CodeTaskStarted counts tasks that a target started.
	CodeTaskFinished Code = "task_finished" // CodeTaskFinished counts tasks that ended with an answer.
)

// AccountTick tells the accountant to close its interval and to append its batches.
//
//value:generate
type AccountTick struct {
	refused  uint64    // the number of events refused since the start
	capacity Resources // the capacity of the targets that the host holds
	final    bool      // whether the host is stopping
}

func (AccountTick) accountantMessage() {}
