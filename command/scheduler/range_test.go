package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// Guards against a usage that wraps: the product of a run's resources and its time has no defined conversion beyond the
// range of int64.
func TestUsageOfARunStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Int64Min(0).Draw(t, "amount")
		length := time.Duration(rapid.Int64().Draw(t, "length"))
		used := resourceSeconds(almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: amount, MemoryMB: amount, Accelerators: amount}), length)
		exact := min(float64(amount)*max(length, 0).Seconds(), maxResourceSeconds)
		for _, value := range []int64{used.MilliCPU(), used.MemoryMB(), used.Accelerators()} {
			require.InDelta(t, exact, float64(value), 1)
		}
	})
}
