package process_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

const (
	// attemptTimeout is the time after which a caller tries another host. The timeout in the request is
	// longer, because a task is not started after that timeout and a key may be held back for 13 s.
	attemptTimeout = 5 * time.Second
	requestTimeout = 20 * time.Second
	retryDelay     = 300 * time.Millisecond
)

// request is one request of a caller.
type request struct {
	key, entry string
	runMS      int
	issuedAt   time.Time
}

func (request request) repeatable() bool { return request.entry != "payment" }

func (request request) expected() string { return "answer of " + request.key }

// result is the last attempt of a request.
type result struct {
	attempt
	request request
}

// sendOnce sends a request to a host once and records the response or the error.
func (cell *cell) sendOnce(ctx context.Context, host *process, request request, retry bool) attempt {
	record := attempt{
		Key: request.key, Entry: request.entry, Host: host.name, Repeatable: request.repeatable(),
		Expected: request.expected(), Sent: time.Now(),
	}
	body := encoder.RequestBody{
		Entry: request.entry, Key: request.key, Origin: dataCentre, IssuedAt: &request.issuedAt, Retry: retry,
		Timeout: encoder.Duration(requestTimeout), Payload: fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, request.runMS, request.expected()),
	}
	content, err := post(ctx, host.address, body)
	record.Received = time.Now()
	if err != nil {
		var operation *net.OpError
		record.Refused = errors.As(err, &operation) && operation.Op == "dial"
		record.Abandoned = ctx.Err() != nil
		record.Err = err.Error()
	} else {
		var outcome encoder.OutcomeJSON
		if err := json.Unmarshal(content, &outcome); err != nil {
			record.Err = err.Error()
		}
		record.Status, record.Code, record.ReceivedKey = outcome.Status, outcome.Code, outcome.Key
		record.Answer, record.Target = string(outcome.Answer), outcome.Target
	}
	cell.attempts <- record
	return record
}

func post(ctx context.Context, address string, body encoder.RequestBody) ([]byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/requests", bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerToken)
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// isFinal reports whether the status is final, so that the caller need not retry.
func (attempt attempt) isFinal() bool {
	switch attempt.Status {
	case almondcross.StatusDone, almondcross.StatusFailed, almondcross.StatusNotRun:
		return true
	}
	return false
}

// sendUntilFinal sends a request to the hosts that pick returns until its status is final or the context
// ends. Each attempt has the given timeout.
func (cell *cell) sendUntilFinal(ctx context.Context, request request, timeout time.Duration, pick func(try int) *process) result {
	for try := 0; ; try++ {
		// A caller gives up on a host that does not respond, such as a paused one, and tries the next one.
		attemptContext, cancel := context.WithTimeout(ctx, timeout)
		last := cell.sendOnce(attemptContext, pick(try), request, try > 0)
		cancel()
		if last.isFinal() || ctx.Err() != nil {
			return result{attempt: last, request: request}
		}
		timer := time.NewTimer(retryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result{attempt: last, request: request}
		}
	}
}

// loadConfig describes the load of a scenario.
type loadConfig struct {
	prefix         string
	interval       time.Duration // interval is the mean time between two requests.
	paymentPercent int           // paymentPercent is the percentage of non-repeatable requests.
	longMS         int           // longMS is the run time of long requests in ms.
	longPercent    int           // longPercent is the percentage of long requests.
	drainTime      time.Duration // drainTime is the time for which callers retry after the load has stopped.
	attemptTimeout time.Duration // attemptTimeout limits one attempt; 0 means the constant of the same name.
	pick           func(number, try int) *process
}

// load is a load of requests that runs in the background until end is called.
type load struct {
	stopSending   context.CancelFunc
	cancelCallers context.CancelFunc
	drainTime     time.Duration
	results       chan []result
}

// end stops new requests, waits for the callers for at most drainTime and returns the result of each request.
func (load load) end() []result {
	load.stopSending()
	timer := time.AfterFunc(load.drainTime, load.cancelCallers)
	defer timer.Stop()
	return <-load.results
}

// startLoad starts a load in the background; its random values come from the cell's seed.
func (cell *cell) startLoad(config loadConfig) load {
	ctx, stopSending := context.WithCancel(context.Background())
	callersContext, cancelCallers := context.WithCancel(context.Background())
	cell.t.Cleanup(cancelCallers)
	random := rand.New(rand.NewPCG(cell.seed, 2))
	results := make(chan []result, 1)
	go func() {
		finalResults := make(chan result, recordCapacity)
		var callers sync.WaitGroup
		timer := time.NewTimer(0)
		defer timer.Stop()
		for number := 0; ctx.Err() == nil; number++ {
			select {
			case <-ctx.Done():
				continue
			case <-timer.C:
			}
			request := request{
				key: fmt.Sprintf("%s-%d", config.prefix, number), entry: "lookup", runMS: 5 + random.IntN(40), issuedAt: time.Now(),
			}
			if random.IntN(100) < config.paymentPercent {
				request.entry = "payment"
			}
			if random.IntN(100) < config.longPercent {
				request.runMS = config.longMS
			}
			timeout := cmp.Or(config.attemptTimeout, attemptTimeout)
			callers.Go(func() {
				finalResults <- cell.sendUntilFinal(callersContext, request, timeout, func(try int) *process { return config.pick(number, try) })
			})
			timer.Reset(time.Duration(random.Int64N(int64(2 * config.interval))))
		}
		callers.Wait()
		close(finalResults)
		var collected []result
		for result := range finalResults {
			collected = append(collected, result)
		}
		results <- collected
	}()
	return load{stopSending: stopSending, cancelCallers: cancelCallers, drainTime: config.drainTime, results: results}
}

// roundRobin picks the next host for each attempt of a request.
func (cell *cell) roundRobin(number, try int) *process {
	return cell.hosts[(number+try)%len(cell.hosts)]
}

// balancer sends requests to ready hosts only, as the platform's load balancer does.
type balancer struct {
	cell  *cell
	ready []atomic.Bool
}

// newBalancer polls the readiness of every host until the context ends.
func newBalancer(ctx context.Context, cell *cell) *balancer {
	balancer := &balancer{cell: cell, ready: make([]atomic.Bool, len(cell.hosts))}
	for index, host := range cell.hosts {
		balancer.ready[index].Store(true)
		go func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for {
				balancer.ready[index].Store(host.isReady(ctx))
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	return balancer
}

func (balancer *balancer) pick(number, try int) *process {
	count := len(balancer.cell.hosts)
	for offset := range count {
		if index := (number + try + offset) % count; balancer.ready[index].Load() {
			return balancer.cell.hosts[index]
		}
	}
	return balancer.cell.hosts[(number+try)%count]
}
