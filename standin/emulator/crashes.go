package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Timing of workers that crash by their tasks.
const (
	shortCrashDelay    = 10 * time.Millisecond
	maxCrashDelay      = 2 * time.Second
	crashDowntime      = 3 * time.Second
	crashDowntimeRange = time.Second // crashDowntimeRange is the range of the downtime around crashDowntime.
	// newIdentityShare is the fraction of workers that restart under another identity.
	newIdentityShare = 0.75
	// crashingJobShare scales the share of a fault to the share of the jobs that crash workers.
	crashingJobShare = 0.5
)

// addCrashingTasks makes a share of the jobs of one queue that are submitted during a fault crash their workers, by
// one of their tasks or by all tasks of one step.
func (simulation *Simulation) addCrashingTasks(fault Fault, until time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(simulation.jobs)) {
		job := simulation.jobs[id]
		if job.spec.Queue() != fault.Queue || job.sentAt < simulation.now || job.sentAt >= until || simulation.random.Float64() >= crashingJobShare*fault.Share {
			continue
		}
		number := simulation.random.IntN(len(job.spec.Steps()))
		count, first := job.spec.Steps()[number].Count(), 0
		if simulation.random.IntN(2) == 0 {
			first = simulation.random.IntN(count)
			count = 1
		}
		job.crashDelay, job.crashingTasks = fault.CrashDelay, map[almondcross.JobTask]bool{}
		for index := first; index < first+count; index++ {
			job.crashingTasks[almondcross.JobTask{Stage: almondcross.StageID{Job: id, Step: number}, Index: index}] = true
		}
	}
}

// scheduleCrash schedules the crash of the worker of a run whose task crashes workers, before the run would end.
func (simulation *Simulation) scheduleCrash(worker *modelWorker, run *modelRun) {
	if !run.job.crashingTasks[run.task] {
		return
	}
	simulation.schedule(min(run.job.crashDelay, run.requiredWork*4/5), func() {
		if !worker.up || worker.runs[run.task] != run {
			return
		}
		random := simulation.randomFor("crash", worker.id, run.task, run.number)
		downtime := crashDowntime - crashDowntimeRange/2 + randomDuration(random, crashDowntimeRange)
		simulation.disturbances.disturb(simulation.now + downtime)
		simulation.crashWorker(worker, downtime, random.Float64() < newIdentityShare)
	})
}

// crashWorker crashes a worker, which restarts after its downtime.
func (simulation *Simulation) crashWorker(worker *modelWorker, downtime time.Duration, newIdentity bool) {
	simulation.endWorker(worker, downtime, newIdentity, true)
}

// endWorker ends a worker by a crash or, after draining, by a planned exit. It restarts after its downtime.
func (simulation *Simulation) endWorker(worker *modelWorker, downtime time.Duration, newIdentity, crashed bool) {
	if !worker.up {
		return
	}
	worker.crashedSilently = false
	worker.advance(simulation.now)
	worker.end(simulation.now, crashed)
	if !crashed {
		simulation.announcements.write(simulation.now, worker.announcement, false)
	}
	simulation.schedule(downtime, func() {
		if worker.up {
			return
		}
		if newIdentity {
			worker.rename()
		}
		worker.boot(simulation.now)
		simulation.announce(worker)
	})
}
