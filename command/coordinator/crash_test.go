package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
)

// lost reports that a task has stopped without a result, and whether its target was lost with it.
func (member *member) lost(task almondcross.Task, target string, targetLost bool) {
	member.apply(almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: memberID("e1"), Target: target,
		Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: 1}), TargetLost: targetLost,
	}))
}

// lastPlaced returns the task that was placed last.
func (member *member) lastPlaced() almondcross.Task {
	placed := member.placed()
	require.NotEmpty(member.t, placed)
	return placed[len(placed)-1]
}

// Guards against starting a task without bound on targets that crash under it, against not_run for it, and against
// counting losses of a task whose target did not restart.
func TestLostTargetsAreBounded(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	member.post("tally")
	for index, target := range []string{"w1", "w2", "w3", "w4"} {
		task := member.lastPlaced()
		member.started(task, "e1", target, 1)
		member.lost(task, target, index != 1)
	}
	require.Len(t, member.placed(), 4)
	require.Equal(t, 2, member.lastPlaced().LostTargets())
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.StatusFailed, member.replies[0].Status())
	require.Equal(t, almondcross.CodeTargetsCrashed, member.replies[0].Code())
	var accounted []almondcross.Code
	for _, effect := range member.effects {
		if account, ok := effect.(coordinator.Account); ok {
			accounted = append(accounted, account.Event.Code())
		}
	}
	require.Equal(t, []almondcross.Code{almondcross.CodeTargetsCrashed}, accounted)
}

// Guards against counting a target that was cut off: it answered again with the same boot number, which its holder
// reports, or with the result of the attempt.
func TestLostTargetIsTakenBack(t *testing.T) {
	for _, result := range []bool{true, false} {
		member := newMember(t)
		member.setPeers()
		member.post("tally")
		task := member.lastPlaced()
		member.lost(task, "w1", true)
		require.Equal(t, 1, member.lastPlaced().LostTargets())
		if result {
			member.ended(task, "e1", "w1", almondcross.CodeTaskStopped)
		} else {
			member.lost(task, "w1", false)
		}
		member.lost(member.lastPlaced(), "w2", true)
		require.Equal(t, 1, member.lastPlaced().LostTargets())
	}
}

// Guards against a count that starts again with each coordinator.
func TestLostTargetsSurviveAdoption(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	member.requestAdoption(almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Entry: "tally", Attempt: 7, Size: 1, Repeatable: true,
		Coordinator: memberID("e9"), LostTargets: 1,
	}), "e2", "w1", 1)
	member.apply(almondcross.NewTaskLost(almondcross.TaskLostConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Attempt: 7, Holder: memberID("e2"), Target: "w1",
		Term: almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: 1}), TargetLost: true,
	}))
	require.Equal(t, 2, member.lastPlaced().LostTargets())
}

// Guards against a service replica that crashes a target each second, and against giving a service up for losses that
// lie far apart or after its entry was changed.
func TestCrashingServiceIsDelayed(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	service := almondcross.NewEntry(almondcross.EntryConfig{
		Name: "front", Owner: "sales", Class: almondcross.ClassService, Replicas: 1, Share: 1, Repeatable: true, Version: 1,
	})
	setEntry := func(entry almondcross.Entry) {
		member.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{
			Catalogue: almondcross.NewCatalogueOf(entry.Version(), []almondcross.Entry{entry}),
		}))
	}
	loseTarget := func(after time.Duration) {
		task := member.lastPlaced()
		member.started(task, "e1", "w1", 1)
		member.advance(after)
		member.lost(task, "w1", true)
	}
	setEntry(service)
	for range 4 {
		loseTarget(11 * time.Minute)
		member.advance(5 * time.Second)
	}
	require.Len(t, member.placed(), 5)
	loseTarget(time.Second)
	member.advance(5 * time.Second)
	placed := 6
	for _, delay := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		loseTarget(time.Second)
		member.advance(delay*time.Minute - 2*time.Second)
		require.Len(t, member.placed(), placed)
		member.advance(4 * time.Second)
		placed++
		require.Len(t, member.placed(), placed)
	}
	loseTarget(time.Second)
	setEntry(service.WithVersion(2))
	member.advance(5 * time.Second)
	require.Len(t, member.placed(), placed+1)
	require.Zero(t, member.lastPlaced().LostTargets())
}
