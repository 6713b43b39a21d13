package coordinator

import (
	"bytes"
	"time"

	"github.com/almondcross/almondcross"
)

// phase is the progress of a key.
type phase int

const (
	// phaseLookup waits until every peer has replied whether it knows the key.
	phaseLookup phase = iota
	// phaseHeld waits for a valid link lease from every peer, for a placer that accepts the tasks, or for the end of
	// the hold-back after a loss.
	phaseHeld
	// phaseClaiming waits for the claimer's decision.
	phaseClaiming
	// phaseClaimedElsewhere waits for the settlement of a key whose claimant is not in the view or is in another data centre.
	phaseClaimedElsewhere
	// phaseFetching waits for the stored answer of a key that another member ran.
	phaseFetching
	// phasePlaced waits until the tasks are started or refused.
	phasePlaced
	// phaseRunning waits for the results of the tasks.
	phaseRunning
	// phaseBackoff waits before a service replica is placed again.
	phaseBackoff
	// phaseEnded keeps the outcome for callers that retry.
	phaseEnded
)

// taskState is the state of one task of the current attempt.
type taskState struct {
	task    almondcross.Task
	started bool
	holder  almondcross.MemberID
	target  string
	term    almondcross.Term
	ended   bool
	result  almondcross.TaskResult
	missing bool // missing marks a task of an adopted gang that no holder has reported yet.
}

// holderLost reports whether the holder that had or may have had the task is not in the view.
func (taskstate *taskState) holderLost(view almondcross.View) bool {
	known := taskstate.holder.Name() != ""
	return !taskstate.ended && (known && !view.Contains(taskstate.holder) || !known && taskstate.missing)
}

// waiter is a caller or peer that waits for an outcome.
type waiter struct {
	replier  almondcross.Replier
	deadline time.Time
	cancels  bool // cancels is set for the caller of a cancellation.
}

// record is the state of one key.
type record struct {
	request         almondcross.Request
	entry           almondcross.Entry
	phase           phase
	attempt         int
	failures        int             // failures counts attempts that ended without an answer.
	failedTargets   map[string]bool // failedTargets holds the targets on which attempts failed.
	avoidTarget     string          // avoidTarget is the target on which the last attempt failed.
	lostAttempts    map[int]bool    // lostAttempts holds the attempts under which a target restarted or disappeared.
	lostBefore      int             // lostBefore counts such attempts before this member took the key over.
	tasks           []taskState
	pendingLookups  map[string]time.Time // pendingLookups holds the peers that have not replied, with the time of the last lookup.
	waiters         []waiter
	outcome         almondcross.Outcome
	submittedAt     time.Time
	deadline        time.Time // deadline is the time after which the key must not be started; zero for none.
	startedAt       time.Time // startedAt is when a task was last reported as started or adopted.
	endedAt         time.Time
	retryAt         time.Time
	repeatStopsAt   time.Time // repeatStopsAt is when the stops of tasks without a reported end are sent again.
	holderTimeoutAt time.Time // holderTimeoutAt is when tasks of a lost holder have certainly stopped; zero for none.
	unknownToPeers  bool      // unknownToPeers is set when every peer has replied that it does not know the key.
	everStarted     bool      // everStarted is set when a task of any attempt was started.
	mayHaveRun      bool      // mayHaveRun is set when a lost holder may have started a task.
	service         bool      // service marks a service replica, which is placed again whenever it ends.
	claimed         bool      // claimed is set when the key has, or may have, a claim that finish must settle.
	cancelled       bool
	refused         bool // refused is set when the key ended with not_run and without a claim.
	stopped         bool // stopped is set when a service replica was stopped because the catalogue no longer has it.
}

func newRecord(request almondcross.Request, now time.Time) *record {
	return &record{request: request, submittedAt: now}
}

// repeatable reports whether a request repeats a key that was answered with not_run, and may start it. Only the retry
// flag and the time tell the repeat of a caller that knows the outcome from a second request that was under way.
func (record *record) repeatable(request almondcross.Request, now time.Time) bool {
	return record.refused && request.Retry() && now.Sub(record.endedAt) >= repeatDelay
}

// sameRequest reports whether a request has the same entry and payload as the record's.
func (record *record) sameRequest(request almondcross.Request) bool {
	return record.request.Entry() == request.Entry() && bytes.Equal(record.request.Payload(), request.Payload())
}

// inProgress reports whether tasks of the key may exist.
func (record *record) inProgress() bool {
	return record.phase == phasePlaced || record.phase == phaseRunning
}

// anyStarted reports whether a holder reported a start in this attempt.
func (record *record) anyStarted() bool {
	for _, task := range record.tasks {
		if task.started {
			return true
		}
	}
	return false
}

// lostTargets returns the number of targets that restarted or disappeared under attempts of the key.
func (record *record) lostTargets() int { return record.lostBefore + len(record.lostAttempts) }

// countLostTarget counts an attempt under which a target restarted or disappeared, once for all tasks of a gang.
// The targets that were lost under a service replica are counted from its last stable run.
func (record *record) countLostTarget(attempt int, now time.Time) {
	if record.service && !record.startedAt.IsZero() && now.Sub(record.startedAt) >= stableServiceTime {
		record.lostBefore, record.lostAttempts = 0, nil
	}
	if record.lostAttempts == nil {
		record.lostAttempts = map[int]bool{}
	}
	record.lostAttempts[attempt] = true
}

// allStarted reports whether every task of the attempt was started.
func (record *record) allStarted() bool {
	for _, task := range record.tasks {
		if !task.started {
			return false
		}
	}
	return true
}

// allEnded reports whether every task of the attempt has ended.
func (record *record) allEnded() bool {
	for _, task := range record.tasks {
		if !task.ended {
			return false
		}
	}
	return true
}

// forward is a message that was sent to another member and has no reply yet.
type forward struct {
	kind     forwardKind
	key      almondcross.Key
	request  almondcross.Request
	member   almondcross.MemberID
	replier  almondcross.Replier
	deadline time.Time
}

// forwardKind is the kind of a forwarded message.
type forwardKind int

const (
	forwardSubmit forwardKind = iota
	forwardCancel
	forwardLookup
	// forwardPeerLookup is a lookup that the coordinator sends to find out whether a peer knows a key.
	forwardPeerLookup
)
