package almondcross

import (
	"fmt"
	"time"
)

//go:generate go run ./tools/valuer -output job_generated.go job.go worker.go journal.go

// JobState is the state of a job as its caller sees it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"    // JobQueued means that no task has started.
	JobRunning   JobState = "running"   // JobRunning means that a task has started.
	JobCompleted JobState = "completed" // JobCompleted means that every task ended successfully.
	JobFailed    JobState = "failed"    // JobFailed means that a task used all its attempts.
	JobCancelled JobState = "cancelled" // JobCancelled means that the caller cancelled it.
)

// Final reports whether the state never changes again.
func (jobstate JobState) Final() bool {
	return jobstate == JobCompleted || jobstate == JobFailed || jobstate == JobCancelled
}

// JobID is the identity of a job, chosen by its caller.
type JobID string

// Step is a group of equal tasks of a job.
//
//value:generate
type Step struct {
	count        int           // the number of tasks
	resources    Resources     // what each task needs
	estimate     time.Duration // the caller's rough estimate of a task's run time
	after        []int         // the earlier steps that must be done first
	checkpoints  bool          // whether the tasks save their progress
	gang         bool          // whether the tasks work only together
	sameRack     bool          // whether the tasks are slower on more than one rack
	label        string        // the label that a worker must have, empty for any
	dataRack     string        // the rack where the data is, empty for none
	perWorker    int           // the most tasks of the step on one worker, 0 for no limit
	speculative  bool          // whether two runs of a task may overlap
	service      bool          // whether the tasks run until the job is cancelled
	image        string        // what the tasks run; tasks of one image behave alike
	latencyLimit time.Duration // the tail latency that the users of a service task accept
	fills        bool          // whether the tasks use capacity that others leave
	mayMiss      int           // how many service tasks the scheduler may make unavailable at once
}

// Job is a graph of steps.
//
//value:generate
type Job struct {
	id        JobID         // the identity of the job
	queue     string        // the name of the queue that took it
	payload   string        // the input of the work
	steps     []Step        // the steps
	runs      int           // the number of scheduled occurrences, 0 for a job that runs once at once
	first     time.Time     // the time of the first occurrence
	period    time.Duration // the time between two occurrences
	submitted time.Time     // the time at which an entry host accepted it
}

// Occurrences returns how often the steps run.
func (job Job) Occurrences() int { return max(job.runs, 1) }

// Due returns the time of an occurrence, the zero time for a job that runs at once.
func (job Job) Due(occurrence int) time.Time {
	if job.runs == 0 {
		return time.Time{}
	}
	return job.first.Add(time.Duration(occurrence) * job.period)
}

// StageID names the tasks of one step in one occurrence of a job.
type StageID struct {
	Job        JobID // Job is the identity of the job.
	Occurrence int   // Occurrence counts from 0.
	Step       int   // Step counts from 0.
}

// String returns the stage as logs show it.
func (stageid StageID) String() string {
	return fmt.Sprintf("%s.%d.%d", stageid.Job, stageid.Occurrence, stageid.Step)
}

// JobTask names one task of a job.
type JobTask struct {
	Stage StageID // Stage is the stage of the task.
	Index int     // Index counts from 0 within the stage.
}

// String returns the task as logs show it.
func (jobtask JobTask) String() string {
	return fmt.Sprintf("%s.%d", jobtask.Stage, jobtask.Index)
}

// Advice describes the service that tells which workers may run a queue's steps.
//
//value:generate
type Advice struct {
	wanted    bool          // whether the queue's steps need advice
	base      time.Duration // the time of a call
	perWorker time.Duration // the time that each named worker adds
	validity  time.Duration // how long a ticket is valid
}

// Queue takes jobs of one kind.
//
//value:generate
type Queue struct {
	name          string        // the name of the queue
	host          string        // the host name under which callers reach it
	prefix        string        // the path under which callers reach it
	service       string        // the pool of workers that runs its tasks
	priority      int           // the priority; 0 goes first
	maxAttempts   int           // how often a task may fail
	stretch       float64       // the factor of the latency objective on the job's longest chain
	latencyTarget time.Duration // the part of the latency objective beyond the chain
	advice        Advice        // the advice that its steps need
}

// Pool is a group of workers that run the tasks of some queues.
//
//value:generate
type Pool struct {
	name             string // the name of the pool
	enforcesCapacity bool   // whether its workers refuse what does not fit
	standby          bool   // whether its machines are off
}

// RouteTable is one version of the operators' configuration.
//
//value:generate
type RouteTable struct {
	version   int64   // the version; a higher one replaces a lower one
	queues    []Queue // the queues
	pools     []Pool  // the pools
	bodyLimit int64   // the largest body of a request in bytes
}

// Queue returns the queue of a name.
func (routetable RouteTable) Queue(name string) (Queue, bool) {
	for _, queue := range routetable.queues {
		if queue.name == name {
			return queue, true
		}
	}
	return Queue{}, false
}

// Pool returns the pool of a name.
func (routetable RouteTable) Pool(name string) (Pool, bool) {
	for _, pool := range routetable.pools {
		if pool.name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// JobView is what callers see of a job.
//
//value:generate
type JobView struct {
	id      JobID    // the identity of the job
	queue   string   // the name of its queue
	state   JobState // its state
	counted bool     // whether it counts as pending while it is queued
}

// JobPublisher publishes the states of jobs for queries. Only one duty calls it.
type JobPublisher interface {
	// Publish replaces the view of a job.
	Publish(view JobView)
	// Forget removes the view of a job.
	Forget(id JobID)
	// Reset removes all views.
	Reset()
	// Refreshed records that the journal was followed to its end at a time. Complete tells that every job
	// that was accepted a moment before is among the views.
	Refreshed(at time.Time, complete bool)
}

// JobFinder reads the published states of jobs.
type JobFinder interface {
	// Find returns the view of a job.
	Find(id JobID) (JobView, bool)
	// Pending returns the number of jobs of a queue of which no task has started.
	Pending(queue string) int
	// RefreshedAt returns when the journal was last followed to its end, zero for never.
	RefreshedAt() time.Time
	// CompleteAt returns when every accepted job was last among the views, zero for never.
	CompleteAt() time.Time
}
