package almondcross

import "time"

// Status is the state of a request as reported to its caller.
type Status string

// The statuses of a request.
const (
	StatusDone    Status = "done"    // StatusDone means that the request ended with an answer.
	StatusNotRun  Status = "not_run" // StatusNotRun means that the request did not run and never will.
	StatusRunning Status = "running" // StatusRunning means that the request waits or runs; query it again by its key.
	StatusUnknown Status = "unknown" // StatusUnknown means that the request may have run; query it again by its key.
	StatusFailed  Status = "failed"  // StatusFailed means that the request ran and ended without an answer.
)

// Code is the stable reason code of an outcome, a decision or an account line.
type Code string

// The reason codes.
const (
	CodeNone              Code = ""
	CodeWaitedQuota       Code = "waited_quota"
	CodeWaitedSlots       Code = "waited_slots"
	CodeWaitedGang        Code = "waited_gang"
	CodeShedOverload      Code = "shed_overload"
	CodeTargetEjected     Code = "target_ejected"
	CodeLogDown           Code = "log_down"
	CodeNeverFits         Code = "never_fits"
	CodePreemptedUrgent   Code = "preempted_urgent"
	CodeOverloaded        Code = "overloaded"
	CodeUnknownEntry      Code = "unknown_entry"
	CodeKeyExpired        Code = "key_expired"
	CodeKeyConflict       Code = "key_conflict"
	CodeCancelled         Code = "cancelled"
	CodeTimeout           Code = "timeout"
	CodeHomeUnreachable   Code = "home_unreachable"
	CodeHeldBack          Code = "held_back"
	CodeTargetLost        Code = "target_lost"
	CodeTaskFailed        Code = "task_failed"
	CodeTargetsCrashed    Code = "targets_crashed"
	CodeTaskStopped       Code = "task_stopped"
	CodeMaxRun            Code = "max_run"
	CodeNoLinkLease       Code = "no_standing"
	CodeClaimedElsewhere  Code = "claimed_elsewhere"
	CodeVoided            Code = "voided"
	CodeIssuedAtMissing   Code = "issued_at_missing"
	CodeStopping          Code = "stopping"
	CodeCatalogueMissing  Code = "catalogue_missing"
	CodeNotHere           Code = "not_here"
	CodeTruncated         Code = "truncated"
	CodeBackfilled        Code = "backfilled"
	CodeAnswerStored      Code = "answer_stored"
	CodeUrgentReserve     Code = "urgent_reserve"
	CodeLentShareReturned Code = "lent_share_returned"
	CodeVersionConflict   Code = "version_conflict"
	CodeInvalid           Code = "invalid"
)

// Request is a caller's request for one run of an entry.
//
//value:generate
type Request struct {
	key      Key           // the idempotency key
	entry    string        // the name of the entry
	payload  []byte        // the input of the work
	issuedAt time.Time     // the time at which the caller first sent the key; zero when not known
	timeout  time.Duration // the time that the caller waits for the answer
	retry    bool          // whether the caller may have sent the key before
}

// Outcome is the result of a request as reported to its caller.
//
//value:generate
type Outcome struct {
	key        Key           // the key of the request
	status     Status        // the status of the request
	answer     []byte        // the complete answer of a request that is done
	code       Code          // the reason code
	detail     string        // the human-readable explanation
	retryAfter time.Duration // the time after which to retry, 0 for immediately
	target     string        // the target that ran the request
	host       string        // the entry host that coordinated the request
}

// Replier passes an outcome to the caller or peer that waits for it. Reply does not block.
type Replier interface {
	Reply(outcome Outcome)
}
