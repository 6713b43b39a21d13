package emulator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/emulator"
)

// newRestartConfig returns the settings of a day on which workers restart under their ID and are partitioned soon after.
func newRestartConfig(seed uint64) emulator.Config {
	config := newConfig(seed)
	config.Faults = emulator.RandomFaults(seed, 1, config.SubmitTime)
	config.Faults[0].Kind = emulator.RestartAndCut
	return config
}

// Guards against tasks that run twice because an order for an earlier incarnation of a worker reaches the next one, which is
// partitioned from all hosts soon after its restart: starts whose run nobody knows the lease of, acknowledgements of ends that
// nobody has read, and orders that are executed seconds after they were sent.
func TestRestartedWorkersThatAreCutOff(t *testing.T) {
	for _, seed := range []uint64{200001, 200010, 200017, 200024} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newRestartConfig(seed)
			require.Empty(t, runSimulation(t, simulationConfig).Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}

// Guards against the same on queues without advice, whose start orders have no ticket that another incarnation refuses.
func TestRestartedWorkersWithoutAdvice(t *testing.T) {
	for _, seed := range []uint64{200040, 200050, 200059} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newRestartConfig(seed)
			simulationConfig.AdviceShare = 0
			require.Empty(t, runSimulation(t, simulationConfig).Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}

// newUnboundConfig returns the settings of such a day on which hosts of an earlier version send the start orders, so that these may
// reach an incarnation that nobody has heard of and that grants the longest lease.
func newUnboundConfig(seed uint64) emulator.Config {
	config := newRestartConfig(seed)
	config.AdviceShare, config.UnboundStarts = 0, true
	config.Faults[0].Restart.LateShare, config.Faults[0].Restart.CutFromStore = 0, true
	return config
}

// Guards against a run on an unknown incarnation that is presumed lost before the end of its lease.
func TestStartsThatReachAnUnknownIncarnation(t *testing.T) {
	for _, seed := range []uint64{200075, 200076, 200081} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newUnboundConfig(seed)
			require.Empty(t, runSimulation(t, simulationConfig).Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}

// Guards against the same by a successor of the scheduler, which has never heard of these start orders' incarnation.
func TestSuccessorCountsStartsOnAnUnknownIncarnation(t *testing.T) {
	simulationConfig := newUnboundConfig(200078)
	require.Empty(t, runSimulation(t, simulationConfig).Violations, "faults: %v", simulationConfig.Faults)
}
