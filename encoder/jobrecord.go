package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// encodeJobRecord returns the encoded form of a job, which has a field for the workspace only if the job has one.
func (codec Codec) encodeJobRecord(record almondcross.JobRecord) ([]byte, error) {
	wire, err := codec.toJobRecord(record)
	if err != nil {
		return nil, err
	}
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
	record, err := codec.fromJobRecord(wire)
	if err != nil {
		return almondcross.JobRecord{}, nil, errors.Trace(err)
	}
	return record.WithJob(record.Job().WithWorkspace(workspace)), sequence, nil
}

func (codec Codec) toJobRecord(record almondcross.JobRecord) (wireJobRecord, error) {
	stages := make([]wireStageRecord, len(record.Stages()))
	steps := record.Job().Steps()
	taskEncoder := taskEncoder{encoding: codec.encoding, last: map[int]stageTasks{}}
	for index, stage := range record.Stages() {
		count := 0
		if stage.Step() >= 0 && stage.Step() < len(steps) {
			count = steps[stage.Step()].Count()
		}
		tasks, err := taskEncoder.encode(stage.Step(), count, stage.Tasks())
		if err != nil {
			return wireJobRecord{}, err
		}
		stages[index] = wireStageRecord{
			Occurrence: stage.Occurrence(), Step: stage.Step(), Run: stage.Run(), Failures: stage.Failures(),
			FailedRun: stage.FailedRun(), Checkpoint: stage.Checkpoint(), Tasks: tasks,
		}
	}
	wire := wireJobRecord{
		Job: toJob(record.Job()), Queue: toQueue(record.Settings().Queue()), State: record.State(),
		FinishedMS: record.Settings().Version(), StartedOccurrences: record.StartedOccurrences(), Stages: stages,
	}
	if record.State().Final() {
		wire.FinishedMS = toUnixMillis(record.Finished())
	}
	return wire, nil
}

// fromJobRecord returns the record of a job, or ErrMalformed if the scheduler that stored it cannot have held it.
func (codec Codec) fromJobRecord(wire wireJobRecord) (almondcross.JobRecord, error) {
	job, err := wire.Job.value()
	if err != nil {
		return almondcross.JobRecord{}, errors.Trace(err)
	}
	if err := wire.checkStages(); err != nil {
		return almondcross.JobRecord{}, errors.Trace(err)
	}
	stages := make([]almondcross.StageRecord, len(wire.Stages))
	taskDecoder := taskDecoder{decoding: codec.decodingJobs, last: map[int]stageTasks{}}
	for index, stage := range wire.Stages {
		tasks, err := taskDecoder.decode(stage.Step, wire.Job.Steps[stage.Step].Count, stage.Tasks)
		if err != nil {
			return almondcross.JobRecord{}, errors.Annotatef(err, "stage %d of job %s", index, wire.Job.ID)
		}
		stages[index] = almondcross.NewStageRecord(almondcross.StageRecordConfig{
			Occurrence: stage.Occurrence, Step: stage.Step, Run: stage.Run, Failures: stage.Failures,
			FailedRun: stage.FailedRun, Checkpoint: stage.Checkpoint, Tasks: tasks,
		})
	}
	config := almondcross.JobRecordConfig{Job: job, State: wire.State, StartedOccurrences: wire.StartedOccurrences, Stages: stages}
	if wire.State.Final() {
		config.Settings, config.Finished = wire.Queue.settings(0), fromUnixMillis(wire.FinishedMS)
	} else {
		config.Settings = wire.Queue.settings(wire.FinishedMS)
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
		if stage.Occurrence != index/len(steps) || stage.Step != index%len(steps) {
			return errors.Annotatef(ErrMalformed, "stage %d of job %s", index, wirejobrecord.Job.ID)
		}
		if !stage.validCounts() {
			return errors.Annotatef(ErrMalformed, "the runs of stage %d of job %s", index, wirejobrecord.Job.ID)
		}
	}
	return nil
}

func (wirestagerecord wireStageRecord) validCounts() bool {
	return validCounts(wirestagerecord.Run, wirestagerecord.Failures, wirestagerecord.FailedRun)
}
