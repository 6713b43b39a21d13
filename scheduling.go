package almondcross

import (
	"context"
	"time"
)

//go:generate go run ./tools/valuer -output scheduling_generated.go scheduling.go

// SchedulerMessage is a message to the scheduler duty.
type SchedulerMessage interface{ schedulerMessage() }

// JournalQuery asks for the batches of the journal from an offset.
//
//value:generate
type JournalQuery struct {
	from  int64         // the first offset wanted
	pause time.Duration // how long to wait before the read
	wait  time.Duration // how long the answer may wait for a record
}

// JournalRead answers a JournalQuery.
//
//value:generate
type JournalRead struct {
	from    int64          // the first offset wanted
	next    int64          // the offset that follows the last batch
	end     int64          // the end of the journal
	batches []JournalBatch // the batches in order
	err     error          // the failure of the read, nil for none
}

// SnapshotQuery asks for the newest snapshot.
//
//value:generate
type SnapshotQuery struct {
	pause time.Duration // how long to wait before the read
}

// SnapshotRead answers a SnapshotQuery.
//
//value:generate
type SnapshotRead struct {
	snapshot StateSnapshot // the newest snapshot
	found    bool          // whether there is one
	err      error         // the failure of the read, nil for none
}

// IntakeQuery asks for the intakes of one partition.
//
//value:generate
type IntakeQuery struct {
	partition int           // the number of the partition
	from      int64         // the first offset wanted
	pause     time.Duration // how long to wait before the read
}

// IntakeRead answers an IntakeQuery.
//
//value:generate
type IntakeRead struct {
	partition int      // the number of the partition
	from      int64    // the first offset wanted
	next      int64    // the offset that follows the last intake
	intakes   []Intake // the intakes in order
	err       error    // the failure of the read, nil for none
}

// WorkerChange is a change of the announced workers.
//
//value:generate
type WorkerChange struct {
	id      string // the identity of the announcement
	present bool   // whether it is announced
	worker  Worker // the worker, if it is announced
}

// WorkersQuery asks for changes of the announced workers.
//
//value:generate
type WorkersQuery struct {
	from  int64         // the offset from which changes are wanted, negative for all workers
	pause time.Duration // how long to wait before the read
}

// WorkersRead answers a WorkersQuery.
//
//value:generate
type WorkersRead struct {
	whole   bool           // whether the list holds all announced workers
	next    int64          // the offset from which further changes are wanted
	changes []WorkerChange // the changes in order
	err     error          // the failure of the read, nil for none
}

// RoutesRead brings a new version of the configuration.
//
//value:generate
type RoutesRead struct {
	table RouteTable // the configuration
}

// JournalCommit asks for one append to the journal.
//
//value:generate
type JournalCommit struct {
	epoch       int64          // the epoch of the scheduler
	sequence    int64          // the sequence number within the epoch, 0 for an append without an epoch
	election    bool           // whether the journal must end at the expected offset
	expectedEnd int64          // the expected end
	batches     []JournalBatch // the batches
	pause       time.Duration  // how long to wait before the append
}

// JournalCommitted answers a JournalCommit.
//
//value:generate
type JournalCommitted struct {
	commit   JournalCommit // the request
	appended StoreAppended // the offsets
	took     time.Duration // how long the append took
	err      error         // the failure, nil for none
}

// SnapshotStore asks for a snapshot to be stored.
//
//value:generate
type SnapshotStore struct {
	snapshot StateSnapshot // the snapshot
}

// SnapshotStored answers a SnapshotStore.
//
//value:generate
type SnapshotStored struct {
	next int64 // the journal offset of the snapshot
	err  error // the failure, nil for none
}

// UsageStore asks for usages to be stored; a newer one of the same period and queue replaces an older one.
//
//value:generate
type UsageStore struct {
	usages []QueueUsage // the usages
}

// UsageStored answers a UsageStore.
//
//value:generate
type UsageStored struct {
	usages []QueueUsage // the usages
	err    error        // the failure, nil for none
}

// LeaseAnswered answers a LeaseOrder.
//
//value:generate
type LeaseAnswered struct {
	order    LeaseOrder  // the order
	result   OrderResult // what is known of the order
	list     WorkerList  // what the worker held, with OrderDone
	sent     time.Time   // when the order was sent
	received time.Time   // when the answer came
}

// RunStarted answers a StartOrder.
//
//value:generate
type RunStarted struct {
	order    StartOrder  // the order
	result   OrderResult // what is known of the order
	received time.Time   // when the answer came
}

// RunStopped answers a StopOrder.
//
//value:generate
type RunStopped struct {
	order  StopOrder   // the order
	result OrderResult // what is known of the order
}

// AdviceAnswered answers an AdviceQuery.
//
//value:generate
type AdviceAnswered struct {
	adviser  string       // the host that asked
	query    AdviceQuery  // the query
	result   AdviceResult // the result
	received time.Time    // when the answer came
	err      error        // the failure, nil for none
}

// AdviserChanged tells that a host is linked to this one and can ask for advice, or no longer is.
//
//value:generate
type AdviserChanged struct {
	adviser  string // the host
	present  bool   // whether it is linked
	strength int    // how well it could schedule, up to 100
	address  string // the address on which it accepts links
}

// PointerQuery asks which host schedules.
//
//value:generate
type PointerQuery struct {
	pause time.Duration // how long to wait before the read
	peers []string      // the addresses of hosts that are asked in case the store does not answer
}

// SchedulerPointer names the host that schedules. It is kept apart from the journal, so that a host finds the
// scheduler without loading the state.
//
//value:generate
type SchedulerPointer struct {
	epoch   int64  // the epoch of the scheduler
	host    string // the host
	address string // the address of its link
}

// PointerRead answers a PointerQuery.
//
//value:generate
type PointerRead struct {
	pointer SchedulerPointer // the newest pointer
	found   bool             // whether there is one
	stored  bool             // whether the store answered; otherwise the pointer came from another host
	took    time.Duration    // how long the read took
	err     error            // the failure of the read, nil if the store or another host answered
}

// Assigned tells a linked host what it keeps: a standby follows the journal and may be elected, any other host
// keeps only what callers see of jobs.
//
//value:generate
type Assigned struct {
	standby bool // whether the host is a standby
}

// JobViewChange is the new view of a job, or that it is no longer known.
//
//value:generate
type JobViewChange struct {
	id    JobID   // the identity of the job
	known bool    // whether the job is known
	view  JobView // the view, if it is known
}

// ViewsPushed brings changed views to a linked host.
//
//value:generate
type ViewsPushed struct {
	reset    bool            // whether the changes hold all views
	complete bool            // whether every job that was accepted a moment before is among the views
	changes  []JobViewChange // the changes
}

// LinkLost tells that the link to the scheduler's host has ended.
//
//value:generate
type LinkLost struct {
	scheduler string // the host of the scheduler
}

// JobAccepted tells that this host stored a job.
//
//value:generate
type JobAccepted struct {
	job Job // the job
}

// StopScheduling ends the scheduler's epoch before a planned stop.
//
//value:generate
type StopScheduling struct{}

// JournalPushed brings committed batches from the scheduler's host before the store is read.
//
//value:generate
type JournalPushed struct {
	from    int64          // the offset of the first batch
	batches []JournalBatch // the batches in order
}

// IntakeForwarded is an intake of a host that the store does not answer. It is stored with the journal.
//
//value:generate
type IntakeForwarded struct {
	host   string // the host that forwards
	number int64  // the number under which the host waits for the answer
	intake Intake // the job or cancellation
}

// IntakeStored answers an IntakeForwarded.
//
//value:generate
type IntakeStored struct {
	number int64 // the number of the forwarded intake
}

func (LinkLost) schedulerMessage()         {}
func (UsageStored) schedulerMessage()      {}
func (PointerRead) schedulerMessage()      {}
func (Assigned) schedulerMessage()         {}
func (PeersKnown) schedulerMessage()       {}
func (ViewsPushed) schedulerMessage()      {}
func (JournalPushed) schedulerMessage()    {}
func (IntakeForwarded) schedulerMessage()  {}
func (JournalRead) schedulerMessage()      {}
func (SnapshotRead) schedulerMessage()     {}
func (IntakeRead) schedulerMessage()       {}
func (WorkersRead) schedulerMessage()      {}
func (RoutesRead) schedulerMessage()       {}
func (JournalCommitted) schedulerMessage() {}
func (SnapshotStored) schedulerMessage()   {}
func (LeaseAnswered) schedulerMessage()    {}
func (RunStarted) schedulerMessage()       {}
func (RunStopped) schedulerMessage()       {}
func (AdviceAnswered) schedulerMessage()   {}
func (AdviserChanged) schedulerMessage()   {}
func (JobAccepted) schedulerMessage()      {}
func (StopScheduling) schedulerMessage()   {}

// WorkerManager carries the scheduler's orders to workers and their answers back.
type WorkerManager interface {
	// Manage opens the duties of a worker, or tells them its new announcement.
	Manage(worker Worker)
	// Release ends the duties of a worker.
	Release(worker string)
	// Lease sends a lease order after a pause.
	Lease(order LeaseOrder, pause time.Duration) bool
	// Start sends a start order. It reports false when too many orders wait.
	Start(order StartOrder) bool
	// Stop sends a stop order. It reports false when too many orders wait.
	Stop(order StopOrder) bool
}

// SchedulerLocator asks other hosts which host schedules. A host that the store does not answer finds the scheduler
// by it.
type SchedulerLocator interface {
	// Locate returns the pointer of the highest epoch that hosts at these addresses know of, false for none. It
	// returns within a fraction of a second.
	Locate(ctx context.Context, addresses []string) (SchedulerPointer, bool)
}

// AdviceDesk passes advice queries to the hosts that ask the advice service.
type AdviceDesk interface {
	// Ask sends a query to a host. It reports false when the host cannot be reached.
	Ask(adviser string, query AdviceQuery) bool
	// Push passes committed batches to linked hosts. No hosts still tell this one that it stores.
	Push(hosts []string, pushed JournalPushed)
	// PushViews passes changed views to linked hosts.
	PushViews(hosts []string, pushed ViewsPushed)
	// Assign tells a linked host what it keeps.
	Assign(host string, assigned Assigned)
	// TellPeers tells linked hosts where other hosts accept links.
	TellPeers(hosts []string, peers PeersKnown)
	// Stored tells a host that its intake is stored.
	Stored(host string, stored IntakeStored)
}

// LogField is one field of a log line.
type LogField struct {
	Name   string  // Name is the key.
	Text   string  // Text is the value when it is not a number.
	Number float64 // Number is the value when Numeric is set.
	// Numeric tells that the value is a number.
	Numeric bool
}

// Text returns a field with a text.
func Text(name, text string) LogField { return LogField{Name: name, Text: text} }

// Number returns a field with a number.
func Number[N ~int | ~int64 | ~float64](name string, number N) LogField {
	return LogField{Name: name, Number: float64(number), Numeric: true}
}

// Millis returns a field with a time span in milliseconds.
func Millis(name string, span time.Duration) LogField {
	return LogField{Name: name, Number: float64(span.Microseconds()) / 1000, Numeric: true}
}

// EventLog records decisions without waiting for the writer.
type EventLog interface {
	// Record writes one line, or counts it as left out when too many lines wait.
	Record(event string, fields ...LogField)
}

// AdviserHello names the host that opens a link to the scheduler.
//
//value:generate
type AdviserHello struct {
	host     string // the host that offers to ask the advice service
	strength int    // how well it could schedule, up to 100
	address  string // the address on which it accepts links
}

// PeersKnown tells a linked host where other hosts accept links. A host that the store does not answer asks them
// which host schedules.
//
//value:generate
type PeersKnown struct {
	addresses []string // the addresses, that of the scheduler among them
}

// LinkMessage is a message between the scheduler's host and the hosts that ask for advice.
type LinkMessage interface{ linkMessage() }

func (AdviserHello) linkMessage()    {}
func (PeersKnown) linkMessage()      {}
func (AdviceQuery) linkMessage()     {}
func (AdviceAnswered) linkMessage()  {}
func (Assigned) linkMessage()        {}
func (ViewsPushed) linkMessage()     {}
func (JournalPushed) linkMessage()   {}
func (IntakeForwarded) linkMessage() {}
func (IntakeStored) linkMessage()    {}

// LinkCodec converts between link messages and frames.
type LinkCodec interface {
	// EncodeLink returns the frame of a message.
	EncodeLink(message LinkMessage) ([]byte, error)
	// DecodeLink returns the message of a frame.
	DecodeLink(frame []byte) (LinkMessage, error)
}
