package almondcross

import (
	"context"
	"time"
)

// Sink takes messages for one duty; a ring implements it.
type Sink[T any] interface {
	// Offer adds a message and reports false when there is no room.
	Offer(message T) bool
	// Put adds a message and waits for room until the context ends.
	Put(ctx context.Context, message T) error
}

// LogAppender appends records to the platform's log.
type LogAppender interface {
	// Append adds records in order and returns the offset of the first one.
	// ErrLogRefused means that nothing was added, ErrLogUncertain that the answer was lost.
	Append(ctx context.Context, stream Stream, records []Record) (Offset, error)
}

// WorkerCommander changes the state of one worker.
type WorkerCommander interface {
	// Acquire asks for the lease; ErrLeaseHeld means that another host holds it.
	Acquire(ctx context.Context, target Target, holder MemberID) (Grant, error)
	// Renew extends the lease and the leases of the named tasks; ErrTermStale means that the term ended.
	Renew(ctx context.Context, target Target, term Term, ids []TaskID) (Renewal, error)
	// Release gives the lease back.
	Release(ctx context.Context, target Target, term Term) error
	// Start runs a task; a start that is repeated within a term has no further effect.
	Start(ctx context.Context, target Target, term Term, task Task) error
	// Stop ends a task.
	Stop(ctx context.Context, target Target, term Term, id TaskID, code Code) error
	// Checkpoint asks a task to save its progress.
	Checkpoint(ctx context.Context, target Target, term Term, id TaskID) error
	// Throttle limits a task to a fraction of its processor time, in percent.
	Throttle(ctx context.Context, target Target, term Term, id TaskID, percent int) error
}

// PeerSender sends messages to other entry hosts.
type PeerSender interface {
	// Send queues a message for a member and reports false when it is lost.
	Send(member string, message PeerMessage) bool
}

// Accounter takes facts for the account of shares.
type Accounter interface {
	// Account adds an event and never blocks.
	Account(event AccountEvent)
}

// Clock gives the time to duties; decision code is given the time by its duty.
type Clock interface {
	Now() time.Time
}
