package scheduler

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against tasks that cost memory of their own while they wait, in the state and in the copies of a snapshot: bodies of 4 kB
// with a thousand tasks brought a host of 184 MB to 1.3 GB.
func TestWaitingTasksShareTheirMemory(t *testing.T) {
	const tasks, bytesPerTask = 10_000, 1
	allocated := func(count int) int64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		state := newState(time.Minute)
		state.admitJob(newJob("j", almondcross.StepConfig{Count: count}), settings(1, "q"))
		restored := restore(state.snapshot(1, time.Time{}), time.Minute, time.Time{}, nil)
		runtime.ReadMemStats(&after)
		require.Equal(t, count, restored.jobs["j"].stages[0].remainingTasks)
		return int64(after.TotalAlloc - before.TotalAlloc) //nolint:gosec // Both are small.
	}
	require.Less(t, allocated(tasks)-allocated(1), int64(tasks*bytesPerTask))
}

// Guards against records of tasks that get lost or move while the table of a stage grows.
func TestTaskTableKeepsTheRecords(t *testing.T) {
	table := newTaskTable(100, nil)
	require.Equal(t, almondcross.TaskRecord{}, table.at(99))
	table.set(70, almondcross.TaskRecord{}.WithRun(3))
	table.set(2, almondcross.TaskRecord{}.WithRun(1))
	require.Equal(t, 100, table.len())
	require.Len(t, table.known(), 71)
	table.change(func(record almondcross.TaskRecord) almondcross.TaskRecord { return record.WithFailures(record.Run()) })
	for index := range table.len() {
		run := map[int]int{70: 3, 2: 1}[index]
		require.Equal(t, almondcross.TaskRecord{}.WithRun(run).WithFailures(run), table.at(index))
	}
	require.Equal(t, table, newTaskTable(100, table.known()))
}
