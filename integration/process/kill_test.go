package process_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// started reports whether a worker's history has a start of the key.
func (cell *cell) started(key string) bool {
	for _, worker := range cell.workers {
		var page encoder.WorkerHistory
		if cell.get(worker.address, "/v1/history", &page) != nil {
			return false
		}
		for _, entry := range page.Entries {
			if entry.Kind == encoder.WorkerStarted && entry.Task.Name == key {
				return true
			}
		}
	}
	return false
}

// TestKilledHost guards against a second run and a wrong or missing answer when an entry host is
// killed between dispatch and answer and the callers repeat their keys at the other hosts.
func TestKilledHost(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	flow := cell.send(traffic{
		prefix: "kill", gap: 15 * time.Millisecond, payments: 20, longMS: 2500, longShare: 5, patience: 18 * time.Second, pick: cell.roundRobin,
	})
	// Each round has two probes in flight that were dispatched before the kill.
	var probes []chan result
	for _, round := range []struct{ lookup, payment string }{{"probe-lookup-1", "probe-payment-1"}, {"probe-lookup-2", "probe-payment-2"}} {
		victim := cell.random.IntN(len(cell.hosts))
		for _, probe := range []order{
			{key: round.lookup, entry: "lookup", runMS: 1500, issuedAt: time.Now()},
			{key: round.payment, entry: "payment", runMS: 1500, issuedAt: time.Now()},
		} {
			done := make(chan result, 1)
			probes = append(probes, done)
			go func() {
				patience, cancel := context.WithTimeout(context.Background(), 25*time.Second)
				defer cancel()
				done <- cell.insist(patience, probe, attemptLimit, func(try int) *process { return cell.hosts[(victim+try)%len(cell.hosts)] })
			}()
		}
		eventually(t, 5*time.Second, "the probes run", func() bool { return cell.started(round.lookup) && cell.started(round.payment) })
		cell.hosts[victim].kill()
		cell.injected["SIGKILL of a host"]++
		<-time.After(2500 * time.Millisecond)
		cell.hosts[victim].start()
		cell.awaitReady(cell.hosts[victim])
	}
	results := flow.end()
	for _, probe := range probes {
		results = append(results, <-probe)
	}
	cell.requireFinal(cell.verify(results), results)
}

// TestAnswerOutlivesCoordinator guards against the loss of an answer: payments end at their workers
// right after the kill of a host that coordinates some of them, and the callers ask the others.
func TestAnswerOutlivesCoordinator(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	var results []result
	answers := make(chan result, recordLimit)
	const count = 12
	for number := range count {
		payment := order{key: fmt.Sprintf("outlive-%d", number), entry: "payment", runMS: 1500, issuedAt: time.Now()}
		go func() {
			patience, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			answers <- cell.insist(patience, payment, attemptLimit, func(try int) *process { return cell.hosts[(number+try)%len(cell.hosts)] })
		}()
	}
	eventually(t, 5*time.Second, "the payments run", func() bool {
		for number := range count {
			if !cell.started(fmt.Sprintf("outlive-%d", number)) {
				return false
			}
		}
		return true
	})
	cell.hosts[0].kill()
	cell.injected["SIGKILL of a host"]++
	for range count {
		results = append(results, <-answers)
	}
	evidence := cell.verify(results)
	for _, result := range results {
		if result.Status != almondcross.StatusDone {
			t.Errorf("%s ran and its caller has %q %s\n    %s", result.order.key, result.Status, result.Code,
				strings.Join(append(newChecker(evidence).timeline(result.order.key), cell.decisions(result.order.key)...), "\n    "))
		}
	}
}
