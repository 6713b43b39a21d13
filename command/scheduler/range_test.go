package scheduler

import (
	"math"
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

// Guards against a number of calls that follows from a wrapped product: with latencies as a configuration may state them,
// it is that of the exact product, at most one for each idle host.
func TestPartsOfACallFollowFromTheLatencies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newHarness(t)
		harness.becomeScheduler()
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		for index := range hosts {
			name := string(rune('A' + index))
			harness.machine.linkedHosts[name] = &linkedHost{name: name}
			harness.machine.leader.idleHosts = append(harness.machine.leader.idleHosts, harness.machine.linkedHosts[name])
		}
		latency := rapid.OneOf(rapid.Int64Range(0, int64(time.Second)), rapid.Int64Range(0, 100*365*24*int64(time.Hour)))
		settings := almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
			Required: true, Base: time.Duration(latency.Draw(t, "base")), PerWorker: time.Duration(latency.Draw(t, "per worker")),
		})
		workers := rapid.IntRange(1, 5000).Draw(t, "workers")
		exact := float64(workers) * float64(settings.PerWorker()) * partsPerBase / math.Max(float64(settings.Base()), 1)
		parts := harness.machine.callParts(settings, workers)
		require.Positive(t, parts)
		require.LessOrEqual(t, float64(parts), max(exact, 1))
		require.LessOrEqual(t, parts, hosts)
		if spare := int(maxLongCallShare*float64(len(harness.machine.linkedHosts))) / sparePerPart; exact >= float64(hosts) {
			require.Equal(t, max(1, min(spare, hosts)), parts)
		}
	})
}

// Guards against a reservation for a gang whose demand wraps to a small number: it passed the limit on reservations.
func TestGangBeyondTheRangeReservesNothing(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	leader := harness.machine.leader
	leader.usableCPU = 4000
	huge := almondcross.NewStep(almondcross.StepConfig{Count: 4, Gang: true, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1 << 62})})
	leader.workers[workerID].inPass = true
	waiting := &waitingStage{job: &job{}, stage: &stage{spec: huge, remainingTasks: 4}}
	harness.machine.reserveRoom(almondcross.NewQueue(almondcross.QueueConfig{Pool: "pool"}), waiting, &stageAdvice{allowed: []string{workerID}})
	require.Zero(t, leader.reservedCPU)
	require.Zero(t, leader.workers[workerID].reserved)
	require.False(t, leader.workers[workerID].held, "a gang that can never start holds no worker")
}
