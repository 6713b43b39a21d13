package cataloguer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/cataloguer"
)

const (
	// budgetMemory is the memory of a node in docs/design.md 1.2; the catalogue may take a tenth of it.
	budgetMemory = 128 << 20
	// designEntries is ten entries for each of 170 teams.
	designEntries = 1700
)

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func newFilled(entries int) *cataloguer.Machine {
	machine := cataloguer.NewMachine(cataloguer.MachineConfig{})
	for index := range entries {
		machine.Apply(read([]almondcross.CatalogueChange{nth(index, index+1, 0)}, almondcross.Offset(index+2)), time.Unix(0, 0))
	}
	return machine
}

func nth(entry, offset int, expected almondcross.Offset) almondcross.CatalogueChange {
	return change(fmt.Sprintf("entry-%d", entry), "ann", expected).WithID(fmt.Sprint("r", offset)).WithOffset(almondcross.Offset(offset))
}

// BenchmarkChange reports the cost of one change read from the log, and the memory for an entry.
func BenchmarkChange(b *testing.B) {
	for _, entries := range []int{10, 170, 1700} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			before := heap()
			machine := newFilled(entries)
			size := (heap() - before) / float64(entries)
			next := entries + 1
			b.ReportAllocs()
			for b.Loop() {
				current, _ := machine.Catalogue().Entry(fmt.Sprintf("entry-%d", next%entries))
				machine.Apply(read([]almondcross.CatalogueChange{nth(next%entries, next, current.Version())}, almondcross.Offset(next+1)), time.Unix(0, 0))
				next++
			}
			b.ReportMetric(size, "heap_bytes/entry")
		})
	}
}

// Guards against a catalogue, with its audit trail and ids, that outgrows a tenth of the memory of a node.
func TestCatalogueFitsTheBudget(t *testing.T) {
	before := heap()
	machine := newFilled(designEntries)
	size := heap() - before
	t.Logf("%.0f bytes for %d entries with their audit trail", size, designEntries)
	require.LessOrEqual(t, size, float64(budgetMemory/10))
	runtime.KeepAlive(machine)
}
