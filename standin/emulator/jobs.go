package emulator

import (
	"fmt"
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

// modelJob is a job as its caller knows it.
type modelJob struct {
	job       almondcross.Job
	poison    bool
	sent      time.Duration
	attempts  int
	accepted  time.Duration // accepted is when the caller learned that it was stored, 0 before.
	refused   int           // refused counts the attempts that were certainly not stored.
	unknown   int           // unknown counts the attempts without an answer.
	cancelled time.Duration // cancelled is when a cancellation was acknowledged, 0 before.
	cancelAt  time.Duration
	final     almondcross.JobState
	finalAt   time.Duration
	runs      map[almondcross.JobTask]*taskHistory
	lengths   map[almondcross.JobTask]time.Duration
}

// taskHistory is what workers have seen of a task.
type taskHistory struct {
	present   map[*modelWorker]int // present holds the run that a worker has.
	failed    int
	done      bool
	doneAt    time.Duration
	finished  int  // finished is the run that was done.
	noted     bool // noted tells that the scheduler acknowledged that end.
	restarted bool // restarted tells that the task was started after that end.
}

// work returns how long a run of a task takes on a worker of middling speed.
func (modeljob *modelJob) work(task almondcross.JobTask) time.Duration { return modeljob.lengths[task] }

func (modeljob *modelJob) history(task almondcross.JobTask) *taskHistory {
	if modeljob.runs[task] == nil {
		modeljob.runs[task] = &taskHistory{present: map[*modelWorker]int{}}
	}
	return modeljob.runs[task]
}

// planJobs draws all jobs of the day.
func (day *Day) planJobs() {
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(day.random.ExpFloat64() / day.config.JobsPerSec * float64(time.Second))
		if at > day.config.Length {
			return
		}
		job := day.drawJob(number)
		job.sent = warmUp + at
		day.jobs[job.job.ID()] = job
		day.after(job.sent, func() { day.submit(job, false) })
		if day.random.Float64() < day.config.CancelShare {
			job.cancelAt = job.sent + time.Duration(day.random.Int64N(int64(4*time.Second)))
			day.after(job.cancelAt, func() { day.submit(job, true) })
		}
	}
}

func (day *Day) drawJob(number int) *modelJob {
	config := almondcross.JobConfig{ID: almondcross.JobID(fmt.Sprintf("%016x", number+1)), Payload: "work"}
	var mean time.Duration
	switch draw := day.random.Float64(); {
	case draw < 0.8:
		config.Queue, mean = queueUrgent, 600*time.Millisecond
		config.Steps = []almondcross.Step{day.drawStep(1+day.random.IntN(3), 1400, 2000, day.random.Float64() < 0.3)}
	case draw < 0.86:
		config.Queue, mean = queueGang, 3*time.Second
		config.Steps = []almondcross.Step{day.drawStep(2+day.random.IntN(10), 4500, 6400, true)}
	default:
		config.Queue, mean = queueBatch, 1500*time.Millisecond
		config.Steps = []almondcross.Step{day.drawStep(1+day.random.IntN(12), 1000, 1400, false)}
		if day.random.Float64() < 0.4 {
			second := day.drawStep(1+day.random.IntN(6), 1000, 1400, false).WithAfter([]int{0})
			if day.random.Float64() < 0.2 {
				second = second.WithPerWorker(1 + day.random.IntN(2))
			}
			config.Steps = append(config.Steps, second)
		}
	}
	job := &modelJob{
		job: almondcross.NewJob(config), poison: day.random.Float64() < day.config.PoisonShare,
		runs: map[almondcross.JobTask]*taskHistory{}, lengths: map[almondcross.JobTask]time.Duration{},
	}
	for number, step := range config.Steps {
		length := time.Duration(float64(mean) * math.Exp(0.4*day.random.NormFloat64()))
		for index := range step.Count() {
			task := almondcross.JobTask{Stage: almondcross.StageID{Job: config.ID, Step: number}, Index: index}
			job.lengths[task] = length
			if !step.Gang() {
				job.lengths[task] = time.Duration(float64(length) * (0.8 + 0.4*day.random.Float64()))
			}
		}
	}
	return job
}

func (day *Day) drawStep(count int, cpu, memory float64, gang bool) almondcross.Step {
	scale := 0.6 + 0.8*day.random.Float64()
	return almondcross.NewStep(almondcross.StepConfig{
		Count: count, Gang: gang, Checkpoints: day.random.Float64() < 0.5, Estimate: time.Second,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: int64(cpu * scale), MemoryMB: int64(memory * scale)}),
	})
}

// Figures of the modelled callers.
const (
	callerAttempts = 5
	callerPause    = 400 * time.Millisecond
	callerLimit    = 1500 * time.Millisecond
	askPause       = 1500 * time.Millisecond
)

// submit sends a job or its cancellation to some host, which stores it before it answers.
func (day *Day) submit(job *modelJob, cancel bool) {
	host := day.hosts[day.random.IntN(len(day.hosts))]
	job.attempts++
	again := func() {
		if job.attempts < callerAttempts {
			day.after(callerPause, func() { day.submit(job, cancel) })
		}
	}
	if !host.up || host.frozen > day.now {
		job.unknown++
		again()
		return
	}
	submitted := job.job.WithSubmitted(day.time())
	if cancel {
		submitted = submitted.WithSteps(nil).WithPayload("")
	}
	record, err := day.codec.EncodeIntake(almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted, Cancel: cancel}))
	if err != nil {
		day.judge.violate("ENCODING", "%v", err)
		return
	}
	stored := func() {
		switch {
		case cancel:
			job.cancelled = day.now
		case job.accepted == 0:
			job.accepted = day.now
			host.deliver(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: submitted}))
			day.after(askPause, func() { day.askState(job) })
			if day.random.Float64() < 0.05 {
				day.after(time.Duration(day.random.Int64N(int64(3*time.Second))), func() { day.submitAgain(job) })
			}
		}
	}
	if leader := day.scheduler(); leader.machine.Leads() && day.random.Float64() < 0.7 {
		day.forward(leader, almondcross.NewIntake(almondcross.IntakeConfig{Job: submitted, Cancel: cancel}), stored, func() {
			job.unknown++
			again()
		})
		return
	}
	host.storeCall(true, func() func() {
		_, err := day.store.Append(day.now, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
			Partition: intakePartition(host.index % intakeParts), Records: [][]byte{record},
		}))
		return func() {
			if err != nil {
				job.refused++
				again()
				return
			}
			stored()
		}
	}, func(error) {
		job.unknown++
		again()
	})
}

// forward hands an intake to the scheduler, which answers once it is in the journal.
func (day *Day) forward(leader *modelHost, intake almondcross.Intake, stored, lost func()) {
	day.order++
	number, open := int64(day.order), true
	finish := func(do func()) func() {
		return func() {
			if open {
				open = false
				delete(day.forwarded, number)
				do()
			}
		}
	}
	day.forwarded[number] = finish(stored)
	day.after(callerLimit, finish(lost))
	day.after(linkDelay, func() {
		if leader.up {
			leader.deliver(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: number, Intake: intake}))
		}
	})
}

// submitAgain repeats a submission that was accepted, as a late retry does.
func (day *Day) submitAgain(job *modelJob) {
	job.attempts = 0
	day.submit(job, false)
}

// askState asks some host for the state of a job until it is final.
func (day *Day) askState(job *modelJob) {
	host := day.hosts[day.random.IntN(len(day.hosts))]
	if host.up && host.frozen <= day.now {
		view, known := host.table.Find(job.job.ID())
		fresh := day.time().Sub(host.table.CompleteAt()) < callerLimit
		switch {
		case known:
			day.judge.shown(job, view.State())
		case fresh && day.now-job.accepted > 3*time.Second:
			day.judge.violate("LOST", "%s is not known to %s %s after it was accepted", job.job.ID(), host.name, day.now-job.accepted)
		}
	}
	if job.final == "" {
		day.after(askPause, func() { day.askState(job) })
	}
}
