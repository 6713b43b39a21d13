package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// crashCell is the replicated state of a cell whose workers have one lasting run each, and a job "j" of one task that is
// always alone on its worker.
type crashCell struct {
	t     *testing.T
	state *state
	now   time.Time
	run   int
}

func newCrashCell(t *testing.T, workers int) *crashCell {
	cell := &crashCell{t: t, state: newState(time.Minute), now: time.Unix(1767225600, 0)}
	cell.apply(
		almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob("others", almondcross.StepConfig{Count: workers})},
		almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob("j", almondcross.StepConfig{Count: 1})},
	)
	for index := range workers {
		cell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("others", 0, index), Run: 1, Worker: "w-" + strconv.Itoa(index)})
	}
	return cell
}

// apply applies a batch of changes.
func (crashcell *crashCell) apply(changes ...almondcross.ChangeConfig) {
	config := almondcross.JournalBatchConfig{Epoch: 1, At: crashcell.now}
	for _, change := range changes {
		config.Changes = append(config.Changes, almondcross.NewChange(change))
	}
	crashcell.state.applyBatch(almondcross.NewJournalBatch(config), crashcell.now)
}

// crashAlone starts the task and crashes its worker after a time at work. The end is recorded a second later.
func (crashcell *crashCell) crashAlone(worked time.Duration) {
	crashcell.run++
	worker := "own-" + strconv.Itoa(crashcell.run)
	crashcell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: taskOf("j", 0, 0), Run: crashcell.run, Worker: worker})
	crashcell.now = crashcell.now.Add(worked + time.Second)
	crashcell.apply(almondcross.ChangeConfig{
		Kind: almondcross.ChangeEnd, Task: taskOf("j", 0, 0), Run: crashcell.run, Worker: worker, End: almondcross.EndCrashedAlone, Silent: time.Second,
	})
}

// endRun starts the task and ends its run in a given way a second later.
func (crashcell *crashCell) endRun(end almondcross.ChangeConfig) {
	crashcell.endRunAfter(time.Second, end)
}

// endRunAfter starts the task and ends its run in a given way after a time at work.
func (crashcell *crashCell) endRunAfter(worked time.Duration, end almondcross.ChangeConfig) {
	crashcell.run++
	end.Kind, end.Task, end.Run, end.Worker = almondcross.ChangeEnd, taskOf("j", 0, 0), crashcell.run, "own-"+strconv.Itoa(crashcell.run)
	crashcell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: end.Task, Run: end.Run, Worker: end.Worker})
	crashcell.now = crashcell.now.Add(worked)
	crashcell.apply(end)
}

// crashOthers crashes workers under their lasting runs, which then go on elsewhere.
func (crashcell *crashCell) crashOthers(first, count int) {
	for index := first; index < first+count; index++ {
		task, run := taskOf("others", 0, index), crashcell.state.jobs["others"].stages[0].tasks.at(index).Run()
		crashcell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: task, Run: run, Worker: "w-" + strconv.Itoa(index), End: almondcross.EndWorkerCrashed},
			almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task, Run: run + 1, Worker: "w-" + strconv.Itoa(index)})
	}
}

// reload replaces the state by the one that another host loads from a stored snapshot.
func (crashcell *crashCell) reload() {
	codec, err := encoder.NewCodec()
	require.NoError(crashcell.t, err)
	parts, err := codec.EncodeSnapshot(crashcell.state.snapshot(1, crashcell.now), 1<<20)
	require.NoError(crashcell.t, err)
	snapshot, found, err := codec.DecodeSnapshot([]almondcross.KeyedRecord{almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Value: parts[0]})})
	require.NoError(crashcell.t, err)
	require.True(crashcell.t, found)
	crashcell.state = restore(snapshot, time.Minute, crashcell.now, nil)
}

// Guards against a long task that is shown as failed because it ran on two of many workers that crash (LOST), also by a
// host that loads the state in between, against a task that crashes each worker at its start and is started more often than
// before, and against any task that is started three times more after the third crash (BUDGET).
func TestCrashesAreWeighedAgainstThoseOfOtherWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		workers, crashing int // crashing is how many of the other workers crash before each crash of the task.
		worked            time.Duration
		crashes           int // crashes is the number of crashes at which the task is given up.
	}{
		"at its start, no other crash":            {48, 0, 50 * time.Millisecond, 2},
		"at its start, others crash":              {48, 6, 50 * time.Millisecond, 3},
		"at its start, small cell":                {3, 0, 50 * time.Millisecond, 2},
		"after a second, no other crash":          {48, 0, time.Second, 3},
		"after seconds, others crash":             {48, 6, 8 * time.Second, maxLosses},
		"after seconds, others crash, small cell": {8, 1, 8 * time.Second, maxLosses},
		"after half a second, others crash":       {48, 6, 500 * time.Millisecond, maxLosses},
		"after more than a minute":                {48, 0, crashAttribution + time.Second, maxLosses},
	} {
		for _, reloads := range []bool{false, true} {
			cell := newCrashCell(t, test.workers)
			crashes := 0
			for !cell.state.jobs["j"].state.Final() && crashes < 20 {
				cell.now = cell.now.Add(4 * time.Second)
				cell.crashOthers(crashes*test.crashing%max(test.workers-test.crashing, 1), test.crashing)
				if reloads {
					cell.reload()
				}
				cell.crashAlone(test.worked)
				crashes++
			}
			require.Equal(t, almondcross.JobFailed, cell.state.jobs["j"].state, name)
			require.Equal(t, test.crashes, crashes, "%s, the state is loaded again: %t", name, reloads)
		}
	}
}

// Guards against tasks that crash workers and hide each other: their crashes, each right after a start, would count as
// those of workers that crash for another reason.
func TestCrashesRightAfterAStartExplainNoOther(t *testing.T) {
	cell := newCrashCell(t, 48)
	for index := range 12 {
		cell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("others", 0, index), Run: 1, End: almondcross.EndWorkerCrashed, Worker: "w-" + strconv.Itoa(index)})
	}
	cell.crashAlone(50 * time.Millisecond)
	cell.crashAlone(50 * time.Millisecond)
	require.Equal(t, almondcross.JobFailed, cell.state.jobs["j"].state)
}

// Guards against crashes that are never forgotten, and against a worker with several runs that counts for each of them.
func TestRecentCrashesOfWorkersAreCountedOnce(t *testing.T) {
	state, at := newState(time.Minute), time.Unix(1767225600, 0)
	state.batchTime = at
	for range 3 {
		state.addWorkerCrash("w-1", at, false)
	}
	state.addWorkerCrash("w-2", at, false)
	require.Len(t, state.crashes, 2)
	state.addWorkerCrash("w-2", at, true)
	require.True(t, state.crashes[1].Attributed())
	quiet := newState(time.Minute).crashRarity(0)
	require.Less(t, state.crashRarity(0), quiet)
	state.batchTime = at.Add(crashWindow + time.Second)
	require.Equal(t, quiet, state.crashRarity(0))
	state.addWorkerCrash("w-3", state.batchTime, false)
	require.Len(t, state.crashes, 1)
}

// Guards against counts of busy workers that differ between hosts: they are counted from changes on one and from a snapshot
// on another.
func TestBusyWorkersAreThoseWithRuns(t *testing.T) {
	cell := newCrashCell(t, 3)
	cell.crashOthers(0, 2)
	cell.crashAlone(time.Second)
	require.Equal(t, map[string]int{"w-0": 1, "w-1": 1, "w-2": 1}, cell.state.busyWorkers)
	cell.reload()
	require.Equal(t, map[string]int{"w-0": 1, "w-1": 1, "w-2": 1}, cell.state.busyWorkers)
}

// Guards against a run whose worker crashes seconds after its start and that counts as one that crashed it at once: the
// worker's last answer may be older than the run.
func TestTimeAtWorkEndsWithTheContact(t *testing.T) {
	harness := newHarnessWithRun(t)
	worker := harness.machine.leader.workers[workerID]
	harness.advance(time.Second)
	order := requireEffect[SendLease](harness).Order
	for _, result := range []almondcross.OrderResult{almondcross.OrderUnknown, almondcross.OrderReplaced} {
		harness.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{Order: order, Result: result, Sent: harness.now, Received: harness.now}))
		harness.advance(100 * time.Millisecond)
	}
	harness.answerCommits()
	require.Empty(t, worker.assignments)
	record := harness.record(taskOf("j", 0, 0))
	require.Equal(t, 1, record.Confirmed())
	require.Equal(t, timeEvidence(time.Second+50*time.Millisecond), record.Evidence())
}

// Guards against a task that is started three times more after three workers have crashed under it (BUDGET), also by a host that
// loads the state in between: a member of a gang whose run ended with another member was started again, as only crashes counted.
// A start that the worker refused does not count, so that a full cell does not use up the starts of a task (LOST).
func TestStartsAfterTheThirdCrashAreBounded(t *testing.T) {
	crash := almondcross.ChangeConfig{End: almondcross.EndMaybeCrashed, Silent: time.Second}
	lost, refused := almondcross.ChangeConfig{End: almondcross.EndVoid, Silent: time.Second}, almondcross.ChangeConfig{End: almondcross.EndVoid}
	broken, incomplete := almondcross.ChangeConfig{End: almondcross.EndGangBroken}, almondcross.ChangeConfig{End: almondcross.EndGangIncomplete}
	stopped, expired := almondcross.ChangeConfig{End: almondcross.EndStopped}, almondcross.ChangeConfig{End: almondcross.EndLeaseExpired}
	failed, done := almondcross.ChangeConfig{End: almondcross.EndFailed}, almondcross.ChangeConfig{End: almondcross.EndDone}
	for name, test := range map[string]struct {
		ends  []almondcross.ChangeConfig // ends are the ends of the runs after the third crash.
		state almondcross.JobState
	}{
		"broken twice":        {[]almondcross.ChangeConfig{broken, broken}, almondcross.JobFailed},
		"broken, crash":       {[]almondcross.ChangeConfig{broken, crash}, almondcross.JobFailed},
		"crash, stopped":      {[]almondcross.ChangeConfig{crash, stopped}, almondcross.JobFailed},
		"lease expired, lost": {[]almondcross.ChangeConfig{expired, lost}, almondcross.JobFailed},
		"incomplete, failed":  {[]almondcross.ChangeConfig{incomplete, failed}, almondcross.JobFailed},
		"refused twice":       {[]almondcross.ChangeConfig{refused, refused}, almondcross.JobQueued},
		"refused, stopped":    {[]almondcross.ChangeConfig{refused, stopped}, almondcross.JobRunning},
		"stopped, done":       {[]almondcross.ChangeConfig{stopped, done}, almondcross.JobCompleted},
	} {
		for _, reloads := range []bool{false, true} {
			cell := newCrashCell(t, 8)
			for range 3 {
				cell.endRun(crash)
			}
			for _, end := range test.ends {
				if reloads {
					cell.reload()
				}
				require.False(t, cell.state.jobs["j"].state.Final(), name)
				cell.endRun(end)
			}
			require.Equal(t, test.state, cell.state.jobs["j"].state, "%s, the state is loaded again: %t", name, reloads)
		}
	}
}

// Guards against a job that is given up for stops of a task that has worked for long (LOST): a task that crashes its workers does so
// soon after its starts.
func TestLongRunsDoNotCountAfterTheThirdCrash(t *testing.T) {
	for worked, state := range map[time.Duration]almondcross.JobState{
		crashAttribution: almondcross.JobFailed, crashAttribution + time.Second: almondcross.JobRunning,
	} {
		cell := newCrashCell(t, 8)
		for range 3 {
			cell.endRun(almondcross.ChangeConfig{End: almondcross.EndMaybeCrashed, Silent: time.Second})
		}
		for range 2 {
			cell.endRunAfter(worked, almondcross.ChangeConfig{End: almondcross.EndStopped})
		}
		require.Equal(t, state, cell.state.jobs["j"].state, worked)
	}
}

// Guards against a service that is given up for ends that it did not cause (LOST): after three crashes right after its starts, runs
// that were at work for long do not count. Runs that end soon after their starts do (BUDGET).
func TestOnlyShortRunsOfAServiceCountAfterTheThirdCrash(t *testing.T) {
	for worked, state := range map[time.Duration]almondcross.JobState{
		time.Second: almondcross.JobFailed, serviceCrashAttribution + time.Second: almondcross.JobRunning,
	} {
		cell := newCrashCell(t, 8)
		cell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: newJob("s", almondcross.StepConfig{Count: 1, Service: true})})
		for run := 1; run <= maxLosses; run++ {
			require.False(t, cell.state.jobs["s"].state.Final())
			end := almondcross.ChangeConfig{Kind: almondcross.ChangeEnd, Task: taskOf("s", 0, 0), Run: run, End: almondcross.EndWorkerCrashed}
			atWork := time.Second
			if run > 3 {
				end.End, atWork = almondcross.EndStopped, worked
			}
			cell.apply(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: end.Task, Run: run, Worker: "w-s"})
			cell.now = cell.now.Add(atWork)
			cell.apply(end)
		}
		require.Equal(t, state, cell.state.jobs["s"].state, worked)
	}
}
