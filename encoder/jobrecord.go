package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// encodeJobRecord returns the encoded form of a job, which has a field for the workspace only if the job has one.
func (codec Codec) encodeJobRecord(record almondcross.JobRecord) ([]byte, error) {
	wire := toJobRecord(record)
	if record.Job().Workspace() == "" {
		return codec.encoding.Marshal(wire)
	}
	return codec.encoding.Marshal(workspaceJobRecord{
		Job: wire.Job, Queue: wire.Queue, State: wire.State, FinishedMS: wire.FinishedMS, StartedOccurrences: wire.StartedOccurrences,
		Stages: wire.Stages, Workspace: record.Job().Workspace(),
	})
}

// decodeFirstJob returns the first of several encoded jobs and the rest of them.
func (codec Codec) decodeFirstJob(sequence []byte) (almondcross.JobRecord, []byte, error) {
	var wire wireJobRecord
	var workspace string
	var err error
	if sequence[0] == workspaceJobRecordHeader {
		var extended workspaceJobRecord
		sequence, err = codec.decodingJobs.UnmarshalFirst(sequence, &extended)
		workspace = extended.Workspace
		wire = wireJobRecord{
			Job: extended.Job, Queue: extended.Queue, State: extended.State, FinishedMS: extended.FinishedMS,
			StartedOccurrences: extended.StartedOccurrences, Stages: extended.Stages,
		}
	} else {
		sequence, err = codec.decodingJobs.UnmarshalFirst(sequence, &wire)
	}
	if err != nil {
		return almondcross.JobRecord{}, nil, errors.Annotate(ErrMalformed, err.Error())
	}
	record, err := wire.value()
	if err != nil {
		return almondcross.JobRecord{}, nil, errors.Trace(err)
	}
	return record.WithJob(record.Job().WithWorkspace(workspace)), sequence, nil
}

func toJobRecord(record almondcross.JobRecord) wireJobRecord {
	stages := make([]wireStageRecord, len(record.Stages()))
	steps := record.Job().Steps()
	for index, stage := range record.Stages() {
		count := 0
		if stage.Step() >= 0 && stage.Step() < len(steps) {
			count = steps[stage.Step()].Count()
		}
		stages[index] = wireStageRecord{
			Occurrence: stage.Occurrence(), Step: stage.Step(), Run: stage.Run(), Failures: stage.Failures(),
			FailedRun: stage.FailedRun(), Checkpoint: stage.Checkpoint(), Tasks: toTaskRecords(stage.Tasks(), count),
		}
	}
	wire := wireJobRecord{
		Job: toJob(record.Job()), Queue: toQueue(record.Settings().Queue()), State: record.State(),
		FinishedMS: record.Settings().Version(), StartedOccurrences: record.StartedOccurrences(), Stages: stages,
	}
	if record.State().Final() {
		wire.FinishedMS = toUnixMillis(record.Finished())
	}
	return wire
}

// toTaskRecords returns the encoded form of the records of all tasks of a step. Tasks without a record are new.
func toTaskRecords(records []almondcross.TaskRecord, count int) []wireTaskRecord {
	tasks := make([]wireTaskRecord, max(count, len(records)))
	for index, record := range records {
		config := record.Config()
		tasks[index] = wireTaskRecord{
			taskRecordFields: taskRecordFields{
				Done: config.Done, Active: config.Active, Run: config.Run, Failures: config.Failures,
				Worker: config.Worker, Checkpoint: config.Checkpoint, SinceMS: toUnixMillis(config.Since),
			},
			crashFields: crashFields{Crashes: config.Crashes, Confirmed: config.Confirmed, Losses: config.Losses, Evidence: config.Evidence},
			LostRuns:    config.LostRuns,
		}
	}
	return tasks
}

// fromTaskRecords returns the records of the tasks up to the last one that is not new.
func fromTaskRecords(tasks []wireTaskRecord) []almondcross.TaskRecord {
	known := len(tasks)
	for known > 0 && tasks[known-1].isNew() {
		known--
	}
	records := make([]almondcross.TaskRecord, known)
	for index, task := range tasks[:known] {
		records[index] = almondcross.NewTaskRecord(almondcross.TaskRecordConfig{
			Done: task.Done, Active: task.Active, Run: task.Run, Failures: task.Failures, Crashes: task.Crashes, Confirmed: task.Confirmed,
			Losses: task.Losses, Evidence: task.Evidence, LostRuns: task.LostRuns,
			Worker: task.Worker, Checkpoint: task.Checkpoint, Since: fromUnixMillis(task.SinceMS),
		})
	}
	return records
}

// isNew reports whether a task never had a run: it has no other record than that of a task of a job just admitted.
func (wiretaskrecord wireTaskRecord) isNew() bool {
	return wiretaskrecord.taskRecordFields == taskRecordFields{} && wiretaskrecord.crashFields == crashFields{} && len(wiretaskrecord.LostRuns) == 0
}

// value returns the record of the job, or ErrMalformed if the scheduler that stored it cannot have held it.
func (wirejobrecord wireJobRecord) value() (almondcross.JobRecord, error) {
	job, err := wirejobrecord.Job.value()
	if err != nil {
		return almondcross.JobRecord{}, errors.Trace(err)
	}
	if err := wirejobrecord.checkStages(); err != nil {
		return almondcross.JobRecord{}, errors.Trace(err)
	}
	stages := make([]almondcross.StageRecord, len(wirejobrecord.Stages))
	for index, stage := range wirejobrecord.Stages {
		stages[index] = almondcross.NewStageRecord(almondcross.StageRecordConfig{
			Occurrence: stage.Occurrence, Step: stage.Step, Run: stage.Run, Failures: stage.Failures,
			FailedRun: stage.FailedRun, Checkpoint: stage.Checkpoint, Tasks: fromTaskRecords(stage.Tasks),
		})
	}
	config := almondcross.JobRecordConfig{Job: job, State: wirejobrecord.State, StartedOccurrences: wirejobrecord.StartedOccurrences, Stages: stages}
	if wirejobrecord.State.Final() {
		config.Settings, config.Finished = wirejobrecord.Queue.settings(0), fromUnixMillis(wirejobrecord.FinishedMS)
	} else {
		config.Settings = wirejobrecord.Queue.settings(wirejobrecord.FinishedMS)
	}
	return almondcross.NewJobRecord(config), nil
}

// checkStages returns ErrMalformed unless the stages are those of the started occurrences in order. A final job has neither
// steps nor stages.
func (wirejobrecord wireJobRecord) checkStages() error {
	steps, started := wirejobrecord.Job.Steps, wirejobrecord.StartedOccurrences
	if started < 0 || started > max(wirejobrecord.Job.Runs, 1) || len(wirejobrecord.Stages) != started*len(steps) {
		return errors.Annotatef(ErrMalformed, "%d stages of %d occurrences of job %s", len(wirejobrecord.Stages), started, wirejobrecord.Job.ID)
	}
	for index, stage := range wirejobrecord.Stages {
		if stage.Occurrence != index/len(steps) || stage.Step != index%len(steps) || len(stage.Tasks) != steps[stage.Step].Count {
			return errors.Annotatef(ErrMalformed, "stage %d of job %s", index, wirejobrecord.Job.ID)
		}
		if !stage.validCounts() {
			return errors.Annotatef(ErrMalformed, "the runs of stage %d of job %s", index, wirejobrecord.Job.ID)
		}
	}
	return nil
}

func (wirestagerecord wireStageRecord) validCounts() bool {
	for _, task := range wirestagerecord.Tasks {
		if !validCounts(task.Run, task.Failures, task.Crashes, task.Confirmed, task.Losses) || !validEvidence(task.Evidence) || !validCounts(task.LostRuns...) {
			return false
		}
	}
	return validCounts(wirestagerecord.Run, wirestagerecord.Failures, wirestagerecord.FailedRun)
}
