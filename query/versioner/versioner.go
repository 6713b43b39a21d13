package versioner

import (
	"sync/atomic"

	"github.com/almondcross/almondcross"
)

// Config holds what does not change while the process runs.
type Config struct {
	Host   string
	Format int                      // Format is the highest number of a format of the journal that this version reads.
	Build  func() almondcross.Build // Build returns the program of this process.
}

// Versioner implements almondcross.SchedulingStatusViewer. It is safe for concurrent use, but only one goroutine may change it.
type Versioner struct {
	config  Config
	current atomic.Pointer[almondcross.SchedulingStatus]
}

var _ almondcross.SchedulingStatusViewer = (*Versioner)(nil)

// New returns a versioner of a host that knows no scheduler.
func New(config Config) *Versioner {
	versioner := &Versioner{config: config}
	status := almondcross.NewSchedulingStatus(almondcross.SchedulingStatusConfig{Host: config.Host, Format: config.Format})
	versioner.current.Store(&status)
	return versioner
}

// SetScheduler replaces the scheduler that the host knows.
func (versioner *Versioner) SetScheduler(pointer almondcross.SchedulerPointer) {
	status := versioner.current.Load().WithScheduler(pointer.Host()).WithEpoch(pointer.Epoch())
	versioner.current.Store(&status)
}

// SetJournalFormat replaces the highest number of a format that the host has met.
func (versioner *Versioner) SetJournalFormat(format int) {
	status := versioner.current.Load().WithJournalFormat(format)
	versioner.current.Store(&status)
}

// SchedulingStatus returns the status of this host.
func (versioner *Versioner) SchedulingStatus() almondcross.SchedulingStatus {
	return versioner.current.Load().WithBuild(versioner.config.Build())
}
