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
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxAcceptedClients is the number of clients that each submit whole jobs, one after the other on their connections.
	maxAcceptedClients = 40
	// visibleTime is the time after its acceptance from which every host must know a job.
	visibleTime = 3 * time.Second
	// payloadBytes is nearly the largest payload of a job.
	payloadBytes = 3900
	// maxSamples is the number of accepted and of refused jobs that are looked for afterwards.
	maxSamples = 20
)

// acceptedCrowd is a number of clients that send whole, legal requests, and what they were answered.
type acceptedCrowd struct {
	host     *host
	client   *http.Client
	answered [600]atomic.Int64 // answered counts the answers by status; 0 stands for a connection that has ended without one.
	endedAt  time.Time         // endedAt is when the last answer came.
	untimed  atomic.Int64      // untimed counts the refusals that do not tell when to return.
	accepted chan string       // accepted holds the first jobs that were accepted.
	refused  chan string       // refused holds the first jobs that were refused.
	identity atomic.Int64
}

func newAcceptedCrowd(host *host) *acceptedCrowd {
	return &acceptedCrowd{
		host: host, accepted: make(chan string, maxSamples), refused: make(chan string, maxSamples),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxAcceptedClients}, Timeout: sendTimeout},
	}
}

// run lets a number of clients each send a number of requests for jobs of the first queue and returns once they have.
func (crowd *acceptedCrowd) run(clients, perClient int, method string, body []byte) {
	crowd.runOn("/q/", clients, perClient, method, body)
}

// runOn is run for the queue with a prefix.
func (crowd *acceptedCrowd) runOn(prefix string, clients, perClient int, method string, body []byte) {
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for range perClient {
				crowd.send(method, prefix, fmt.Sprintf("%016x", 1<<40+crowd.identity.Add(1)), body)
			}
		})
	}
	group.Wait()
	crowd.endedAt = time.Now()
	crowd.client.CloseIdleConnections()
}

// send sends one request for a job and notes the answer.
func (crowd *acceptedCrowd) send(method, prefix, id string, body []byte) {
	ctx, cancel := context.WithTimeout(crowd.host.t.Context(), sendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+crowd.host.callersAddress+prefix+id, bytes.NewReader(body))
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
	switch response.StatusCode {
	case http.StatusOK:
		sample(crowd.accepted, id)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if response.Header.Get("Retry-After") == "" {
			crowd.untimed.Add(1)
		}
		sample(crowd.refused, id)
	}
}

// sample keeps a job unless there are enough.
func sample(samples chan<- string, id string) {
	select {
	case samples <- id:
	default:
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
	host.t.Logf("after the crowd: peak memory %.1f MB of %d", host.peakMB(), host.memoryMB)
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
	require.LessOrEqual(host.t, host.peakMB(), float64(host.memoryMB), "the memory of the host, in MB")
	require.LessOrEqual(host.t, host.mostDescriptors.Load(), int64(*descriptorLimit-descriptorReserve), "the open descriptors of the host")
}

// jobBody returns a job with a payload and a number of equal steps.
func jobBody(payload, steps int, step string, rest string) []byte {
	return fmt.Appendf(nil, `{"spec":%q,"steps":[%s]%s}`, strings.Repeat("x", payload), strings.Repeat(step+",", steps-1)+step, rest)
}

// requireAccepted checks that a host knows the jobs that the crowd was told are accepted. It may not know them before visibleTime.
func (crowd *acceptedCrowd) requireAccepted(host *host) {
	host.t.Helper()
	close(crowd.accepted)
	for id := range crowd.accepted {
		host.requireSoon("accepted job "+id, func() bool {
			status := host.call(http.MethodGet, host.callersAddress, "/q/"+id, nil)
			if time.Since(crowd.endedAt) > visibleTime {
				require.NotEqual(host.t, http.StatusGone, status, "an accepted job is lost")
			}
			return status == http.StatusOK
		})
	}
}
