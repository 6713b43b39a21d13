package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// TestLostTargetIsReported guards against blaming a task for a target that did not restart, and against not blaming it
// for one that did or that does not answer.
func TestLostTargetIsReported(t *testing.T) {
	lost := func(cell *cell) []bool {
		var targetLost []bool
		for _, report := range reports[almondcross.TaskLost](cell) {
			targetLost = append(targetLost, report.TargetLost())
		}
		return targetLost
	}
	for name, test := range map[string]struct {
		silent time.Duration
		boot   uint64
		want   []bool
	}{
		"the start did not reach the target":      {0, 1, []bool{false}},
		"the target restarted":                    {0, 2, []bool{true}},
		"the target was cut off":                  {20 * time.Second, 1, []bool{true, false}},
		"the target restarted and came back late": {20 * time.Second, 2, []bool{true}},
	} {
		t.Run(name, func(t *testing.T) {
			cell := newCell(t, 1)
			cell.place(cell.task("a", "batch", 1))
			require.Len(t, cell.started, 1)
			cell.refuseLeases = test.silent > 0
			cell.boot = test.boot
			cell.release("t0000")
			cell.advance(test.silent)
			cell.refuseLeases = false
			cell.advance(10 * time.Second)
			require.Equal(t, test.want, lost(cell))
		})
	}
}

// TestSuspectsRunApart guards against two tasks on one target that would both be given up when it restarts, and against
// suspects that wait although a target without one has room, or that hold other tasks back.
func TestSuspectsRunApart(t *testing.T) {
	cell := newCell(t, 3)
	for index := range 5 {
		cell.place(cell.task("a", "batch", index).WithLostTargets(almondcross.MaxLostTargets - 1))
	}
	require.Len(t, cell.started, 3)
	cell.place(cell.task("a", "batch", 5))
	require.Len(t, cell.started, 4)
	for _, index := range []int{0, 1} {
		cell.finish(cell.task("a", "batch", index).ID(), time.Second)
	}
	require.Len(t, cell.started, 6)
	suspects := map[string]int{}
	for _, running := range cell.running {
		if running.task.Suspect() {
			suspects[running.target]++
		}
	}
	require.Equal(t, map[string]int{"t0000": 1, "t0001": 1, "t0002": 1}, suspects)
}
