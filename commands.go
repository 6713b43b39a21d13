package almondcross

import (
	"context"
	"time"
)

// Sink accepts messages for one duty; a ring implements it.
type Sink[T any] interface {
	// Offer adds a message without blocking and reports false when the sink is full.
	Offer(message T) bool
	// Put adds a message. It blocks while the sink is full and returns an error when the context ends first.
	Put(ctx context.Context, message T) error
}

// LogAppender appends records to the platform's log.
type LogAppender interface {
	// Append adds records in order and returns the offset of the first one.
	// ErrLogRefused means that nothing was added, ErrLogUncertain that the answer was lost and the
	// records may have been added.
	Append(ctx context.Context, stream Stream, records []Record) (Offset, error)
}

// WorkerCommander changes the state of one worker.
type WorkerCommander interface {
	// Acquire requests the lease; ErrLeaseHeld means that another host holds it.
	Acquire(ctx context.Context, target Target, holder MemberID) (Grant, error)
	// Renew extends the lease and the leases of the named tasks; ErrTermStale means that the term ended.
	Renew(ctx context.Context, target Target, term Term, ids []TaskID) (Renewal, error)
	// Release ends the lease.
	Release(ctx context.Context, target Target, term Term) error
	// Start runs a task; it is idempotent within a term.
	Start(ctx context.Context, target Target, term Term, task Task) error
	// Stop ends a task.
	Stop(ctx context.Context, target Target, term Term, id TaskID, code Code) error
	// Checkpoint requests that a task save its progress.
	Checkpoint(ctx context.Context, target Target, term Term, id TaskID) error
	// Throttle limits a task to a fraction of its processor time, in percent.
	Throttle(ctx context.Context, target Target, term Term, id TaskID, percent int) error
}

// PeerSender sends messages to other entry hosts.
type PeerSender interface {
	// Send queues a message for a member and reports false when it was dropped.
	Send(member string, message PeerMessage) bool
}

// Accounter records events for the share accounting.
type Accounter interface {
	// Account adds an event and never blocks.
	Account(event AccountEvent)
}

// Clock provides the current time to duties. Decision code does not read it: its duty passes the time as an argument.
type Clock interface {
	Now() time.Time
}
