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

// hasStarted reports whether the history of any worker contains a start of the key.
func (cell *cell) hasStarted(key string) bool {
	for _, worker := range cell.workers {
		var page encoder.WorkerHistory
		if cell.get(worker.address, "/v1/history", &page) != nil {
			return false
		}
		for _, entry := range page.Entries {
			if entry.Kind == encoder.WorkerTaskStarted && entry.Task.Name == key {
				return true
			}
		}
	}
	return false
}

// TestKilledHost guards against a second run and a wrong or missing answer when an entry host is killed
// after it dispatched a task and the callers repeat their keys at the other hosts.
func TestKilledHost(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	load := cell.startLoad(loadConfig{
		prefix: "kill", interval: 15 * time.Millisecond, paymentPercent: 20, longMS: 2500, longPercent: 5, drainTime: 18 * time.Second, pick: cell.roundRobin,
	})
	// Each round has two probes in flight that were dispatched before the kill.
	var probes []chan result
	for _, round := range []struct{ lookup, payment string }{{"probe-lookup-1", "probe-payment-1"}, {"probe-lookup-2", "probe-payment-2"}} {
		victim := cell.random.IntN(len(cell.hosts))
		for _, probe := range []request{
			{key: round.lookup, entry: "lookup", runMS: 1500, issuedAt: time.Now()},
			{key: round.payment, entry: "payment", runMS: 1500, issuedAt: time.Now()},
		} {
			done := make(chan result, 1)
			probes = append(probes, done)
			go func() {
				callerContext, cancel := context.WithTimeout(context.Background(), 25*time.Second)
				defer cancel()
				done <- cell.sendUntilFinal(callerContext, probe, attemptTimeout, func(try int) *process { return cell.hosts[(victim+try)%len(cell.hosts)] })
			}()
		}
		eventually(t, 5*time.Second, "the probes are running", func() bool { return cell.hasStarted(round.lookup) && cell.hasStarted(round.payment) })
		cell.hosts[victim].kill()
		cell.injectedFaults["SIGKILL of a host"]++
		<-time.After(2500 * time.Millisecond)
		cell.hosts[victim].start()
		cell.awaitReady(cell.hosts[victim])
	}
	results := load.end()
	for _, probe := range probes {
		results = append(results, <-probe)
	}
	cell.requireFinalOutcomes(cell.verifyGuarantees(results), results)
}

// TestAnswerSurvivesCoordinatorLoss guards against lost answers: payments finish on their workers right
// after the host that coordinates some of them was killed, and the callers retry at the other hosts.
func TestAnswerSurvivesCoordinatorLoss(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	var results []result
	resultQueue := make(chan result, recordCapacity)
	const count = 12
	for number := range count {
		payment := request{key: fmt.Sprintf("outlive-%d", number), entry: "payment", runMS: 1500, issuedAt: time.Now()}
		go func() {
			callerContext, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			resultQueue <- cell.sendUntilFinal(callerContext, payment, attemptTimeout, func(try int) *process { return cell.hosts[(number+try)%len(cell.hosts)] })
		}()
	}
	eventually(t, 5*time.Second, "the payments are running", func() bool {
		for number := range count {
			if !cell.hasStarted(fmt.Sprintf("outlive-%d", number)) {
				return false
			}
		}
		return true
	})
	cell.hosts[0].kill()
	cell.injectedFaults["SIGKILL of a host"]++
	for range count {
		results = append(results, <-resultQueue)
	}
	evidence := cell.verifyGuarantees(results)
	for _, result := range results {
		if result.Status != almondcross.StatusDone {
			t.Errorf("%s ran, but its caller received %q %s\n    %s", result.request.key, result.Status, result.Code,
				strings.Join(append(newChecker(evidence).timeline(result.request.key), cell.decisionsOn(result.request.key)...), "\n    "))
		}
	}
}
