package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// announceLife reads the announcement of an incarnation of the worker with labels. An incarnation of 0 is not announced.
func (harness *harness) announceLife(incarnation int64, labels ...string) {
	harness.apply(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Changes: []almondcross.WorkerChange{
		almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{
			ID: workerID, Present: true, Worker: poolWorker.WithIncarnation(incarnation).WithLabels(labels),
		}),
	}}))
}

// startsFor reports whether a job that needs a label gets a start order.
func (harness *harness) startsFor(id almondcross.JobID, label string) bool {
	harness.submitJob(id, almondcross.StepConfig{Count: 1, Label: label})
	harness.answerCommits()
	_, started := takeEffect[SendStart](harness)
	return started
}

// Guards against a task on a worker of another kind (ROUTE): a worker that restarted under its identity was given work by
// the announcement of its earlier life, until its new announcement was read.
func TestRestartedWorkerGetsNoWorkBeforeItsAnnouncement(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.announceLife(1, "a")
	require.True(t, harness.startsFor("first", "a"))
	harness.answerLeaseAs(2)
	harness.answerCommits()
	require.False(t, harness.startsFor("stale", "a"), "only the earlier life is announced")
	requireEffect[SendLease](harness)
	harness.announceLife(1, "a")
	require.False(t, harness.startsFor("lagging", "a"), "the announcement of the earlier life is read once more")
	harness.announceLife(2, "b")
	require.True(t, harness.startsFor("other kind", "b"))
	require.False(t, harness.startsFor("old kind", "a"))
}

// Guards against a start order to a worker that restarted between the decision and its commit, with or without its new
// announcement.
func TestRunIsNotStartedOnTheNextLifeOfItsWorker(t *testing.T) {
	for name, announced := range map[string]int64{"not announced": 1, "announced with another kind": 2} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.becomeScheduler()
			harness.announceLife(1, "a")
			harness.submitJob("j", almondcross.StepConfig{Count: 1, Label: "a"})
			_, found := harness.pendingCommit()
			require.True(t, found)
			harness.answerLeaseAs(2)
			if announced == 2 {
				harness.announceLife(2, "b")
			}
			harness.answerCommits()
			_, started := takeEffect[SendStart](harness)
			require.False(t, started)
		})
	}
}

// Guards against an announcement without its incarnation that counts for any of them, and against a worker that such
// announcements keep out for good: one read long enough after a restart is that of the current life.
func TestAnnouncementWithoutIncarnationCountsAfterARestart(t *testing.T) {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.announceLife(0, "a")
	require.True(t, harness.startsFor("first", "a"), "the life is older than any announcement of an earlier one")
	harness.answerLeaseAs(2)
	harness.answerLeaseAs(2)
	restarted := harness.now
	for number := 0; harness.now.Sub(restarted) < maxAnnouncementAge; number++ {
		harness.announceLife(0, "a")
		require.False(t, harness.startsFor(almondcross.JobID(rune('a'+number)), "a"))
		harness.answerLeaseAs(2) // Lease orders go on.
		harness.advance(500 * time.Millisecond)
	}
	harness.announceLife(0, "b")
	require.True(t, harness.startsFor("new kind", "b"))
}

// Guards against a worker whose clock is ahead and that gets no work from a scheduler for that long.
func TestClockAheadDelaysAnnouncementsWithoutIncarnationOnce(t *testing.T) {
	harness := newHarness(t)
	worker := &worker{}
	worker.announcedFrom = harness.machine.nextAnnouncement(worker, harness.now.Add(time.Hour).UnixMilli())
	worker.announcedAt = harness.machine.now.Add(maxAnnouncementAge)
	require.True(t, worker.lifeAnnounced())
	worker.announcedAt = worker.announcedAt.Add(-1)
	require.False(t, worker.lifeAnnounced())
}
