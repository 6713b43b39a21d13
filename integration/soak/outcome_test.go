package soak_test

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

const (
	// outcomeHosts is the number of hosts of a play, and failingJobs the number of jobs that are handed in at two of them.
	outcomeHosts, failingJobs = 3, 60
	addedQueue, addedPrefix   = "added", "/added/"
	addedAttempts             = 3
	// maxKillDelay is the longest time from the change of the configuration to the end of the scheduler's process.
	maxKillDelay = 2500 * time.Millisecond
	// visibleLimit is visible_ms of the platform's pages and 2 s; after it, all hosts tell the same state.
	visibleLimit = 5 * time.Second
	// outcomeTimeout is the time after the last disturbance in which all jobs end.
	outcomeTimeout = 25 * time.Second
)

var playCount = flag.Int("plays", 5, "the number of plays with hosts of two builds")

// configurationGate holds the configuration back from one host.
type configurationGate struct {
	store  http.Handler
	closed atomic.Bool
}

// ServeHTTP leaves reads of the configuration without an answer while the gate is closed, also those that were waiting before.
func (configurationgate *configurationGate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.FormValue("topic") != "keyed.op" {
		configurationgate.store.ServeHTTP(writer, request)
		return
	}
	recorder := httptest.NewRecorder()
	configurationgate.store.ServeHTTP(recorder, request)
	if configurationgate.closed.Load() {
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range recorder.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}

// outcomeDraw holds what is drawn for a play.
type outcomeDraw struct {
	place        int // place is the index of the host of the earlier build; the host at 0 is started first and becomes the scheduler.
	killDelay    time.Duration
	storeOutage  time.Duration // storeOutage begins with the end of the scheduler's process; 0 for none.
	restartDelay time.Duration
}

func drawOutcome(seed uint64) outcomeDraw {
	random := rand.New(rand.NewPCG(seed, 5))
	draw := outcomeDraw{
		place: int(seed % outcomeHosts), killDelay: time.Duration(random.Int64N(int64(maxKillDelay))),
		restartDelay: time.Duration(random.Int64N(int64(time.Second))),
	}
	if random.IntN(3) == 0 {
		draw.storeOutage = time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	}
	return draw
}

// Guards against hosts of two versions that show different states of a job for good, because one of them works out whether the
// job has failed, and against tasks that are started again without a limit.
func TestMixedVersionsShowTheSameOutcome(t *testing.T) {
	t.Parallel()
	earlier, later := buildCommit(t, *earlierCommit), buildLater(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*playCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playOutcome(t, seed, earlier, later) })
	}
}

func playOutcome(t *testing.T, seed uint64, earlier, later string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	draw, cell := drawOutcome(seed), newCell(ctx, t, seed)
	gates := cell.addGatedHosts(draw, earlier, later)
	cell.hosts[0].start()
	cell.awaitHost(cell.hosts[0])
	for _, host := range cell.hosts[1:] {
		host.start()
	}
	cell.awaitHosts()
	scheduler := cell.schedulingHost()
	t.Logf("earlier build at place %d, scheduler %d, killed after %s for %s, store away for %s", draw.place, scheduler, draw.killDelay, draw.restartDelay,
		draw.storeOutage)
	gates[scheduler].closed.Store(true)
	cell.addRoute(seed)
	killAt := time.Now().Add(draw.killDelay)
	accepted := cell.handInFailingJobs(scheduler, killAt)
	<-time.After(time.Until(killAt))
	cell.hosts[scheduler].end()
	gates[scheduler].closed.Store(false)
	for _, host := range cell.hosts {
		if draw.storeOutage > 0 {
			host.storeProxy.injectFault(ctx, blockAll, draw.storeOutage)
		}
	}
	quiet := time.Now().Add(draw.storeOutage)
	<-time.After(draw.restartDelay)
	cell.hosts[scheduler].start()
	cell.awaitHosts()
	quiet = slices.MaxFunc([]time.Time{quiet, time.Now()}, time.Time.Compare)
	cell.checkOutcomes(<-accepted, quiet)
}

// addGatedHosts adds the hosts of a play, of which one runs the earlier build, and returns their gates.
func (cell *cell) addGatedHosts(draw outcomeDraw, earlier, later string) []*configurationGate {
	var gates []*configurationGate
	for index := range outcomeHosts {
		gate, binary := &configurationGate{store: cell.store.Handler()}, later
		if index == draw.place {
			binary = earlier
		}
		cell.addHost(binary, cell.serve(gate), workerCount)
		gates = append(gates, gate)
	}
	return gates
}

// addRoute publishes a version of the configuration with a further queue.
func (cell *cell) addRoute(seed uint64) {
	route := standin.Route{Name: "q", Host: queueHost, Prefix: "/q/", Pool: poolName, MaxAttempts: 5, Stretch: 2, LatencyMS: 1000}
	added := route
	added.Name, added.Prefix, added.MaxAttempts = addedQueue, addedPrefix, addedAttempts
	configuration, err := standin.RoutesConfiguration(2, poolName, route, added)
	require.NoError(cell.t, err, seed)
	require.NoError(cell.t, cell.store.Put(cell.ctx, "keyed.op", "config", configuration))
}

// handInFailingJobs hands jobs in at the hosts that do not schedule, spread over the time until the scheduler's end, and returns
// a channel that receives those that were accepted.
func (cell *cell) handInFailingJobs(scheduler int, killAt time.Time) <-chan []*job {
	result := make(chan []*job, 1)
	random := rand.New(rand.NewPCG(cell.random.Uint64(), 6))
	step := time.Until(killAt) / failingJobs
	var group sync.WaitGroup
	var jobs []*job
	for index := range failingJobs {
		job := newJob(random)
		job.failing, job.counts = true, []int{1}
		cell.jobs.Store(job.id, job)
		jobs = append(jobs, job)
		group.Go(func() {
			<-time.After(time.Duration(index) * step)
			cell.handIn(job, cell.hosts[(scheduler+1+index%(outcomeHosts-1))%outcomeHosts])
		})
	}
	go func() {
		group.Wait()
		result <- slices.DeleteFunc(jobs, func(job *job) bool { return !job.accepted.Load() })
	}()
	return result
}

// handIn sends a job to a host until it is accepted, for as long as a caller tries. A host that does not know the added queue
// yet answers with 404.
func (cell *cell) handIn(job *job, host *host) {
	body, err := json.Marshal(map[string]any{"spec": "x", "steps": []map[string]any{{"count": 1, "cpu": job.milliCPU, "mem_mb": 10}}})
	if err != nil {
		return
	}
	for until := time.Now().Add(jobsTimeout / 5); time.Now().Before(until); <-time.After(50 * time.Millisecond) {
		if status, _ := cell.call(http.MethodPost, host.callersAddress, addedPrefix+job.id, string(body)); status == http.StatusOK {
			job.accepted.Store(true)
			return
		}
	}
}

// failsTask reports whether all runs of a task fail.
func (cell *cell) failsTask(task string) bool {
	id, _, _ := strings.Cut(task, ".")
	value, found := cell.jobs.Load(id)
	return found && value.(*job).failing //nolint:forcetypeassert // The map holds jobs only.
}

// toldState is the final state of a job that a host tells, and when it was first seen.
type toldState struct {
	state string
	at    time.Time
}

// checkOutcomes waits until all hosts tell that all jobs have failed, and fails the test if one tells it too late or tells
// another state, or if a task was started beyond its limit. The limits hold from the end of the disturbances on.
func (cell *cell) checkOutcomes(jobs []*job, quiet time.Time) {
	told := make([]map[string]toldState, outcomeHosts)
	var group sync.WaitGroup
	for index, host := range cell.hosts {
		group.Go(func() { told[index] = cell.awaitStates(host, jobs, quiet.Add(outcomeTimeout)) })
	}
	group.Wait()
	var faults []string
	latest := time.Duration(0)
	for _, job := range jobs {
		fault, delay := compareStates(job, told, quiet)
		faults, latest = append(faults, fault...), max(latest, delay)
	}
	for index, host := range cell.hosts {
		for _, job := range jobs {
			if _, body := cell.call(http.MethodGet, host.callersAddress, addedPrefix+job.id, ""); finalState(body) != "failed" {
				faults = append(faults, fmt.Sprintf("in the end, host %d tells of %s: %s", index, job.id, body))
			}
		}
	}
	faults = append(faults, cell.checker.startsBeyondLimit()...)
	cell.t.Logf("%d jobs accepted, %d faults, the last host tells a state %s after the first one", len(jobs), len(faults), latest)
	if len(faults) > 0 {
		cell.keepLogs()
	}
	require.NotEmpty(cell.t, jobs)
	require.Empty(cell.t, faults)
	require.Empty(cell.t, cell.checker.violations)
}

// awaitStates asks a host for the states of jobs until all are final or the deadline has passed.
func (cell *cell) awaitStates(host *host, jobs []*job, deadline time.Time) map[string]toldState {
	told := map[string]toldState{}
	for len(told) < len(jobs) && time.Now().Before(deadline) {
		for _, job := range jobs {
			if _, found := told[job.id]; found {
				continue
			}
			_, body := cell.call(http.MethodGet, host.callersAddress, addedPrefix+job.id, "")
			if state := finalState(body); state != "" {
				told[job.id] = toldState{state: state, at: time.Now()}
			}
		}
		<-time.After(200 * time.Millisecond)
	}
	return told
}

// finalState returns the final state in the answer to a question, empty if there is none.
func finalState(body string) string {
	for _, state := range []string{"completed", "failed", "cancelled"} {
		if strings.Contains(body, state) {
			return state
		}
	}
	return ""
}

// compareStates returns what is wrong with the states of a job that the hosts tell, and how long the last host took longer than
// the first one.
func compareStates(job *job, told []map[string]toldState, quiet time.Time) (faults []string, delay time.Duration) {
	var first, last time.Time
	for host, states := range told {
		state, found := states[job.id]
		if !found || state.state != "failed" {
			faults = append(faults, fmt.Sprintf("host %d tells of %s: %q", host, job.id, state.state))
			continue
		}
		if first.IsZero() || state.at.Before(first) {
			first = state.at
		}
		if state.at.After(last) {
			last = state.at
		}
	}
	if first.Before(quiet) {
		first = quiet
	}
	if delay = max(0, last.Sub(first)); delay > visibleLimit {
		faults = append(faults, fmt.Sprintf("the last host tells the state of %s %s after the first one", job.id, delay))
	}
	return faults, delay
}

// startsBeyondLimit returns the runs that were started after addedAttempts runs of their task had failed.
func (checker *checker) startsBeyondLimit() []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	runs := slices.SortedFunc(slices.Values(checker.runs), func(a, b *workerRun) int {
		return cmp.Or(strings.Compare(a.task, b.task), a.start.Compare(b.start))
	})
	var faults []string
	failures, task := 0, ""
	for _, run := range runs {
		if run.task != task {
			failures, task = 0, run.task
		}
		if failures >= addedAttempts {
			faults = append(faults, fmt.Sprintf("%s run %d starts after %d failures", run.task, run.run, failures))
		}
		if run.endKind == standin.KindFailed {
			failures++
		}
	}
	return faults
}

// keepLogs copies the logs of the hosts to a directory that stays.
func (cell *cell) keepLogs() {
	directory, err := os.MkdirTemp("", "soak-")
	require.NoError(cell.t, err)
	for _, host := range cell.hosts {
		source, err := os.ReadFile(host.log.Name())
		require.NoError(cell.t, err)
		require.NoError(cell.t, os.WriteFile(filepath.Join(directory, host.name+".log"), source, 0o600))
	}
	cell.t.Logf("logs: %s", directory)
}
