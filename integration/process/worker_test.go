package process_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/encoder"
)

func (cell *cell) setWorkerFaults(worker *process, faults encoder.WorkerFaults) {
	cell.t.Helper()
	require.NoError(cell.t, call(context.Background(), http.MethodPut, worker.address, "/v1/switches", "", faults, nil))
}

func (cell *cell) setListedState(worker *process, state string) {
	cell.t.Helper()
	body := encoder.PlatformHostState{State: state}
	require.NoError(cell.t, call(context.Background(), http.MethodPut, cell.platform.address, "/v1/live/"+worker.name+"/state", "", body, nil))
}

// reportLeaving reports a worker as leaving for longer than the bound of P6 and records the period. The period
// ends before end is called, so that work sent after the report was withdrawn is no violation.
func (cell *cell) reportLeaving(worker *process, source string, begin, end func()) {
	cell.t.Helper()
	period := leavingPeriod{Worker: worker.name, From: time.Now()}
	begin()
	cell.injectedFaults["leaving by "+source]++
	<-time.After(maxLeavingDelay + 3*time.Second)
	period.Until = time.Now()
	end()
	cell.leavingPeriods = append(cell.leavingPeriods, period)
}

// TestFaultyWorkers guards against work that is sent to a leaving worker, and against wrong, duplicate or
// missing answers when workers leave, fail every task, are unreachable or restart with running tasks.
func TestFaultyWorkers(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 5)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	load := cell.startLoad(loadConfig{
		prefix: "worker", interval: 20 * time.Millisecond, paymentPercent: 10, longMS: 2500, longPercent: 5, drainTime: 18 * time.Second, pick: cell.roundRobin,
	})
	listed, flagged, failing, unreachable, restarted := cell.workers[0], cell.workers[1], cell.workers[2], cell.workers[3], cell.workers[4]
	cell.setWorkerFaults(failing, encoder.WorkerFaults{FailAll: true})
	cell.injectedFaults["worker fails everything"]++
	cell.reportLeaving(listed, "the live list", func() { cell.setListedState(listed, "leaving") }, func() { cell.setListedState(listed, "live") })
	cell.setWorkerFaults(failing, encoder.WorkerFaults{})
	cell.setWorkerFaults(unreachable, encoder.WorkerFaults{Refuse: true})
	cell.injectedFaults["worker unreachable"]++
	cell.reportLeaving(flagged, "its own flag",
		func() { cell.setWorkerFaults(flagged, encoder.WorkerFaults{Leaving: true}) },
		func() { cell.setWorkerFaults(flagged, encoder.WorkerFaults{}) })
	for _, keep := range []bool{true, false} {
		body := encoder.WorkerRestart{KeepTasks: keep}
		require.NoError(t, call(ctx, http.MethodPost, restarted.address, "/v1/restart", "", body, nil))
		cell.injectedFaults["worker restart"]++
		<-time.After(time.Second)
	}
	cell.setWorkerFaults(unreachable, encoder.WorkerFaults{})
	results := load.end()
	cell.requireFinalOutcomes(cell.verifyGuarantees(results), results)
}
