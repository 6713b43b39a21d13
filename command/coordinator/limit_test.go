package coordinator_test

import (
	"testing"

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
