package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/picker"
)

func newWorker(id, rack string, free int64, tasks int) almondcross.WorkerCapacity {
	return almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{
		Worker: id, Rack: rack, Tasks: tasks, Free: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: free}),
		Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000}),
	})
}

var need = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000})

// Guards against small tasks that are placed on empty workers while they fit on partly used ones.
func TestBestFitPrefersFullestWorker(t *testing.T) {
	workers := []almondcross.WorkerCapacity{newWorker("whole", "r1", 16_000, 4), newWorker("rest", "r2", 5000, 1), newWorker("half", "r1", 9000, 2)}
	query := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 2, Need: need})
	require.Equal(t, []string{"rest", "half"}, picker.BestFit{}.Pick(query, workers))
	require.Equal(t, []string{"whole", "whole"}, picker.FirstFit{}.Pick(query, workers), "the baseline fills the first worker")
}

// Guards against tasks on slow workers while others have room, and against the members of a gang that wait for one on a worker
// that is a little slower, where single tasks would fill it.
func TestSlowWorkersAreTakenLast(t *testing.T) {
	workers := []almondcross.WorkerCapacity{newWorker("slow", "r1", 4000, 1).WithSpeed(0.2), newWorker("whole", "r1", 16_000, 1).WithSpeed(1), newWorker("late", "r1", 5000, 1).WithSpeed(0.8)}
	query := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 1, Need: need})
	require.Equal(t, []string{"late"}, picker.BestFit{}.Pick(query, workers))
	require.Equal(t, []string{"whole"}, picker.BestFit{}.Pick(query.WithAllOrNothing(true), workers))
	require.Equal(t, []string{"late", "whole", "slow"}, picker.BestFit{}.Pick(query.WithCount(3), workers), "they are used if nothing else has room")
}

// Guards against placing only part of a gang, and against placing tasks away from the rack of their data
// before rackWait has passed.
func TestAllOrNothingAndRackPreference(t *testing.T) {
	workers := []almondcross.WorkerCapacity{newWorker("a", "r1", 16_000, 2), newWorker("b", "r2", 16_000, 3)}
	allOrNothing := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 6, Need: need, AllOrNothing: true})
	require.Empty(t, picker.BestFit{}.Pick(allOrNothing, workers))
	require.Len(t, picker.BestFit{}.Pick(allOrNothing.WithCount(5), workers), 5)
	require.Equal(t, []string{"b", "b", "b"}, picker.BestFit{}.Pick(allOrNothing.WithCount(3).WithSameRack(true), workers))
	require.Empty(t, picker.BestFit{}.Pick(allOrNothing.WithCount(4).WithSameRack(true), workers))
	require.Len(t, picker.BestFit{}.Pick(allOrNothing.WithCount(4).WithSameRack(true).WithSinceReady(2*time.Second), workers), 4)
	nearData := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 3, Need: need, Rack: "r1"})
	require.Equal(t, []string{"a", "a"}, picker.BestFit{}.Pick(nearData, workers))
	require.Len(t, picker.BestFit{}.Pick(nearData.WithSinceReady(2*time.Second), workers), 3)
}
