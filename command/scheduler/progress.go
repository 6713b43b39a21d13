package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// jobStart is a start of a run that is the first known one of its job.
type jobStart struct {
	job  *job
	task almondcross.JobTask
	run  int
	at   time.Time // at is when the start became known.
}

// startJob marks a queued job as running. An assignment alone does not start a job: the order may be lost, refused or
// carried out much later.
func (state *state) startJob(id almondcross.JobID, waited time.Duration) {
	job := state.jobs[id]
	if job == nil || job.state != almondcross.JobQueued {
		return
	}
	job.state = almondcross.JobRunning
	state.updateUsage(job.settings.Queue(), func(usage almondcross.QueueUsage) almondcross.QueueUsage {
		return usage.WithWaited(usage.Waited() + waited)
	})
	state.changedJobs[id] = struct{}{}
}

// waitedUntil returns how long the job waited for a start at a time. A scheduled job waits from its first due time.
func (job *job) waitedUntil(at time.Time) time.Duration {
	since := job.spec.Submitted()
	if due := job.spec.Due(0); due.After(since) {
		since = due
	}
	return max(at.Sub(since), 0).Truncate(time.Millisecond)
}

// noteStart notes that a worker has confirmed a run. If no run of the job was known to have started, the next append
// records it. The start causes no append of its own, since each append is billed and callers may see a job as queued
// for 2 s after its start; a scheduler appends a batch at least every heartbeatInterval.
func (machine *Machine) noteStart(job *job, task almondcross.JobTask, run int, at time.Time) {
	if job.state == almondcross.JobQueued {
		machine.leader.unrecordedStarts = append(machine.leader.unrecordedStarts, jobStart{job: job, task: task, run: run, at: at})
	}
}

// noteLateEnd notes that a run started that was presumed lost before its start was known.
func (machine *Machine) noteLateEnd(end almondcross.EndedTask) {
	if job, stage, found := machine.state.find(end.Task()); found {
		machine.noteStart(job, end.Task(), end.Run(), stage.tasks.at(end.Task().Index).Since())
	}
}

// recordStarts records the first known start of each job that is still queued.
func (machine *Machine) recordStarts() {
	starts := machine.leader.unrecordedStarts
	machine.leader.unrecordedStarts = nil
	for _, start := range starts {
		if start.job.state != almondcross.JobQueued {
			continue
		}
		waited := start.job.waitedUntil(start.at)
		machine.recordChange(almondcross.ChangeConfig{Kind: almondcross.ChangeJobStarted, Task: start.task, Run: start.run, Waited: waited})
		machine.config.Log.Record("job_started", almondcross.Text("job", string(start.job.spec.ID())), almondcross.Text("task", start.task.String()),
			almondcross.Number("run", start.run), almondcross.Millis("waited_ms", waited))
	}
}
