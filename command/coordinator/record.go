package coordinator

import (
	"bytes"
	"time"

	"github.com/almondcross/almondcross"
)

// phase is how far a key has come.
type phase int

const (
	// phaseLooking waits until every peer said whether it knows the key.
	phaseLooking phase = iota
	// phaseHeld waits for standing or for the end of the hold-back.
	phaseHeld
	// phaseClaiming waits for the claimer.
	phaseClaiming
	// phaseClaimedElsewhere waits for the member that claimed the key, which is not in the view.
	phaseClaimedElsewhere
	// phaseFetching waits for the stored answer of a key that another member ran.
	phaseFetching
	// phasePlaced waits until a holder started or refused the tasks.
	phasePlaced
	// phaseRunning waits for results.
	phaseRunning
	// phaseBackoff waits before a service replica is placed again.
	phaseBackoff
	// phaseEnded keeps the outcome for callers that ask again.
	phaseEnded
)

// taskState is one task of the current attempt.
type taskState struct {
	task    almondcross.Task
	started bool
	holder  almondcross.MemberID
	target  string
	term    almondcross.Term
	ended   bool
	result  almondcross.TaskResult
}

// waiter is a caller or peer that waits for an outcome.
type waiter struct {
	replier  almondcross.Replier
	deadline time.Time
}

// record is what the coordinator knows of one key.
type record struct {
	request     almondcross.Request
	entry       almondcross.Entry
	phase       phase
	attempt     int
	failures    int             // failures counts attempts that ended without an answer.
	failedOn    map[string]bool // failedOn holds the targets on which attempts failed.
	avoid       string          // avoid is the target on which the last attempt failed.
	tasks       []taskState
	lookups     map[string]time.Time // lookups holds the peers that have not answered, with the time of asking.
	waiters     []waiter
	outcome     almondcross.Outcome
	submittedAt time.Time
	deadline    time.Time // deadline is the time after which a start is useless; zero for none.
	endedAt     time.Time
	retryAt     time.Time
	lostAt      time.Time // lostAt is the time from which tasks of a lost holder have certainly stopped; zero for none.
	searched    bool      // searched is set when every peer said that it does not know the key.
	ran         bool      // ran is set when a task of any attempt was started.
	doubtful    bool      // doubtful is set when a holder was lost that may have started a task.
	standing    bool      // standing marks a service replica, which is kept running.
	claimed     bool      // claimed is set when the key was claimed by this member.
	cancelled   bool
	removed     bool // removed marks a service replica that is no longer wanted.
}

// sameRequest reports whether a request repeats the one of the record.
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

// forward is a message to another member whose reply is awaited.
type forward struct {
	kind     forwardKind
	key      almondcross.Key
	request  almondcross.Request
	member   almondcross.MemberID
	replier  almondcross.Replier
	deadline time.Time
}

// forwardKind tells what was forwarded.
type forwardKind int

const (
	forwardSubmit forwardKind = iota
	forwardCancel
	forwardLookup
	// forwardSearch is a lookup of the coordinator itself for a key that it does not know.
	forwardSearch
)
