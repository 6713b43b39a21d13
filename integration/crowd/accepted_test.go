package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// maxAcceptedClients is the number of clients that each submit whole jobs, one after the other on their connections.
	maxAcceptedClients = 40
	// payloadBytes is nearly the largest payload of a job.
	payloadBytes = 3900
	// maxSamples is the number of refused jobs that are looked for afterwards.
	maxSamples = 20
)

// acceptedCrowd is a number of clients that send whole, legal requests, and what they were answered.
type acceptedCrowd struct {
	host     *host
	client   *http.Client
	answered [600]atomic.Int64 // answered counts the answers by status; 0 stands for a connection that has ended without one.
	untimed  atomic.Int64      // untimed counts the refusals that do not tell when to return.
	refused  chan string       // refused holds the first jobs that were refused.
	identity atomic.Int64
}

func newAcceptedCrowd(host *host) *acceptedCrowd {
	return &acceptedCrowd{
		host: host, refused: make(chan string, maxSamples),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxAcceptedClients}, Timeout: sendTimeout},
	}
}

// run lets a number of clients each send a number of requests and returns once they have.
func (crowd *acceptedCrowd) run(clients, perClient int, method string, body []byte) {
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range perClient {
				crowd.send(method, fmt.Sprintf("%016x", 1<<40+crowd.identity.Add(1)), body)
			}
		})
	}
	group.Wait()
	crowd.client.CloseIdleConnections()
}

// send sends one request for a job and notes the answer.
func (crowd *acceptedCrowd) send(method, id string, body []byte) {
	ctx, cancel := context.WithTimeout(crowd.host.t.Context(), sendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+crowd.host.callersAddress+"/q/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = queueHost
	response, err := crowd.client.Do(request)
	if err != nil {
		crowd.answered[0].Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	crowd.answered[response.StatusCode].Add(1)
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return
	}
	if response.Header.Get("Retry-After") == "" {
		crowd.untimed.Add(1)
	}
	select {
	case crowd.refused <- id:
	default: // There are enough samples.
	}
}

// logAnswers logs how often each status was answered.
func (crowd *acceptedCrowd) logAnswers() {
	for status := range crowd.answered {
		if count := crowd.answered[status].Load(); count > 0 {
			crowd.host.t.Logf("answered with %d: %d", status, count)
		}
	}
}

// requireBounds checks that the host lives within its memory and descriptors, answers every kind of call, and takes an ordinary job
// of a queue that the crowd has not used.
func (crowd *acceptedCrowd) requireBounds() {
	host := crowd.host
	host.t.Helper()
	crowd.logAnswers()
	host.t.Logf("after the crowd: peak memory %.1f MB of %d", host.peakMB(), *memoryMB)
	for name, request := range map[string]func() bool{
		"the pending jobs": func() bool { return host.call(http.MethodGet, host.callersAddress, "/q/", nil) == http.StatusOK },
		"the readiness":    func() bool { return host.call(http.MethodGet, host.readyAddress, "/ready", nil) == http.StatusOK },
		"the metrics":      func() bool { return host.call(http.MethodGet, host.metricsAddress, "/metrics", nil) == http.StatusOK },
		"a job of another queue": func() bool {
			return host.submitTo("/other/", 0) == http.StatusOK
		},
	} {
		host.requireSoon(name, request)
	}
	close(crowd.refused)
	for id := range crowd.refused {
		host.requireSoon("the absence of refused job "+id, func() bool {
			return host.call(http.MethodGet, host.callersAddress, "/q/"+id, nil) == http.StatusGone
		})
	}
	require.Zero(host.t, crowd.untimed.Load(), "refusals without a time to return")
	require.LessOrEqual(host.t, host.peakMB(), float64(*memoryMB), "the memory of the host, in MB")
	require.LessOrEqual(host.t, host.mostDescriptors.Load(), int64(*descriptorLimit-descriptorReserve), "the open descriptors of the host")
}

// jobBody returns a job with a payload and a number of equal steps.
func jobBody(payload, steps int, step string, rest string) []byte {
	return fmt.Appendf(nil, `{"spec":%q,"steps":[%s]%s}`, strings.Repeat("x", payload), strings.Repeat(step+",", steps-1)+step, rest)
}

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
		{"first runs far away", maxAcceptedClients, 250, http.MethodPost, jobBody(payloadBytes, 1, task, `,"max_runs":1000,"first_run_ms":2e12,"period_ms":1000`)},
		{"runs that are all due", 3, 10, http.MethodPost, jobBody(payloadBytes, 1, task, `,"max_runs":100000,"first_run_ms":1e12,"period_ms":0`)},
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
