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

// claimInput is an operation on the register of a key: a start at a worker, or what a caller was told.
type claimInput struct{ key string }

type claimOutput struct {
	started bool
	status  almondcross.Status
	target  string
}

// claimModel is a register for each key: the first start wins, and every caller that is told an
// outcome sees that start or, when told not_run, none. The register holds the target of the start.
var claimModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, operation := range operations {
			key := operation.Input.(claimInput).key
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
		target, seen := state.(string), output.(claimOutput)
		switch {
		case seen.started:
			return target == "", seen.target
		case seen.status == almondcross.StatusDone:
			return target == seen.target, target
		case seen.status == almondcross.StatusNotRun:
			return target == "", target
		default:
			return true, target
		}
	},
}

// claimHistory returns the operations on the keys of payments.
func claimHistory(evidence evidence) []porcupine.Operation {
	var operations []porcupine.Operation
	payments := map[string]bool{}
	for index, answer := range evidence.answers {
		if answer.Repeatable || answer.Status == "" {
			continue
		}
		payments[answer.Key] = true
		operations = append(operations, porcupine.Operation{
			ClientId: index, Input: claimInput{answer.Key}, Call: answer.Sent.UnixMicro(), Return: answer.Told.UnixMicro(),
			Output: claimOutput{status: answer.Status, target: answer.Target},
		})
	}
	for _, history := range evidence.workers {
		for _, entry := range history.Entries {
			if entry.Kind == encoder.WorkerStarted && payments[entry.Task.Name] {
				operations = append(operations, porcupine.Operation{
					ClientId: len(operations) + len(evidence.answers), Input: claimInput{entry.Task.Name}, Call: entry.AtUs, Return: entry.AtUs,
					Output: claimOutput{started: true, target: history.Worker},
				})
			}
		}
	}
	return operations
}

// TestClaimModelRefuses guards against a model that accepts every history.
func TestClaimModelRefuses(t *testing.T) {
	start := func(worker string, at float64) encoder.WorkerHistory {
		return history(worker, fabricated(at, encoder.WorkerStarted, "k", 1))
	}
	done := func(target string) answer {
		result := told(1, 3, almondcross.StatusDone)
		result.Target = target
		return result
	}
	cases := []struct {
		name     string
		evidence evidence
		want     bool
	}{
		{"one start", evidence{workers: []encoder.WorkerHistory{start("a", 2)}, answers: []answer{done("a")}}, true},
		{"two starts", evidence{workers: []encoder.WorkerHistory{start("a", 2), start("b", 2.5)}, answers: []answer{done("a")}}, false},
		{"done without a start", evidence{answers: []answer{done("a")}}, false},
		{"done before the start", evidence{workers: []encoder.WorkerHistory{start("a", 4)}, answers: []answer{done("a")}}, false},
		{"done of another start", evidence{workers: []encoder.WorkerHistory{start("a", 2)}, answers: []answer{done("b")}}, false},
		{"not_run after the start", evidence{
			workers: []encoder.WorkerHistory{start("a", 2)}, answers: []answer{done("a"), told(4, 5, almondcross.StatusNotRun)},
		}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, porcupine.CheckOperations(claimModel, claimHistory(test.evidence)))
		})
	}
}

// twins sends each payment to two hosts at the same time and insists at both.
func (cell *cell) twins(phase string, count int) []result {
	results := make(chan result, 2*count)
	var callers sync.WaitGroup
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for number := range count {
		order := order{
			key: fmt.Sprintf("twin-%s-%d", phase, number), entry: "payment", runMS: 10 + cell.random.IntN(200), issuedAt: time.Now(),
		}
		first := cell.random.IntN(len(cell.hosts))
		for twin := range 2 {
			callers.Go(func() {
				patience, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				results <- cell.insist(patience, order, requestWait, func(try int) *process {
					return cell.hosts[(first+twin+try)%len(cell.hosts)]
				})
			})
		}
		<-ticker.C
	}
	callers.Wait()
	close(results)
	var all []result
	for one := range results {
		all = append(all, one)
	}
	return all
}

// TestClaimsWithFaultyLog guards against a second run of a payment that is sent to two hosts at
// once while the log loses answers, is slow, is down and comes back.
func TestClaimsWithFaultyLog(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	lookups := cell.send(traffic{prefix: "beside", gap: 25 * time.Millisecond, patience: 15 * time.Second, pick: cell.roundRobin})
	var results []result
	for _, phase := range []struct {
		name     string
		switches encoder.PlatformSwitches
	}{
		{"lost", encoder.PlatformSwitches{LoseAnswers: 15}},
		{"slow", encoder.PlatformSwitches{DelayMs: 700}},
		{"timeout", encoder.PlatformSwitches{DelayMs: 2500}},
		{"down", encoder.PlatformSwitches{Down: true}},
		{"back", encoder.PlatformSwitches{}},
	} {
		cell.switchLog(phase.switches)
		// The log comes back while callers of the last requests of the phase still ask.
		restore := time.AfterFunc(3*time.Second, func() { cell.switchLog(encoder.PlatformSwitches{}) })
		results = append(results, cell.twins(phase.name, 40)...)
		restore.Stop()
	}
	cell.switchLog(encoder.PlatformSwitches{})
	results = slices.Concat(results, lookups.end())
	evidence := cell.verify(results)
	operations := claimHistory(evidence)
	t.Logf("figures: porcupine checks %d operations", len(operations))
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(claimModel, operations, 20*time.Second))
	cell.requireFinal(evidence, results)
}
