package encoder

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// stageTasks are the tasks of one stage of a job, decoded and encoded.
type stageTasks struct {
	count   int // count is the number of tasks, with those that have no record since they never had a run.
	records []almondcross.TaskRecord
	encoded cbor.RawMessage
}

// taskEncoder encodes the tasks of the stages of one job. Stages of a step that share their records share the encoded form too: a job
// may have as many done occurrences as it takes to hold millions of tasks.
type taskEncoder struct {
	encoding cbor.EncMode
	last     map[int]stageTasks // last holds the tasks of the last stage of each step.
}

// encode returns the encoded form of all tasks of a stage. Those without a record are new.
func (taskencoder taskEncoder) encode(step, count int, records []almondcross.TaskRecord) (cbor.RawMessage, error) {
	if last, found := taskencoder.last[step]; found && last.count == count && sameSlice(last.records, records) {
		return last.encoded, nil
	}
	encoded, err := taskencoder.encoding.Marshal(toTaskRecords(records, count))
	if err != nil {
		return nil, errors.Annotate(err, "encoding the tasks of a stage")
	}
	taskencoder.last[step] = stageTasks{count: count, records: records, encoded: encoded}
	return encoded, nil
}

// sameSlice reports whether two slices are the same part of the same array.
func sameSlice(a, b []almondcross.TaskRecord) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// taskDecoder decodes the tasks of the stages of one job. Stages of a step with the same encoded form share their records.
type taskDecoder struct {
	decoding cbor.DecMode
	last     map[int]stageTasks // last holds the tasks of the last stage of each step.
}

// decode returns the records of a stage's tasks up to the last one that is not new, or ErrMalformed unless they are those of count tasks.
func (taskdecoder taskDecoder) decode(step, count int, encoded cbor.RawMessage) ([]almondcross.TaskRecord, error) {
	if last, found := taskdecoder.last[step]; found && last.count == count && bytes.Equal(last.encoded, encoded) {
		return last.records, nil
	}
	var tasks []wireTaskRecord
	if err := taskdecoder.decoding.Unmarshal(encoded, &tasks); err != nil {
		return nil, errors.Annotate(ErrMalformed, err.Error())
	}
	if len(tasks) != count {
		return nil, errors.Annotatef(ErrMalformed, "%d tasks of %d", len(tasks), count)
	}
	for _, task := range tasks {
		if !task.validCounts() {
			return nil, errors.Annotate(ErrMalformed, "the runs of a task")
		}
	}
	records := fromTaskRecords(tasks)
	taskdecoder.last[step] = stageTasks{count: count, records: records, encoded: encoded}
	return records, nil
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

func (wiretaskrecord wireTaskRecord) validCounts() bool {
	return validCounts(wiretaskrecord.Run, wiretaskrecord.Failures, wiretaskrecord.Crashes, wiretaskrecord.Confirmed, wiretaskrecord.Losses) &&
		validEvidence(wiretaskrecord.Evidence) && validCounts(wiretaskrecord.LostRuns...)
}
