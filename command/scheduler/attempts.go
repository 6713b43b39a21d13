package scheduler

// minAttempts is the number of attempts of a task whose queue has no limit of attempts.
const minAttempts = 1

// attemptLimit returns the number of failed runs of a task with which the job fails, and false if the settings of the job are
// not known. A queue without a limit is not one without end: its tasks get one attempt.
func (job *job) attemptLimit() (int, bool) {
	return max(job.settings.Queue().MaxAttempts(), minAttempts), job.settings.Known()
}
