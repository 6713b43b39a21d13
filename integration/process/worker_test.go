package process_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/encoder"
)

func (cell *cell) switchWorker(worker *process, switches encoder.WorkerSwitches) {
	cell.t.Helper()
	require.NoError(cell.t, call(context.Background(), http.MethodPut, worker.address, "/v1/switches", "", switches, nil))
}

func (cell *cell) setLive(worker *process, state string) {
	cell.t.Helper()
	body := encoder.PlatformHostState{State: state}
	require.NoError(cell.t, call(context.Background(), http.MethodPut, cell.platform.address, "/v1/live/"+worker.name+"/state", "", body, nil))
}

// leave marks a worker as leaving from the time before the report to the time after its end.
func (cell *cell) leave(worker *process, kind string, begin, end func()) {
	cell.t.Helper()
	mark := leavingMark{Worker: worker.name, From: time.Now()}
	begin()
	cell.injected["leaving by "+kind]++
	<-time.After(leavingBound + 3*time.Second)
	mark.Until = time.Now()
	end()
	cell.leaving = append(cell.leaving, mark)
}

// TestFaultyWorkers guards against work that is sent to a leaving worker, and against wrong, doubled or
// missing answers when workers leave, fail everything, cannot be reached or restart with running tasks.
func TestFaultyWorkers(t *testing.T) {
	t.Parallel()
	cell := newCell(t, 3, 5)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cell.watchCatalogues(ctx)
	flow := cell.send(traffic{
		prefix: "worker", gap: 20 * time.Millisecond, payments: 10, longMS: 2500, longShare: 5, patience: 18 * time.Second, pick: cell.roundRobin,
	})
	listed, flagged, failing, unreachable, restarted := cell.workers[0], cell.workers[1], cell.workers[2], cell.workers[3], cell.workers[4]
	cell.switchWorker(failing, encoder.WorkerSwitches{FailAll: true})
	cell.injected["worker fails everything"]++
	cell.leave(listed, "the live list", func() { cell.setLive(listed, "leaving") }, func() { cell.setLive(listed, "live") })
	cell.switchWorker(failing, encoder.WorkerSwitches{})
	cell.switchWorker(unreachable, encoder.WorkerSwitches{Refuse: true})
	cell.injected["worker unreachable"]++
	cell.leave(flagged, "its own flag",
		func() { cell.switchWorker(flagged, encoder.WorkerSwitches{Leaving: true}) },
		func() { cell.switchWorker(flagged, encoder.WorkerSwitches{}) })
	for _, keep := range []bool{true, false} {
		body := encoder.WorkerRestart{KeepTasks: keep}
		require.NoError(t, call(ctx, http.MethodPost, restarted.address, "/v1/restart", "", body, nil))
		cell.injected["worker restart"]++
		<-time.After(time.Second)
	}
	cell.switchWorker(unreachable, encoder.WorkerSwitches{})
	results := flow.end()
	cell.requireFinal(cell.verify(results), results)
}
