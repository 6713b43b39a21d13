package coordinator_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a task of a cancelled request that runs on to its end because its holder was lost before the worker
// received the stop: the next holder, which asks for the adoption of the task, has to be told to stop it.
func TestCancelledTaskIsStoppedByNextHolder(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2", "e3")
	member.post("tally")
	task := member.placed()[0]
	member.started(task, "e2", "w1", 1)
	member.cancel()
	require.Len(t, sent[almondcross.StopTask](member, "e2"), 1)
	member.setPeers("e3")
	member.requestAdoption(task, "e3", "w1", 2)
	stops := sent[almondcross.StopTask](member, "e3")
	require.Len(t, stops, 1)
	require.Equal(t, task.ID(), stops[0].ID())
	require.Equal(t, almondcross.CodeCancelled, stops[0].Code())
	member.ended(task, "e3", "w1", almondcross.CodeCancelled)
	for _, reply := range member.replies {
		require.Equal(t, almondcross.StatusFailed, reply.Status())
		require.Equal(t, almondcross.CodeCancelled, reply.Code())
	}
	require.Len(t, member.replies, 2)
}

// Guards against a stop that is sent once and lost, for example because the ring of the placer or a link is full.
func TestStopIsRepeatedUntilTheEnd(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	member.post("tally")
	task := member.placed()[0]
	member.started(task, "e2", "w1", 1)
	member.cancel()
	member.advance(3 * time.Second)
	require.GreaterOrEqual(t, len(sent[almondcross.StopTask](member, "e2")), 3)
	member.ended(task, "e2", "w1", almondcross.CodeCancelled)
	count := len(sent[almondcross.StopTask](member, "e2"))
	member.advance(3 * time.Second)
	require.Len(t, sent[almondcross.StopTask](member, "e2"), count)
}

// Guards against the loss of the stop of a task that waits in the queue of another holder: the local placer forgets
// after a minute to whom it forwarded the task.
func TestStopOfForwardedTaskReachesItsHolder(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2")
	member.post("tally")
	task := member.placed()[0]
	member.apply(almondcross.NewTaskForwarded(almondcross.TaskForwardedConfig{
		ID: task.ID(), Attempt: task.Attempt(), Holder: memberID("e2"),
	}))
	member.cancel()
	require.Len(t, sent[almondcross.StopTask](member, "e2"), 1)
}

// Guards against a gang whose other tasks run on after one of them failed, because a holder was lost before the
// workers received the stops.
func TestFailedGangIsStoppedByNextHolder(t *testing.T) {
	member := newMember(t)
	member.chooseKey("e1", "e2", "e3")
	member.post("crew")
	tasks := member.placed()
	require.Len(t, tasks, 2)
	member.started(tasks[0], "e1", "w1", 1)
	member.started(tasks[1], "e2", "w2", 1)
	member.ended(tasks[0], "e1", "w1", almondcross.CodeTaskFailed)
	require.Len(t, sent[almondcross.StopTask](member, "e2"), 1)
	member.setPeers("e3")
	member.requestAdoption(tasks[1], "e3", "w2", 2)
	require.Len(t, sent[almondcross.StopTask](member, "e3"), 1)
}

// Guards against a service replica above the catalogue's count that runs on because the member that was to stop it was
// lost: the member that adopts the replica has to stop it.
func TestAdoptedReplicaAboveCountIsStopped(t *testing.T) {
	member := newMember(t)
	member.key = almondcross.NewKey(almondcross.KeyConfig{Caller: "almondcross", Origin: "north"})
	for replica := range 100 {
		member.key = member.key.WithName("service/front/north/" + strconv.Itoa(replica+1))
		member.setPeers("e2")
		if chosen, _ := member.view().Coordinator(member.key); chosen.ID().Name() == "e1" {
			break
		}
	}
	member.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{
		Catalogue: almondcross.NewCatalogueOf(1, []almondcross.Entry{almondcross.NewEntry(almondcross.EntryConfig{
			Name: "front", Owner: "sales", Class: almondcross.ClassService, Replicas: 1, Share: 1, Repeatable: true, Version: 1,
		})}),
	}))
	member.requestAdoption(almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Entry: "front", Class: almondcross.ClassService, Attempt: 7,
		Size: 1, Repeatable: true, Coordinator: memberID("e9"),
	}), "e2", "w1", 1)
	member.advance(2 * time.Second)
	require.NotEmpty(t, sent[almondcross.StopTask](member, "e2"))
}
