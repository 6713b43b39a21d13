package encoder

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// wireStep is one step of a job. The wire types of the journal are encoded as arrays to keep the records small,
// so fields must keep their order. The decoder refuses an array of another length: with a new field, a host can read
// neither the records of the version before nor the other way round.
type wireStep struct {
	_                                struct{} `cbor:",toarray"`
	Count, PerWorker, MaxUnavailable int
	MilliCPU, MemoryMB, Accelerators int64
	EstimateMS, LatencyLimitMS       int64
	After                            []int
	Checkpoints, Gang, SameRack      bool
	Speculative, Service, BestEffort bool
	Label, DataRack, Image           string
}

type wireJob struct {
	_                              struct{} `cbor:",toarray"`
	ID, Queue, Payload             string
	Steps                          []wireStep
	Runs                           int
	FirstMS, PeriodMS, SubmittedMS int64
}

type wireQueue struct {
	_                            struct{} `cbor:",toarray"`
	Name, Host, Prefix, Service  string
	Priority, MaxAttempts        int
	Stretch                      float64
	LatencyTargetMS              int64
	Advice                       bool
	AdviceBaseUS, AdviceWorkerUS int64
	AdviceValidityMS             int64
}

type wireJobTask struct {
	_                       struct{} `cbor:",toarray"`
	Job                     string
	Occurrence, Step, Index int
}

type wireStateChange struct {
	_                       struct{} `cbor:",toarray"`
	Kind                    almondcross.ChangeKind
	Job                     *wireJob
	Queue                   *wireQueue
	Task                    *wireJobTask
	Run                     int // Run is the run of the task, or the format of ChangeFormat.
	Worker, End, Checkpoint string
	Occurrence              int // Occurrence is that of ChangeOccurrence, or the verdict of ChangeEnd and ChangeSettings, which the version before ignores.
	// Host is the data centre of the worker in ChangeAssign, ChangeWorkerAddress and ChangeWorkerUnlisted, and the workspace of the
	// job in ChangeAdmit and ChangeCancel, which a host of format 1 ignores.
	Host, Address string
	// DurationMS is the lease remaining of ChangeWorkerSilent, ChangeLongLease, ChangeLeadershipsEnded and ChangeResigned, the time
	// waited of ChangeJobStarted, the silence of ChangeEnd, or the version of the settings of ChangeAdmit, ChangeCancel and
	// ChangeSettings, which the version before ignores.
	DurationMS int64
}

type wireBatch struct {
	_       struct{} `cbor:",toarray"`
	Epoch   int64
	AtMS    int64
	Intake  map[int]int64
	Changes []wireStateChange
	Current bool
}

type wirePointer struct {
	_             struct{} `cbor:",toarray"`
	Epoch         int64
	Host, Address string
}

// EncodePointer returns the encoded record of a scheduler pointer.
func (codec Codec) EncodePointer(pointer almondcross.SchedulerPointer) ([]byte, error) {
	data, err := codec.encoding.Marshal(wirePointer{Epoch: pointer.Epoch(), Host: pointer.Host(), Address: pointer.Address()})
	return data, errors.Annotate(err, "encoding the scheduler pointer")
}

// DecodePointer returns the scheduler pointer of an encoded record.
func (codec Codec) DecodePointer(data []byte) (almondcross.SchedulerPointer, error) {
	var wire wirePointer
	if err := codec.decoding.Unmarshal(data, &wire); err != nil {
		return almondcross.SchedulerPointer{}, errors.Annotatef(ErrMalformed, "scheduler pointer: %v", err)
	}
	if !validEpoch(wire.Epoch) {
		return almondcross.SchedulerPointer{}, errors.Annotatef(ErrMalformed, "scheduler pointer of epoch %d", wire.Epoch)
	}
	return almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: wire.Epoch, Host: wire.Host, Address: wire.Address}), nil
}

// taskRecordFields are the fields of a task record that every version of the format has.
type taskRecordFields struct {
	Done, Active       bool
	Run, Failures      int
	Worker, Checkpoint string
	SinceMS            int64
}

// wireTaskRecord is one task of a snapshot. Crashes and lost runs are encoded only if there are any, so that records of an
// earlier version are read, and an earlier version reads all records but those of tasks with crashes or lost runs.
type wireTaskRecord struct {
	taskRecordFields
	crashFields
	LostRuns []int
}

// crashFields are the fields of a task record that only a task with crashes has.
type crashFields struct{ Crashes, Confirmed, Losses, Evidence int }

// plainTaskRecord is the encoded form of a task record without crashes.
type plainTaskRecord struct {
	_ struct{} `cbor:",toarray"`
	taskRecordFields
}

// crashedTaskRecord is the encoded form of a task record with crashes and no lost runs.
type crashedTaskRecord struct {
	_ struct{} `cbor:",toarray"`
	taskRecordFields
	crashFields
}

// lostTaskRecord is the encoded form of a task record with lost runs.
type lostTaskRecord struct {
	_ struct{} `cbor:",toarray"`
	taskRecordFields
	crashFields
	LostRuns []int
}

// weighedTaskRecord is the encoded form of a task record with crashes of a version that did not count losses.
type weighedTaskRecord struct {
	_ struct{} `cbor:",toarray"`
	taskRecordFields
	Crashes, Confirmed int
}

// The first bytes of the encoded forms: the CBOR headers of arrays of seven, nine and twelve fields.
const (
	plainTaskRecordHeader   = 0x87
	weighedTaskRecordHeader = 0x89
	lostTaskRecordHeader    = 0x8c
)

// MarshalCBOR returns the encoded form of the record.
func (wiretaskrecord wireTaskRecord) MarshalCBOR() ([]byte, error) {
	if len(wiretaskrecord.LostRuns) > 0 {
		return cbor.Marshal(lostTaskRecord{
			taskRecordFields: wiretaskrecord.taskRecordFields, crashFields: wiretaskrecord.crashFields, LostRuns: wiretaskrecord.LostRuns,
		})
	}
	if wiretaskrecord.Losses == 0 {
		return cbor.Marshal(plainTaskRecord{taskRecordFields: wiretaskrecord.taskRecordFields})
	}
	return cbor.Marshal(crashedTaskRecord{taskRecordFields: wiretaskrecord.taskRecordFields, crashFields: wiretaskrecord.crashFields})
}

// UnmarshalCBOR sets the record from its encoded form. A record without losses has at most as many as its weighed count of
// crashes, which counts some of them twice: the task gets no more starts than it would have without the upgrade. It is not
// known what these crashes are evidence of, so they confirm nothing.
func (wiretaskrecord *wireTaskRecord) UnmarshalCBOR(data []byte) error {
	switch {
	case len(data) > 0 && data[0] == plainTaskRecordHeader:
		var plain plainTaskRecord
		err := cbor.Unmarshal(data, &plain)
		*wiretaskrecord = wireTaskRecord{taskRecordFields: plain.taskRecordFields}
		return err
	case len(data) > 0 && data[0] == weighedTaskRecordHeader:
		var weighed weighedTaskRecord
		err := cbor.Unmarshal(data, &weighed)
		*wiretaskrecord = wireTaskRecord{taskRecordFields: weighed.taskRecordFields, crashFields: crashFields{
			Crashes: weighed.Crashes, Losses: weighed.Crashes,
		}}
		return err
	case len(data) > 0 && data[0] == lostTaskRecordHeader:
		var lost lostTaskRecord
		err := cbor.Unmarshal(data, &lost)
		*wiretaskrecord = wireTaskRecord{taskRecordFields: lost.taskRecordFields, crashFields: lost.crashFields, LostRuns: lost.LostRuns}
		return err
	}
	var crashed crashedTaskRecord
	err := cbor.Unmarshal(data, &crashed)
	*wiretaskrecord = wireTaskRecord{taskRecordFields: crashed.taskRecordFields, crashFields: crashed.crashFields}
	return err
}

// wireResourceSeconds is an amount of resources multiplied by seconds.
type wireResourceSeconds struct {
	_                                struct{} `cbor:",toarray"`
	MilliCPU, MemoryMB, Accelerators int64
}

func toResourceSeconds(resources almondcross.Resources) wireResourceSeconds {
	return wireResourceSeconds{MilliCPU: resources.MilliCPU(), MemoryMB: resources.MemoryMB(), Accelerators: resources.Accelerators()}
}

func (wireresourceseconds wireResourceSeconds) value() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: wireresourceseconds.MilliCPU, MemoryMB: wireresourceseconds.MemoryMB, Accelerators: wireresourceseconds.Accelerators,
	})
}

type wireUsage struct {
	_                                      struct{} `cbor:",toarray"`
	FromMS                                 int64
	Queue, Pool                            string
	Priority                               int
	Received, Capacity, Lost               wireResourceSeconds
	Admitted, Completed, Failed, Cancelled int
	WaitedMS                               int64
	Done, Unfinished, Withdrawn            int
}

func toUsage(usage almondcross.QueueUsage) wireUsage {
	config := usage.Config()
	return wireUsage{
		FromMS: toUnixMillis(config.From), Queue: config.Queue, Pool: config.Pool, Priority: config.Priority,
		Received: toResourceSeconds(config.Received), Capacity: toResourceSeconds(config.Capacity), Lost: toResourceSeconds(config.Lost),
		Admitted: config.Admitted, Completed: config.Completed, Failed: config.Failed, Cancelled: config.Cancelled,
		WaitedMS: config.Waited.Milliseconds(), Done: config.DoneRuns, Unfinished: config.FailedRuns, Withdrawn: config.AbortedRuns,
	}
}

func (wireusage wireUsage) value() almondcross.QueueUsage {
	return almondcross.NewQueueUsage(almondcross.QueueUsageConfig{
		From: fromUnixMillis(wireusage.FromMS), Queue: wireusage.Queue, Pool: wireusage.Pool, Priority: wireusage.Priority,
		Received: wireusage.Received.value(), Capacity: wireusage.Capacity.value(), Lost: wireusage.Lost.value(),
		Admitted: wireusage.Admitted, Completed: wireusage.Completed, Failed: wireusage.Failed, Cancelled: wireusage.Cancelled,
		Waited: milliseconds(wireusage.WaitedMS), DoneRuns: wireusage.Done,
		FailedRuns: wireusage.Unfinished, AbortedRuns: wireusage.Withdrawn,
	})
}

// EncodeQueueUsage returns the encoded record of a queue's usage.
func (codec Codec) EncodeQueueUsage(usage almondcross.QueueUsage) ([]byte, error) {
	data, err := codec.encoding.Marshal(toUsage(usage))
	return data, errors.Annotate(err, "encoding the usage of a queue")
}

// DecodeQueueUsage returns the usage of an encoded record.
func (codec Codec) DecodeQueueUsage(data []byte) (almondcross.QueueUsage, error) {
	var wire wireUsage
	if err := codec.decoding.Unmarshal(data, &wire); err != nil {
		return almondcross.QueueUsage{}, errors.Annotatef(ErrMalformed, "usage of a queue: %v", err)
	}
	return wire.value(), nil
}

type wireStageRecord struct {
	_                        struct{} `cbor:",toarray"`
	Occurrence, Step         int
	Run, Failures, FailedRun int
	Checkpoint               string
	Tasks                    cbor.RawMessage // Tasks holds an encoded list of wireTaskRecord.
}

type wireJobRecord struct {
	_     struct{} `cbor:",toarray"`
	Job   wireJob
	Queue wireQueue
	State almondcross.JobState
	// FinishedMS is the end of a final job, and the version of the settings of any other one. The version before reads it only
	// of final jobs, and keeps it for the others.
	FinishedMS         int64
	StartedOccurrences int
	Stages             []wireStageRecord
}

// workspaceJobRecord is the encoded form of a job record with a workspace. A host of format 1 cannot read it.
type workspaceJobRecord struct {
	_                  struct{} `cbor:",toarray"`
	Job                wireJob
	Queue              wireQueue
	State              almondcross.JobState
	FinishedMS         int64
	StartedOccurrences int
	Stages             []wireStageRecord
	Workspace          string
}

// workspaceJobRecordHeader is the first byte of an encoded workspaceJobRecord, the CBOR header of an array of its seven fields.
const workspaceJobRecordHeader = 0x87

// toUnixMillis returns a time as Unix milliseconds, 0 for the zero time.
func toUnixMillis(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMillis returns the time of Unix milliseconds, the zero time for 0.
func fromUnixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func toStep(step almondcross.Step) wireStep {
	config := step.Config()
	return wireStep{
		Count: config.Count, PerWorker: config.PerWorker, MaxUnavailable: config.MaxUnavailable,
		MilliCPU: config.Resources.MilliCPU(), MemoryMB: config.Resources.MemoryMB(), Accelerators: config.Resources.Accelerators(),
		EstimateMS: config.Estimate.Milliseconds(), LatencyLimitMS: config.LatencyLimit.Milliseconds(), After: config.After,
		Checkpoints: config.Checkpoints, Gang: config.Gang, SameRack: config.SameRack, Speculative: config.Speculative,
		Service: config.Service, BestEffort: config.BestEffort, Label: config.Label, DataRack: config.DataRack, Image: config.Image,
	}
}

func (wirestep wireStep) value() almondcross.Step {
	return almondcross.NewStep(almondcross.StepConfig{
		Count: wirestep.Count,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{
			MilliCPU: wirestep.MilliCPU, MemoryMB: wirestep.MemoryMB, Accelerators: wirestep.Accelerators,
		}),
		Estimate: milliseconds(wirestep.EstimateMS), After: wirestep.After, Checkpoints: wirestep.Checkpoints,
		Gang: wirestep.Gang, SameRack: wirestep.SameRack, Label: wirestep.Label, DataRack: wirestep.DataRack,
		PerWorker: wirestep.PerWorker, Speculative: wirestep.Speculative, Service: wirestep.Service, Image: wirestep.Image,
		LatencyLimit: milliseconds(wirestep.LatencyLimitMS), BestEffort: wirestep.BestEffort, MaxUnavailable: wirestep.MaxUnavailable,
	})
}

func toJob(job almondcross.Job) wireJob {
	steps := make([]wireStep, len(job.Steps()))
	for index, step := range job.Steps() {
		steps[index] = toStep(step)
	}
	return wireJob{
		ID: string(job.ID()), Queue: job.Queue(), Payload: job.Payload(), Steps: steps, Runs: job.Runs(),
		FirstMS: toUnixMillis(job.First()), PeriodMS: job.Period().Milliseconds(), SubmittedMS: toUnixMillis(job.Submitted()),
	}
}

// value returns the job, or ErrMalformed if a scheduler cannot hold it.
func (wirejob wireJob) value() (almondcross.Job, error) {
	steps := make([]almondcross.Step, len(wirejob.Steps))
	for index, step := range wirejob.Steps {
		steps[index] = step.value()
	}
	job := almondcross.NewJob(almondcross.JobConfig{
		ID: almondcross.JobID(wirejob.ID), Queue: wirejob.Queue, Payload: wirejob.Payload, Steps: steps, Runs: wirejob.Runs,
		First: fromUnixMillis(wirejob.FirstMS), Period: milliseconds(wirejob.PeriodMS),
		Submitted: fromUnixMillis(wirejob.SubmittedMS),
	})
	if err := job.Validate(); err != nil {
		return almondcross.Job{}, errors.Annotate(ErrMalformed, err.Error())
	}
	return job, nil
}

func toQueue(queue almondcross.Queue) wireQueue {
	settings := queue.AdviceSettings()
	return wireQueue{
		Name: queue.Name(), Host: queue.Host(), Prefix: queue.Prefix(), Service: queue.Pool(), Priority: queue.Priority(),
		MaxAttempts: queue.MaxAttempts(), Stretch: queue.Stretch(), LatencyTargetMS: queue.LatencyTarget().Milliseconds(),
		Advice: settings.Required(), AdviceBaseUS: settings.Base().Microseconds(), AdviceWorkerUS: settings.PerWorker().Microseconds(),
		AdviceValidityMS: settings.Validity().Milliseconds(),
	}
}

func (wirequeue wireQueue) value() almondcross.Queue {
	return almondcross.NewQueue(almondcross.QueueConfig{
		Name: wirequeue.Name, Host: wirequeue.Host, Prefix: wirequeue.Prefix, Pool: wirequeue.Service,
		Priority: wirequeue.Priority, MaxAttempts: wirequeue.MaxAttempts, Stretch: wirequeue.Stretch,
		LatencyTarget: milliseconds(wirequeue.LatencyTargetMS),
		AdviceSettings: almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
			Required: wirequeue.Advice, Base: microseconds(wirequeue.AdviceBaseUS),
			PerWorker: microseconds(wirequeue.AdviceWorkerUS),
			Validity:  milliseconds(wirequeue.AdviceValidityMS),
		}),
	})
}

// settings returns the settings of the queue by a version of the configuration.
func (wirequeue wireQueue) settings(version int64) almondcross.QueueSettings {
	return almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{Queue: wirequeue.value(), Version: version})
}

func toChange(change almondcross.Change) wireStateChange {
	wire := wireStateChange{
		Kind: change.Kind(), Run: change.Run(), Worker: change.Worker(), End: string(change.End()),
		Checkpoint: change.Checkpoint(), Occurrence: change.Occurrence(), Host: change.Host(), Address: change.Address(),
		DurationMS: change.LeaseRemaining().Milliseconds(),
	}
	switch change.Kind() {
	case almondcross.ChangeJobStarted:
		wire.DurationMS = change.Waited().Milliseconds()
	case almondcross.ChangeEnd:
		wire.DurationMS, wire.Occurrence = change.Silent().Milliseconds(), int(change.Verdict())
	case almondcross.ChangeWorkerUnlisted, almondcross.ChangeWorkerAddress, almondcross.ChangeAssign:
		wire.Host = change.Zone()
	case almondcross.ChangeFormat:
		wire.Run = change.Format()
	case almondcross.ChangeAdmit, almondcross.ChangeCancel, almondcross.ChangeSettings:
		wire.DurationMS = change.Settings().Version()
		if change.Kind() == almondcross.ChangeSettings {
			wire.Occurrence = int(change.Verdict())
		} else {
			wire.Host = change.Job().Workspace()
		}
	default:
	}
	if change.Job().ID() != "" {
		job := toJob(change.Job())
		wire.Job = &job
	}
	if change.Settings().Known() {
		queue := toQueue(change.Settings().Queue())
		wire.Queue = &queue
	}
	if task := change.Task(); task.Stage.Job != "" {
		wireTask := toJobTask(task)
		wire.Task = &wireTask
	}
	return wire
}

func (wirestatechange wireStateChange) value() (almondcross.Change, error) {
	config := almondcross.ChangeConfig{
		Kind: wirestatechange.Kind, Run: wirestatechange.Run, Worker: wirestatechange.Worker,
		End: almondcross.EndKind(wirestatechange.End), Checkpoint: wirestatechange.Checkpoint,
		Occurrence: wirestatechange.Occurrence, Host: wirestatechange.Host, Address: wirestatechange.Address,
	}
	switch duration := milliseconds(wirestatechange.DurationMS); wirestatechange.Kind {
	case almondcross.ChangeJobStarted:
		config.Waited = duration
	case almondcross.ChangeEnd:
		config.Silent, config.Occurrence, config.Verdict = duration, 0, almondcross.Verdict(wirestatechange.Occurrence)
	case almondcross.ChangeWorkerUnlisted, almondcross.ChangeWorkerAddress, almondcross.ChangeAssign:
		config.Host, config.Zone = "", wirestatechange.Host
	case almondcross.ChangeSettings:
		config.Occurrence, config.Verdict = 0, almondcross.Verdict(wirestatechange.Occurrence)
	case almondcross.ChangeFormat:
		config.Run, config.Format = 0, wirestatechange.Run
	case almondcross.ChangeAdmit, almondcross.ChangeCancel:
		config.Host = ""
	default:
		config.LeaseRemaining = duration
	}
	if !validCounts(wirestatechange.Run, wirestatechange.Occurrence) {
		return almondcross.Change{}, errors.Annotatef(ErrMalformed, "run %d, occurrence %d", wirestatechange.Run, wirestatechange.Occurrence)
	}
	var err error
	if config.Job, err = wirestatechange.job(); err != nil {
		return almondcross.Change{}, errors.Trace(err)
	}
	if wirestatechange.Kind == almondcross.ChangeAdmit && len(config.Job.Steps()) == 0 {
		return almondcross.Change{}, errors.Annotate(ErrMalformed, "an admitted job without steps")
	}
	if wirestatechange.Queue != nil {
		config.Settings = wirestatechange.Queue.settings(wirestatechange.DurationMS)
	}
	if task := wirestatechange.Task; task != nil {
		if task.Occurrence < 0 || task.Step < 0 || task.Index < 0 {
			return almondcross.Change{}, errors.Annotatef(ErrMalformed, "the task %s has a negative index", task.value())
		}
		config.Task = task.value()
	}
	return almondcross.NewChange(config), nil
}

// job returns the job of the change with its workspace, the zero value if the change has none.
func (wirestatechange wireStateChange) job() (almondcross.Job, error) {
	if wirestatechange.Job == nil {
		return almondcross.Job{}, nil
	}
	job, err := wirestatechange.Job.value()
	if kind := wirestatechange.Kind; kind == almondcross.ChangeAdmit || kind == almondcross.ChangeCancel {
		job = job.WithWorkspace(wirestatechange.Host)
	}
	return job, errors.Trace(err)
}

// EncodeBatch returns the encoded record of a journal batch.
func (codec Codec) EncodeBatch(batch almondcross.JournalBatch) ([]byte, error) {
	changes := make([]wireStateChange, len(batch.Changes()))
	for index, change := range batch.Changes() {
		changes[index] = toChange(change)
	}
	record, err := codec.encoding.Marshal(wireBatch{
		Epoch: batch.Epoch(), AtMS: toUnixMillis(batch.At()), Intake: batch.Intake(), Changes: changes, Current: batch.Current(),
	})
	return record, errors.Annotate(err, "encoding a journal batch")
}

// DecodeBatch returns the journal batch of an encoded record.
func (codec Codec) DecodeBatch(record []byte) (almondcross.JournalBatch, error) {
	var wire wireBatch
	if err := codec.decoding.Unmarshal(record, &wire); err != nil {
		return almondcross.JournalBatch{}, errors.Annotatef(ErrMalformed, "journal batch: %v", err)
	}
	if wire.Epoch == 0 || !validEpoch(wire.Epoch) {
		return almondcross.JournalBatch{}, errors.Annotatef(ErrMalformed, "journal batch of epoch %d", wire.Epoch)
	}
	if err := checkOffsets(wire.Intake); err != nil {
		return almondcross.JournalBatch{}, errors.Annotate(err, "journal batch")
	}
	changes := make([]almondcross.Change, len(wire.Changes))
	for index, wireChange := range wire.Changes {
		change, err := wireChange.value()
		if err != nil {
			return almondcross.JournalBatch{}, errors.Annotate(err, "journal batch")
		}
		changes[index] = change
	}
	return almondcross.NewJournalBatch(almondcross.JournalBatchConfig{
		Epoch: wire.Epoch, At: fromUnixMillis(wire.AtMS), Intake: wire.Intake, Changes: changes, Current: wire.Current,
	}), nil
}
