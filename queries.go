package almondcross

import (
	"context"
	"time"
)

// LogReader reads streams of the platform's log.
type LogReader interface {
	// Read returns records from an offset on and waits up to a time for the first one.
	// ErrLogTrimmed means that the offset is older than what the log keeps.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
	// End returns the oldest offset that the log keeps and the offset after the last record.
	End(ctx context.Context, stream Stream) (oldest, end Offset, err error)
}

// LiveList reads the platform's list of hosts.
type LiveList interface {
	// List returns the list and waits up to a time for a version other than the given one.
	List(ctx context.Context, known uint64, wait time.Duration) (LiveHosts, error)
}

// WorkerObserver reads the state of one worker.
type WorkerObserver interface {
	// Events returns the ends of tasks after an index and waits up to a time for the first one.
	Events(ctx context.Context, target Target, term Term, after uint64, wait time.Duration) ([]WorkerEvent, error)
}

// CatalogueViewer gives the current catalogue.
type CatalogueViewer interface {
	Catalogue() Catalogue
}

// MemberViewer gives the current view of the members.
type MemberViewer interface {
	View() View
}
