package jobfinder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/jobfinder"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// queueNamed returns the identity of a queue of which only the name is known.
func queueNamed(name string) almondcross.QueueID {
	return almondcross.NewQueueID(almondcross.QueueIDConfig{Name: name})
}

func newView(id almondcross.JobID, state almondcross.JobState) almondcross.JobView {
	return almondcross.NewJobView(almondcross.JobViewConfig{ID: id, Queue: queueNamed("q"), State: state, CountsAsPending: true})
}

// Guards against answers from views that are older than the answer may be. Only a final state stays true.
func TestAnswersDependOnTheAgeOfTheViews(t *testing.T) {
	table := jobfinder.New()
	table.Publish(newView("open", almondcross.JobQueued))
	table.Publish(newView("ended", almondcross.JobCompleted))
	know := func(id almondcross.JobID, after time.Duration) almondcross.JobKnowledge {
		_, knowledge := table.Lookup(id, queueNamed("q"), "", start.Add(after))
		return knowledge
	}
	counts := func(after time.Duration) bool {
		_, known := table.Pending(queueNamed("q"), start.Add(after))
		return known
	}
	require.Equal(t, almondcross.JobNotKnown, know("open", 0), "the views were never up to date")
	require.Equal(t, almondcross.JobKnown, know("ended", 0))
	require.False(t, counts(0))

	table.Refreshed(start, false)
	require.Equal(t, almondcross.JobKnown, know("open", time.Second))
	require.Equal(t, almondcross.JobNotKnown, know("absent", 0), "the job may be accepted and not admitted")
	require.False(t, counts(0), "accepted jobs that are not admitted are pending too")

	table.Refreshed(start, true)
	require.True(t, counts(1900*time.Millisecond))
	require.False(t, counts(2*time.Second))
	require.Equal(t, almondcross.JobGone, know("absent", 1400*time.Millisecond))
	require.Equal(t, almondcross.JobNotKnown, know("absent", 1500*time.Millisecond))
	require.Equal(t, almondcross.JobNotKnown, know("open", 2*time.Second))
	require.Equal(t, almondcross.JobKnown, know("ended", time.Hour))
	_, knowledge := table.Lookup("open", queueNamed("other"), "", start)
	require.Equal(t, almondcross.JobGone, knowledge, "the job belongs to another queue")
}

// Guards against a time between two sets of views at which a host answers from neither, and against a late answer that
// makes the views look older than they are.
func TestReplacedViewsKeepTheirAge(t *testing.T) {
	table := jobfinder.New()
	table.Publish(newView("a", almondcross.JobQueued))
	table.Publish(newView("b", almondcross.JobQueued))
	table.Refreshed(start, true)
	table.Replace([]almondcross.JobView{newView("b", almondcross.JobRunning), newView("c", almondcross.JobQueued)})
	table.Refreshed(start.Add(-time.Second), true)
	require.Equal(t, start, table.CompleteAt())
	require.Equal(t, start, table.RefreshedAt())
	count, known := table.Pending(queueNamed("q"), start)
	require.True(t, known)
	require.Equal(t, 1, count)
	_, found := table.Find("a")
	require.False(t, found)
	table.Publish(newView("c", almondcross.JobRunning))
	count, _ = table.Pending(queueNamed("q"), start)
	require.Zero(t, count)
}

// Guards against a queue that counts less than no pending job, and another one that counts a job for good: a job's view was
// replaced by that of its identity on another queue, as a host notes it that has stored a submission there.
func TestPendingCountFollowsTheQueueOfAView(t *testing.T) {
	table := jobfinder.New()
	table.Publish(newView("a", almondcross.JobQueued))
	table.Publish(newView("a", almondcross.JobQueued).WithQueue(queueNamed("other")))
	table.Refreshed(start, true)
	count := func(queue string) int {
		count, known := table.Pending(queueNamed(queue), start)
		require.True(t, known)
		return count
	}
	require.Zero(t, count("q"))
	require.Equal(t, 1, count("other"))
	table.Publish(newView("a", almondcross.JobRunning))
	require.Zero(t, count("q"))
	require.Zero(t, count("other"))
}

// Guards against waiting jobs that the count of their queue leaves out after it got another name at the same host and prefix (MIXED).
func TestPendingJobsOfARenamedQueueAreCounted(t *testing.T) {
	queue := func(name, prefix string) almondcross.QueueID {
		return almondcross.NewQueue(almondcross.QueueConfig{Name: name, Host: "Host", Prefix: prefix}).ID()
	}
	table := jobfinder.New()
	table.Publish(newView("a", almondcross.JobQueued).WithQueue(queue("before", "/a/")))
	table.Publish(newView("b", almondcross.JobQueued).WithQueue(queue("after", "/a/")))
	table.Publish(newView("c", almondcross.JobQueued).WithQueue(queue("other", "/c/")))
	table.Refreshed(start, true)
	count, known := table.Pending(queue("after", "/a/"), start)
	require.True(t, known)
	require.Equal(t, 2, count)
	_, knowledge := table.Lookup("c", queue("after", "/a/"), "", start)
	require.Equal(t, almondcross.JobGone, knowledge)
}
