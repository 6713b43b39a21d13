package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

// modelJob is a job as its caller sees it, with the history of its tasks.
type modelJob struct {
	spec          almondcross.Job
	poison        bool
	long          bool // long is set if its tasks take about longRunTime.
	sentAt        time.Duration
	attempts      int
	acceptedAt    time.Duration // acceptedAt is when the caller learned that the job was stored, 0 before.
	rejections    int           // rejections counts the attempts that were certainly not stored.
	unanswered    int           // unanswered counts the attempts without a response.
	cancelledAt   time.Duration // cancelledAt is when a cancellation was acknowledged, 0 before.
	cancelSentAt  time.Duration
	started       bool // started reports whether a worker has started one of its tasks.
	finalState    almondcross.JobState
	finalAt       time.Duration
	crashingTasks map[almondcross.JobTask]bool // crashingTasks holds the tasks that crash each worker that starts them.
	crashDelay    time.Duration                // crashDelay is the time from the start of such a task to the crash.
	taskHistories map[almondcross.JobTask]*taskHistory
	runTimes      map[almondcross.JobTask]time.Duration
}

// taskHistory holds what the workers observed of a task.
type taskHistory struct {
	running          map[*modelWorker]int // running holds the run number on each worker that runs the task.
	attempts         attempts
	crashes          int // crashes counts the workers that crashed while they ran the task.
	startsInTouch    int // startsInTouch counts the starts by hosts in touch after crashBudget workers had crashed.
	done             bool
	doneAt           time.Duration
	completedRun     int  // completedRun is the number of the last run that was done.
	acknowledged     bool // acknowledged reports whether the scheduler acknowledged the end of that run.
	startedAfterDone bool // startedAfterDone reports whether the task was started again after that run.
}

// runTime returns the run time of a task on a worker with duration factor 1.
func (modeljob *modelJob) runTime(id almondcross.JobTask) time.Duration { return modeljob.runTimes[id] }

func (modeljob *modelJob) historyOf(task almondcross.JobTask) *taskHistory {
	if modeljob.taskHistories[task] == nil {
		modeljob.taskHistories[task] = &taskHistory{running: map[*modelWorker]int{}}
	}
	return modeljob.taskHistories[task]
}

// scheduleJobs creates all jobs and schedules their submissions and cancellations.
func (simulation *Simulation) scheduleJobs() {
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(simulation.random.ExpFloat64() / simulation.config.JobsPerSec * float64(time.Second))
		if at > simulation.config.SubmitTime {
			return
		}
		job := simulation.randomJob(number)
		job.sentAt = warmUp + at
		simulation.jobs[job.spec.ID()] = job
		simulation.schedule(job.sentAt, func() { simulation.submit(job, false) })
		share, span := simulation.config.CancelShare, 4*time.Second
		if job.long {
			share, span = share*longCancelFactor, longRunTime
		}
		if simulation.random.Float64() < share {
			job.cancelSentAt = job.sentAt + time.Duration(simulation.random.Int64N(int64(span)))
			simulation.schedule(job.cancelSentAt, func() { simulation.submit(job, true) })
		}
	}
}

// Long jobs: the mean run time of their tasks, and how many times as many of them are cancelled as of other jobs, most
// of them in the middle of their run.
const (
	longRunTime      = 12 * time.Second
	longCancelFactor = 12
)

func (simulation *Simulation) randomJob(number int) *modelJob {
	config := almondcross.JobConfig{ID: almondcross.JobID(fmt.Sprintf("%016x", number+1)), Payload: "work"}
	mean, spread, long := time.Duration(0), 0.4, false
	switch fraction := simulation.random.Float64(); {
	case fraction < 0.8:
		config.Queue, mean = queueUrgent, 600*time.Millisecond
		config.Steps = []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(3), 1400, 2000, simulation.random.Float64() < 0.3)}
	case fraction < 0.86:
		config.Queue, mean = queueGang, 3*time.Second
		config.Steps = []almondcross.Step{simulation.randomStep(2+simulation.random.IntN(10), 4500, 6400, true)}
	case simulation.random.Float64() < simulation.config.LongShare:
		config.Queue, mean, spread, long = queueBatch, longRunTime, 0.15, true
		config.Steps = []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(6), 1000, 1400, false).WithEstimate(longRunTime)}
	default:
		config.Queue, mean = queueBatch, 1500*time.Millisecond
		config.Steps = []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(12), 1000, 1400, false)}
		if simulation.random.Float64() < 0.4 {
			second := simulation.randomStep(1+simulation.random.IntN(6), 1000, 1400, false).WithAfter([]int{0})
			if simulation.random.Float64() < 0.2 {
				second = second.WithPerWorker(1 + simulation.random.IntN(2))
			}
			config.Steps = append(config.Steps, second)
		}
	}
	job := &modelJob{
		spec: almondcross.NewJob(config), long: long, poison: simulation.random.Float64() < simulation.config.PoisonShare,
		taskHistories: map[almondcross.JobTask]*taskHistory{}, runTimes: map[almondcross.JobTask]time.Duration{},
	}
	for number, step := range config.Steps {
		duration := time.Duration(float64(mean) * math.Exp(spread*simulation.random.NormFloat64()))
		for index := range step.Count() {
			task := almondcross.JobTask{Stage: almondcross.StageID{Job: config.ID, Step: number}, Index: index}
			job.runTimes[task] = duration
			if !step.Gang() {
				job.runTimes[task] = time.Duration(float64(duration) * (0.8 + 0.4*simulation.random.Float64()))
			}
		}
	}
	return job
}

func (simulation *Simulation) randomStep(count int, cpu, memory float64, gang bool) almondcross.Step {
	scale := 0.6 + 0.8*simulation.random.Float64()
	return almondcross.NewStep(almondcross.StepConfig{
		Count: count, Gang: gang, Checkpoints: simulation.random.Float64() < 0.5, Estimate: time.Second,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: int64(cpu * scale), MemoryMB: int64(memory * scale)}),
	})
}

// Limits and timing of the modelled callers.
const (
	maxCallerAttempts = 5
	retryDelay        = 400 * time.Millisecond
	callerTimeout     = 1500 * time.Millisecond
	statePollInterval = 1500 * time.Millisecond
)

// submit sends a job or its cancellation to a random host, which responds once it is stored. The host stores it
// itself or forwards it to the scheduler. Failed attempts are retried up to maxCallerAttempts.
func (simulation *Simulation) submit(job *modelJob, cancel bool) {
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	job.attempts++
	retry := func() {
		if job.attempts < maxCallerAttempts {
			simulation.schedule(retryDelay, func() { simulation.submit(job, cancel) })
		}
	}
	if !host.up || host.frozenUntil > simulation.now {
		job.unanswered++
		retry()
		return
	}
	submitted := job.spec.WithSubmitted(simulation.wallTime())
	if cancel {
		submitted = submitted.WithSteps(nil).WithPayload("")
	}
	intake := almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted, Cancel: cancel})
	if !cancel {
		intake = intake.WithSettings(simulation.routes.Settings(submitted.Queue()))
	}
	records, err := simulation.codec.EncodeIntake(intake)
	if err != nil {
		simulation.checker.addViolation("ENCODING", "%v", err)
		return
	}
	onStored := func() {
		switch {
		case cancel:
			job.cancelledAt = simulation.now
			simulation.observe(CancelAcknowledged)
		case job.acceptedAt == 0:
			job.acceptedAt = simulation.now
			simulation.observe(SubmissionAcknowledged)
			host.deliver(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: submitted}))
			simulation.schedule(statePollInterval, func() { simulation.pollState(job) })
			if simulation.random.Float64() < 0.05 {
				simulation.schedule(time.Duration(simulation.random.Int64N(int64(3*time.Second))), func() { simulation.resubmit(job) })
			}
		}
	}
	if schedulerHost := simulation.scheduler(); schedulerHost.machine.Leads() && simulation.random.Float64() < 0.7 {
		simulation.forwardIntake(schedulerHost, intake, onStored, func() {
			job.unanswered++
			retry()
		})
		return
	}
	host.storeCall(true, func() func() {
		_, err := simulation.store.Append(simulation.now, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
			Partition: intakePartition(host.index % intakePartitions), Records: records,
		}))
		return func() {
			if err != nil {
				job.rejections++
				retry()
				return
			}
			onStored()
		}
	}, func(error) {
		job.unanswered++
		retry()
	})
}

// forwardIntake sends an intake to the scheduler, which responds once it is in the journal. Either onStored or,
// after callerTimeout, onLost is called.
func (simulation *Simulation) forwardIntake(schedulerHost *modelHost, intake almondcross.Intake, onStored, onLost func()) {
	simulation.sequence++
	number, pending := int64(simulation.sequence), true
	finish := func(action func()) func() {
		return func() {
			if pending {
				pending = false
				delete(simulation.forwardCallbacks, number)
				action()
			}
		}
	}
	simulation.forwardCallbacks[number] = finish(onStored)
	simulation.schedule(callerTimeout, finish(onLost))
	simulation.schedule(linkDelay, func() {
		if schedulerHost.up {
			schedulerHost.deliver(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: number, Intake: intake}))
		}
	})
}

// resubmit submits an accepted job again, as a late retry does.
func (simulation *Simulation) resubmit(job *modelJob) {
	job.attempts = 0
	simulation.submit(job, false)
}

// pollState requests the state of a job from a random host, and repeats this until the state is final.
func (simulation *Simulation) pollState(job *modelJob) {
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	if host.up && host.frozenUntil <= simulation.now {
		view, knowledge := host.jobTable.Lookup(job.spec.ID(), job.spec.Queue(), simulation.wallTime())
		switch {
		case knowledge == almondcross.JobKnown:
			simulation.checker.checkReportedState(job, view.State())
		case knowledge == almondcross.JobGone && simulation.now-job.acceptedAt > 3*time.Second && simulation.disturbances.inTouch(host, simulation.now):
			simulation.checker.addViolation("LOST", "%s is not known to %s %s after it was accepted", job.spec.ID(), host.name, simulation.now-job.acceptedAt)
		}
	}
	if job.finalState == "" {
		simulation.schedule(statePollInterval, func() { simulation.pollState(job) })
	}
}
