package emulator

import (
	"container/heap"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// newCheckedSimulation returns a simulation at a time with one worker, one host that is up, and one job that was
// accepted and has one task of 4 cores.
func newCheckedSimulation(t *testing.T, now time.Duration) (*Simulation, *modelWorker, *modelJob) {
	t.Helper()
	simulation, err := New(Config{Seed: 1, Hosts: 1, Workers: 1, JobsPerSec: 1, Retention: time.Minute})
	require.NoError(t, err)
	simulation.now = now
	simulation.hosts[0].up = true
	worker := simulation.workers[0]
	worker.leaseUntil = worker.clock(now) + time.Hour
	job := &modelJob{
		spec: almondcross.NewJob(almondcross.JobConfig{ID: "job", Queue: queueBatch, Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{
			Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000, MemoryMB: 1024}),
		})}}),
		sentAt: time.Second, acceptedAt: time.Second, attempts: 1,
		taskHistories: map[almondcross.JobTask]*taskHistory{}, runTimes: map[almondcross.JobTask]time.Duration{},
	}
	simulation.jobs[job.spec.ID()] = job
	return simulation, worker, job
}

func taskOf(job *modelJob) almondcross.JobTask {
	return almondcross.JobTask{Stage: almondcross.StageID{Job: job.spec.ID()}}
}

// startRun lets the worker start the job's task by an order of the only host.
func startRun(simulation *Simulation, worker *modelWorker, job *modelJob, run int, delivered delivery) {
	delivered.sender = simulation.hosts[0]
	worker.start(simulation.now, almondcross.NewStartOrder(almondcross.StartOrderConfig{
		Worker: worker.announcement, Task: taskOf(job), Run: run, Until: worker.clock(simulation.now) + 5*time.Second,
	}), delivered)
}

// runEvents runs the events of a span of time, without those of the beginning of the simulation.
func runEvents(simulation *Simulation, span time.Duration) {
	begin, until := simulation.now, simulation.now+span
	for len(simulation.events) > 0 && simulation.events[0].at <= until {
		next := heap.Pop(&simulation.events).(event) //nolint:forcetypeassert // The heap holds events only.
		if next.at >= begin {
			simulation.now = next.at
			next.run()
		}
	}
	simulation.now = until
}

func requireRules(t *testing.T, simulation *Simulation, rules ...string) {
	t.Helper()
	var found []string
	for _, violation := range simulation.checker.violations {
		rule, _, _ := strings.Cut(violation, " ")
		found = append(found, rule)
	}
	require.Equal(t, rules, found, "violations: %v", simulation.checker.violations)
}

// Guards against a check that misses a start for a cancelled job, or that blames a host for a time that the worker or
// a disturbance caused.
func TestStartForCancelledJob(t *testing.T) {
	for name, test := range map[string]struct {
		cancelledAt, disturbedUntil time.Duration
		late                        bool
		rules                       []string
	}{
		"too late":               {cancelledAt: 16900 * time.Millisecond, rules: []string{"UNASKED"}},
		"in time":                {cancelledAt: 17 * time.Second},
		"carried out late":       {cancelledAt: 16900 * time.Millisecond, late: true},
		"host not in touch":      {cancelledAt: 16900 * time.Millisecond, disturbedUntil: 17 * time.Second},
		"host in touch again":    {cancelledAt: 16900 * time.Millisecond, disturbedUntil: 16 * time.Second, rules: []string{"UNASKED"}},
		"cancellation not heard": {},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			job.cancelledAt = test.cancelledAt
			simulation.disturbances.disturbHost(simulation.hosts[0], test.disturbedUntil)
			startRun(simulation, worker, job, 1, delivery{sentAt: simulation.now, late: test.late})
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against a check that misses a run of a cancelled job that goes on, or that ignores the time after a
// disturbance and after a late start.
func TestRunOfCancelledJob(t *testing.T) {
	bound := cancelBound + stopBound
	for name, test := range map[string]struct {
		disturbedUntil time.Duration
		late           bool
		bound          time.Duration // bound is how long after the acknowledgement the run may go on.
	}{
		"calm":       {bound: bound},
		"disturbed":  {disturbedUntil: 22 * time.Second, bound: 2*time.Second + contactTime + bound},
		"late start": {late: true, bound: contactTime + bound},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			startRun(simulation, worker, job, 1, delivery{sentAt: simulation.now, late: test.late})
			job.cancelledAt = simulation.now
			simulation.disturbances.disturb(test.disturbedUntil)
			simulation.checker.checkCancelledRuns(job.cancelledAt+test.bound, worker)
			requireRules(t, simulation)
			simulation.checker.checkCancelledRuns(job.cancelledAt+test.bound+1, worker)
			simulation.checker.checkCancelledRuns(job.cancelledAt+test.bound+2, worker)
			requireRules(t, simulation, "UNASKED")
		})
	}
}

// Guards against a check that lets a task crash its workers again and again, or that counts starts by hosts out of
// touch.
func TestCrashBudget(t *testing.T) {
	simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
	job.crashingTasks = map[almondcross.JobTask]bool{taskOf(job): true}
	crash := func(run int) {
		startRun(simulation, worker, job, run, delivery{sentAt: simulation.now})
		worker.end(simulation.now, true)
		worker.boot(simulation.now)
	}
	for run := range 5 {
		crash(run + 1)
	}
	simulation.disturbances.disturbHost(simulation.hosts[0], simulation.now)
	crash(6)
	requireRules(t, simulation)
	simulation.now += contactTime
	crash(7)
	requireRules(t, simulation, "BUDGET")
}

// Guards against a job that is shown as failed after one crash, and against a planned exit that counts as a crash.
func TestJobGivenUpAfterCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		crashes, exits int
		rules          []string
	}{
		"two crashes":           {crashes: 2},
		"one crash":             {crashes: 1, rules: []string{"LOST"}},
		"one crash and an exit": {crashes: 1, exits: 1, rules: []string{"LOST"}},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			for run := range test.crashes + test.exits {
				startRun(simulation, worker, job, run+1, delivery{sentAt: simulation.now})
				worker.end(simulation.now, run < test.crashes)
				worker.boot(simulation.now)
			}
			simulation.checker.checkReportedState(job, almondcross.JobFailed)
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against a check that misses a start over a capacity that shrank long ago, or that blames a start for a
// capacity that the scheduler may not know yet.
func TestStartOverShrunkCapacity(t *testing.T) {
	for name, test := range map[string]struct {
		shrunkFor time.Duration // shrunkFor is the time since the capacity shrank.
		delivered delivery
		rules     []string
	}{
		"known":              {shrunkFor: capacityGrace, rules: []string{"LIMIT"}},
		"not known yet":      {shrunkFor: capacityGrace - 1},
		"sent while unknown": {shrunkFor: capacityGrace + time.Second, delivered: delivery{sentAt: 20*time.Second - 2*time.Second, late: true}},
		"sent when known":    {shrunkFor: capacityGrace + 2*time.Second, delivered: delivery{sentAt: 20*time.Second - 2*time.Second, late: true}, rules: []string{"LIMIT"}},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			worker.setCapacity(simulation.now-test.shrunkFor, almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 3000, MemoryMB: 2048}))
			startRun(simulation, worker, job, 1, test.delivered)
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against an announcement that outlives its worker, a reader that misses a change, and a worker whose orders
// still reach its earlier identity.
func TestAnnouncementsOfRestartedWorker(t *testing.T) {
	simulation, worker, _ := newCheckedSimulation(t, 20*time.Second)
	simulation.announce(worker)
	first := simulation.announcements.read(simulation.now, -1)
	require.Len(t, first.Changes, 1)
	simulation.crashWorker(worker, time.Second, true)
	simulation.now += announcementTimeout + 1
	worker.rename()
	worker.boot(simulation.now)
	simulation.announce(worker)
	second := simulation.announcements.read(simulation.now, first.Next)
	require.Len(t, second.Changes, 2)
	require.Equal(t, "w-000.1", second.Changes[0].ID())
	require.Equal(t, "w-000", second.Changes[1].ID())
	require.False(t, second.Changes[1].Present())
	require.Equal(t, second.Changes[0].Worker().Address(), second.Changes[1].Worker().Address())
	require.Empty(t, simulation.announcements.read(simulation.now, second.Next).Changes)
}

// Guards against a kind of fault or a moment that the random days never draw.
func TestRandomFaultsDrawEveryKind(t *testing.T) {
	kinds, drawn := map[FaultKind]bool{}, map[Moment]bool{}
	for _, fault := range RandomFaults(1, 1000, 20*time.Second) {
		kinds[fault.Kind] = true
		drawn[fault.Moment] = true
	}
	require.Len(t, kinds, len(FaultKinds()))
	require.Len(t, drawn, len(moments()))
}

// Guards against a check that misses a start after too many failed runs, or that counts failures that no scheduler
// could hear of.
func TestStartAfterFailedRuns(t *testing.T) {
	for name, test := range map[string]struct {
		disturbed, acknowledged, lapsed, crashed bool
		rules                                    []string
	}{
		"calm":                      {rules: []string{"BUDGET"}},
		"crash before it is noted":  {crashed: true},
		"disturbed":                 {disturbed: true},
		"disturbed, then noted":     {disturbed: true, acknowledged: true, rules: []string{"BUDGET"}},
		"lease expired, then noted": {disturbed: true, acknowledged: true, lapsed: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			if test.disturbed {
				simulation.disturbances.disturb(simulation.now)
			}
			for run := 1; run <= 4; run++ {
				startRun(simulation, worker, job, run, delivery{sentAt: simulation.now})
				worker.endRun(simulation.now, worker.runs[taskOf(job)], almondcross.EndFailed)
			}
			startRun(simulation, worker, job, 5, delivery{sentAt: simulation.now})
			if test.crashed {
				simulation.disturbances.disturb(simulation.now)
			}
			runEvents(simulation, notingTime)
			if test.lapsed {
				worker.leaseExpiredAt = simulation.now + 1
			}
			if test.acknowledged {
				worker.lease(simulation.now, almondcross.NewLeaseOrder(almondcross.LeaseOrderConfig{Acknowledged: 4}))
			}
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against a check that takes a job for lost whose last run is at work when the simulation ends, or that takes a run
// which stands still, is overdue or was never started for one at work.
func TestJobAtWorkIsNotLost(t *testing.T) {
	for name, test := range map[string]struct {
		change func(worker *modelWorker, run *modelRun)
		lost   bool
	}{
		"at work": {change: func(*modelWorker, *modelRun) {}},
		"stalled": {change: func(_ *modelWorker, run *modelRun) { run.stalled = true }, lost: true},
		"overdue": {change: func(_ *modelWorker, run *modelRun) { run.startedAt -= time.Minute }, lost: true},
		"no run":  {change: func(worker *modelWorker, run *modelRun) { delete(worker.runs, run.task) }, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			job.spec = job.spec.WithSteps([]almondcross.Step{almondcross.NewStep(almondcross.StepConfig{
				Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 100, MemoryMB: 64}),
			})})
			simulation.advice.allowedShare = 0
			run := &modelRun{task: taskOf(job), number: 1, job: job, step: job.spec.Steps()[0], startedAt: simulation.now, worker: worker, requiredWork: 10 * time.Second}
			worker.runs[run.task] = run
			test.change(worker, run)
			require.Equal(t, test.lost, simulation.lost(job))
		})
	}
}
