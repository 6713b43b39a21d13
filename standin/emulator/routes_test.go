package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

const addedQueue = "added"

// newRemovedRouteJob returns a checked simulation whose job is on a route that was removed.
func newRemovedRouteJob(t *testing.T) (*Simulation, *modelWorker, *modelJob) {
	t.Helper()
	simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
	queues := simulation.routes.Queues()
	simulation.publishRoutes(append(queues[:len(queues):len(queues)], simulation.newQueue(addedQueue, 2, 3, 0, 0))...)
	simulation.publishRoutes(queues...)
	job.spec = job.spec.WithQueue(addedQueue)
	return simulation, worker, job
}

// Guards against a check that forgets the limit of attempts of a route that was removed, or that takes the smaller one for a
// job whose identity was used on two queues.
func TestAttemptsOnRemovedRoute(t *testing.T) {
	for name, test := range map[string]struct {
		otherQueue string
		failures   int
		rules      []string
	}{
		"allowed":                    {failures: 2},
		"too many":                   {failures: 3, rules: []string{"BUDGET"}},
		"other queue allows more":    {failures: 3, otherQueue: queueUrgent},
		"too many for the other one": {failures: 4, otherQueue: queueUrgent, rules: []string{"BUDGET"}},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newRemovedRouteJob(t)
			job.otherQueue = test.otherQueue
			for run := range test.failures {
				startRun(simulation, worker, job, run+1, delivery{sentAt: simulation.now})
				worker.endRun(simulation.now, worker.runs[taskOf(job)], almondcross.EndFailed)
			}
			startRun(simulation, worker, job, test.failures+1, delivery{sentAt: simulation.now})
			runEvents(simulation, notingTime)
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against a check that misses a job on a removed route that never runs, since no caller can ask for it, or that takes
// a job for lost that has ended.
func TestJobOnRemovedRoute(t *testing.T) {
	for name, test := range map[string]struct {
		ends   []almondcross.EndKind
		change func(job *modelJob)
		rules  []string
	}{
		"never runs":                {rules: []string{"LOST"}},
		"is done":                   {ends: []almondcross.EndKind{almondcross.EndDone}},
		"has failed too often":      {ends: []almondcross.EndKind{almondcross.EndFailed, almondcross.EndFailed, almondcross.EndFailed}},
		"has attempts left":         {ends: []almondcross.EndKind{almondcross.EndFailed, almondcross.EndFailed}, rules: []string{"LOST"}},
		"is cancelled":              {change: func(job *modelJob) { job.cancelSentAt = time.Second }},
		"is not accepted":           {change: func(job *modelJob) { job.acceptedAt = 0 }},
		"was seen to be completed":  {change: func(job *modelJob) { job.finalState = almondcross.JobCompleted }},
		"is on another route":       {change: func(job *modelJob) { job.spec = job.spec.WithQueue(queueBatch) }, ends: []almondcross.EndKind{almondcross.EndDone}, rules: []string{"LOST"}},
		"is on two routes and done": {change: func(job *modelJob) { job.spec, job.otherQueue = job.spec.WithQueue(queueBatch), queueUrgent }, ends: []almondcross.EndKind{almondcross.EndDone}},
		"is on two routes":          {change: func(job *modelJob) { job.spec, job.otherQueue = job.spec.WithQueue(queueBatch), queueUrgent }, rules: []string{"LOST"}},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newRemovedRouteJob(t)
			for run, kind := range test.ends {
				startRun(simulation, worker, job, run+1, delivery{sentAt: simulation.now})
				worker.endRun(simulation.now, worker.runs[taskOf(job)], kind)
			}
			if test.change != nil {
				test.change(job)
			}
			simulation.checker.report()
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against hosts that all know a version once it is published: each reads it by itself, or gets it over its link soon after the
// scheduler has read it, and a host that can reach neither the store nor a scheduler not at all.
func TestHostsReadRoutesByThemselves(t *testing.T) {
	simulation, err := New(Config{Seed: 1, Hosts: 8, Workers: 1, JobsPerSec: 1, Retention: time.Minute})
	require.NoError(t, err)
	reads, lagging := 0, 0
	simulation.faults.storeUnreachableUntil[simulation.hosts[7]] = time.Minute
	countAt := func(at time.Duration, check func(count int)) {
		simulation.schedule(at, func() {
			count := 0
			for _, host := range simulation.hosts {
				if host.router.Version() == simulation.routes.Version() {
					count++
				}
			}
			check(count)
			reads++
		})
	}
	const versions = 5
	for version := range versions {
		published := time.Duration(5+3*version) * time.Second
		simulation.schedule(published, func() { simulation.publishRoutes(simulation.routes.Queues()...) })
		countAt(published, func(count int) { require.Zero(t, count) })
		countAt(published+100*time.Millisecond, func(count int) {
			require.Positive(t, count)
			lagging += 7 - count
		})
		countAt(published+time.Second, func(count int) { require.Equal(t, 7, count) })
	}
	simulation.end = 20 * time.Second
	simulation.Run()
	require.Equal(t, 3*versions, reads)
	require.GreaterOrEqual(t, lagging, versions, "a host or more lags behind with each version, on average")
	require.Zero(t, simulation.hosts[7].router.Version())
}

// Guards against a linked host that goes on with an old version while the store refuses it, whether it is the scheduler's host or not.
func TestHostThatTheStoreRefusesGetsRoutesOverItsLink(t *testing.T) {
	simulation, err := New(Config{Seed: 1, Hosts: 8, Workers: 1, JobsPerSec: 1, Retention: time.Minute})
	require.NoError(t, err)
	checks := 0
	for round := range 8 {
		at := time.Duration(8+5*round) * time.Second
		simulation.schedule(at, func() {
			simulation.faults.storeUnreachableUntil[simulation.hosts[round]] = at + 4*time.Second
			simulation.publishRoutes(simulation.routes.Queues()...)
		})
		simulation.schedule(at+2500*time.Millisecond, func() {
			for _, host := range simulation.hosts {
				require.Equal(t, simulation.routes.Version(), host.router.Version(), host.name)
				checks++
			}
		})
	}
	simulation.end = 50 * time.Second
	simulation.Run()
	require.Equal(t, 64, checks)
}

// Guards against a host that accepts a job on a route that it does not know.
func TestJobOnUnknownRouteIsRefused(t *testing.T) {
	simulation, _, job := newRemovedRouteJob(t)
	job.acceptedAt, job.attempts = 0, 0
	simulation.hosts[0].boot()
	simulation.hosts[0].router.Set(simulation.routes)
	simulation.submit(job, false)
	require.Equal(t, 1, job.rejections)
}

// Guards against a check that misses a start on a worker that has been of another kind for long, or that blames a start for a
// kind that the scheduler may not know yet.
func TestStartOnWorkerOfAnotherKind(t *testing.T) {
	for name, test := range map[string]struct {
		label      string
		changedFor time.Duration // changedFor is the time since the worker became another kind.
		rules      []string
	}{
		"known":         {label: kinds[0], changedFor: capacityGrace, rules: []string{"ROUTE"}},
		"not known yet": {label: kinds[0], changedFor: capacityGrace - 1},
		"new kind":      {label: kinds[1], changedFor: capacityGrace},
		"any kind":      {changedFor: capacityGrace},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, job := newCheckedSimulation(t, 20*time.Second)
			job.spec = job.spec.WithSteps([]almondcross.Step{job.spec.Steps()[0].WithLabel(test.label)})
			worker.setKind(simulation.now-test.changedFor, kinds[1], "r1-0")
			startRun(simulation, worker, job, 1, delivery{sentAt: simulation.now})
			requireRules(t, simulation, test.rules...)
		})
	}
}
