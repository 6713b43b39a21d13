package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

// formatOneCommit is the last landing that reads only format 1 of the journal.
const formatOneCommit = "dbe9ae2"

// Keys of the workspaces "alpha" and "beta".
const (
	firstKey, secondKey, otherKey = "soak-key-alpha-1", "soak-key-alpha-2", "soak-key-beta-1"
)

// noticeTime is how long a host may take to apply a version: the rule is 4 s; the machine of the tests may be slow.
const noticeTime = 10 * time.Second

// publishKeys publishes a version of the configuration with the keys of the two workspaces.
func (cell *cell) publishKeys(version int, alpha, beta []string) {
	route := standin.Route{Name: "q", Host: queueHost, Prefix: "/q/", Pool: poolName, MaxAttempts: 5, Stretch: 2, LatencyMS: 1000}
	configuration, err := standin.WorkspacesConfiguration(version, poolName, []standin.Workspace{{Name: "alpha", Keys: alpha}, {Name: "beta", Keys: beta}}, route)
	require.NoError(cell.t, err)
	require.NoError(cell.t, cell.store.Put(cell.ctx, "keyed.op", "config", configuration))
}

// awaitStatus waits until some hosts answer a count with a key by a status.
func (cell *cell) awaitStatus(hosts []*host, key string, status int) {
	for _, host := range hosts {
		require.Eventually(cell.t, func() bool {
			answered, _ := cell.callWith(key, http.MethodGet, host.callersAddress, "/q/", "")
			return answered == status
		}, noticeTime, 20*time.Millisecond, "%s answers %d", host.name, status)
	}
}

// statuses returns the answers of a host to a submission, a question and a cancellation of a job with a key.
func (cell *cell) statuses(host *host, key, job string) []int {
	var statuses []int
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		status, _ := cell.callWith(key, method, host.callersAddress, "/q/"+job, `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10}]}`)
		statuses = append(statuses, status)
	}
	return statuses
}

// sendKeyedJobs sends jobs with the current key for loadDuration.
func (cell *cell) sendKeyedJobs(seed uint64) chan []*job {
	sent := make(chan []*job, 1)
	go func() { sent <- cell.sendJobs(rand.New(rand.NewPCG(seed, 4)), false) }()
	return sent
}

// Guards against jobs of a workspace that are lost, run although they were refused, or shown to another workspace, while the keys of
// callers with open connections are revoked, the scheduler is killed, and the store does not answer a host; against revoked keys that such a
// host goes on to accept; against an
// invalid version that takes the place of the one in force; and against keys in the logs.
func TestWorkspacesSoak(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startCell(ctx, t, *firstSeed)
	cell.publishKeys(2, []string{firstKey, secondKey}, []string{otherKey})
	cell.awaitStatus(cell.hosts, "", http.StatusUnauthorized)
	first := firstKey
	cell.key.Store(&first)
	cell.awaitStatus(cell.hosts, first, http.StatusOK)

	held := newJob(cell.random)
	held.long, held.counts = true, []int{1}
	cell.jobs.Store(held.id, held)
	cell.submit(held, 0, 0)
	require.True(t, held.accepted.Load())
	sent := cell.sendKeyedJobs(*firstSeed)
	for _, host := range cell.hosts {
		require.Eventually(t, func() bool {
			return slices.Equal(cell.statuses(host, otherKey, held.id), []int{http.StatusConflict, http.StatusGone, http.StatusGone})
		}, noticeTime, 50*time.Millisecond, "%s hides the job", host.name)
	}
	scheduler := cell.schedulingHost()
	cell.hosts[scheduler].kill(300 * time.Millisecond)
	cell.publishKeys(3, []string{firstKey, firstKey}, nil) // It is not put in force.

	rejections := func(host *host) int {
		log, err := os.ReadFile(host.log.Name())
		require.NoError(t, err)
		return strings.Count(string(log), "routes_rejected")
	}
	for _, host := range cell.hosts {
		require.Eventually(t, func() bool { return rejections(host) > 0 }, noticeTime, 50*time.Millisecond, "%s logs the reason", host.name)
	}
	late := (scheduler + 1) % hostCount
	cell.hosts[late].storeProxy.mode.Store(int32(blockAll))
	second := secondKey
	cell.key.Store(&second)
	cell.publishKeys(4, []string{secondKey}, []string{})
	for _, key := range []string{firstKey, otherKey} {
		cell.awaitStatus(cell.hosts, key, http.StatusUnauthorized) // The host that the store does not answer gets the version over its link.
	}
	cell.hosts[late].storeProxy.mode.Store(int32(passThrough))
	for _, key := range []string{firstKey, otherKey} {
		cell.awaitStatus(cell.hosts, key, http.StatusUnauthorized)
	}
	cell.checkResults(<-sent, []string{"killed the scheduler, revoked keys"}, time.Now().Add(jobsTimeout))
	for _, host := range cell.hosts {
		for _, key := range []string{firstKey, otherKey} {
			require.Equal(t, slices.Repeat([]int{http.StatusUnauthorized}, 3), cell.statuses(host, key, held.id), "the revocation is never reverted")
		}
	}
	for _, host := range cell.hosts {
		log, err := os.ReadFile(host.log.Name())
		require.NoError(t, err)
		require.NotContains(t, string(log), "soak-key", host.name)
		require.Equal(t, 1, rejections(host), host.name)
	}
}

// Guards against hosts of format 1 that answer nobody, are elected or lose jobs beside hosts of this version in a cell with
// workspaces. Operators put workspaces in force only once all hosts know them, so such hosts join later, as after a mistake.
func TestHostsOfFormatOneBesideWorkspaces(t *testing.T) {
	t.Parallel()
	earlier := buildCommit(t, formatOneCommit)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startCell(ctx, t, *firstSeed)
	cell.publishKeys(2, []string{firstKey}, []string{otherKey})
	cell.awaitStatus(cell.hosts, "", http.StatusUnauthorized)
	first := firstKey
	cell.key.Store(&first)
	cell.awaitStatus(cell.hosts, first, http.StatusOK)
	known := newJob(cell.random)
	known.counts = []int{1}
	cell.jobs.Store(known.id, known)
	cell.submit(known, 0, 0)
	require.True(t, known.accepted.Load())
	sent := cell.sendKeyedJobs(*firstSeed)
	scheduler := cell.schedulingHost()
	for _, index := range []int{(scheduler + 1) % hostCount, scheduler} {
		cell.hosts[index].replace(earlier)
		cell.awaitHost(cell.hosts[index])
	}
	jobs := append(<-sent, known)
	cell.checkResults(jobs, []string{fmt.Sprintf("replaced %d and %d by %s", (scheduler+1)%hostCount, scheduler, formatOneCommit)}, time.Now().Add(jobsTimeout))
	require.NotEqual(t, earlier, cell.hosts[cell.schedulingHost()].binary)
	for _, host := range cell.hosts {
		status, _ := cell.call(http.MethodGet, host.callersAddress, "/q/"+known.id, "")
		require.Equal(t, http.StatusOK, status, host.name)
	}
}

// Guards against accepted jobs that are lost, and links that break, when operators put workspaces in force too early, while a host of
// format 1 schedules: it cannot read their settings in the intake, and admits the jobs without workspaces.
func TestWorkspacesUnderASchedulerOfFormatOne(t *testing.T) {
	t.Parallel()
	earlier := buildCommit(t, formatOneCommit)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := newCell(ctx, t, *firstSeed)
	storeAddress := cell.serve(cell.store.Handler())
	for index := range hostCount {
		binary := cell.binary
		if index == 0 {
			binary = earlier
		}
		host := cell.addHost(binary, storeAddress, 0)
		host.start()
		cell.awaitHost(host) // The first one has been elected by then.
	}
	require.Zero(t, cell.schedulingHost())
	cell.publishKeys(2, []string{firstKey}, []string{otherKey})
	cell.awaitStatus(cell.hosts[1:], "", http.StatusUnauthorized)
	first := firstKey
	cell.key.Store(&first)
	cell.awaitStatus(cell.hosts, first, http.StatusOK)
	if cell.schedulingHost() != 0 {
		t.Log("a host of this version schedules: the machine was slow")
	}
	before := cell.sendJobsFor(*loadDuration/2, rand.New(rand.NewPCG(*firstSeed, 4)), false)
	log, err := os.ReadFile(cell.hosts[0].log.Name())
	require.NoError(t, err)
	for line := range strings.Lines(string(log)) {
		require.False(t, strings.Contains(line, "link_closed") && strings.Contains(line, "cannot be decoded"), line)
	}
	cell.hosts[0].replace(cell.binary)
	after := cell.sendJobsFor(*loadDuration/2, rand.New(rand.NewPCG(*firstSeed, 5)), false)
	cell.checkResults(append(before, after...), []string{"replaced the scheduler of " + formatOneCommit}, time.Now().Add(jobsTimeout))
}
