package soak_test

import (
	"context"
	"fmt"
	"net/http"
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
