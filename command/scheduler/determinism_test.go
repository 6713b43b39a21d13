package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// courseRepetitions is how often a course is repeated. A wrong order of two equal things shows in half of the repetitions.
const courseRepetitions = 12

// advisedQueue is a queue whose tasks need advice. No host of a course answers a call for it.
const advisedQueue = "advised"

// eventLines implements almondcross.EventLog and keeps the lines.
type eventLines struct{ lines []string }

// Record keeps a line.
func (eventlines *eventLines) Record(event string, fields ...almondcross.LogField) {
	eventlines.lines = append(eventlines.lines, fmt.Sprint(event, fields))
}

// course drives one machine and answers its requests. It keeps all effects in their order.
type course struct {
	*harness
	all     []Effect
	log     *eventLines
	running map[string][]almondcross.RunningTask // running holds the runs of each worker in the order of their starts.
	silent  map[string]bool                      // silent holds the workers that do not answer.
}

func newCourse(t *testing.T) *course {
	t.Helper()
	course := &course{harness: newHarness(t), log: &eventLines{}, running: map[string][]almondcross.RunningTask{}, silent: map[string]bool{}}
	course.machine.config.Log = course.log
	return course
}

// linkHosts links hosts with equal strengths, which may all be standbys.
func (course *course) linkHosts(count int) {
	for index := range count {
		name := fmt.Sprintf("h-%d", index+2)
		course.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: name, Present: true, Strength: 80, Address: name + ":1"}))
	}
}

func (course *course) readRoutes(version int64, names ...string) {
	var queues []almondcross.Queue
	for _, name := range names {
		queues = append(queues, almondcross.NewQueue(almondcross.QueueConfig{
			Name: name, Pool: "pool", MaxAttempts: 2, AdviceSettings: almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
				Required: name == advisedQueue, Base: 50 * time.Millisecond, Validity: time.Second,
			}),
		}))
	}
	course.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{
		Table: almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: version, Queues: queues}),
	}))
}

func (course *course) readWorkers(count int) {
	var changes []almondcross.WorkerChange
	for index := range count {
		id := fmt.Sprintf("w-%d", index+1)
		changes = append(changes, almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: id, Present: true, Worker: almondcross.NewWorker(almondcross.WorkerConfig{
			ID: id, Pool: "pool", Address: fmt.Sprintf("10.0.0.%d:1", index+1), Rack: "r1-1",
			Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000, MemoryMB: 4000}),
		})}))
	}
	course.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Complete: true, Changes: changes}))
}

// admit hands in jobs of several queues that were submitted at the same moment.
func (course *course) admit(prefix string, count, runs int, queues ...string) {
	submitted := course.now
	for index := range count {
		config := almondcross.JobConfig{
			ID: almondcross.JobID(fmt.Sprintf("%s-%02d", prefix, index)), Queue: queues[index%len(queues)], Payload: "p", Submitted: submitted, Runs: runs,
			Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 2, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 500, MemoryMB: 100})})},
		}
		if runs > 0 {
			config.First, config.Period = submitted.Add(50*time.Millisecond), time.Hour
		}
		course.machine.Apply(almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{
			Host: "h-2", Number: int64(index), Intake: almondcross.NewIntake(almondcross.IntakeConfig{Job: almondcross.NewJob(config)}),
		}), course.now)
	}
}

// pass advances for a time and answers the requests of the machine.
func (course *course) pass(span time.Duration) {
	for end := course.now.Add(span); course.now.Before(end); {
		course.advance(5 * time.Millisecond)
		effects := course.effects
		course.effects = nil
		for _, effect := range effects {
			course.all = append(course.all, effect)
			course.answer(effect)
		}
	}
}

func (course *course) answer(effect Effect) {
	switch effect := effect.(type) {
	case Commit:
		offset := course.journalEnd
		course.journalEnd += int64(len(effect.Request.Batches()))
		course.batches = append(course.batches, effect.Request.Batches()...)
		course.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
			Commit: effect.Request, Appended: almondcross.NewStoreAppended(almondcross.StoreAppendedConfig{Offset: offset, End: course.journalEnd}),
		}))
	case SendLease:
		worker := effect.Order.Worker().ID()
		if course.silent[worker] {
			return
		}
		course.apply(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: effect.Order, Result: almondcross.OrderDone, Sent: course.now, Received: course.now,
			Report: almondcross.NewWorkerReport(almondcross.WorkerReportConfig{
				ID: worker, Incarnation: 1, Running: course.running[worker], Clock: course.now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
			}),
		}))
	case SendStart:
		worker := effect.Order.Worker().ID()
		course.running[worker] = append(course.running[worker], almondcross.NewRunningTask(almondcross.RunningTaskConfig{Task: effect.Order.Task(), Run: effect.Order.Run()}))
		course.apply(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: effect.Order, Incarnation: effect.Order.Incarnation(), Result: almondcross.OrderDone, Received: course.now}))
	default: // The others need no answer here.
	}
}

// elect makes the machine the scheduler of a journal that has some batches.
func (course *course) elect(batches ...almondcross.JournalBatch) {
	course.journalEnd = int64(len(batches))
	course.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Stored: true}))
	course.apply(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{}))
	course.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{Next: course.journalEnd, End: course.journalEnd, Batches: batches}))
	for range 200 {
		course.pass(20 * time.Millisecond)
		if course.machine.Leads() {
			return
		}
		course.apply(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: course.machine.follower.nextOffset, Next: course.journalEnd, End: course.journalEnd}))
	}
	require.Fail(course.t, "the machine was not elected")
}

// playFirst plays the course of a scheduler from its election to its end.
func playFirst(t *testing.T) *course {
	t.Helper()
	course := newCourse(t)
	course.readRoutes(1, "a", "b", advisedQueue)
	course.linkHosts(8)
	course.elect()
	course.readWorkers(6)
	course.pass(100 * time.Millisecond)
	course.admit("advised", 4, 0, advisedQueue)
	course.admit("job", 12, 0, "a", "b")
	course.admit("unsettled", 6, 0, "c")
	course.admit("timed", 6, 1, "a")
	course.pass(500 * time.Millisecond)
	for _, id := range []almondcross.JobID{"job-03", "job-07", "timed-02"} {
		course.cancelJob(id)
	}
	course.pass(200 * time.Millisecond)
	course.linkHosts(2) // They are linked again.
	course.silent["w-2"] = true
	course.pass(200 * time.Millisecond)
	course.readRoutes(2, "a", "b", "c", advisedQueue)
	course.admit("late", 30, 0, "a", "b", "c") // More than there is room for.
	course.pass(1500 * time.Millisecond)       // Calls for advice time out.
	return course
}

// playTakeover plays the course of a scheduler that takes over the journal of another one, until it is fenced off.
func playTakeover(t *testing.T, batches []almondcross.JournalBatch) *course {
	t.Helper()
	course := newCourse(t)
	course.now = batches[len(batches)-1].At().Add(10 * time.Second)
	course.readRoutes(2, "a", "b", "c")
	course.linkHosts(8)
	course.elect(batches...)
	course.readWorkers(6)
	course.pass(300 * time.Millisecond)
	course.apply(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{Commit: course.nextCommit(), Err: almondcross.ErrStoreFenced}))
	course.pass(50 * time.Millisecond)
	require.False(t, course.machine.Leads())
	return course
}

// nextCommit waits for the next append and returns it unanswered.
func (course *course) nextCommit() almondcross.JournalCommit {
	for range 200 {
		course.advance(5 * time.Millisecond)
		if commit, found := takeEffect[Commit](course.harness); found {
			return commit.Request
		}
		course.effects = nil
	}
	require.Fail(course.t, "no append")
	return almondcross.JournalCommit{}
}

// Guards against decisions that follow the order of a map: the same inputs then lead to other standbys, placements, records of
// the journal and messages in each process, and a course of events cannot be repeated.
func TestDecisionsFollowFromTheInputs(t *testing.T) {
	first := playFirst(t)
	require.NotEmpty(t, first.batches)
	require.Contains(t, strings.Join(first.log.lines, "\n"), "advice_given_up")
	takeover := playTakeover(t, first.batches)
	for range courseRepetitions {
		again := playFirst(t)
		requireSameCourse(t, first, again)
		requireSameCourse(t, takeover, playTakeover(t, first.batches))
	}
}

// requireSameCourse compares the effects one by one, so that a failure shows the first that differs.
func requireSameCourse(t *testing.T, expected, actual *course) {
	t.Helper()
	for index := range min(len(expected.all), len(actual.all)) {
		if requireSameReset(t, expected.all[index], actual.all[index]) {
			continue
		}
		require.Equal(t, expected.all[index], actual.all[index], "effect %d of %d", index, len(expected.all))
	}
	require.Len(t, actual.all, len(expected.all))
	require.Equal(t, expected.batches, actual.batches)
	require.Equal(t, expected.log.lines, actual.log.lines)
}

// requireSameReset compares two pushes of all views, whose order has no effect, and reports whether the effects are such pushes.
func requireSameReset(t *testing.T, expected, actual Effect) bool {
	t.Helper()
	first, isPush := expected.(PushViews)
	if !isPush || !first.Pushed.Reset() {
		return false
	}
	second, isPush := actual.(PushViews)
	require.True(t, isPush && second.Pushed.Reset())
	require.Equal(t, first.Hosts, second.Hosts)
	require.ElementsMatch(t, first.Pushed.Changes(), second.Pushed.Changes())
	return true
}
