package almondcross

import (
	"context"
	"strings"
	"time"
)

//go:generate go run ./tools/valuer -output scheduling_generated.go scheduling.go

// SchedulerMessage is a message to the scheduler duty.
type SchedulerMessage interface{ schedulerMessage() }

// JournalQuery asks for the batches of the journal from an offset.
//
//value:generate
type JournalQuery struct {
	from  int64         // the first offset to read
	pause time.Duration // the pause before the read
	wait  time.Duration // the maximum time that the read waits for a record
}

// JournalRead answers a JournalQuery.
//
//value:generate
type JournalRead struct {
	from    int64          // the first offset of the query
	next    int64          // the offset that follows the last record
	end     int64          // the end of the journal
	batches []JournalBatch // the batch of each record in order, the zero value for one that cannot be decoded
	err     error          // the error of the read, nil for none
}

// SnapshotQuery asks for the newest snapshot.
//
//value:generate
type SnapshotQuery struct {
	pause time.Duration // the pause before the read
}

// SnapshotRead answers a SnapshotQuery.
//
//value:generate
type SnapshotRead struct {
	snapshot StateSnapshot // the newest snapshot
	found    bool          // whether there is one
	keys     []string      // the keys of all parts of snapshots in the store
	err      error         // the error of the read, nil for none
}

// IntakeQuery asks for the submitted jobs and cancellations in one partition.
//
//value:generate
type IntakeQuery struct {
	partition int           // the number of the partition
	from      int64         // the first offset to read
	pause     time.Duration // the pause before the read
	wait      time.Duration // the maximum time that the store waits for a record
}

// IntakeRead answers an IntakeQuery.
//
//value:generate
type IntakeRead struct {
	partition int      // the number of the partition
	from      int64    // the first offset of the query
	next      int64    // the offset that follows the last intake
	intakes   []Intake // the intakes in order
	err       error    // the error of the read, nil for none
}

// WorkerChange is a change of the announced workers.
//
//value:generate
type WorkerChange struct {
	id      string // the identity of the announcement
	present bool   // whether the worker is announced
	worker  Worker // the worker, when it is announced
}

// WorkersQuery asks for changes of the announced workers.
//
//value:generate
type WorkersQuery struct {
	from  int64         // the offset from which to read changes, negative to read all workers
	pause time.Duration // the pause before the read
}

// WorkersRead answers a WorkersQuery.
//
//value:generate
type WorkersRead struct {
	complete bool           // whether the changes contain all announced workers
	next     int64          // the offset from which to read further changes
	changes  []WorkerChange // the changes in order
	err      error          // the error of the read, nil for none
}

// RoutesRead passes a new version of the configuration to the scheduler.
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
	election    bool           // whether this is an append of an election, which succeeds only if the journal ends at the expected offset
	expectedEnd int64          // the expected end
	batches     []JournalBatch // the batches
	pause       time.Duration  // the pause before the append
}

// JournalCommitted answers a JournalCommit.
//
//value:generate
type JournalCommitted struct {
	commit   JournalCommit // the commit request
	appended StoreAppended // the offsets assigned by the store
	took     time.Duration // the duration of the append
	err      error         // the error, nil for none
}

// SnapshotStore asks for a snapshot to be stored.
//
//value:generate
type SnapshotStore struct {
	snapshot      StateSnapshot // the snapshot
	earlierKeys   []string      // the keys that the store had when this host loaded the state; those of snapshots of earlier epochs are removed
	earlierEpochs []int64       // the epochs since then whose snapshots are removed
}

// SnapshotStored answers a SnapshotStore.
//
//value:generate
type SnapshotStored struct {
	epoch int64 // the epoch of the scheduler that took the snapshot
	next  int64 // the journal offset of the snapshot
	err   error // the error, nil for none
}

// UsageStore asks for the usage of queues to be stored; a newer record of the same period and queue replaces an
// older one.
//
//value:generate
type UsageStore struct {
	usages []QueueUsage // the usage by queue and period
}

// UsageStored answers a UsageStore.
//
//value:generate
type UsageStored struct {
	usages []QueueUsage // the usage by queue and period
	err    error        // the error, nil for none
}

// LeaseAnswered answers a LeaseOrder.
//
//value:generate
type LeaseAnswered struct {
	order    LeaseOrder   // the order
	result   OrderResult  // the result of the order
	report   WorkerReport // the tasks that the worker reported, see WorkerOrderer
	sent     time.Time    // the time at which the order was sent
	received time.Time    // the time at which the answer was received
}

// StartOrderAnswered answers a StartOrder.
//
//value:generate
type StartOrderAnswered struct {
	order       StartOrder  // the order
	result      OrderResult // the result of the order
	received    time.Time   // the time at which the answer was received
	incarnation int64       // the only incarnation that the order can have reached, 0 if that is not known
}

// StopOrderAnswered answers a StopOrder.
//
//value:generate
type StopOrderAnswered struct {
	order  StopOrder   // the order
	result OrderResult // the result of the order
}

// AdviceAnswered answers an AdviceQuery.
//
//value:generate
type AdviceAnswered struct {
	adviser  string       // the host that called the advice service
	query    AdviceQuery  // the query
	result   AdviceResult // the result
	received time.Time    // the time at which the answer was received
	err      error        // the error, nil for none
}

// HostLinkChanged reports that a host has opened or lost its link to this host.
//
//value:generate
type HostLinkChanged struct {
	host       string // the host
	present    bool   // whether it is linked
	strength   int    // the scheduling strength of the host: its configured strength minus its latency to the store, 0 to 100
	address    string // the address on which the host accepts links
	dataCentre string // the data centre of the host
	viewFormat int    // the ViewFormat of the host, 0 for one that knows no relays of views

	schedulerEpoch int64    // the epoch of the scheduler to which the host has linked; it leads no earlier epoch. 0 for a host of an earlier version
	format         int      // the highest number of a format of the journal that the host reads, 0 for a host of an earlier version
	stateBytes     int64    // the memory in bytes that the jobs of the state may take on the host, 0 for a host of an earlier version
	ends           []Change // the ends of runs that the host has read as scheduler and may not have recorded
}

// PointerQuery asks which host runs the scheduler.
//
//value:generate
type PointerQuery struct {
	pause time.Duration // the pause before the read
	peers []string      // the addresses of the hosts to query when the store does not answer
}

// SchedulerPointer names the host that runs the scheduler. It is stored separately from the journal, so that a
// host can find the scheduler without loading the state.
//
//value:generate
type SchedulerPointer struct {
	epoch   int64  // the epoch of the scheduler
	host    string // the name of the host
	address string // the link address of the host
}

// PointerRead answers a PointerQuery.
//
//value:generate
type PointerRead struct {
	pointer SchedulerPointer // the newest pointer
	found   bool             // whether there is one
	stored  bool             // whether the store answered; otherwise the pointer came from another host
	took    time.Duration    // the duration of the read
	err     error            // the error of the read, nil if the store or another host answered
}

// RoleAssigned assigns a role to a linked host: a standby follows the journal and may be elected, any other host
// only stores the published states of jobs.
//
//value:generate
type RoleAssigned struct {
	standby bool // whether the host is a standby
	rank    int  // the place of the standby in the order in which they stand for election, from 1; 0 if it is not known
}

// JobViewChange is the new view of a job or its removal.
//
//value:generate
type JobViewChange struct {
	id    JobID   // the identity of the job
	known bool    // whether the job is known
	view  JobView // the view, when the job is known
}

// ViewsPushed passes changed job views to a linked host.
//
//value:generate
type ViewsPushed struct {
	reset    bool            // whether the changes contain all views and replace the earlier ones
	complete bool            // whether the views include every job that was accepted up to shortly before the push; see current of JournalBatch
	changes  []JobViewChange // the changes
	epoch    int64           // the epoch of the scheduler, 0 in a cell without relays of views
	number   int64           // the number of the push within the epoch; all views have the number of the last push that they include. 0 in a cell without relays
	more     bool            // whether a further part of all views follows
}

// LinkLost reports that the link to the scheduler's host was closed or could not be opened.
//
//value:generate
type LinkLost struct {
	scheduler string // the host of the scheduler
	refused   bool   // whether an attempt to link again was refused: nothing accepts links at the scheduler's address
}

// JobAccepted reports that this host stored a job.
//
//value:generate
type JobAccepted struct {
	job      Job           // the stored job
	settings QueueSettings // the settings of its queue when it was accepted
}

// StopScheduling tells the scheduler to resign before a graceful shutdown.
//
//value:generate
type StopScheduling struct{}

// JournalPushed passes committed batches from the scheduler's host to another host, which does not have to wait
// until it reads them from the store.
//
//value:generate
type JournalPushed struct {
	from    int64          // the offset of the first batch
	batches []JournalBatch // the batches in order
}

// IntakeForwarded passes an intake to the scheduler's host because the store does not answer the host that
// received it. It is stored with the journal.
//
//value:generate
type IntakeForwarded struct {
	host   string // the host that forwards
	number int64  // the number that identifies the answer
	intake Intake // the job or cancellation
}

// IntakeStored answers an IntakeForwarded.
//
//value:generate
type IntakeStored struct {
	number int64 // the number of the forwarded intake
	taken  bool  // whether the job was not admitted because its identity is that of a job of another queue

	refusedFor time.Duration // the time after which the caller may return, above 0 if the state has no room for the intake and nothing was recorded
}

func (LinkLost) schedulerMessage()           {}
func (UsageStored) schedulerMessage()        {}
func (PointerRead) schedulerMessage()        {}
func (RoleAssigned) schedulerMessage()       {}
func (PeersKnown) schedulerMessage()         {}
func (ViewsPushed) schedulerMessage()        {}
func (JournalPushed) schedulerMessage()      {}
func (IntakeForwarded) schedulerMessage()    {}
func (JournalRead) schedulerMessage()        {}
func (SnapshotRead) schedulerMessage()       {}
func (IntakeRead) schedulerMessage()         {}
func (WorkersRead) schedulerMessage()        {}
func (RoutesRead) schedulerMessage()         {}
func (JournalCommitted) schedulerMessage()   {}
func (SnapshotStored) schedulerMessage()     {}
func (LeaseAnswered) schedulerMessage()      {}
func (StartOrderAnswered) schedulerMessage() {}
func (StopOrderAnswered) schedulerMessage()  {}
func (AdviceAnswered) schedulerMessage()     {}
func (HostLinkChanged) schedulerMessage()    {}
func (JobAccepted) schedulerMessage()        {}
func (StopScheduling) schedulerMessage()     {}

// WorkerManager sends the scheduler's orders to workers and returns their answers as messages.
type WorkerManager interface {
	// Manage starts the duties of a worker, or passes its new announcement to them.
	Manage(worker Worker)
	// Release stops the duties of a worker.
	Release(worker string)
	// Lease sends a lease order after a pause. It reports false when the worker is not managed or too many orders
	// wait.
	Lease(order LeaseOrder, pause time.Duration) bool
	// Start sends a start order. It reports false when the worker is not managed or too many orders wait.
	Start(order StartOrder) bool
	// Stop sends a stop order. It reports false when the worker is not managed or too many orders wait.
	Stop(order StopOrder) bool
}

// RetiringWorkerManager is a WorkerManager whose workers may be taken over by another one.
type RetiringWorkerManager interface {
	WorkerManager
	// Retire stops the duties of a worker after the orders that they have.
	Retire(worker string)
}

// SchedulerLocator asks other hosts which host runs the scheduler. It is used when the store does not answer.
type SchedulerLocator interface {
	// Locate returns the pointer with the highest epoch known to the hosts at the given addresses and reports
	// whether there is one. It returns within a fraction of a second.
	Locate(ctx context.Context, addresses []string) (SchedulerPointer, bool)
}

// LinkSender sends messages over the links to other hosts, some of which call the advice service.
type LinkSender interface {
	// SendAdviceQuery sends an advice query to a host. It reports false when the host cannot be reached.
	SendAdviceQuery(adviser string, query AdviceQuery) bool
	// PushBatches sends committed batches to linked hosts. It also records the time of this host's last successful
	// append, so it is called even when there are no hosts.
	PushBatches(hosts []string, pushed JournalPushed)
	// PushViews sends changed views to linked hosts.
	PushViews(hosts []string, pushed ViewsPushed)
	// Assign sends its role to a linked host.
	Assign(host string, assigned RoleAssigned)
	// SendPeers sends the link addresses of other hosts to linked hosts.
	SendPeers(hosts []string, peers PeersKnown)
	// ConfirmIntake confirms to a host that the intake that it forwarded is stored.
	ConfirmIntake(host string, stored IntakeStored)
}

// LogField is one field of a log line.
type LogField struct {
	Name   string  // Name is the key.
	Text   string  // Text is the value when it is not a number.
	Number float64 // Number is the value when Numeric is set.
	// Numeric reports whether the value is a number.
	Numeric bool
}

// maxLogTextBytes is the maximum length of a string in the log, in bytes. Errors quote messages of other processes, which
// may have megabytes.
const maxLogTextBytes = 1000

// Text returns a field with a string value, of which only the beginning is kept if it is long.
func Text(name, text string) LogField {
	if len(text) > maxLogTextBytes {
		text = strings.ToValidUTF8(strings.Clone(text[:maxLogTextBytes]), "") + "..."
	}
	return LogField{Name: name, Text: text}
}

// Number returns a field with a numeric value.
func Number[N ~int | ~int64 | ~float64](name string, number N) LogField {
	return LogField{Name: name, Number: float64(number), Numeric: true}
}

// Millis returns a field with a duration in milliseconds.
func Millis(name string, duration time.Duration) LogField {
	return LogField{Name: name, Number: float64(duration.Microseconds()) / 1000, Numeric: true}
}

// EventLog records decisions. It never blocks on the output.
type EventLog interface {
	// Record queues one log line; when too many lines wait, it drops the line and counts it.
	Record(event string, fields ...LogField)
}

// HostHello identifies the host that opens a link to the scheduler.
//
//value:generate
type HostHello struct {
	host       string // the name of the host
	strength   int    // the scheduling strength of the host: its configured strength minus its latency to the store, 0 to 100
	address    string // the address on which the host accepts links
	dataCentre string // the data centre of the host
	viewFormat int    // the ViewFormat of the host, 0 for one that knows no relays of views

	routesFormat int // the RoutesFormat of the host, 0 for one that does not replicate the configuration

	schedulerEpoch int64    // the epoch of the scheduler to which the host links; it leads no earlier epoch. 0 from a host of an earlier version
	format         int      // the highest number of a format of the journal that the host reads, 0 from a host of an earlier version
	stateBytes     int64    // the memory in bytes that the jobs of the state may take on the host, 0 from a host of an earlier version
	ends           []Change // the ends of runs that the host has read as scheduler and may not have recorded
}

// PeersKnown passes the link addresses of other hosts to a linked host, which asks them for the scheduler when the
// store does not answer.
//
//value:generate
type PeersKnown struct {
	addresses []string // the addresses, including that of the scheduler
}

// LinkMessage is a message between the scheduler's host and the hosts linked to it.
type LinkMessage interface {
	// LinkKind returns the kind of the message.
	LinkKind() LinkKind
}

// LinkCodec converts between link messages and frames.
type LinkCodec interface {
	// EncodeLink returns the frame of a message.
	EncodeLink(message LinkMessage) ([]byte, error)
	// DecodeLink returns the message of a frame.
	DecodeLink(frame []byte) (LinkMessage, error)
}

// Build identifies the program of a process.
//
//value:generate
type Build struct {
	version   string // the version of the module, "unknown" if it is not known
	revision  string // the commit of the source, or a hash of the program file if that is not known
	goVersion string // the version of Go that built the program
}

// SchedulingStatus is what a scheduling host tells operators about itself.
//
//value:generate
type SchedulingStatus struct {
	host          string // the name of the host
	build         Build  // the program of the host
	format        int    // the highest number of a format of the journal that the host reads; it writes this one
	journalFormat int    // the highest number in the journal since the host loaded the state, 0 for none
	scheduler     string // the name of the scheduler that the host knows, empty for none
	epoch         int64  // the epoch of that scheduler
}

// SchedulingStatusViewer provides the status of a scheduling host.
type SchedulingStatusViewer interface {
	SchedulingStatus() SchedulingStatus
}
