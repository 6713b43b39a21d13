package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

func (member *member) refused(task almondcross.Task, code almondcross.Code) {
	member.apply(almondcross.NewTaskRefused(almondcross.TaskRefusedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: memberID("e1"), Code: code,
	}))
}

// Guards against not_run for a gang of which one task was refused while the start of another was under way, and
// against placing the gang again while that task runs.
func TestRefusedGangWaitsForItsStarts(t *testing.T) {
	for _, code := range []almondcross.Code{almondcross.CodeTaskFailed, almondcross.CodeNoLinkLease} {
		member := newMember(t)
		member.setPeers()
		member.post("crew")
		tasks := member.placed()
		member.refused(tasks[0], code)
		require.Empty(t, member.replies)
		member.advance(500 * time.Millisecond)
		require.Len(t, member.placed(), 2)
		member.started(tasks[1], "e1", "w1", 1)
		member.ended(tasks[1], "e1", "w1", code)
		if code == almondcross.CodeTaskFailed {
			require.Len(t, member.placed(), 4)
			require.Equal(t, "w1", member.lastPlaced().Avoid())
			continue
		}
		require.Len(t, member.replies, 1)
		require.Equal(t, almondcross.StatusFailed, member.replies[0].Status())
	}
}

// Guards against a gang that ends with unknown or never, although none of its tasks was started.
func TestRefusedGangEnds(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	member.post("crew")
	tasks := member.placed()
	member.refused(tasks[1], almondcross.CodeNeverFits)
	member.refused(tasks[0], almondcross.CodeNeverFits)
	require.Len(t, member.replies, 1)
	require.Equal(t, almondcross.StatusNotRun, member.replies[0].Status())
	require.Equal(t, almondcross.CodeNeverFits, member.replies[0].Code())

	member = newMember(t)
	member.setPeers()
	member.post("crew")
	tasks = member.placed()
	member.refused(tasks[1], almondcross.CodeNoLinkLease)
	member.refused(tasks[0], almondcross.CodeNoLinkLease)
	member.advance(time.Second)
	require.Len(t, member.placed(), 4)
	require.Empty(t, member.replies)
}

// Guards against a part of a gang's answer that is told as the whole answer: a holder resends the end of one of its
// tasks to a coordinator that does not know the gang.
func TestEndOfGangTaskIsNoAnswer(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	task := almondcross.NewTask(almondcross.TaskConfig{ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Attempt: 7})
	member.apply(almondcross.NewTaskEnded(almondcross.TaskEndedConfig{
		Result: almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: task.ID(), Attempt: 7, Answer: []byte("part")}),
		Holder: memberID("e1"), Target: "w1", Partial: true,
	}))
	member.post("crew")
	require.Empty(t, member.replies)
}

// Guards against a gang that never ends after its coordinator was lost: a task that ended before the loss, or whose
// holder was lost too, is reported by nobody.
func TestAdoptedGangEnds(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	task := almondcross.NewTask(almondcross.TaskConfig{
		ID:    almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key, Index: 1}),
		Entry: "crew", Owner: "sales", Class: almondcross.ClassGang, Attempt: 7, Size: 2, Repeatable: true, Coordinator: memberID("e9"),
	})
	member.requestAdoption(task, "e2", "w2", 1)
	member.advance(almondcross.HoldBack - time.Second)
	require.Empty(t, sent[almondcross.StopTask](member, "e2"))
	member.advance(2 * time.Second)
	require.NotEmpty(t, sent[almondcross.StopTask](member, "e2"))
	require.Empty(t, member.placed())
	member.ended(task, "e2", "w2", almondcross.CodeTargetLost)
	require.Len(t, member.placed(), 2)
}
