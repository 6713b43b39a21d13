package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

// Guards against a process that runs out of memory, or answers nobody any more, under whole and legal requests that it accepts.
func TestAcceptedRequests(t *testing.T) {
	const task = `{"count":1,"cpu":100,"mem_mb":10}`
	for _, row := range []struct {
		name               string
		clients, perClient int
		method             string
		body               []byte
	}{
		{"steps of many tasks", maxAcceptedClients, 25, http.MethodPost, jobBody(payloadBytes, 1, `{"count":1000,"cpu":100,"mem_mb":10}`, "")},
		{"many steps", 3, 100, http.MethodPost, jobBody(payloadBytes, 990, task, "")},
		{"some steps", 20, 50, http.MethodPost, jobBody(payloadBytes, 100, task, "")},
		{"one step", maxAcceptedClients, 250, http.MethodPost, jobBody(payloadBytes, 1, task, "")},
		{"first runs far away", maxAcceptedClients, 250, http.MethodPost, jobBody(payloadBytes, 1, task, standin.ScheduleFields(1000, time.UnixMilli(2e12), time.Second))},
		{"runs that are all due", 3, 10, http.MethodPost, jobBody(payloadBytes, 1, task, standin.ScheduleFields(100_000, time.UnixMilli(1e12), 0))},
		{"cancellations of unknown jobs", maxAcceptedClients, 1000, http.MethodDelete, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			host := startHost(t)
			watchCtx, stopWatch := context.WithCancel(t.Context())
			defer stopWatch()
			go host.watch(watchCtx)
			crowd := newAcceptedCrowd(host)
			crowd.run(row.clients, row.perClient, row.method, row.body)
			host.requireSnapshot()
			crowd.requireBounds()
		})
	}
}

// Guards against a host that cannot start again, or forgets accepted jobs, after it ended with as many jobs as it accepts.
func TestRestartWithAFullState(t *testing.T) {
	host := startHost(t)
	crowd := newAcceptedCrowd(host)
	crowd.run(maxAcceptedClients, 100, http.MethodPost, jobBody(payloadBytes, 1, `{"count":10,"cpu":100,"mem_mb":10}`, ""))
	require.Positive(t, crowd.answered[http.StatusServiceUnavailable].Load(), "the state is not full")
	for range 2 {
		host.kill()
		host.start()
		host.requireSnapshot()
	}
	crowd.requireBounds()
	crowd.requireAccepted(host)
}

// Guards against a weak host that runs out of memory since it loads what a stronger one has accepted while it was away, and against
// accepted jobs that it takes for unknown because it cannot.
func TestWeakHostBesideALargeState(t *testing.T) {
	cell := startCell(t)
	strong, weak := cell.newHost(hostConfig{name: "strong", memoryMB: 4 * *memoryMB, descriptors: *descriptorLimit}),
		cell.newHost(hostConfig{name: "weak", memoryMB: *memoryMB, descriptors: *descriptorLimit})
	strong.start()
	strong.requireAnswers("alone")
	crowd := newAcceptedCrowd(strong)
	crowd.run(maxAcceptedClients, 100, http.MethodPost, jobBody(payloadBytes, 1, `{"count":1,"cpu":100,"mem_mb":10}`, ""))
	strong.requireSnapshot()
	crowd.logAnswers()
	strong.kill()
	weak.start()
	weak.requireSoon("the end of its attempt to load the state", func() bool { return weak.logs("state_too_large") || weak.logs("scheduling_started") })
	weak.requireSoon("the metrics", func() bool { return weak.call(http.MethodGet, weak.metricsAddress, "/metrics", nil) == http.StatusOK })
	require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, weak.call(http.MethodGet, weak.callersAddress, "/q/", nil))
	require.LessOrEqual(t, weak.peakMB(), float64(weak.memoryMB), "the memory of the weak host alone, in MB")
	strong.start()
	crowd.requireAccepted(weak)
	weak.requireSoon("the pending jobs", func() bool { return weak.call(http.MethodGet, weak.callersAddress, "/q/", nil) == http.StatusOK })
	weak.requireSoon("the readiness", func() bool { return weak.call(http.MethodGet, weak.readyAddress, "/ready", nil) == http.StatusOK })
	t.Logf("peak memory of the weak host %.1f MB of %d, of the strong one %.1f of %d", weak.peakMB(), weak.memoryMB, strong.peakMB(), strong.memoryMB)
	require.LessOrEqual(t, weak.peakMB(), float64(weak.memoryMB), "the memory of the weak host, in MB")
	require.LessOrEqual(t, strong.peakMB(), float64(strong.memoryMB), "the memory of the strong host, in MB")
}

// Guards against a takeover at the limit on accepted jobs that ends a host, forgets accepted jobs, or accepts beyond the limit.
func TestTakeoversWithAFullState(t *testing.T) {
	cell := startCell(t)
	hosts := make([]*host, 3)
	for index := range hosts {
		hosts[index] = cell.newHost(hostConfig{name: fmt.Sprintf("h-%d", index), memoryMB: *memoryMB, descriptors: *descriptorLimit})
		hosts[index].start()
	}
	for _, host := range hosts {
		host.requireAnswers("before the crowd")
	}
	body := jobBody(payloadBytes, 1, `{"count":10,"cpu":100,"mem_mb":10}`, "")
	var crowds []*acceptedCrowd
	for index, host := range hosts {
		crowd := newAcceptedCrowd(host)
		crowd.identity.Store(int64(index) << 32)
		crowd.run(maxAcceptedClients, 25, http.MethodPost, body)
		crowds = append(crowds, crowd)
	}
	for index, host := range hosts {
		host.kill()
		crowd := newAcceptedCrowd(hosts[(index+1)%len(hosts)])
		crowd.identity.Store(int64(index+8) << 32)
		crowd.run(maxAcceptedClients, 10, http.MethodPost, body)
		crowd.logAnswers()
		crowds = append(crowds, crowd)
		host.start()
		host.requireSoon("the pending jobs", func() bool { return host.call(http.MethodGet, host.callersAddress, "/q/", nil) == http.StatusOK })
	}
	for index, crowd := range crowds {
		crowd.requireAccepted(hosts[(index+2)%len(hosts)])
	}
	for _, host := range hosts {
		t.Logf("peak memory %.1f MB of %d", host.peakMB(), host.memoryMB)
		require.LessOrEqual(t, host.peakMB(), float64(host.memoryMB), "the memory of the host, in MB")
	}
}

// Guards against limits that hold one by one but not together: a state that two queues fill, snapshots of it, and large bodies that never
// end on all connections.
func TestAllLimitsAtOnce(t *testing.T) {
	host := startHost(t)
	body := jobBody(payloadBytes, 1, `{"count":1,"cpu":100,"mem_mb":10}`, "")
	full := newAcceptedCrowd(host)
	for range 2 {
		for _, prefix := range []string{"/q/", "/other/"} {
			full.runOn(prefix, maxAcceptedClients, *memoryMB, http.MethodPost, body)
		}
	}
	full.logAnswers()
	require.Positive(t, full.answered[http.StatusServiceUnavailable].Load(), "the state is not full")
	for _, act := range []func(client *client, index int){
		func(client *client, _ int) { client.sendWhole() }, func(client *client, _ int) { client.sendChunks(largeChunk) },
	} {
		crowd := gather(t, callersOnly(host), act)
		host.requireSnapshot()
		for name, request := range map[string]func() bool{
			"the pending jobs": func() bool { return host.call(http.MethodGet, host.callersAddress, "/q/", nil) == http.StatusOK },
			"the readiness":    func() bool { return host.call(http.MethodGet, host.readyAddress, "/ready", nil) == http.StatusOK },
			"the metrics":      func() bool { return host.call(http.MethodGet, host.metricsAddress, "/metrics", nil) == http.StatusOK },
		} {
			host.requireSoon(name+" beside the crowd", request)
		}
		crowd.dismiss()
		crowd.group.Wait()
	}
	t.Logf("peak memory %.1f MB of %d", host.peakMB(), host.memoryMB)
	require.LessOrEqual(t, host.peakMB(), float64(host.memoryMB), "the memory of the host, in MB")
}
