package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against a holder that cannot know the limit of an entry which its catalogue lacks.
func TestPlacedTasksNameTheLimitOfTheirEntry(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	member.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{
		Catalogue: almondcross.NewCatalogueOf(2, []almondcross.Entry{
			almondcross.NewEntry(almondcross.EntryConfig{Name: "tally", Owner: "sales", Class: almondcross.ClassBatch, Repeatable: true, MaxRunning: 3}),
		}),
	}))
	member.post("tally")
	require.Equal(t, 3, member.lastPlaced().MaxRunning())
}

// Guards against an adopted task that is started again without the limits of its entry, or without its urgency, because the
// catalogue lacks the entry or was not read yet.
func TestAdoptedTaskKeepsTheLimitsOfItsEntry(t *testing.T) {
	member := newMember(t)
	member.setPeers()
	task := almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{Key: member.key}), Entry: "audit", Owner: "sales", Class: almondcross.ClassBatch,
		Repeatable: true, Urgent: true, Size: 1, Attempt: 1, Coordinator: memberID("e1"),
		MaxRun: time.Hour, MaxRunning: 3, ExpectedRun: time.Minute,
	})
	member.requestAdoption(task, "e1", "w1", 1)
	member.lost(task, "w1", false)
	again := member.lastPlaced()
	require.Equal(t, time.Hour, again.MaxRun())
	require.Equal(t, time.Minute, again.ExpectedRun())
	require.Equal(t, 3, again.MaxRunning())
	require.True(t, again.Urgent())
}
