package scheduler

import (
	"slices"

	"github.com/almondcross/almondcross"
)

// taskTable holds the records of the tasks of a stage. Tasks behind the last one that ever had a run have no record of their own,
// so a step costs no more for thousands of equal tasks than for one while they wait.
type taskTable struct {
	count   int                      // count is the number of tasks.
	records []almondcross.TaskRecord // records holds the records of the first tasks, up to the last one that is not new.
}

// newTaskTable returns the table of a number of tasks of which the first ones have records.
func newTaskTable(count int, records []almondcross.TaskRecord) taskTable {
	return taskTable{count: count, records: slices.Clone(records[:min(len(records), count)])}
}

// len returns the number of tasks.
func (tasktable *taskTable) len() int { return tasktable.count }

// at returns the record of a task.
func (tasktable *taskTable) at(index int) almondcross.TaskRecord {
	if index < len(tasktable.records) {
		return tasktable.records[index]
	}
	return almondcross.TaskRecord{}
}

// set replaces the record of a task.
func (tasktable *taskTable) set(index int, record almondcross.TaskRecord) {
	if missing := index + 1 - len(tasktable.records); missing > 0 {
		tasktable.records = append(tasktable.records, make([]almondcross.TaskRecord, missing)...)
	}
	tasktable.records[index] = record
}

// change replaces the record of every task that is not new.
func (tasktable *taskTable) change(next func(record almondcross.TaskRecord) almondcross.TaskRecord) {
	for index, record := range tasktable.records {
		tasktable.records[index] = next(record)
	}
}

// known returns the records of the tasks up to the last one that is not new. The caller must not change them.
func (tasktable *taskTable) known() []almondcross.TaskRecord { return tasktable.records }
