package almondcross

import (
	"context"
	"time"
)

// ShareQuery selects lines of the share accounting.
//
//value:generate
type ShareQuery struct {
	owner string    // the owner, empty for all
	entry string    // the entry, empty for all
	from  time.Time // the start of the period
	to    time.Time // the end of the period
}

// ShareLine is the usage and share of one entry in one data centre and interval.
//
//value:generate
type ShareLine struct {
	from       time.Time // the start of the interval
	to         time.Time // the end of the interval
	dataCentre string    // the data centre
	usage      UsageLine // the usage, with the promised and the received share
	incomplete bool      // whether events of the interval are known to be missing
}

// AccountGap is a sequence of usage batches of one member that were never read.
//
//value:generate
type AccountGap struct {
	member       MemberID  // the member whose batches are missing
	dataCentre   string    // the data centre of the member
	fromSequence uint64    // the first missing batch
	toSequence   uint64    // the last missing batch, 0 when the member ended without a final batch
	after        time.Time // the end of the last interval read before the gap
}

// ShareReport is the answer to a ShareQuery: the shares that entries received.
//
//value:generate
type ShareReport struct {
	lines   []ShareLine          // the lines by interval, data centre and entry
	gaps    []AccountGap         // the known gaps
	freshAt map[string]time.Time // the end of the last interval read, by data centre
	missing []string             // the data centres whose account stream could not be read
}

// DecisionEvent is one decision about a request.
//
//value:generate
type DecisionEvent struct {
	at     time.Time // the time of the decision
	key    Key       // the key of the request
	entry  string    // the name of the entry
	event  string    // the name of the decision, in snake case
	code   Code      // the reason code
	host   string    // the entry host that decided
	target string    // the target of the decision, empty for none
	detail string    // the human-readable explanation
}

// DecisionQuery selects the decisions about one key or one entry.
//
//value:generate
type DecisionQuery struct {
	key   Key    // the key, empty for all keys of the entry
	entry string // the entry, empty when a key is given
	limit int    // the maximum number of events to return
}

// DecisionHistory is the history of decisions about a key or an entry, in order of time.
//
//value:generate
type DecisionHistory struct {
	events    []DecisionEvent // the events in order of time
	truncated bool            // whether older events were dropped
}

// AuditQuery selects lines of the audit trail.
//
//value:generate
type AuditQuery struct {
	entry string    // the entry, empty for all
	from  time.Time // the start of the period
	to    time.Time // the end of the period
}

// AuditLine is one change of the catalogue requested by an operator.
//
//value:generate
type AuditLine struct {
	at          time.Time // the time at which the log stored the change
	operator    string    // the operator
	entry       string    // the name of the entry
	removed     bool      // whether the change removed the entry
	fromVersion Offset    // the version before the change
	toVersion   Offset    // the version after the change
	accepted    bool      // whether the change was accepted
	code        Code      // the reason code of a refusal
}

// HeldTarget is the state of a target in the tables of its holder.
//
//value:generate
type HeldTarget struct {
	target  Target    // the target
	term    Term      // the term of the lease
	total   Resources // the capacity
	free    Resources // the free capacity
	running int       // the number of running tasks
	leaving bool      // whether the target accepts no new work
	ejected bool      // whether the target gets no work because its tasks fail
}

// RingState is the state of one ring.
//
//value:generate
type RingState struct {
	name     string // the name of the ring
	depth    int    // the number of waiting messages
	capacity int    // the maximum number of waiting messages
	refused  uint64 // the number of refused messages
}

// HostStatus is the state of one entry host.
//
//value:generate
type HostStatus struct {
	view            View         // the members
	hasLinkLeases   bool         // whether the host has a valid link lease from every peer, which it needs to start keys
	ready           bool         // whether the host can serve requests
	catalogueOffset Offset       // the offset that the catalogue covers
	logEnd          Offset       // the offset after the last record of the catalogue stream
	logDown         bool         // whether the last append failed
	targets         []HeldTarget // the targets that the host holds
	rings           []RingState  // the rings
}

// ReportViewer provides reports from the share accounting, the decision history and the audit trail.
type ReportViewer interface {
	// Shares returns the shares of a period.
	Shares(ctx context.Context, query ShareQuery) (ShareReport, error)
	// Decisions returns the decisions of this host about a key or an entry.
	Decisions(ctx context.Context, query DecisionQuery) (DecisionHistory, error)
	// Audit returns the changes of the catalogue in a period.
	Audit(ctx context.Context, query AuditQuery) ([]AuditLine, error)
}

// HoldingViewer provides the targets that this host holds.
type HoldingViewer interface {
	HeldTargets() []HeldTarget
}

// StatusViewer provides the state of this host.
type StatusViewer interface {
	Status() HostStatus
}

// DecisionRecorder records the decisions about requests.
type DecisionRecorder interface {
	// Record adds an event and never blocks.
	Record(event DecisionEvent)
}

// DecisionReplier receives the answer to a LookupDecisions message. ReplyDecisions does not block.
type DecisionReplier interface {
	ReplyDecisions(history DecisionHistory)
}

// AccountantMessage is a message for the accountant duty.
type AccountantMessage interface{ accountantMessage() }

// LookupDecisions asks the accountant for the decisions about a key or an entry; it has no side effects.
//
//value:generate
type LookupDecisions struct {
	query   DecisionQuery   // the selected key or entry
	replier DecisionReplier // the receiver of the answer
}

func (AccountEvent) accountantMessage()     {}
func (DecisionEvent) accountantMessage()    {}
func (LookupDecisions) accountantMessage()  {}
func (AppendAnswered) accountantMessage()   {}
func (CatalogueChanged) accountantMessage() {}
func (ViewChanged) accountantMessage()      {}

// CataloguerMessage is a message for the cataloguer duty.
type CataloguerMessage interface{ cataloguerMessage() }

// ChangeOutcome is the result of a requested change of the catalogue.
//
//value:generate
type ChangeOutcome struct {
	name     string // the name of the entry
	accepted bool   // whether the change is in the catalogue
	certain  bool   // whether the outcome is certain; an uncertain change may still be accepted
	version  Offset // the version of the entry after the decision
	code     Code   // the reason code of a refusal
	detail   string // the human-readable explanation
}

// ChangeReplier receives the outcome of a change. ReplyChange does not block.
type ChangeReplier interface {
	ReplyChange(outcome ChangeOutcome)
}

// ChangeCatalogue asks the cataloguer to append a change and to report whether it was accepted.
//
//value:generate
type ChangeCatalogue struct {
	change  CatalogueChange // the change
	replier ChangeReplier   // the receiver of the outcome
}

// CatalogueRecordsRead passes changes read from the catalogue stream to the cataloguer.
//
//value:generate
type CatalogueRecordsRead struct {
	changes []CatalogueChange // the changes in log order
	next    Offset            // the offset to read from next
}

// CatalogueLoaded passes a complete catalogue from a checkpoint or a peer to the cataloguer.
//
//value:generate
type CatalogueLoaded struct {
	catalogue Catalogue // the catalogue
}

func (ChangeCatalogue) cataloguerMessage()      {}
func (CatalogueRecordsRead) cataloguerMessage() {}
func (CatalogueLoaded) cataloguerMessage()      {}
func (AppendAnswered) cataloguerMessage()       {}

// AppendRecords asks an appender to add records to its stream; the appender answers with AppendAnswered.
//
//value:generate
type AppendRecords struct {
	records []Record                    // the records in order
	answer  func(answer AppendAnswered) // the receiver of the answer, which must not block
}

// Appender appends records to one stream of the log.
type Appender interface {
	// Append queues records and reports false when the queue is full or the log is known to be down.
	Append(request AppendRecords) bool
	// Down reports whether the last append failed.
	Down() bool
}
