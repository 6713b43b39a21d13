package process_test

import (
	"context"
	"testing"
	"time"

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
