package emulator_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/emulator"
)

var (
	firstSeed       = flag.Uint64("seed", 1, "the first seed of the simulations")
	simulationCount = flag.Int("days", 12, "the number of simulations with random faults")
)

func newConfig(seed uint64) emulator.Config {
	return emulator.Config{
		Seed: seed, Hosts: 5, Workers: 24, SubmitTime: 20 * time.Second, DrainTime: 40 * time.Second, JobsPerSec: 16,
		AdviceShare: 0.5, FailShare: 0.02, PoisonShare: 0.02, CancelShare: 0.04, LongShare: 0.4, Retention: 15 * time.Second,
	}
}

func runSimulation(t *testing.T, config emulator.Config) emulator.Report {
	t.Helper()
	simulation, err := emulator.New(config)
	require.NoError(t, err)
	return simulation.Run()
}

// Guards against jobs that are lost, slow or run twice in a simulation without faults.
func TestSimulationWithoutFaults(t *testing.T) {
	report := runSimulation(t, newConfig(*firstSeed))
	require.Empty(t, report.Violations)
	require.Greater(t, report.Completed, report.Accepted*8/10)
	require.Less(t, report.Median, 3*time.Second)
}

// Guards against an account that differs from the CPU time that workers used. When the only fault is a restart
// of the scheduler, delays of orders and worker reports may cause a difference of up to 5%.
func TestAccountMatchesWorkerUsage(t *testing.T) {
	simulationConfig := newConfig(*firstSeed)
	simulationConfig.CancelShare = 0
	simulationConfig.Faults = []emulator.Fault{{Kind: emulator.KillScheduler, StartsAt: 10 * time.Second, Duration: time.Second}}
	report := runSimulation(t, simulationConfig)
	require.Empty(t, report.Violations)
	require.InEpsilon(t, report.UsedCPU, report.AccountedCPU, 0.05)
}

// Guards against hosts that say that no job waits while the start orders of the waiting jobs get no answer.
func TestPendingCountsWithLateOrders(t *testing.T) {
	simulationConfig := newConfig(*firstSeed)
	simulationConfig.Faults = []emulator.Fault{{Kind: emulator.DelayOrders, StartsAt: 4 * time.Second, Duration: 12 * time.Second, Share: 0.95}}
	report := runSimulation(t, simulationConfig)
	require.Empty(t, report.Violations)
}

// Guards against callers who get no answers while a cell is upgraded: hosts that cannot read the journal of a scheduler of a later
// version in full show its views. The scheduler is killed once, and one of the two others of its version takes over.
func TestHostsOfAnEarlierVersionAnswer(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.LaterHosts = 3
			simulationConfig.Faults = []emulator.Fault{{Kind: emulator.KillScheduler, StartsAt: 10 * time.Second, Duration: time.Second}}
			report := runSimulation(t, simulationConfig)
			require.Empty(t, report.Violations)
			require.Less(t, report.Unavailable, report.Questions/50)
			require.Greater(t, report.Accepted, report.Jobs*98/100)
		})
	}
}

// Guards against a job of a workspace that is lost, refused or shown to another workspace in a takeover, and against a key that works
// after it was revoked, while one key of a workspace and all keys of another are revoked and some hosts cannot read the newest
// configuration.
func TestWorkspacesWithRevokedKeys(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.Workspaces = 4
			simulationConfig.Faults = []emulator.Fault{
				{Kind: emulator.RevokeKeys, StartsAt: 5 * time.Second, Duration: 7 * time.Second},
				{Kind: emulator.StoreUnreachable, StartsAt: 6 * time.Second, Duration: 3 * time.Second, Share: 0.3},
				{Kind: emulator.KillScheduler, StartsAt: 14 * time.Second, Duration: time.Second},
			}
			report := runSimulation(t, simulationConfig)
			require.Empty(t, report.Violations)
			require.Greater(t, report.Accepted, report.Jobs*85/100, "a quarter of the callers has no key for a third of the time")
		})
	}
}

// Guards against hosts of two versions that tell different states of a job: some conclude by another rule that a job goes on after a
// failed run, unless the journal tells the verdict. Without verdicts in the journal, the day of seed 1 has such hosts.
func TestHostsOfAnotherVersionTellTheSameStates(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.OtherHosts = 2
			simulationConfig.Faults = emulator.RandomFaults(seed, 5, simulationConfig.SubmitTime)
			report := runSimulation(t, simulationConfig)
			require.Empty(t, report.Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}

// Guards against violations of the guarantees under any combination of faults.
func TestSimulationsWithRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*simulationCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.Faults = emulator.RandomFaults(seed, 5, simulationConfig.SubmitTime)
			report := runSimulation(t, simulationConfig)
			require.Empty(t, report.Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}

// Guards against violations of the guarantees while the state is full: refused jobs that run, or accepted ones that are lost.
func TestSimulationsWithAFullState(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*simulationCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.StateBytes = 1 << 18
			simulationConfig.Faults = emulator.RandomFaults(seed, 5, simulationConfig.SubmitTime)
			report := runSimulation(t, simulationConfig)
			require.Empty(t, report.Violations, "faults: %v", simulationConfig.Faults)
			require.Less(t, report.Accepted, report.Jobs*9/10, "the limit refuses jobs")
		})
	}
}

// Guards against a scheduler that does not stop the runs of a job whose cancellation an earlier scheduler recorded. The
// earlier one is killed shortly after the acknowledgement, and some of its stop orders are lost.
func TestCancelledRunsStopAfterTakeover(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.CancelShare, simulationConfig.LongShare = 0.08, 1
			for startsAt := 6 * time.Second; startsAt < simulationConfig.SubmitTime; startsAt += 5 * time.Second {
				simulationConfig.Faults = append(simulationConfig.Faults,
					emulator.Fault{Kind: emulator.BreakPaths, StartsAt: startsAt, Duration: 3 * time.Second, Share: 0.3},
					emulator.Fault{
						Kind: emulator.KillAfterMoment, StartsAt: startsAt + time.Second, Duration: 2 * time.Second,
						Moment: emulator.CancelAcknowledged, Delay: 260 * time.Millisecond,
					})
			}
			require.Empty(t, runSimulation(t, simulationConfig).Violations)
		})
	}
}

// Guards against a task that crashes each worker that starts it and is started again and again, at the cost of the
// other tasks of these workers.
func TestCrashingTasksAreGivenUp(t *testing.T) {
	for seed, queue := range []string{"urgent", "gang", "batch"} {
		t.Run(queue, func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(uint64(seed + 1))
			simulationConfig.Faults = []emulator.Fault{{
				Kind: emulator.CrashTasks, StartsAt: 4 * time.Second, Duration: 6 * time.Second, Share: 0.3, Queue: queue, CrashDelay: 10 * time.Millisecond,
			}}
			require.Empty(t, runSimulation(t, simulationConfig).Violations)
		})
	}
}

// Guards against a state that is lost in part because no scheduler lasts until a snapshot is due, while the store deletes the
// journal behind the last one.
func TestStateIsKeptWhileSchedulersFollowEachOther(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.SubmitTime, simulationConfig.JobsPerSec = 30*time.Second, 8
			for startsAt := 4 * time.Second; startsAt < simulationConfig.SubmitTime; startsAt += 2500 * time.Millisecond {
				simulationConfig.Faults = append(simulationConfig.Faults, emulator.Fault{Kind: emulator.KillScheduler, StartsAt: startsAt, Duration: 7 * time.Second})
			}
			require.Empty(t, runSimulation(t, simulationConfig).Violations)
		})
	}
}
