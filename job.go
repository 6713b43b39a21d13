package almondcross

import (
	"cmp"
	"fmt"
	"time"

	"github.com/juju/errors"
)

//go:generate go run ./tools/valuer -output job_generated.go job.go worker.go journal.go

// JobState is the state of a job as reported to its caller.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"    // JobQueued means that no task has started.
	JobRunning   JobState = "running"   // JobRunning means that a task has started.
	JobCompleted JobState = "completed" // JobCompleted means that every task ended successfully.
	JobFailed    JobState = "failed"    // JobFailed means that a task failed on its last attempt.
	JobCancelled JobState = "cancelled" // JobCancelled means that the caller cancelled it.
)

// Final reports whether the state never changes again.
func (jobstate JobState) Final() bool {
	return jobstate == JobCompleted || jobstate == JobFailed || jobstate == JobCancelled
}

// JobID is the identity of a job, chosen by its caller.
type JobID string

// Step is a group of identical tasks of a job.
//
//value:generate
type Step struct {
	count          int           // the number of tasks
	resources      Resources     // the resources that each task needs
	estimate       time.Duration // the caller's estimate of a task's run time
	after          []int         // the indexes of the earlier steps that must complete first
	checkpoints    bool          // whether the tasks save their progress
	gang           bool          // whether the tasks must all run at the same time
	sameRack       bool          // whether the tasks run slower when they are spread over several racks
	label          string        // the label that a worker must have, empty for any
	dataRack       string        // the rack where the data is, empty for none
	perWorker      int           // the maximum number of tasks of the step on one worker, 0 for no limit
	speculative    bool          // whether two runs of a task may overlap
	service        bool          // whether the tasks run until the job is cancelled
	image          string        // the image that the tasks run; tasks of the same image are assumed to behave alike
	latencyLimit   time.Duration // the acceptable tail latency of a service task
	bestEffort     bool          // whether the tasks run only on capacity that other tasks do not use
	maxUnavailable int           // the maximum number of service tasks that the scheduler may make unavailable at the same time
}

// Job is a graph of steps.
//
//value:generate
type Job struct {
	id        JobID         // the identity of the job
	queue     string        // the name of the queue that accepted it
	payload   string        // the input of the work
	steps     []Step        // the steps
	runs      int           // the number of scheduled occurrences, 0 for a job that runs once, immediately
	first     time.Time     // the time of the first occurrence
	period    time.Duration // the time between two occurrences
	submitted time.Time     // the time at which an entry host accepted it
	workspace string        // the name of the workspace whose key the caller presented, empty for none
}

// Limits of a job, which bound the memory that a scheduler needs for it.
const (
	maxSteps = 1000
	maxTasks = 10_000 // maxTasks is the maximum number of tasks of all steps.
	maxRuns  = 100_000
	// maxStages is the maximum number of steps of all occurrences.
	maxStages = 100_000
	// maxSpan is the maximum time from the first occurrence to the last one.
	maxSpan = 100 * 365 * 24 * time.Hour
)

// Validate returns ErrInvalidJob if the job exceeds a limit, has a negative amount, or has a step that comes after itself
// or a later one. A scheduler cannot hold such a job.
func (job Job) Validate() error {
	if len(job.steps) > maxSteps || job.runs < 0 || job.runs > maxRuns || len(job.steps)*job.Occurrences() > maxStages {
		return errors.Annotatef(ErrInvalidJob, "%d steps, %d occurrences", len(job.steps), job.runs)
	}
	if job.period < 0 || job.period > maxSpan/time.Duration(job.Occurrences()) {
		return errors.Annotatef(ErrInvalidJob, "%d occurrences every %s", job.runs, job.period)
	}
	tasks := 0
	for index, step := range job.steps {
		if step.count <= 0 || step.resources.Negative() || step.perWorker < 0 {
			return errors.Annotatef(ErrInvalidJob, "the amounts of step %d", index)
		}
		if len(step.after) > index {
			return errors.Annotatef(ErrInvalidJob, "step %d comes after a step more than once", index)
		}
		for _, dependency := range step.after {
			if dependency < 0 || dependency >= index {
				return errors.Annotatef(ErrInvalidJob, "step %d comes after step %d", index, dependency)
			}
		}
		if step.count > maxTasks-tasks { // The sum may exceed the range of an int.
			return errors.Annotatef(ErrInvalidJob, "more than %d tasks", maxTasks)
		}
		tasks += step.count
	}
	return nil
}

// Occurrences returns the number of times that the steps run.
func (job Job) Occurrences() int { return max(job.runs, 1) }

// Due returns the scheduled time of an occurrence, the zero time for a job that runs immediately.
func (job Job) Due(occurrence int) time.Time {
	if job.runs == 0 {
		return time.Time{}
	}
	return job.first.Add(time.Duration(occurrence) * job.period)
}

// StageID identifies the tasks of one step in one occurrence of a job.
type StageID struct {
	Job        JobID // Job is the identity of the job.
	Occurrence int   // Occurrence counts from 0.
	Step       int   // Step counts from 0.
}

// String returns the stage as job.occurrence.step, as it is written to logs.
func (stageid StageID) String() string {
	return fmt.Sprintf("%s.%d.%d", stageid.Job, stageid.Occurrence, stageid.Step)
}

// JobTask identifies one task of a job.
type JobTask struct {
	Stage StageID // Stage is the stage of the task.
	Index int     // Index counts from 0 within the stage.
}

// Compare orders tasks by job, occurrence, step and index.
func (jobtask JobTask) Compare(other JobTask) int {
	return cmp.Or(
		cmp.Compare(jobtask.Stage.Job, other.Stage.Job), cmp.Compare(jobtask.Stage.Occurrence, other.Stage.Occurrence),
		cmp.Compare(jobtask.Stage.Step, other.Stage.Step), cmp.Compare(jobtask.Index, other.Index),
	)
}

// String returns the task as job.occurrence.step.index, as it is written to logs and sent to workers.
func (jobtask JobTask) String() string {
	return fmt.Sprintf("%s.%d", jobtask.Stage, jobtask.Index)
}

// AdviceSettings describes how a queue uses the advice service, which decides which workers may run a step.
//
//value:generate
type AdviceSettings struct {
	required  bool          // whether the queue's steps need tickets from the advice service
	base      time.Duration // the base latency of a call
	perWorker time.Duration // the additional latency for each worker in the call
	validity  time.Duration // the validity period of a ticket
}

// Queue accepts jobs under one host name and path and defines their pool, priority and latency objective.
//
//value:generate
type Queue struct {
	name           string         // the name of the queue
	host           string         // the host name under which callers reach it
	prefix         string         // the path under which callers reach it
	pool           string         // the name of the pool of workers that runs its tasks
	priority       int            // the priority; 0 is the highest
	maxAttempts    int            // the maximum number of attempts of a task
	stretch        float64        // the factor that the latency objective applies to the run time of the job's critical path
	latencyTarget  time.Duration  // the constant part of the latency objective
	adviceSettings AdviceSettings // how the queue uses the advice service
	open           bool           // whether callers need no key
}

// QueueSettings is a queue as one version of the configuration has it. The zero value stands for settings that are not known,
// which is neither a queue without a pool nor one without a limit of attempts.
//
//value:generate
type QueueSettings struct {
	queue   Queue // the queue
	version int64 // the version of the configuration, 0 if the version is not known
}

// Known reports whether the settings are known. Hosts of the version before stored a queue that is only a name for a job
// whose queue they did not know.
func (queuesettings QueueSettings) Known() bool { return queuesettings.queue.pool != "" }

// Pool is a group of workers that run the tasks of some queues.
//
//value:generate
type Pool struct {
	name             string // the name of the pool
	enforcesCapacity bool   // whether its workers reject tasks that exceed their free capacity
	standby          bool   // whether its machines are powered off
}

// Workspace is a group of callers that share a quota and a share of the capacity.
//
//value:generate
type Workspace struct {
	name   string    // the name of the workspace
	keys   []string  // the keys that its callers present
	weight int64     // the weight of its share when not all work fits, and the number of jobs a second for which the latency objective holds
	quota  Resources // the maximum of what its runs hold at the same time; 0 means no limit on a resource
}

// RouteTable is one version of the operators' configuration: the queues, by whose host names and paths requests are
// routed, the pools and the workspaces.
//
//value:generate
type RouteTable struct {
	version      int64       // the version; a higher one replaces a lower one
	queues       []Queue     // the queues
	pools        []Pool      // the pools
	bodyLimit    int64       // the largest body of a request in bytes
	workspaces   []Workspace // the workspaces
	keysRequired bool        // whether callers of queues that are not open need the key of a workspace
}

// Settings returns the settings of the queue with the given name. They are not known if the table has no such queue.
func (routetable RouteTable) Settings(name string) QueueSettings {
	queue, found := routetable.Queue(name)
	if !found {
		return QueueSettings{}
	}
	return QueueSettings{queue: queue, version: routetable.version}
}

// Queue returns the queue with the given name and reports whether it exists.
func (routetable RouteTable) Queue(name string) (Queue, bool) {
	for _, queue := range routetable.queues {
		if queue.name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Pool returns the pool with the given name and reports whether it exists.
func (routetable RouteTable) Pool(name string) (Pool, bool) {
	for _, pool := range routetable.pools {
		if pool.name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Workspace returns the workspace with the given name and reports whether it exists.
func (routetable RouteTable) Workspace(name string) (Workspace, bool) {
	for _, workspace := range routetable.workspaces {
		if workspace.name == name {
			return workspace, true
		}
	}
	return Workspace{}, false
}

// JobView is the state of a job that is published to callers.
//
//value:generate
type JobView struct {
	id              JobID    // the identity of the job
	queue           QueueID  // the queue of the job when it was accepted
	state           JobState // the state of the job
	countsAsPending bool     // whether it is included in the number of pending jobs while it is queued
	workspace       string   // the name of the workspace of the job, empty for none
}

// JobPublisher publishes the states of jobs for queries. Only one duty calls it.
type JobPublisher interface {
	// Publish replaces the view of a job.
	Publish(view JobView)
	// Forget removes the view of a job.
	Forget(id JobID)
	// Replace puts views in the place of all earlier ones, in one step. The views must not be older than the earlier
	// ones: the times of Refreshed stay.
	Replace(views []JobView)
	// Refreshed records a time as of which the views are those of the whole journal. If complete is true, the
	// views include every job that was accepted up to shortly before that time.
	Refreshed(at time.Time, complete bool)
	// Find returns the view of a job, whatever its age, and reports whether there is one.
	Find(id JobID) (JobView, bool)
	// All returns the views of all jobs, in no particular order.
	All() []JobView
}

// JobKnowledge is what a host knows of a job.
type JobKnowledge int

// What a host may know of a job.
const (
	JobNotKnown JobKnowledge = iota // JobNotKnown means that the views are too old to tell; another host may know.
	JobKnown                        // JobKnown means that the view of the job is recent enough.
	JobGone                         // JobGone means that there is no such job or that its retention has ended.
)

// JobFinder reads the published states of jobs.
type JobFinder interface {
	// Find returns the view of a job, whatever its age, and reports whether there is one.
	Find(id JobID) (JobView, bool)
	// Lookup returns what the host knows at a time of a job of a queue that callers of a workspace may see, and its view if the
	// job is known.
	Lookup(id JobID, queue QueueID, workspace string, now time.Time) (JobView, JobKnowledge)
	// Pending returns the number of jobs of a queue that have not started a task yet. It reports false if the views
	// are too old to tell.
	Pending(queue QueueID, now time.Time) (count int, known bool)
	// RefreshedAt returns when the journal was last read to its end, the zero time for never.
	RefreshedAt() time.Time
	// CompleteAt returns when the views last included every accepted job, the zero time for never.
	CompleteAt() time.Time
}
