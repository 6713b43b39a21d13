package emulator_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/standin/emulator"
)

// Guards against tasks that run twice because an order for an earlier incarnation of a worker reaches the next one, which is
// partitioned from all hosts soon after its restart: starts whose run nobody knows the lease of, acknowledgements of ends that
// nobody has read, and orders that are executed seconds after they were sent.
func TestRestartedWorkersThatAreCutOff(t *testing.T) {
	for _, seed := range []uint64{200001, 200010, 200017, 200024} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			simulationConfig := newConfig(seed)
			simulationConfig.Faults = emulator.RandomFaults(seed, 1, simulationConfig.SubmitTime)
			simulationConfig.Faults[0].Kind = emulator.RestartAndCut
			require.Empty(t, runSimulation(t, simulationConfig).Violations, "faults: %v", simulationConfig.Faults)
		})
	}
}
