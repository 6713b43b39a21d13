package process_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// registerInput identifies the register of the key that an operation works on. An operation is a start on a
// worker or an outcome that a caller received.
type registerInput struct{ key string }

type registerOutput struct {
	started bool
	status  almondcross.Status
	target  string
}

// claimModel is a write-once register for each key, which holds the target of the only start. A caller that
// receives done reads that target; a caller that receives not_run reads an empty register.
var claimModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, operation := range operations {
			key := operation.Input.(registerInput).key
			keys[key] = append(keys[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		target, operation := state.(string), output.(registerOutput)
		switch {
		case operation.started:
			return target == "", operation.target
		case operation.status == almondcross.StatusDone:
			return target == operation.target, target
		case operation.status == almondcross.StatusNotRun:
			return target == "", target
		default:
			return true, target
		}
	},
}

// claimHistory returns the operations on the keys of non-repeatable requests.
func claimHistory(evidence evidence) []porcupine.Operation {
	var operations []porcupine.Operation
	payments := map[string]bool{}
	for index, attempt := range evidence.attempts {
		if attempt.Repeatable || attempt.Status == "" {
			continue
		}
		payments[attempt.Key] = true
		operations = append(operations, porcupine.Operation{
			ClientId: index, Input: registerInput{attempt.Key}, Call: attempt.Sent.UnixMicro(), Return: attempt.Received.UnixMicro(),
			Output: registerOutput{status: attempt.Status, target: attempt.Target},
		})
	}
	for _, history := range evidence.workers {
		for _, entry := range history.Entries {
			if entry.Kind == encoder.WorkerTaskStarted && payments[entry.Task.Name] {
				operations = append(operations, porcupine.Operation{
					ClientId: len(operations) + len(evidence.attempts), Input: registerInput{entry.Task.Name}, Call: entry.AtUs, Return: entry.AtUs,
					Output: registerOutput{started: true, target: history.Worker},
				})
			}
		}
	}
	return operations
}

// TestClaimModelRejectsViolations guards against a model that accepts every history.
func TestClaimModelRejectsViolations(t *testing.T) {
	start := func(worker string, at float64) encoder.WorkerHistory {
		return workerHistory(worker, historyEntry(at, encoder.WorkerTaskStarted, "k", 1))
	}
	done := func(target string) attempt {
		result := attemptWithStatus(1, 3, almondcross.StatusDone)
		result.Target = target
		return result
	}
	cases := []struct {
		name     string
		evidence evidence
		want     bool
	}{
		{"one start", evidence{workers: []encoder.WorkerHistory{start("a", 2)}, attempts: []attempt{done("a")}}, true},
		{"two starts", evidence{workers: []encoder.WorkerHistory{start("a", 2), start("b", 2.5)}, attempts: []attempt{done("a")}}, false},
		{"done without a start", evidence{attempts: []attempt{done("a")}}, false},
		{"done before the start", evidence{workers: []encoder.WorkerHistory{start("a", 4)}, attempts: []attempt{done("a")}}, false},
		{"done of another start", evidence{workers: []encoder.WorkerHistory{start("a", 2)}, attempts: []attempt{done("b")}}, false},
		{"not_run after the start", evidence{
			workers: []encoder.WorkerHistory{start("a", 2)}, attempts: []attempt{done("a"), attemptWithStatus(4, 5, almondcross.StatusNotRun)},
		}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, porcupine.CheckOperations(claimModel, claimHistory(test.evidence)))
		})
	}
}

// sendToTwoHosts sends each payment to two hosts at the same time; both callers retry until an outcome is final.
func (cell *cell) sendToTwoHosts(phase string, count int) []result {
	results := make(chan result, 2*count)
	var callers sync.WaitGroup
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for number := range count {
		request := request{
			key: fmt.Sprintf("twin-%s-%d", phase, number), entry: "payment", runMS: 10 + cell.random.IntN(200), issuedAt: time.Now(),
		}
		first := cell.random.IntN(len(cell.hosts))
		for offset := range 2 {
			callers.Go(func() {
				callerContext, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				results <- cell.sendUntilFinal(callerContext, request, requestTimeout, func(try int) *process {
					return cell.hosts[(first+offset+try)%len(cell.hosts)]
				})
			})
		}
		<-ticker.C
	}
	callers.Wait()
	close(results)
	var all []result
	for result := range results {
		all = append(all, result)
	}
	return all
}

// TestClaimsWithFaultyLog guards against a second run of a payment that is sent to two hosts at the same
// time while the log loses responses, is slow, is down and recovers.
func TestClaimsWithFaultyLog(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	lookupLoad := cell.startLoad(loadConfig{prefix: "beside", interval: 25 * time.Millisecond, drainTime: 15 * time.Second, pick: cell.roundRobin})
	var results []result
	for _, phase := range []struct {
		name   string
		faults encoder.PlatformFaults
	}{
		{"lost", encoder.PlatformFaults{DropResponses: 15}},
		{"slow", encoder.PlatformFaults{DelayMs: 700}},
		{"timeout", encoder.PlatformFaults{DelayMs: 2500}},
		{"down", encoder.PlatformFaults{Down: true}},
		{"back", encoder.PlatformFaults{}},
	} {
		cell.setLogFaults(phase.faults)
		// The log recovers while the callers of the phase's last requests are still retrying.
		restore := time.AfterFunc(3*time.Second, func() { cell.setLogFaults(encoder.PlatformFaults{}) })
		results = append(results, cell.sendToTwoHosts(phase.name, 40)...)
		restore.Stop()
	}
	cell.setLogFaults(encoder.PlatformFaults{})
	results = slices.Concat(results, lookupLoad.end())
	evidence := cell.verifyGuarantees(results)
	operations := claimHistory(evidence)
	t.Logf("figures: porcupine checks %d operations", len(operations))
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, operations, 20*time.Second))
	cell.requireFinalOutcomes(evidence, results)
}
