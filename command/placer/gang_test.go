package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// placeGang places all tasks of a gang.
func (cell *cell) placeGang(name string, size int) []almondcross.Task {
	var tasks []almondcross.Task
	for index := range size {
		task := cell.task("g", name, 0).WithClass(almondcross.ClassGang).WithSize(size)
		task = task.WithID(task.ID().WithIndex(index))
		tasks = append(tasks, task)
		cell.place(task)
	}
	return tasks
}

func (cell *cell) startedOf(entry string) int {
	count := 0
	for _, running := range cell.started {
		if running.task.Entry() == entry {
			count++
		}
	}
	return count
}

// TestGangAllOrNothing guards against a gang of which some tasks start and hold slots while others wait.
func TestGangAllOrNothing(t *testing.T) {
	cell := newCell(t, 2)
	for index := range 2*slots - 4 {
		cell.place(cell.task("a", "batch", index))
	}
	cell.placeGang("gang", 8)
	require.Zero(t, cell.startedOf("gang"))
	for index := range 3 {
		cell.finish(cell.task("a", "batch", index).ID(), time.Second)
		require.Zero(t, cell.startedOf("gang"))
	}
	cell.finish(cell.task("a", "batch", 3).ID(), time.Second)
	require.Equal(t, 8, cell.startedOf("gang"))
}

// TestGangsDoNotDeadlock guards against two gangs that each hold capacity which the other one needs, and
// against other tasks that starve a waiting gang.
func TestGangsDoNotDeadlock(t *testing.T) {
	cell := newCell(t, 2)
	for index := range 2 * slots {
		cell.place(cell.task("a", "batch", index))
	}
	cell.placeGang("one", 2*slots)
	cell.placeGang("two", 2*slots)
	for index := range 4 * slots {
		cell.place(cell.task("b", "other", index))
	}
	for index := range 2 * slots {
		cell.finish(cell.task("a", "batch", index).ID(), time.Second)
	}
	require.Equal(t, 2*slots, cell.startedOf("one"))
	require.Zero(t, cell.startedOf("other"))
	require.Zero(t, cell.startedOf("two"))
	for _, running := range cell.started {
		cell.finish(running.task.ID(), time.Second)
	}
	require.Equal(t, 2*slots, cell.startedOf("two"))
}

// TestBackfill guards against reserved capacity that stays idle, and against short tasks that use it after
// the backfill window.
func TestBackfill(t *testing.T) {
	cell := newCell(t, 1)
	cell.place(cell.task("a", "batch", 0))
	cell.placeGang("gang", slots)
	short := func(index int) almondcross.Task {
		return cell.task("s", "short", index).WithExpectedRun(100 * time.Millisecond)
	}
	cell.place(short(0))
	require.Equal(t, 1, cell.startedOf("short"))
	require.Positive(t, cell.codes[almondcross.CodeBackfilled])
	cell.advance(16 * time.Second)
	cell.place(short(1))
	require.Equal(t, 1, cell.startedOf("short"))
	cell.advance(15 * time.Second)
	require.Equal(t, 2, cell.startedOf("short"), "the reservation has a time limit")
}

// TestGangRefusals guards against a gang that waits for ever because it is too large or incomplete.
func TestGangRefusals(t *testing.T) {
	cell := newCell(t, 1)
	cell.placeGang("large", slots+1)
	require.Len(t, reports[almondcross.TaskRefused](cell), slots+1)
	cell.place(cell.task("g", "part", 0).WithClass(almondcross.ClassGang).WithSize(2))
	cell.advance(time.Minute)
	require.Len(t, reports[almondcross.TaskRefused](cell), slots+2)
}

// TestEjection guards against a target on which every task fails quickly and which therefore gets ever more
// tasks, against ejecting more than one target in three, and against never using a repaired target again.
func TestEjection(t *testing.T) {
	cell := newCell(t, 6)
	broken := map[string]bool{"t0000": true, "t0001": true, "t0002": true}
	index := 0
	round := func() {
		for range 60 {
			index++
			cell.place(cell.task("a", "e"+string(rune('a'+index%20)), index))
		}
		for _, running := range cell.started {
			if broken[running.target] {
				cell.end(running.task.ID(), time.Millisecond, almondcross.CodeTaskFailed)
			} else {
				cell.finish(running.task.ID(), time.Second)
			}
		}
	}
	for range 10 {
		round()
	}
	require.EqualValues(t, 2, cell.codes[almondcross.CodeTargetEjected])
	broken = nil
	cell.advance(5 * time.Minute)
	before := len(cell.started)
	for range 3 {
		round()
	}
	targets := map[string]bool{}
	for _, running := range cell.started[before:] {
		targets[running.target] = true
	}
	require.Len(t, targets, 6)
}

// TestBadEntryEjectsNothing guards against targets being ejected because of one entry whose tasks fail on
// every target.
func TestBadEntryEjectsNothing(t *testing.T) {
	cell := newCell(t, 6)
	for index := range 6 * slots {
		cell.place(cell.task("a", "bad", index))
	}
	for _, running := range cell.started {
		cell.end(running.task.ID(), time.Millisecond, almondcross.CodeTaskFailed)
	}
	require.Zero(t, cell.codes[almondcross.CodeTargetEjected])
}

// TestEndOfGangTaskIsPartial guards against a part of a gang's answer that its coordinator takes for the whole answer,
// whether the holder knows the task or finds its end in the inventory of a target that another holder had.
func TestEndOfGangTaskIsPartial(t *testing.T) {
	cell := newCell(t, 1)
	for index := range 2 {
		task := cell.task("a", "batch", 1)
		cell.place(task.WithID(task.ID().WithIndex(index)).WithSize(2))
	}
	require.Len(t, cell.started, 2)
	cell.finish(cell.started[0].task.ID(), time.Second)
	other := cell.task("a", "batch", 2).WithSize(2)
	cell.leaseCounter++
	cell.apply(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: almondcross.NewGrant(almondcross.GrantConfig{
		Target: "t0000", Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: cell.leaseCounter}), Capacity: capacity,
		Inventory: []almondcross.InventoryItem{almondcross.NewInventoryItem(almondcross.InventoryItemConfig{
			Task: other, Finished: true, Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: other.ID(), Attempt: 1}),
		})},
	})}))
	ends := reports[almondcross.TaskEnded](cell)
	require.Len(t, ends, 2)
	for _, end := range ends {
		require.True(t, end.Partial())
	}
}
