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
	// attemptLimit is the time after which a caller asks another host. The wait that it asks for is
	// longer, since a call is not started after that wait and a key may be held back for 13 s.
	attemptLimit = 5 * time.Second
	requestWait  = 20 * time.Second
	retryGap     = 300 * time.Millisecond
)

// order is one request of a caller.
type order struct {
	key, entry string
	runMS      int
	issuedAt   time.Time
}

func (order order) repeatable() bool { return order.entry != "payment" }

func (order order) expected() string { return "answer of " + order.key }

// result is the last answer to an order.
type result struct {
	answer
	order order
}

// attempt sends an order to a host once and records what came back.
func (cell *cell) attempt(ctx context.Context, host *process, order order, retry bool) answer {
	record := answer{
		Key: order.key, Entry: order.entry, Host: host.name, Repeatable: order.repeatable(),
		Expected: order.expected(), Sent: time.Now(),
	}
	body := encoder.RequestBody{
		Entry: order.entry, Key: order.key, Origin: dataCentre, IssuedAt: &order.issuedAt, Retry: retry,
		Timeout: encoder.Duration(requestWait), Payload: fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, order.runMS, order.expected()),
	}
	content, err := post(ctx, host.address, body)
	record.Told = time.Now()
	if err != nil {
		var operation *net.OpError
		record.Refused = errors.As(err, &operation) && operation.Op == "dial"
		record.Abandoned = ctx.Err() != nil
		record.Err = err.Error()
	} else {
		var shape encoder.OutcomeShape
		if err := json.Unmarshal(content, &shape); err != nil {
			record.Err = err.Error()
		}
		record.Status, record.Code, record.ToldKey = shape.Status, shape.Code, shape.Key
		record.Answer, record.Target = string(shape.Answer), shape.Target
	}
	cell.answers <- record
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

// isFinal reports whether a caller need not ask again.
func (answer answer) isFinal() bool {
	switch answer.Status {
	case almondcross.StatusDone, almondcross.StatusFailed, almondcross.StatusNotRun:
		return true
	}
	return false
}

// insist sends an order to the hosts that pick returns until an answer is final or the context ends.
func (cell *cell) insist(ctx context.Context, order order, limit time.Duration, pick func(try int) *process) result {
	for try := 0; ; try++ {
		// A caller gives up on a host that does not answer, such as a paused one, and asks another.
		attempt, cancel := context.WithTimeout(ctx, limit)
		last := cell.attempt(attempt, pick(try), order, try > 0)
		cancel()
		if last.isFinal() || ctx.Err() != nil {
			return result{answer: last, order: order}
		}
		gap := time.NewTimer(retryGap)
		select {
		case <-gap.C:
		case <-ctx.Done():
			gap.Stop()
			return result{answer: last, order: order}
		}
	}
}

// traffic describes the load of a scenario.
type traffic struct {
	prefix    string
	gap       time.Duration // gap is the mean time between two requests.
	payments  int           // payments is the share of non-repeatable requests in percent.
	longMS    int           // longMS is the run time of long requests.
	longShare int           // longShare is the share of long requests in percent.
	patience  time.Duration // patience is the time for which callers ask again after the end of the load.
	limit     time.Duration // limit is the time of one attempt, 0 for attemptLimit.
	pick      func(number, try int) *process
}

// flow is a load that runs until it is ended.
type flow struct {
	stop     context.CancelFunc
	giveUp   context.CancelFunc
	patience time.Duration
	results  chan []result
}

// end stops new requests, waits for the callers and returns the last answer of each request.
func (flow flow) end() []result {
	flow.stop()
	patience := time.AfterFunc(flow.patience, flow.giveUp)
	defer patience.Stop()
	return <-flow.results
}

// send starts a load in the background; its draws come from the seed of the cell.
func (cell *cell) send(traffic traffic) flow {
	ctx, stop := context.WithCancel(context.Background())
	callersContext, giveUp := context.WithCancel(context.Background())
	cell.t.Cleanup(giveUp)
	random := rand.New(rand.NewPCG(cell.seed, 2))
	results := make(chan []result, 1)
	go func() {
		answers := make(chan result, recordLimit)
		var callers sync.WaitGroup
		timer := time.NewTimer(0)
		defer timer.Stop()
		for number := 0; ctx.Err() == nil; number++ {
			select {
			case <-ctx.Done():
				continue
			case <-timer.C:
			}
			order := order{
				key: fmt.Sprintf("%s-%d", traffic.prefix, number), entry: "lookup", runMS: 5 + random.IntN(40), issuedAt: time.Now(),
			}
			if random.IntN(100) < traffic.payments {
				order.entry = "payment"
			}
			if random.IntN(100) < traffic.longShare {
				order.runMS = traffic.longMS
			}
			limit := cmp.Or(traffic.limit, attemptLimit)
			callers.Go(func() {
				answers <- cell.insist(callersContext, order, limit, func(try int) *process { return traffic.pick(number, try) })
			})
			timer.Reset(time.Duration(random.Int64N(int64(2 * traffic.gap))))
		}
		callers.Wait()
		close(answers)
		var all []result
		for answer := range answers {
			all = append(all, answer)
		}
		results <- all
	}()
	return flow{stop: stop, giveUp: giveUp, patience: traffic.patience, results: results}
}

// roundRobin sends each try of a request to the next host.
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
