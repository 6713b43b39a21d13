package emulator

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// newAskedHost returns the host of a checked simulation, which has read the routes, and a job that was accepted 10 s ago.
func newAskedHost(t *testing.T) (*Simulation, *modelHost, *modelJob) {
	t.Helper()
	simulation, _, job := newCheckedSimulation(t, 20*time.Second)
	simulation.events = nil // The hosts do not start again.
	host := simulation.hosts[0]
	host.boot()
	host.router.Set(simulation.routes)
	job.spec = job.spec.WithID("00000000000000aa")
	job.acceptedAt = 10 * time.Second
	simulation.jobs = map[almondcross.JobID]*modelJob{job.spec.ID(): job}
	return simulation, host, job
}

// Guards against a check that misses the count of a host in touch that has loaded an old state, or that blames a host for
// an answer that it did not give or for a time in which it was disturbed.
func TestCountOfWaitingJobs(t *testing.T) {
	for name, test := range map[string]struct {
		change      func(simulation *Simulation, host *modelHost, job *modelJob)
		stale       bool // stale is set if the views of the host are of an unknown age, so that it answers that it cannot tell.
		rules       []string
		unavailable int
	}{
		"in touch, views reset": {change: func(*Simulation, *modelHost, *modelJob) {}, rules: []string{"MIXED"}},
		"known": {change: func(_ *Simulation, host *modelHost, job *modelJob) {
			host.jobTable.Publish(almondcross.NewJobView(almondcross.JobViewConfig{ID: job.spec.ID(), Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: job.spec.Queue()}), State: almondcross.JobQueued, CountsAsPending: true}))
		}},
		"accepted lately": {change: func(simulation *Simulation, _ *modelHost, job *modelJob) {
			job.acceptedAt = simulation.now - pendingAge
		}},
		"started":         {change: func(_ *Simulation, _ *modelHost, job *modelJob) { job.started = true }},
		"cancelled":       {change: func(simulation *Simulation, _ *modelHost, job *modelJob) { job.cancelSentAt = simulation.now }},
		"other queue":     {change: func(_ *Simulation, _ *modelHost, job *modelJob) { job.otherQueue = queueUrgent }},
		"in touch, stale": {change: func(*Simulation, *modelHost, *modelJob) {}, stale: true, unavailable: 3},
		"disturbed, views reset": {change: func(simulation *Simulation, host *modelHost, _ *modelJob) {
			simulation.disturbances.disturbHost(host, simulation.now)
		}, stale: true, unavailable: 3},
		"disturbed, views fresh": {change: func(simulation *Simulation, host *modelHost, _ *modelJob) {
			simulation.disturbances.disturbHost(host, simulation.now)
		}, rules: []string{"MIXED"}},
		"frozen":    {change: func(simulation *Simulation, host *modelHost, _ *modelJob) { host.frozenUntil = simulation.now + 1 }},
		"no routes": {change: func(_ *Simulation, host *modelHost, _ *modelJob) { host.boot() }, unavailable: 3},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, host, job := newAskedHost(t)
			if !test.stale {
				host.jobTable.Refreshed(simulation.wallTime(), true)
			}
			test.change(simulation, host, job)
			simulation.checker.checkPendingCounts()
			requireRules(t, simulation, test.rules...)
			require.Equal(t, test.unavailable, simulation.checker.report().Unavailable)
		})
	}
}

// Guards against a check that misses an accepted job that a host in touch answers as gone, or that blames a host for a job
// that it need not know yet.
func TestAcceptedJobAnsweredAsGone(t *testing.T) {
	for name, test := range map[string]struct {
		acceptedAgo time.Duration
		stale       bool // stale is set if the views of the host are too old to say that a job is gone.
		change      func(simulation *Simulation, host *modelHost, job *modelJob)
		rules       []string
	}{
		"gone":            {acceptedAgo: visibleTime + 1, rules: []string{"LOST"}},
		"not visible yet": {acceptedAgo: visibleTime},
		"stale":           {acceptedAgo: visibleTime + 1, stale: true},
		"disturbed": {acceptedAgo: visibleTime + 1, change: func(simulation *Simulation, host *modelHost, _ *modelJob) {
			simulation.disturbances.disturbHost(host, simulation.now)
		}},
		"store disturbed": {acceptedAgo: visibleTime + 1, change: func(simulation *Simulation, _ *modelHost, _ *modelJob) {
			simulation.disturbances.disturbStore(simulation.now)
		}},
		"other queue": {acceptedAgo: visibleTime + 1, change: func(_ *Simulation, _ *modelHost, job *modelJob) { job.otherQueue = queueUrgent }},
		"route removed": {acceptedAgo: visibleTime + 1, change: func(simulation *Simulation, host *modelHost, _ *modelJob) {
			simulation.publishRoutes()
			host.router.Set(simulation.routes)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, host, job := newAskedHost(t)
			job.acceptedAt = simulation.now - test.acceptedAgo
			if !test.stale {
				host.jobTable.Refreshed(simulation.wallTime(), true)
			}
			if test.change != nil {
				test.change(simulation, host, job)
			}
			_, known := simulation.checker.checkQuestion(host, job)
			require.False(t, known)
			requireRules(t, simulation, test.rules...)
		})
	}
}

// Guards against questions that are asked of one host only, or of none.
func TestEveryHostIsAskedForAcceptedJobs(t *testing.T) {
	simulation, host, job := newAskedHost(t)
	second := &modelHost{simulation: simulation, name: "host-1"}
	simulation.hosts = append(simulation.hosts, second)
	second.boot()
	second.router.Set(simulation.routes)
	for _, host := range simulation.hosts {
		host.jobTable.Refreshed(simulation.wallTime(), true)
	}
	host.jobTable.Publish(almondcross.NewJobView(almondcross.JobViewConfig{ID: job.spec.ID(), Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: job.spec.Queue()})}))
	simulation.acceptedJobs = []*modelJob{job}
	simulation.checker.checkQuestions()
	requireRules(t, simulation, "LOST", "LOST", "LOST", "LOST")
	require.Contains(t, simulation.checker.violations[0], "host-1")
}

// Guards against a negative count that is taken for an answer, or that is reported with each question.
func TestNegativeCountIsReportedOnce(t *testing.T) {
	simulation, host, job := newAskedHost(t)
	job.started = true
	host.questions = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_, _ = writer.Write([]byte(`{"count": -1}`))
	})
	simulation.checker.checkPendingCounts()
	requireRules(t, simulation, "MIXED", "MIXED", "MIXED") // One for each queue.
	simulation.checker.checkPendingCounts()
	requireRules(t, simulation, "MIXED", "MIXED", "MIXED")
}

// Guards against an answer without a count that is taken for a count of zero.
func TestAnswerWithoutCount(t *testing.T) {
	simulation, host, _ := newAskedHost(t)
	host.questions = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_, _ = writer.Write([]byte(`{}`))
	})
	_, answered := host.askCount(queueBatch)
	require.False(t, answered)
	requireRules(t, simulation, "ENCODING")
}

// Guards against a host that reads a long journal at once, and in no time.
func TestJournalIsReadInPages(t *testing.T) {
	records := almondcross.NewStoreRecords(almondcross.StoreRecordsConfig{Records: [][]byte{make([]byte, readPage-1), make([]byte, 2), make([]byte, 3)}})
	page, size := firstPage(records)
	require.Len(t, page.Records(), 2)
	require.Equal(t, readPage+1, size)
	_, size = firstPage(almondcross.StoreRecords{})
	require.Zero(t, size)
	require.Equal(t, 100*time.Millisecond, (&modelHost{index: 2}).transferTime(100_000))
}

// Guards against a check that misses a host in touch that tells another state than the final one for good, or that blames a host
// that cannot know it yet, was disturbed, tells the same, or gives no answer.
func TestHostsTellTheSameFinalState(t *testing.T) {
	for name, test := range map[string]struct {
		state, final almondcross.JobState
		age          time.Duration
		disturbed    bool
		rules        []string
	}{
		"another state, old":   {state: almondcross.JobRunning, final: almondcross.JobFailed, age: agreementTime, rules: []string{"MIXED"}},
		"another final state":  {state: almondcross.JobCancelled, final: almondcross.JobFailed, age: agreementTime, rules: []string{"MIXED"}},
		"another state, young": {state: almondcross.JobRunning, final: almondcross.JobFailed, age: agreementTime - 1},
		"disturbed":            {state: almondcross.JobRunning, final: almondcross.JobFailed, age: agreementTime, disturbed: true},
		"the same state":       {state: almondcross.JobFailed, final: almondcross.JobFailed, age: agreementTime},
		"no final state":       {state: almondcross.JobRunning, age: agreementTime},
		"no answer":            {final: almondcross.JobFailed, age: agreementTime},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, host, job := newAskedHost(t)
			job.finalState, job.finalAt = test.final, simulation.now-test.age
			if test.disturbed {
				simulation.disturbances.disturbHost(host, simulation.now)
			}
			simulation.checker.checkAgreement(host, job, test.state, test.state != "")
			requireRules(t, simulation, test.rules...)
		})
	}
}
