package almondcross

// CoordinatorMessage is a message for the coordinator duty.
type CoordinatorMessage interface{ coordinatorMessage() }

// PlacerMessage is a message for the placer duty.
type PlacerMessage interface{ placerMessage() }

// DispatcherMessage is a message for the dispatcher duty of one target.
type DispatcherMessage interface{ dispatcherMessage() }

// ClaimerMessage is a message for the claimer duty.
type ClaimerMessage interface{ claimerMessage() }

// RegistrarMessage is a message for the registrar duty.
type RegistrarMessage interface{ registrarMessage() }

// PeerMessage is a message between entry hosts.
type PeerMessage interface{ peerMessage() }

// SubmitRequest asks the coordinator to run a request.
//
//value:generate
type SubmitRequest struct {
	request   Request // the request
	replier   Replier // the receiver of the outcome
	forwarded bool    // whether another member forwarded the request
}

// CancelRequest asks the coordinator to cancel a request.
//
//value:generate
type CancelRequest struct {
	key       Key     // the key of the request
	replier   Replier // the receiver of the outcome
	forwarded bool    // whether another member forwarded the cancellation
}

// LookupRequest asks the coordinator for the current outcome of a key and changes nothing.
//
//value:generate
type LookupRequest struct {
	key       Key     // the key of the request
	replier   Replier // the receiver of the outcome
	forwarded bool    // whether another member forwarded the lookup
}

// TaskRefused reports that a task was not started and will not be.
//
//value:generate
type TaskRefused struct {
	id         TaskID   // the identity of the task
	attempt    int      // the number of the attempt
	holder     MemberID // the member that refused
	code       Code     // the reason code
	retryAfter int64    // the time after which to retry, in milliseconds
}

// TaskForwarded reports that another holder has the task in its queue.
//
//value:generate
type TaskForwarded struct {
	id      TaskID   // the identity of the task
	attempt int      // the number of the attempt
	holder  MemberID // the holder that got the task
}

// TaskStarted reports that a target runs a task.
//
//value:generate
type TaskStarted struct {
	id      TaskID   // the identity of the task
	attempt int      // the number of the attempt
	holder  MemberID // the holder of the target
	target  string   // the target
	term    Term     // the term under which it was started
}

// TaskEnded reports the result of a task.
//
//value:generate
type TaskEnded struct {
	result TaskResult // the result
	holder MemberID   // the holder of the target
	target string     // the target
	term   Term       // the term under which the result was read
}

// TaskLost reports that a task certainly stopped without a result.
//
//value:generate
type TaskLost struct {
	id      TaskID   // the identity of the task
	attempt int      // the number of the attempt
	holder  MemberID // the former holder
	target  string   // the target
	term    Term     // the last term in which the task was seen
}

// AdoptTask asks the coordinator of a key to confirm a running task under a new holder.
//
//value:generate
type AdoptTask struct {
	task   Task     // the task as the worker holds it
	holder MemberID // the new holder
	target string   // the target
	term   Term     // the term of the new holder
}

// AdoptAnswered tells a holder whether an adopted task goes on.
//
//value:generate
type AdoptAnswered struct {
	id          TaskID   // the identity of the task
	attempt     int      // the number of the attempt
	target      string   // the target
	term        Term     // the term of the holder that asked
	accepted    bool     // whether the task goes on
	coordinator MemberID // the coordinator that answered
}

// ViewChanged tells a duty the current members.
//
//value:generate
type ViewChanged struct {
	view View // the current view
}

// CatalogueChanged tells a duty the current catalogue.
//
//value:generate
type CatalogueChanged struct {
	catalogue Catalogue // the current catalogue
}

// ClaimDecided tells the coordinator what the claims stream says of a key.
//
//value:generate
type ClaimDecided struct {
	key      Key         // the key
	granted  bool        // whether this member may start the key once
	code     Code        // the reason when it may not
	decisive ClaimRecord // the record that decided, when there is one
}

// ClaimSettlementSeen tells the coordinator that a claimed key was settled in the log.
//
//value:generate
type ClaimSettlementSeen struct {
	record ClaimRecord // the settlement
}

// ReadAnswer asks the retriever for the stored answer of a key that was settled as done.
//
//value:generate
type ReadAnswer struct {
	key    Key         // the key as the coordinator knows it
	record ClaimRecord // the settlement
}

// AnswerRead tells the coordinator the stored answer of a key.
//
//value:generate
type AnswerRead struct {
	key     Key     // the key as the coordinator knows it
	found   bool    // whether the answer could be read
	outcome Outcome // the outcome with the whole answer
}

// PeerReply carries the answer to a forwarded request.
//
//value:generate
type PeerReply struct {
	correlation uint64  // the number that the sender of the request chose
	outcome     Outcome // the outcome
}

// PeerSubmit forwards a request to the coordinator of its key.
//
//value:generate
type PeerSubmit struct {
	correlation uint64  // the number by which the reply is recognised
	request     Request // the request
}

// PeerCancel forwards a cancellation.
//
//value:generate
type PeerCancel struct {
	correlation uint64 // the number by which the reply is recognised
	key         Key    // the key
}

// PeerLookup forwards a lookup.
//
//value:generate
type PeerLookup struct {
	correlation uint64 // the number by which the reply is recognised
	key         Key    // the key
}

// PeerPing is the heartbeat between members.
//
//value:generate
type PeerPing struct {
	member   Member  // the sender
	sequence uint64  // the number of the ping
	summary  Summary // the state of the sender
}

// PeerPong answers a ping and grants a link lease from the time at which the ping was sent.
//
//value:generate
type PeerPong struct {
	member   MemberID // the member that answers
	sequence uint64   // the number of the ping
	rejoin   bool     // whether the sender of the ping needs a new incarnation
	known    uint64   // the highest incarnation of the sender of the ping that the member has seen
}

// PeerLeaving tells a peer that a planned stop is complete.
//
//value:generate
type PeerLeaving struct {
	member MemberID // the member that leaves
}

// PeerLeavingAck confirms a PeerLeaving.
//
//value:generate
type PeerLeavingAck struct {
	member MemberID // the member that confirms
}

// PeerCatalogueRequest asks a peer for its catalogue.
//
//value:generate
type PeerCatalogueRequest struct {
	member MemberID // the member that asks
	offset Offset   // the offset that it covers already
}

// PeerCatalogue carries a catalogue to a peer.
//
//value:generate
type PeerCatalogue struct {
	catalogue Catalogue // the catalogue
}

// PlaceTask asks a placer to run a task on one of its targets.
//
//value:generate
type PlaceTask struct {
	task      Task // the task
	forwarded bool // whether another holder forwarded the task
}

// StopTask asks a placer to stop a task or to take it out of its queue.
//
//value:generate
type StopTask struct {
	id      TaskID // the identity of the task
	attempt int    // the number of the attempt
	code    Code   // the reason
}

// TargetsListed tells the placer the platform's live list.
//
//value:generate
type TargetsListed struct {
	hosts LiveHosts // the live list
}

// TargetGranted tells the placer that a lease was acquired.
//
//value:generate
type TargetGranted struct {
	target Target // the target
	grant  Grant  // the grant with the inventory
}

// TargetRenewed tells the placer that a lease was renewed.
//
//value:generate
type TargetRenewed struct {
	target  string   // the name of the target
	term    Term     // the term of the lease
	renewal Renewal  // the answer of the worker
	named   []TaskID // the tasks whose leases were extended
}

// TargetReleased tells the placer that a lease ended: it was released, lost or never granted.
//
//value:generate
type TargetReleased struct {
	target string // the name of the target
	term   Term   // the last term, zero when there was none
	code   Code   // the reason
}

// StartAnswered tells the placer how a worker answered a start.
//
//value:generate
type StartAnswered struct {
	target   string // the name of the target
	term     Term   // the term of the start
	id       TaskID // the identity of the task
	attempt  int    // the number of the attempt
	accepted bool   // whether the worker runs the task
	code     Code   // the reason of a refusal
}

// TaskFinished tells the placer that a worker reported the end of a task.
//
//value:generate
type TaskFinished struct {
	target string      // the name of the target
	term   Term        // the term under which the event was read
	event  WorkerEvent // the event
}

// DrainPlacer tells the placer to take no new work and to release its targets.
//
//value:generate
type DrainPlacer struct{}

// DrainCoordinator tells the coordinator to take no new keys and to finish the ones that callers wait for.
//
//value:generate
type DrainCoordinator struct{}

// AcquireLease tells a dispatcher to acquire and keep the lease of its target.
//
//value:generate
type AcquireLease struct{}

// ReleaseLease tells a dispatcher to release the lease and to end.
//
//value:generate
type ReleaseLease struct{}

// StartTask tells a dispatcher to start a task under a term.
//
//value:generate
type StartTask struct {
	term Term // the term of the lease
	task Task // the task
}

// HaltTask tells a dispatcher to stop a task under a term.
//
//value:generate
type HaltTask struct {
	term Term   // the term of the lease
	id   TaskID // the identity of the task
	code Code   // the reason
}

// RenewTasks tells a dispatcher which tasks the next renewals name.
//
//value:generate
type RenewTasks struct {
	term Term     // the term of the lease
	ids  []TaskID // the tasks
}

// ClaimKey asks the claimer for the right to start a key once.
//
//value:generate
type ClaimKey struct {
	key     Key     // the key
	entry   string  // the name of the entry
	request Request // the request, for its time of issue
}

// VoidKey asks the claimer to rule out that a key ever runs.
//
//value:generate
type VoidKey struct {
	key  Key  // the key
	code Code // the reason
}

// SettleKey asks the claimer to record the end of a claimed key.
//
//value:generate
type SettleKey struct {
	outcome Outcome // the final outcome
}

// ClaimRecordsRead tells the claimer which records were read from the claims stream.
//
//value:generate
type ClaimRecordsRead struct {
	records []ClaimRecord // the records in log order
	next    Offset        // the offset to read from next
}

// AppendAnswered tells a duty how an append ended.
//
//value:generate
type AppendAnswered struct {
	ids     []string     // the ids of the records
	outcome AppendResult // how the append ended
}

// AppendResult is how an append ended.
type AppendResult string

// The results of an append.
const (
	AppendTaken     AppendResult = "taken"     // AppendTaken means that the log has the records.
	AppendRefused   AppendResult = "refused"   // AppendRefused means that the log certainly does not have the records.
	AppendUncertain AppendResult = "uncertain" // AppendUncertain means that the answer was lost.
)

// PeerReceived tells the registrar that a message came from a peer.
//
//value:generate
type PeerReceived struct {
	message PeerMessage // a PeerPing, PeerPong, PeerLeaving or PeerLeavingAck
}

// SummaryChanged tells the registrar what to put into the next pings.
//
//value:generate
type SummaryChanged struct {
	summary Summary // the state of this member
}

// OffsetChanged tells the registrar which offset the catalogue of this member covers.
//
//value:generate
type OffsetChanged struct {
	offset Offset // the offset
}

// LeaveView tells the registrar to announce a planned stop, or to end it.
//
//value:generate
type LeaveView struct {
	final bool // whether the stop is complete
}

func (SubmitRequest) coordinatorMessage()       {}
func (CancelRequest) coordinatorMessage()       {}
func (LookupRequest) coordinatorMessage()       {}
func (TaskRefused) coordinatorMessage()         {}
func (TaskForwarded) coordinatorMessage()       {}
func (TaskStarted) coordinatorMessage()         {}
func (TaskEnded) coordinatorMessage()           {}
func (TaskLost) coordinatorMessage()            {}
func (AdoptTask) coordinatorMessage()           {}
func (ViewChanged) coordinatorMessage()         {}
func (CatalogueChanged) coordinatorMessage()    {}
func (ClaimDecided) coordinatorMessage()        {}
func (ClaimSettlementSeen) coordinatorMessage() {}
func (AnswerRead) coordinatorMessage()          {}
func (PeerReply) coordinatorMessage()           {}
func (DrainCoordinator) coordinatorMessage()    {}

func (PlaceTask) placerMessage()        {}
func (StopTask) placerMessage()         {}
func (TargetsListed) placerMessage()    {}
func (TargetGranted) placerMessage()    {}
func (TargetRenewed) placerMessage()    {}
func (TargetReleased) placerMessage()   {}
func (StartAnswered) placerMessage()    {}
func (TaskFinished) placerMessage()     {}
func (AdoptAnswered) placerMessage()    {}
func (ViewChanged) placerMessage()      {}
func (CatalogueChanged) placerMessage() {}
func (DrainPlacer) placerMessage()      {}

func (AcquireLease) dispatcherMessage() {}
func (ReleaseLease) dispatcherMessage() {}
func (StartTask) dispatcherMessage()    {}
func (HaltTask) dispatcherMessage()     {}
func (RenewTasks) dispatcherMessage()   {}

func (ClaimKey) claimerMessage()         {}
func (VoidKey) claimerMessage()          {}
func (SettleKey) claimerMessage()        {}
func (ClaimRecordsRead) claimerMessage() {}
func (AppendAnswered) claimerMessage()   {}

func (PeerReceived) registrarMessage()   {}
func (SummaryChanged) registrarMessage() {}
func (OffsetChanged) registrarMessage()  {}
func (LeaveView) registrarMessage()      {}

func (PeerSubmit) peerMessage()           {}
func (PeerCancel) peerMessage()           {}
func (PeerLookup) peerMessage()           {}
func (PeerReply) peerMessage()            {}
func (PeerPing) peerMessage()             {}
func (PeerPong) peerMessage()             {}
func (PeerLeaving) peerMessage()          {}
func (PeerLeavingAck) peerMessage()       {}
func (PeerCatalogueRequest) peerMessage() {}
func (PeerCatalogue) peerMessage()        {}
func (PlaceTask) peerMessage()            {}
func (StopTask) peerMessage()             {}
func (TaskRefused) peerMessage()          {}
func (TaskForwarded) peerMessage()        {}
func (TaskStarted) peerMessage()          {}
func (TaskEnded) peerMessage()            {}
func (TaskLost) peerMessage()             {}
func (AdoptTask) peerMessage()            {}
func (AdoptAnswered) peerMessage()        {}
