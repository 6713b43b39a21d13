package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// TestLimitOfAnEntryThatTheCatalogueLacks guards against a holder that starts any number of tasks of a limited entry because
// its catalogue is older than that of the coordinator, or was not read since the start of the host, and against a limit that
// outlives one in the catalogue.
func TestLimitOfAnEntryThatTheCatalogueLacks(t *testing.T) {
	cell := newCell(t, 1)
	limited := func(index int) almondcross.Task { return cell.task("a", "batch", index).WithMaxRunning(1) }
	for index := range 3 {
		cell.place(limited(index))
	}
	require.Len(t, cell.started, 1)
	cell.finish(limited(0).ID(), time.Second)
	require.Len(t, cell.started, 2, "the next task starts after the end of the one before")
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: limited(0).Entry(), Owner: "a", Class: almondcross.ClassBatch, MaxRunning: 2})
	cell.apply(almondcross.NewCatalogueChanged(almondcross.CatalogueChangedConfig{Catalogue: almondcross.NewCatalogue().WithEntry(entry)}))
	require.Len(t, cell.started, 3, "the catalogue decides once it has the entry")
}
