package almondcross

// Upper estimates of the memory in bytes that the parts of a job take on a scheduler, with their copies in views, in queues of
// stages and in an encoded snapshot.
const (
	jobStateBytes = 640
	// stepStateBytes is the definition of a step, and stageStateBytes its tables in one occurrence.
	stepStateBytes, stageStateBytes = 512, 1 << 10
	// taskStateBytes is a task that has had a run. One that waits takes less.
	taskStateBytes       = 256
	dependencyStateBytes = 16
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
	tasks := 0
	for _, step := range job.steps {
		tasks += step.count
	}
	return int64(len(job.steps))*stageStateBytes + int64(tasks)*taskStateBytes
}

// AdmissionBytes returns an upper estimate in bytes of the memory that the job takes once it is admitted, with an occurrence.
func (job Job) AdmissionBytes() int64 { return job.StateBytes() + job.OccurrenceBytes() }
