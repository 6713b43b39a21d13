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

// LookupRequest asks the coordinator for the current outcome of a key; it has no side effects.
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
	holder  MemberID // the holder that received the task
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
	result  TaskResult // the result
	holder  MemberID   // the holder of the target
	target  string     // the target
	term    Term       // the term under which the result was read
	partial bool       // whether the answer is only a part of that of its key, because the task belongs to a gang
}

// TaskLost reports that a task is known to have stopped without a result.
//
//value:generate
type TaskLost struct {
	id      TaskID   // the identity of the task
	attempt int      // the number of the attempt
	holder  MemberID // the former holder
	target  string   // the target
	term    Term     // the last term in which the task was seen

	// targetLost tells whether the target restarted, or has not answered since the task was last seen. A later
	// report of the same attempt corrects it when the target answers and has not restarted.
	targetLost bool
}

// AdoptTask asks the coordinator of a key to confirm a running task under a new holder.
//
//value:generate
type AdoptTask struct {
	task   Task     // the task as the worker reported it
	holder MemberID // the new holder
	target string   // the target
	term   Term     // the term of the new holder
}

// AdoptAnswered tells a holder whether an adopted task may continue.
//
//value:generate
type AdoptAnswered struct {
	id          TaskID   // the identity of the task
	attempt     int      // the number of the attempt
	target      string   // the target
	term        Term     // the term of the holder that asked
	accepted    bool     // whether the task may continue
	coordinator MemberID // the coordinator that answered
}

// ViewChanged passes the current view of the members to a duty.
//
//value:generate
type ViewChanged struct {
	view View // the current view
}

// CatalogueChanged passes the current catalogue to a duty.
//
//value:generate
type CatalogueChanged struct {
	catalogue Catalogue // the current catalogue
}

// ClaimDecided tells the coordinator whether the claims stream granted a key.
//
//value:generate
type ClaimDecided struct {
	key      Key         // the key
	granted  bool        // whether this member may start the key once
	code     Code        // the reason code when it may not
	decisive ClaimRecord // the record that decided, the zero value for none
}

// ClaimSettlementSeen tells the coordinator that a settlement of a claimed key was read from the log.
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

// AnswerRead passes the stored answer of a key to the coordinator.
//
//value:generate
type AnswerRead struct {
	key     Key     // the key as the coordinator knows it
	found   bool    // whether the answer could be read
	outcome Outcome // the outcome with the complete answer
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
	correlation uint64  // the number that identifies the reply
	request     Request // the request
}

// PeerCancel forwards a cancellation.
//
//value:generate
type PeerCancel struct {
	correlation uint64 // the number that identifies the reply
	key         Key    // the key
}

// PeerLookup forwards a lookup.
//
//value:generate
type PeerLookup struct {
	correlation uint64 // the number that identifies the reply
	key         Key    // the key
}

// PeerPing is the heartbeat between members.
//
//value:generate
type PeerPing struct {
	member   Member  // the sender
	sequence uint64  // the number of the ping
	summary  Summary // the reported state of the sender
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

// PeerLeaving tells a peer that the graceful shutdown of a member is complete.
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
	offset Offset   // the offset that its catalogue covers
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

// StopTask asks a placer to stop a task or to remove it from its queue.
//
//value:generate
type StopTask struct {
	id      TaskID // the identity of the task
	attempt int    // the number of the attempt
	code    Code   // the reason
}

// TargetsListed passes the platform's live list to the placer.
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
	grant  Grant  // the grant, including the inventory
}

// TargetRenewed tells the placer that a lease was renewed.
//
//value:generate
type TargetRenewed struct {
	target       string   // the name of the target
	term         Term     // the term of the lease
	renewal      Renewal  // the answer of the worker
	renewedTasks []TaskID // the tasks whose leases were extended
}

// TargetReleased tells the placer that a lease ended: it was released, lost or never granted.
//
//value:generate
type TargetReleased struct {
	target string // the name of the target
	term   Term   // the last term, zero when there was none
	code   Code   // the reason
}

// StartAnswered passes a worker's answer to a start to the placer.
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

// DrainPlacer tells the placer to accept no new work and to release its targets.
//
//value:generate
type DrainPlacer struct{}

// DrainCoordinator tells the coordinator to accept no new keys and to finish the ones that callers wait for.
//
//value:generate
type DrainCoordinator struct{}

// AcquireLease tells a dispatcher to acquire and keep the lease of its target.
//
//value:generate
type AcquireLease struct{}

// ReleaseLease tells a dispatcher to release the lease and to exit.
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

// RenewTasks tells a dispatcher which tasks to include in the next renewals.
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

// VoidKey asks the claimer to record that a key must never run.
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

// ClaimRecordsRead passes records of the claims stream to the claimer.
//
//value:generate
type ClaimRecordsRead struct {
	records []ClaimRecord // the records in log order
	next    Offset        // the offset to read from next
}

// AppendAnswered passes the result of an append to a duty.
//
//value:generate
type AppendAnswered struct {
	ids    []string     // the ids of the records
	result AppendResult // the result of the append
}

// AppendResult is the result of an append.
type AppendResult string

// The results of an append.
const (
	AppendAccepted  AppendResult = "taken"     // AppendAccepted means that the log stored the records.
	AppendRefused   AppendResult = "refused"   // AppendRefused means that the log did not store the records.
	AppendUncertain AppendResult = "uncertain" // AppendUncertain means that the answer was lost and the log may have stored the records.
)

// PeerReceived passes a message from a peer to the registrar.
//
//value:generate
type PeerReceived struct {
	message PeerMessage // a PeerPing, PeerPong, PeerLeaving or PeerLeavingAck
}

// SummaryChanged passes the summary for the next pings to the registrar.
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

// LeaveView tells the registrar to announce a graceful shutdown or its completion.
//
//value:generate
type LeaveView struct {
	final bool // whether the graceful shutdown is complete
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
