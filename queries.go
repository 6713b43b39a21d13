package almondcross

import (
	"context"
	"time"
)

// LogReader reads streams of the platform's log.
type LogReader interface {
	// Read returns at most limit records from an offset on. It waits up to the given time for the first one.
	// ErrLogTrimmed means that the offset is older than the oldest retained record.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
	// End returns the oldest retained offset and the offset after the last record.
	End(ctx context.Context, stream Stream) (oldest, end Offset, err error)
}

// LiveList reads the platform's list of hosts.
type LiveList interface {
	// List returns the list. It waits up to the given time for a version other than the known one.
	List(ctx context.Context, known uint64, wait time.Duration) (LiveHosts, error)
}

// WorkerObserver reads the state of one worker.
type WorkerObserver interface {
	// Events returns the ends of tasks after an index. It waits up to the given time for the first one.
	Events(ctx context.Context, target Target, term Term, after uint64, wait time.Duration) ([]WorkerEvent, error)
}

// CatalogueViewer provides the current catalogue.
type CatalogueViewer interface {
	Catalogue() Catalogue
}

// MemberViewer provides the current view of the members.
type MemberViewer interface {
	View() View
}
