package picker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/picker"
)

func room(id, rack string, free int64, tasks int) almondcross.WorkerRoom {
	return almondcross.NewWorkerRoom(almondcross.WorkerRoomConfig{
		Worker: id, Rack: rack, Tasks: tasks, Free: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: free}),
		Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000}),
	})
}

var need = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000})

// Guards against small tasks that open whole workers while others have room for them.
func TestTightFillsWhatIsLeast(t *testing.T) {
	rooms := []almondcross.WorkerRoom{room("whole", "r1", 16_000, 4), room("rest", "r2", 5000, 1), room("half", "r1", 9000, 2)}
	query := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 2, Need: need})
	require.Equal(t, []string{"rest", "half"}, picker.Tight{}.Pick(query, rooms))
	require.Equal(t, []string{"whole", "whole"}, picker.FirstFit{}.Pick(query, rooms), "the baseline opens the first one")
}

// Guards against a part of a gang, and against tasks far from their data while it is early.
func TestWholeAndRacks(t *testing.T) {
	rooms := []almondcross.WorkerRoom{room("a", "r1", 16_000, 2), room("b", "r2", 16_000, 3)}
	whole := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 6, Need: need, Whole: true})
	require.Empty(t, picker.Tight{}.Pick(whole, rooms))
	require.Len(t, picker.Tight{}.Pick(whole.WithCount(5), rooms), 5)
	require.Equal(t, []string{"b", "b", "b"}, picker.Tight{}.Pick(whole.WithCount(3).WithSameRack(true), rooms))
	require.Empty(t, picker.Tight{}.Pick(whole.WithCount(4).WithSameRack(true), rooms))
	require.Len(t, picker.Tight{}.Pick(whole.WithCount(4).WithSameRack(true).WithWaited(2*time.Second), rooms), 4)
	near := almondcross.NewPickQuery(almondcross.PickQueryConfig{Count: 3, Need: need, Rack: "r1"})
	require.Equal(t, []string{"a", "a"}, picker.Tight{}.Pick(near, rooms))
	require.Len(t, picker.Tight{}.Pick(near.WithWaited(2*time.Second), rooms), 3)
}
