package almondcross

import "slices"

// Upper estimates of the memory in bytes that the parts of a job take on a scheduler, with their copies in views, in queues of
// stages and in an encoded snapshot.
const (
	jobStateBytes = 640
	// stepStateBytes is the definition of a step, and stageStateBytes its tables in one occurrence.
	stepStateBytes, stageStateBytes = 512, 1 << 10
	// taskStateBytes is a task that has had a run. One that waits takes less.
	taskStateBytes = 256
	// doneStageBytes is a stage of an occurrence that was dropped, and doneTaskBytes one of its tasks: a snapshot still holds them.
	doneStageBytes, doneTaskBytes = 128, 24
	dependencyStateBytes          = 16
	// textCopies is how often a text is held: in the job and in an encoded snapshot.
	textCopies = 2
)

// StateBytes returns an upper estimate in bytes of the memory that the job takes on a scheduler, without its occurrences.
func (job Job) StateBytes() int64 {
	text := len(job.id) + len(job.queue) + len(job.workspace) + len(job.payload)
	dependencies := 0
	for _, step := range job.steps {
		text += len(step.label) + len(step.dataRack) + len(step.image)
		dependencies += len(step.after)
	}
	return jobStateBytes + int64(text)*textCopies + int64(len(job.steps))*stepStateBytes + int64(dependencies)*dependencyStateBytes
}

// OccurrenceBytes returns an upper estimate in bytes of the memory that an occurrence of the job takes beside that.
func (job Job) OccurrenceBytes() int64 {
	return int64(len(job.steps))*stageStateBytes + int64(job.tasks())*taskStateBytes
}

// doneOccurrenceBytes returns an upper estimate in bytes of the memory that an occurrence of the job takes once it was dropped.
func (job Job) doneOccurrenceBytes() int64 {
	return int64(len(job.steps))*doneStageBytes + int64(job.tasks())*doneTaskBytes
}

// HeldBytes returns an upper estimate in bytes of the memory that the job takes with some open occurrences and some that were dropped.
// A job without occurrences has the room of its first one. A final job has no steps.
func (job Job) HeldBytes(open, dropped int) int64 {
	if len(job.steps) == 0 {
		return job.StateBytes()
	}
	return job.StateBytes() + int64(max(1, open))*job.OccurrenceBytes() + int64(dropped)*job.doneOccurrenceBytes()
}

// tasks returns the number of tasks of an occurrence.
func (job Job) tasks() int {
	tasks := 0
	for _, step := range job.steps {
		tasks += step.count
	}
	return tasks
}

// AdmissionBytes returns an upper estimate in bytes of the memory that the job takes once it is admitted, with an occurrence.
func (job Job) AdmissionBytes() int64 { return job.StateBytes() + job.OccurrenceBytes() }

// HeldBytes returns an upper estimate in bytes of the memory that the job takes once its record is loaded.
func (jobrecord JobRecord) HeldBytes() int64 {
	steps := len(jobrecord.job.steps)
	if steps == 0 {
		return jobrecord.job.HeldBytes(0, 0)
	}
	open := 0
	for occurrence := range slices.Chunk(jobrecord.stages, steps) {
		if slices.ContainsFunc(occurrence, StageRecord.open) {
			open++
		}
	}
	return jobrecord.job.HeldBytes(open, len(jobrecord.stages)/steps-open)
}

// open reports whether a task of the stage is not done or was restarted, so that a loaded state keeps the stage.
func (stagerecord StageRecord) open() bool {
	return len(stagerecord.tasks) == 0 || slices.ContainsFunc(stagerecord.tasks, func(task TaskRecord) bool {
		return !task.done || task.active || task.run > 1
	})
}
