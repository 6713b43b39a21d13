package emulator

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

// modelJob is a job as its caller sees it, with the history of its tasks.
type modelJob struct {
	spec          almondcross.Job
	key           key // key is what its caller presents.
	poison        bool
	long          bool // long is set if its tasks take about longRunTime.
	sentAt        time.Duration
	attempts      int
	acceptedAt    time.Duration // acceptedAt is when the caller learned that the job was stored, 0 before.
	rejections    int           // rejections counts the attempts that were certainly not stored.
	unanswered    int           // unanswered counts the attempts without a response.
	cancelledAt   time.Duration // cancelledAt is when a cancellation was acknowledged, 0 before.
	cancelSentAt  time.Duration
	otherQueue    string        // otherQueue is the queue on which the job's identity was also used, empty for none.
	startedAt     time.Duration // startedAt is when a worker started the first of its tasks, 0 before.
	started       bool          // started reports whether a worker has started one of its tasks.
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

// scheduleJobs draws the jobs that callers submit in a time span, on one queue or, if its name is empty, on all queues that
// are always routed, and schedules their submissions and cancellations.
func (simulation *Simulation) scheduleJobs(from, span time.Duration, perSec float64, queue string) {
	for at := simulation.nextSubmission(perSec); at <= span; at += simulation.nextSubmission(perSec) {
		job := simulation.randomJob(queue)
		job.sentAt = from + at
		simulation.jobs[job.spec.ID()] = job
		simulation.schedule(job.sentAt-simulation.now, func() { simulation.submit(job, false) })
		share, span := simulation.config.CancelShare, 4*time.Second
		if job.long {
			share, span = share*longCancelFactor, longRunTime
		}
		if simulation.random.Float64() < share {
			job.cancelSentAt = job.sentAt + time.Duration(simulation.random.Int64N(int64(span)))
			simulation.schedule(job.cancelSentAt-simulation.now, func() { simulation.submit(job, true) })
		}
	}
}

// nextSubmission draws the time between two submissions.
func (simulation *Simulation) nextSubmission(perSec float64) time.Duration {
	return time.Duration(simulation.random.ExpFloat64() / perSec * float64(time.Second))
}

// Long jobs: the mean run time of their tasks, and how many times as many of them are cancelled as of other jobs, most
// of them in the middle of their run.
const (
	longRunTime      = 12 * time.Second
	longCancelFactor = 12
)

func (simulation *Simulation) randomJob(queue string) *modelJob {
	simulation.jobCount++
	config := almondcross.JobConfig{ID: almondcross.JobID(fmt.Sprintf("%016x", simulation.jobCount)), Payload: "work"}
	mean, spread, long := time.Duration(0), 0.4, false
	switch fraction := simulation.random.Float64(); {
	case queue == "" && simulation.config.Saturated:
		var step almondcross.Step
		config.Queue, mean, step = simulation.saturatedStep()
		spread, config.Steps = 0.1, []almondcross.Step{step}
	case queue == "" && fraction < 0.8:
		config.Queue, mean = queueUrgent, 600*time.Millisecond
		config.Steps = []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(3), 1400, 2000, simulation.random.Float64() < 0.3)}
	case queue == "" && fraction < 0.86:
		config.Queue, mean = queueGang, 3*time.Second
		config.Steps = []almondcross.Step{simulation.randomStep(2+simulation.random.IntN(10), 4500, 6400, true)}
	case queue == "" && simulation.random.Float64() < simulation.config.LongShare:
		config.Queue, mean, spread, long = queueBatch, longRunTime, 0.15, true
		config.Steps = []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(6), 1000, 1400, false).WithEstimate(longRunTime)}
	default:
		config.Queue, mean = cmp.Or(queue, queueBatch), 1500*time.Millisecond
		config.Steps = simulation.randomBatchSteps()
	}
	job := &modelJob{
		spec: almondcross.NewJob(config), long: long, poison: simulation.random.Float64() < simulation.config.PoisonShare,
		taskHistories: map[almondcross.JobTask]*taskHistory{}, runTimes: map[almondcross.JobTask]time.Duration{},
	}
	simulation.drawKey(job)
	for number, step := range config.Steps {
		duration := time.Duration(float64(mean) * math.Exp(spread*simulation.random.NormFloat64()))
		for index := range step.Count() {
			task := almondcross.JobTask{Stage: almondcross.StageID{Job: config.ID, Step: number}, Index: index}
			job.runTimes[task] = duration
			if !step.Gang() {
				job.runTimes[task] = time.Duration(float64(duration) * (0.8 + 0.4*simulation.random.Float64()))
			}
		}
		simulation.makeUneven(job, number, duration)
	}
	return job
}

func (simulation *Simulation) randomBatchSteps() []almondcross.Step {
	steps := []almondcross.Step{simulation.randomStep(1+simulation.random.IntN(12), 1000, 1400, false)}
	if simulation.random.Float64() < 0.4 {
		second := simulation.randomStep(1+simulation.random.IntN(6), 1000, 1400, false).WithAfter([]int{0})
		if simulation.random.Float64() < 0.2 {
			second = second.WithPerWorker(1 + simulation.random.IntN(2))
		}
		steps = append(steps, second)
	}
	return steps
}

// kindShare is the fraction of the steps that need a worker of one kind. Gangs need none, since too few workers are allowed
// for them by kind and by advice.
const kindShare = 0.1

func (simulation *Simulation) randomStep(count int, cpu, memory float64, gang bool) almondcross.Step {
	scale, label := 0.6+0.8*simulation.random.Float64(), ""
	if !gang && simulation.random.Float64() < kindShare {
		label = kinds[simulation.random.IntN(len(kinds))]
	}
	return almondcross.NewStep(almondcross.StepConfig{
		Count: count, Gang: gang, Checkpoints: simulation.random.Float64() < 0.5, Estimate: time.Second, Label: label,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: int64(cpu * scale), MemoryMB: int64(memory * scale)}),
	})
}

// Limits and timing of the modelled callers.
const (
	maxCallerAttempts = 5
	retryDelay        = 400 * time.Millisecond
	callerTimeout     = 1500 * time.Millisecond
	statePollInterval = 1500 * time.Millisecond
	resubmitShare     = 0.05
	// elsewhereShare is the fraction of the accepted jobs whose identity is also used on another queue.
	elsewhereShare = 0.02
)

// submit sends a job or its cancellation to a random host, which responds once it is stored. Failed attempts are retried up
// to maxCallerAttempts.
func (simulation *Simulation) submit(job *modelJob, cancel bool) {
	host := simulation.hosts[simulation.random.IntN(len(simulation.hosts))]
	job.attempts++
	retry := func() {
		if job.attempts < maxCallerAttempts {
			simulation.schedule(retryDelay, func() { simulation.submit(job, cancel) })
		}
	}
	onLost := func() {
		job.unanswered++
		retry()
	}
	onRefused := func() {
		job.rejections++
		retry()
	}
	if !host.answers() {
		onLost()
		return
	}
	submitted := job.spec.WithSubmitted(simulation.wallTime())
	settings, known := host.settingsOf(submitted)
	if !known {
		onRefused()
		return
	}
	caller, err := host.identify(submitted, job.key)
	if err != nil {
		simulation.renewKey(job)
		onRefused()
		return
	}
	submitted = submitted.WithWorkspace(caller.Workspace())
	if cancel {
		submitted, settings = submitted.WithSteps(nil).WithPayload(""), almondcross.QueueSettings{}
	}
	if _, known := host.jobTable.Find(submitted.ID()); known && !cancel {
		simulation.accepted(job)
		return
	}
	host.storeIntake(almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted, Settings: settings, Cancel: cancel}), func() {
		if cancel {
			job.cancelledAt = simulation.now
			simulation.observe(CancelAcknowledged)
			return
		}
		simulation.accepted(job)
	}, onRefused, onLost)
}

// accepted handles the acknowledgement of a job. Some callers submit it again later, a few use its identity on another
// queue.
func (simulation *Simulation) accepted(job *modelJob) {
	if job.acceptedAt != 0 {
		return
	}
	job.acceptedAt = simulation.now
	simulation.acceptedJobs = append(simulation.acceptedJobs, job)
	simulation.meter.jobAccepted(job)
	simulation.observe(SubmissionAcknowledged)
	simulation.schedule(statePollInterval, func() { simulation.pollState(job) })
	simulation.cancelFromElsewhere(job)
	delay := time.Duration(simulation.random.Int64N(int64(3 * time.Second)))
	switch fraction := simulation.random.Float64(); {
	case fraction < resubmitShare:
		simulation.schedule(delay, func() { simulation.resubmit(job) })
	case fraction < resubmitShare+elsewhereShare:
		simulation.schedule(delay, func() { simulation.submitElsewhere(job) })
	}
}

// storeIntake stores an intake as a host does that takes it from a caller: the host stores it itself or forwards it to the
// scheduler. One of the functions is called with the answer to the caller, or after callerTimeout.
func (modelhost *modelHost) storeIntake(intake almondcross.Intake, onStored, onRefused, onLost func()) {
	simulation := modelhost.simulation
	stored := func() {
		if !intake.Cancel() {
			modelhost.deliver(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: intake.Job(), Settings: intake.Settings()}))
		}
	}
	limited := simulation.config.StateBytes > 0 // Hosts with a limit store only what they cannot forward.
	if schedulerHost := simulation.scheduler(); schedulerHost.machine.Leads() && (limited || simulation.random.Float64() < 0.7) {
		modelhost.forwardIntake(schedulerHost, intake, forwardAnswers{stored: onStored, refused: onRefused, lost: onLost, noted: stored})
		return
	}
	if !simulation.takeUnread(intake.Job()) {
		onRefused()
		return
	}
	records, err := simulation.codec.EncodeIntake(intake)
	if err != nil {
		simulation.checker.addViolation("ENCODING", "%v", err)
		return
	}
	modelhost.storeCall(true, func() func() {
		_, err := simulation.store.Append(simulation.now, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
			Partition: intakePartition(modelhost.index % intakePartitions), Records: records,
		}))
		return func() {
			if err != nil {
				onRefused()
				return
			}
			onStored()
			stored()
		}
	}, func(error) { onLost() })
}

// takeUnread counts a job that is stored without the scheduler's confirmation, and reports false if all hosts together have stored too many since a
// scheduler has last confirmed one.
func (simulation *Simulation) takeUnread(job almondcross.Job) bool {
	limit := simulation.config.StateBytes / 2
	if limit > 0 && simulation.unreadBytes+job.AdmissionBytes() > limit {
		return false
	}
	simulation.unreadBytes += job.AdmissionBytes()
	return true
}

// forwardAnswers are the functions that are called for a forwarded intake. One of the first three is called with the answer to the caller.
type forwardAnswers struct {
	stored, refused, lost func()
	noted                 func() // noted is called once the host takes note of a stored job.
}

// forwardIntake sends an intake to the scheduler, which responds to the host once it is in the journal. The host answers its
// caller once it is not frozen, unless the caller has given up after callerTimeout, and takes note of the job in any case.
func (modelhost *modelHost) forwardIntake(schedulerHost *modelHost, intake almondcross.Intake, answers forwardAnswers) {
	simulation := modelhost.simulation
	simulation.sequence++
	number, waiting := int64(simulation.sequence), true
	incarnation := modelhost.incarnation
	simulation.forwardCallbacks[number] = func(refused bool) {
		delete(simulation.forwardCallbacks, number)
		if modelhost.incarnation != incarnation {
			return
		}
		modelhost.runUnfrozen(func() {
			answer := answers.stored
			if refused {
				answer = answers.refused
			} else {
				simulation.unreadBytes = 0
			}
			if waiting {
				waiting = false
				answer()
			}
			if !refused {
				answers.noted()
			}
		})
	}
	simulation.schedule(callerTimeout, func() {
		if waiting {
			waiting = false
			answers.lost()
		}
	})
	simulation.schedule(linkDelay, func() {
		if schedulerHost.up && simulation.linkHold(modelhost, schedulerHost) == 0 {
			schedulerHost.deliver(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Host: modelhost.name, Number: number, Intake: intake}))
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
	if host.answers() {
		if state, known := simulation.checker.checkQuestion(host, job); known {
			simulation.checker.checkReportedState(job, state)
		}
	}
	if job.finalState == "" {
		simulation.schedule(statePollInterval, func() { simulation.pollState(job) })
	}
}
