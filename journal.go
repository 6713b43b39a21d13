package almondcross

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// The errors of the store that holds the journal.
const (
	ErrStoreFenced      = errors.ConstError("store: a higher epoch has been used")
	ErrStoreEndMismatch = errors.ConstError("store: the partition does not end at the expected offset")
	ErrStoreTrimmed     = errors.ConstError("store: the records were deleted")
	ErrStoreRefused     = errors.ConstError("store: refused, nothing was done")
	ErrStoreUncertain   = errors.ConstError("store: no answer, the call may have been carried out")
	ErrStoreSequence    = errors.ConstError("store: the sequence number does not follow the last one")
)

// The errors of a submission.
const (
	ErrStateTooLarge = errors.ConstError("more state than this host can hold") // ErrStateTooLarge means that a snapshot was not read to its end.
	ErrNotStored     = errors.ConstError("not stored")                         // ErrNotStored means that the job was not stored and never runs.
	ErrMaybeStored   = errors.ConstError("the store did not answer")           // ErrMaybeStored means that the job may have been stored and may run.
	ErrTooLarge      = errors.ConstError("too large for the store")            // ErrTooLarge means that the job can never be stored.

	ErrIdentityTaken = errors.ConstError("the identity is that of a job of another queue or workspace") // ErrIdentityTaken means that the job was not admitted, since its identity is taken.
)

// NotStoredError is the error of a submission that was not stored, with the time after which a retry may succeed.
type NotStoredError struct {
	cause      error
	retryAfter time.Duration
}

// NewNotStoredError returns an error with a cause, which has to be or wrap ErrNotStored.
func NewNotStoredError(cause error, retryAfter time.Duration) *NotStoredError {
	return &NotStoredError{cause: cause, retryAfter: retryAfter}
}

// Error returns the message of the cause.
func (notstorederror *NotStoredError) Error() string { return notstorederror.cause.Error() }

// Unwrap returns the cause.
func (notstorederror *NotStoredError) Unwrap() error { return notstorederror.cause }

// RetryAfter returns the time after which a retry may succeed.
func (notstorederror *NotStoredError) RetryAfter() time.Duration { return notstorederror.retryAfter }

// Submitter stores jobs and cancellations.
type Submitter interface {
	// Submit stores an intake and waits at most for the timeout. It returns ErrNotStored, ErrMaybeStored, ErrTooLarge or
	// ErrIdentityTaken unless the intake was stored.
	Submit(ctx context.Context, intake Intake, timeout time.Duration) error
}

// QueueRouter finds the queue of a request.
type QueueRouter interface {
	// Match returns the settings of the queue of a request and the part of the path that follows the queue's prefix.
	Match(host, path string) (settings QueueSettings, rest string, found bool)
	// Identify returns the name of the workspace whose key a caller presents on a queue, and whether the call is allowed.
	// The name is empty on an open queue and if the configuration requires no keys.
	Identify(queue Queue, key string) (workspace string, allowed bool)
	// FitsQuota returns ErrExceedsQuota if a job can never run within the current quota of its workspace.
	FitsQuota(job Job) error
	// Version returns the version of the current configuration, 0 before the first one.
	Version() int64
	// BodyLimit returns the maximum size of a request body in bytes, 0 when none is configured.
	BodyLimit() int64
}

// Partition identifies one partition of a topic.
type Partition struct {
	Topic  string // Topic is the name of the topic.
	Number int    // Number counts from 0.
}

// StoreAppend is one append to a partition.
//
//value:generate
type StoreAppend struct {
	partition   Partition // the partition
	records     [][]byte  // the records; an append without records only sets the epoch
	writer      string    // the name of the writer, empty for an append without an epoch
	epoch       int64     // the epoch of the writer
	sequence    int64     // the sequence number of the append within the epoch
	conditional bool      // whether the partition must end at the expected offset
	expectedEnd int64     // the expected end
}

// StoreAppended is the answer to an append.
//
//value:generate
type StoreAppended struct {
	offset int64 // the offset of the first record
	end    int64 // the end of the partition
}

// StoreRead is one read of a partition.
//
//value:generate
type StoreRead struct {
	partition Partition     // the partition
	from      int64         // the first offset to read
	wait      time.Duration // the maximum time that the store waits for a record
	maxKB     int           // the maximum size of the answer in kilobytes
}

// StoreRecords holds records of a partition in order.
//
//value:generate
type StoreRecords struct {
	from    int64    // the offset of the first record
	end     int64    // the end of the partition
	first   int64    // the oldest retained offset
	records [][]byte // the records
}

// KeyedRecord is one record of a keyed topic.
//
//value:generate
type KeyedRecord struct {
	key    string // the key
	value  []byte // the value, empty when the key was deleted
	offset int64  // the offset
}

// StoreWriter writes to the store.
type StoreWriter interface {
	// Append adds all records of the batch to a partition or none of them.
	Append(ctx context.Context, batch StoreAppend) (StoreAppended, error)
}

// StoreReader reads from the store.
type StoreReader interface {
	// Read returns records of a partition, or ErrStoreTrimmed with the oldest retained offset.
	Read(ctx context.Context, query StoreRead) (StoreRecords, error)
	// Newest returns the newest record of each key of a partition and the end of the partition.
	Newest(ctx context.Context, partition Partition) ([]KeyedRecord, int64, error)
}

// WorkerCodec decodes the records that workers and operators write to the store, and converts keyed records.
type WorkerCodec interface {
	// DecodeKeyed returns the keyed record with the given stored form and offset.
	DecodeKeyed(source []byte, offset int64) (KeyedRecord, error)
	// EncodeKeyed returns the stored form of a keyed record.
	EncodeKeyed(record KeyedRecord) ([]byte, error)
	// DecodeWorker returns the worker that an announcement describes.
	DecodeWorker(id string, source []byte) (Worker, error)
	// DecodeRoutes returns the configuration with the given stored form.
	DecodeRoutes(source []byte) (RouteTable, error)
}

// Intake is a submitted job or cancellation that an entry host stores until the scheduler admits it to the journal.
//
//value:generate
type Intake struct {
	job      Job           // the job, with only its identity and queue for a cancellation
	settings QueueSettings // the settings with which a host accepted it, not known if that was a host of the version before
	cancel   bool          // whether it cancels the job
}

// ChangeKind is the kind of a journal change.
type ChangeKind int

// The kinds of changes. The numbers are part of the stored format.
const (
	ChangeAdmit          ChangeKind = 1 // ChangeAdmit adds a job.
	ChangeCancel         ChangeKind = 2 // ChangeCancel cancels a job, even one that was not admitted.
	ChangeAssign         ChangeKind = 3 // ChangeAssign assigns a run to a worker; it is recorded before the start order is sent.
	ChangeEnd            ChangeKind = 4 // ChangeEnd records how a run ended.
	ChangeOccurrence     ChangeKind = 5 // ChangeOccurrence starts an occurrence of a scheduled job.
	ChangeElected        ChangeKind = 6 // ChangeElected records the elected scheduler of an epoch.
	ChangeResigned       ChangeKind = 7 // ChangeResigned records that the scheduler of the epoch resigned.
	ChangeWorkerSilent   ChangeKind = 8 // ChangeWorkerSilent records that a worker does not answer; its lease is not extended until ChangeWorkerRegained.
	ChangeWorkerRegained ChangeKind = 9 // ChangeWorkerRegained records that a silent worker answered again or was removed.

	ChangeJobStarted ChangeKind = 10 // ChangeJobStarted records the first run of a job that is known to have started on its worker.

	ChangeSettings         ChangeKind = 11 // ChangeSettings sets the settings of a job that was admitted while they were not known.
	ChangeWorkerUnlisted   ChangeKind = 12 // ChangeWorkerUnlisted records the address of a worker with runs that is no longer announced, until ChangeWorkerListed.
	ChangeWorkerListed     ChangeKind = 13 // ChangeWorkerListed records that an unlisted worker is announced again or was removed.
	ChangeSnapshotStored   ChangeKind = 14 // ChangeSnapshotStored records that the scheduler has stored a snapshot and removed those of earlier epochs.
	ChangeWorkerAddress    ChangeKind = 15 // ChangeWorkerAddress records the address of a worker with runs, which a snapshot does not have.
	ChangeLeadershipsEnded ChangeKind = 16 // ChangeLeadershipsEnded records until when earlier schedulers may extend leases, which a snapshot does not have.
	ChangeFormat           ChangeKind = 17 // ChangeFormat records the number of the format in which the scheduler writes the journal and snapshots.
	ChangeLongLease        ChangeKind = 18 // ChangeLongLease records by when the lease of a restarted worker has expired, which may be the longest that workers grant. A snapshot does not have it.
)

// Verdict is what the scheduler has decided about a job when a run ended or its settings became known.
type Verdict int

// The verdicts. The numbers are part of the stored format.
const (
	VerdictUnknown   Verdict = 0 // VerdictUnknown means that none is recorded: a scheduler of an earlier version wrote the change.
	VerdictQueued    Verdict = 1 // VerdictQueued means that the job goes on and that none of its runs is known to have started.
	VerdictStarted   Verdict = 2 // VerdictStarted means that the job has started and does not end by this change.
	VerdictCompleted Verdict = 3 // VerdictCompleted means that the job is completed.
	VerdictAttempts  Verdict = 4 // VerdictAttempts means that the job has failed because a task has used up its attempts.
	VerdictCrashes   Verdict = 5 // VerdictCrashes means that the job has failed because workers crashed under a task.
)

// Change is one change of the replicated state.
//
//value:generate
type Change struct {
	kind           ChangeKind    // the kind
	job            Job           // the job of ChangeAdmit, with only its identity for ChangeCancel, ChangeOccurrence and ChangeSettings
	settings       QueueSettings // the settings of the queue of ChangeAdmit, ChangeCancel and ChangeSettings
	task           JobTask       // the task of a run
	run            int           // the number of the run
	worker         string        // the worker of a run or of a change of a worker
	end            EndKind       // the way in which the run ended; EndVoid in ChangeWorkerUnlisted and ChangeWorkerAddress if the worker had announced that it leaves
	checkpoint     string        // the last checkpoint of the run, empty for none
	occurrence     int           // the occurrence of ChangeOccurrence
	host           string        // the elected host
	address        string        // the link address of the elected host, the address of an unlisted worker, or that of the worker of ChangeAssign if it is new
	zone           string        // the data centre of the worker whose address the change has
	leaseRemaining time.Duration // the time after which the lease of the worker of ChangeWorkerSilent or ChangeLongLease has expired, or after which the earlier schedulers (ChangeLeadershipsEnded) or the resigned one (ChangeResigned) extend no more leases; 0 in a ChangeResigned of an earlier version, which does not record it
	silent         time.Duration // the time for which the worker of a crashed or lost run had not answered when the end was recorded, 0 for other runs
	waited         time.Duration // the time from the submission of the job, or its first due time, to the start in ChangeJobStarted
	verdict        Verdict       // what ChangeEnd or ChangeSettings means for the job
	format         int           // the number of ChangeFormat
}

// JournalBatch is one record of the journal.
//
//value:generate
type JournalBatch struct {
	epoch   int64         // the epoch of the scheduler that wrote it
	at      time.Time     // the scheduler's time
	intake  map[int]int64 // the offsets up to which intake partitions have been admitted, only for partitions whose offset changed
	current bool          // whether the scheduler had read every intake partition recently; complete of ViewsPushed follows from it
	changes []Change      // the changes, in order
}

// Readable reports whether the batch was decoded from a record. The zero value stands for a record that cannot be decoded.
func (journalbatch JournalBatch) Readable() bool {
	return journalbatch.epoch != 0 || !journalbatch.at.IsZero()
}

// TaskRecord is the replicated state of one task.
//
//value:generate
type TaskRecord struct {
	done       bool      // whether the task ended successfully
	active     bool      // whether a run is assigned to a worker and its end is not recorded
	run        int       // the highest run number
	failures   int       // the number of failed runs
	lostRuns   []int     // the runs that were presumed lost and may still be reported, in order
	crashes    int       // the crashes of workers under a run of the task; a crash counts twice with only runs of its job on the worker
	confirmed  int       // the number of crashes under a run that was known to have started
	losses     int       // the number of crashes of workers under a run of the task, and of other ends soon after a start that followed several
	evidence   int       // the sum over the confirmed crashes of how soon after the start they came, in bits
	worker     string    // the worker of the last run
	checkpoint string    // the last recorded checkpoint, empty for none
	since      time.Time // the time at which the last run was assigned to its worker
}

// QueueUsage is the resource usage and the outcomes of the jobs of one queue in one period. The scheduler and
// its standbys compute it from the journal, so it survives the loss of any host.
//
//value:generate
type QueueUsage struct {
	from        time.Time     // the start of the period
	queue       string        // the name of the queue
	pool        string        // the pool of workers
	priority    int           // the priority of the queue
	received    Resources     // the resources held by its runs, counted at the end of each run, in resource units times seconds
	capacity    Resources     // the capacity of the announced workers of the pool at the last write, times the length of the period in seconds
	admitted    int           // the number of admitted jobs
	completed   int           // the number of completed jobs
	failed      int           // the number of failed jobs
	cancelled   int           // the number of cancelled jobs
	waited      time.Duration // the total time that admitted jobs waited for their first run to start, from their first due time if that is later
	doneRuns    int           // the number of runs that ended successfully
	failedRuns  int           // the number of runs that failed because of the task or its worker
	abortedRuns int           // the number of runs that were stopped, lost or ended with their gang
	lost        Resources     // the part of received that failed and aborted runs held
}

// UsageKey identifies the usage of one queue in one period.
type UsageKey struct {
	From  int64  // From is the start of the period in Unix seconds.
	Queue string // Queue is the name of the queue.
}

// StageRecord is the replicated state of one stage.
//
//value:generate
type StageRecord struct {
	occurrence int          // the occurrence
	step       int          // the step
	run        int          // the highest run number of a gang
	failures   int          // the number of failed runs of a gang
	failedRun  int          // the last run of a gang in which a task failed
	checkpoint string       // the last checkpoint of a gang, empty for none
	tasks      []TaskRecord // the tasks
}

// JobRecord is the replicated state of one job.
//
//value:generate
type JobRecord struct {
	job                Job           // the job, without payload once its state is final and none of its tasks runs, and then without steps unless a task was started more than once
	settings           QueueSettings // the settings of the queue with which the job runs
	state              JobState      // the state of the job
	finished           time.Time     // the time at which its state became final, zero before
	startedOccurrences int           // the number of occurrences that were started
	stages             []StageRecord // the stages of the started occurrences
}

// EpochRandomBits is the number of low bits of an epoch that distinguish candidates of the same term; the bits above
// them are the term.
const EpochRandomBits = 12

// MaxEpoch is the highest epoch. Its fencing tokens, shifted by ten bits more, stay below 1<<53, so that workers that read
// numbers as floating point compare them exactly.
const MaxEpoch = 1<<43 - 1

// SilentWorker is the record of a worker that does not answer.
//
//value:generate
type SilentWorker struct {
	worker         string        // the identity of the worker
	epoch          int64         // the epoch of the scheduler that recorded the silence
	recordedAt     time.Time     // the time of the batch with the record; with the epoch and the worker it identifies the record
	leaseRemaining time.Duration // the time from the snapshot to the end of the worker's lease; a restored snapshot counts it from the restore, which is later and thus safe
}

// UnlistedWorker is the record of a worker with runs that is no longer announced.
//
//value:generate
type UnlistedWorker struct {
	worker  string // the identity of the worker
	address string // the address that it had announced
	zone    string // the data centre that it had announced
	leaving bool   // whether it had announced that it leaves
}

// WorkerCrash is the crash of a worker with runs.
//
//value:generate
type WorkerCrash struct {
	worker     string    // the identity of the worker
	at         time.Time // the time at which the scheduler lost contact
	attributed bool      // whether a run had been assigned to the worker shortly before, which may have crashed it
}

// StateSnapshot is the replicated state after a batch.
//
//value:generate
type StateSnapshot struct {
	next           int64            // the journal offset that follows the last batch in the snapshot
	epoch          int64            // the highest epoch of any batch
	schedulerEpoch int64            // the epoch of the scheduler
	resigned       bool             // whether the scheduler has resigned
	at             time.Time        // the time of the last batch
	host           string           // the scheduler's host
	address        string           // the link address of the scheduler's host
	intake         map[int]int64    // the offsets up to which intake partitions have been admitted
	jobs           []JobRecord      // the jobs
	usage          []QueueUsage     // the usage of the current periods
	silent         []SilentWorker   // the silent workers
	unlisted       []UnlistedWorker // the workers with runs that are no longer announced
	crashed        []WorkerCrash    // the recent crashes of workers
}

// JournalCodec converts between the replicated values and the records of the store.
type JournalCodec interface {
	// EncodeBatch returns the record of a batch.
	EncodeBatch(batch JournalBatch) ([]byte, error)
	// DecodeBatch returns the batch in a record.
	DecodeBatch(record []byte) (JournalBatch, error)
	// EncodeIntake returns the records of an intake, which must be stored together.
	EncodeIntake(intake Intake) ([][]byte, error)
	// DecodeIntakes returns the intakes in consecutive records, and the number of the first records that it used. It leaves out
	// a last record that belongs to the next one. It calls unreadable for each record that it cannot decode.
	DecodeIntakes(records [][]byte, unreadable func(index int, err error)) (intakes []Intake, used int)
	// EncodePointer returns the stored form of a pointer to the scheduler.
	EncodePointer(pointer SchedulerPointer) ([]byte, error)
	// DecodePointer returns the pointer with the given stored form.
	DecodePointer(source []byte) (SchedulerPointer, error)
	// EncodeQueueUsage returns the stored form of the usage of a queue.
	EncodeQueueUsage(usage QueueUsage) ([]byte, error)
	// DecodeQueueUsage returns the usage with the given stored form.
	DecodeQueueUsage(source []byte) (QueueUsage, error)
	// EncodeSnapshot returns the parts of a snapshot, of at most the given size in bytes.
	EncodeSnapshot(snapshot StateSnapshot, size int) ([][]byte, error)
	// DecodeSnapshot returns the newest complete snapshot among keyed records and reports whether there is one. It clears
	// the records. An error reports malformed records, also beside a snapshot.
	DecodeSnapshot(records []KeyedRecord) (StateSnapshot, bool, error)
}
