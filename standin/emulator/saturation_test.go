package emulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/emulator"
)

// Guards against gangs that wait while batch tasks behind them keep the room in which they would fit, and against batch tasks
// that stop while gangs wait. With reservations that moved between the passes, the p95 of the gangs' wait for their first start
// was 5.5 to 9.2 s with these seeds.
func TestGangsOfASaturatedCellStart(t *testing.T) {
	const workers, load = 60, 0.95
	for seed := uint64(1); seed <= 3; seed++ {
		report := runSimulation(t, emulator.Config{
			Seed: seed, Hosts: 20, Workers: workers, SubmitTime: 40 * time.Second, DrainTime: 30 * time.Second,
			JobsPerSec: load * workers * 16 / emulator.SaturatedJobCPU, AdviceShare: 0.42, Saturated: true, Retention: 15 * time.Second,
		})
		require.Empty(t, report.Violations)
		require.Less(t, report.Gangs.StartP50, 2600*time.Millisecond, "seed %d", seed)
		require.Less(t, report.Gangs.StartP95, 4800*time.Millisecond, "seed %d", seed)
		require.Less(t, report.Batch.StartP95, 4*time.Second, "seed %d", seed)
		require.Less(t, report.Batch.FinishP95, 12*time.Second, "seed %d", seed)
		require.Less(t, report.Urgent.StartP95, 200*time.Millisecond, "seed %d", seed)
		t.Logf("seed %d: gangs %v, batch %v, urgent %v", seed, report.Gangs, report.Batch, report.Urgent)
	}
}
