package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

// publishQueues publishes a version of the configuration with queues, each of which has its name as prefix.
func (cell *cell) publishQueues(version int, queues ...string) {
	var routes []standin.Route
	for _, queue := range queues {
		routes = append(routes, standin.Route{Name: queue, Host: queueHost, Prefix: "/" + queue + "/", Pool: poolName, MaxAttempts: 5, Stretch: 2, LatencyMS: 1000})
	}
	configuration, err := standin.RoutesConfiguration(version, poolName, routes...)
	require.NoError(cell.t, err)
	require.NoError(cell.t, cell.store.Put(cell.ctx, "keyed.op", "config", configuration))
}

// awaitQueue waits until some hosts answer a count of a queue by a status.
func (cell *cell) awaitQueue(hosts []*host, queue string, status int) {
	for _, host := range hosts {
		require.Eventually(cell.t, func() bool {
			answered, _ := cell.call(http.MethodGet, host.callersAddress, "/"+queue+"/", "")
			return answered == status
		}, noticeTime, 20*time.Millisecond, "%s answers %d for queue %s", host.name, status, queue)
	}
}

// Guards against a host that goes on with an old version of the configuration because the store refuses it, though it is linked to hosts
// that have the newest one: it refuses the callers of an added queue, and takes jobs of a removed one.
func TestHostThatTheStoreRefusesHasTheConfigurationOfTheOthers(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startCell(ctx, t, *firstSeed)
	refused := cell.hosts[(cell.schedulingHost()+1)%hostCount]
	for round, block := range []func(){
		func() { refused.storeProxy.mode.Store(int32(blockAll)) },
		func() { refused.storeProxy.mode.Store(int32(passThrough)); refused.storeProxy.refuseConnections() },
	} {
		block()
		version, added := 2+2*round, fmt.Sprintf("added-%d", round)
		cell.publishQueues(version, "q", added)
		cell.awaitQueue(cell.hosts, added, http.StatusOK)
		job := newJob(cell.random)
		job.counts = []int{1}
		cell.jobs.Store(job.id, job)
		status, answer := cell.call(http.MethodPost, refused.callersAddress, "/"+added+"/"+job.id, `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10}]}`)
		require.Equal(t, http.StatusOK, status, answer)
		cell.publishQueues(version+1, "q")
		cell.awaitQueue(cell.hosts, added, http.StatusNotFound)
	}
}

// versionLog holds when versions of the configuration were published and when hosts were disturbed. Version N adds the queue "added-N"
// and removes the queue "removed-N".
type versionLog struct {
	mutex      sync.Mutex //nolint:forbidigo // Test code has no duties.
	published  map[int]time.Time
	newest     int
	disturbed  map[*host]time.Time // disturbed holds until when the process of a host was last killed or paused.
	violations []string
}

// lastVersion is more than a run publishes.
const lastVersion = 200

// publish publishes the next version.
func (versionlog *versionLog) publish(cell *cell) {
	versionlog.mutex.Lock()
	defer versionlog.mutex.Unlock()
	versionlog.newest++
	queues := []string{"q"}
	for version := 1; version <= lastVersion; version++ {
		if version <= versionlog.newest {
			queues = append(queues, fmt.Sprint("added-", version))
		} else {
			queues = append(queues, fmt.Sprint("removed-", version))
		}
	}
	cell.publishQueues(versionlog.newest+1, queues...)
	versionlog.published[versionlog.newest] = time.Now()
}

func (versionlog *versionLog) disturb(host *host, until time.Time) {
	versionlog.mutex.Lock()
	defer versionlog.mutex.Unlock()
	versionlog.disturbed[host] = until
}

// due returns the newest version that a host has to have, false for none.
func (versionlog *versionLog) due(host *host) (int, bool) {
	versionlog.mutex.Lock()
	defer versionlog.mutex.Unlock()
	for version := versionlog.newest; version > 0; version-- {
		if time.Since(versionlog.published[version]) > noticeTime {
			return version, time.Since(versionlog.disturbed[host]) > noticeTime
		}
	}
	return 0, false
}

// check asks a host for counts over connections that stay open, and records answers by a version that was replaced too long before.
func (versionlog *versionLog) check(ctx context.Context, cell *cell, host *host) {
	for ctx.Err() == nil {
		if version, due := versionlog.due(host); due {
			added, _ := cell.call(http.MethodGet, host.callersAddress, fmt.Sprint("/added-", version, "/"), "")
			removed, _ := cell.call(http.MethodGet, host.callersAddress, fmt.Sprint("/removed-", version, "/"), "")
			if _, still := versionlog.due(host); still && (added == http.StatusNotFound || removed == http.StatusOK) {
				versionlog.mutex.Lock()
				versionlog.violations = append(versionlog.violations, fmt.Sprintf("%s answers by a version before %d: added %d, removed %d", host.name, version, added, removed))
				versionlog.mutex.Unlock()
			}
		}
		<-time.After(50 * time.Millisecond)
	}
}

// injectFault injects one random fault of one of the hosts or of its way to the store, and describes it.
func (versionlog *versionLog) injectFault(cell *cell, hosts []*host, random *rand.Rand) string {
	host, duration := hosts[random.IntN(len(hosts))], 300*time.Millisecond+time.Duration(random.Int64N(int64(3*time.Second)))
	switch random.IntN(6) {
	case 0:
		versionlog.disturb(host, time.Now().Add(duration/4))
		host.kill(duration / 4)
		return "kill " + host.name
	case 1:
		versionlog.disturb(host, time.Now().Add(duration))
		host.pause(duration)
		return fmt.Sprintf("pause %s for %s", host.name, duration)
	case 2:
		host.storeProxy.resets.Add(1)
		return "reset connections of " + host.name
	default:
		host.storeProxy.injectFault(cell.ctx, []mode{blockAll, blockResponses, delayAll}[random.IntN(3)], duration)
		return fmt.Sprintf("store fault of %s for %s", host.name, duration)
	}
}

// Guards against hosts that answer by a version of the configuration that was replaced long before, while versions come in series, hosts
// are killed and paused, and the store does not answer one host all the while and others now and then.
func TestConfigurationSoak(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runConfigurationSoak(t, seed) })
	}
}

func runConfigurationSoak(t *testing.T, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell, random := startCell(ctx, t, seed), rand.New(rand.NewPCG(seed, 5))
	versions := &versionLog{published: map[int]time.Time{}, disturbed: map[*host]time.Time{}}
	number := random.IntN(hostCount)
	refused, others := cell.hosts[number], slices.Delete(slices.Clone(cell.hosts), number, number+1)
	refused.storeProxy.mode.Store(int32(blockAll))
	var checks sync.WaitGroup
	checkCtx, endChecks := context.WithCancel(ctx)
	for _, host := range cell.hosts {
		checks.Go(func() { versions.check(checkCtx, cell, host) })
	}
	faults := []string{"store does not answer " + refused.name}
	for until := time.Now().Add(noticeTime + *loadDuration); time.Now().Before(until); {
		versions.publish(cell)
		if random.IntN(2) == 0 {
			faults = append(faults, versions.injectFault(cell, others, random))
		}
		<-time.After(100*time.Millisecond + time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
	t.Logf("%d versions; faults: %s", versions.newest, strings.Join(faults, "; "))
	<-time.After(noticeTime)
	endChecks()
	checks.Wait()
	if len(versions.violations) > 0 {
		cell.keepLogs()
	}
	require.Empty(t, versions.violations)
	refused.storeProxy.mode.Store(int32(passThrough))
	cell.awaitQueue(cell.hosts, fmt.Sprint("added-", versions.newest), http.StatusOK)
}
