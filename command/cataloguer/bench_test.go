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
	// hostMemoryBytes is the memory of a host in docs/design.md 1.2; the catalogue may use a tenth of it.
	hostMemoryBytes = 128 << 20
	// maxEntries is ten entries for each of 170 teams.
	maxEntries = 1700
)

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func newMachineWithEntries(entries int) *cataloguer.Machine {
	machine := cataloguer.NewMachine(cataloguer.MachineConfig{})
	for index := range entries {
		machine.Apply(recordsRead([]almondcross.CatalogueChange{numberedChange(index, index+1, 0)}, almondcross.Offset(index+2)), time.Unix(0, 0))
	}
	return machine
}

func numberedChange(entry, offset int, expected almondcross.Offset) almondcross.CatalogueChange {
	return newChange(fmt.Sprintf("entry-%d", entry), "ann", expected).WithID(fmt.Sprint("r", offset)).WithOffset(almondcross.Offset(offset))
}

// BenchmarkChange measures the cost of applying one change from the log and the memory used per entry.
func BenchmarkChange(b *testing.B) {
	for _, entries := range []int{10, 170, 1700} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			before := heapBytes()
			machine := newMachineWithEntries(entries)
			size := (heapBytes() - before) / float64(entries)
			next := entries + 1
			b.ReportAllocs()
			for b.Loop() {
				current, _ := machine.Catalogue().Entry(fmt.Sprintf("entry-%d", next%entries))
				machine.Apply(recordsRead([]almondcross.CatalogueChange{numberedChange(next%entries, next, current.Version())}, almondcross.Offset(next+1)), time.Unix(0, 0))
				next++
			}
			b.ReportMetric(size, "heap_bytes/entry")
		})
	}
}

// Guards against a catalogue that, with its audit trail and IDs, uses more than a tenth of a host's memory.
func TestCatalogueMemoryWithinBudget(t *testing.T) {
	before := heapBytes()
	machine := newMachineWithEntries(maxEntries)
	size := heapBytes() - before
	t.Logf("%.0f bytes for %d entries with their audit trail", size, maxEntries)
	require.LessOrEqual(t, size, float64(hostMemoryBytes/10))
	runtime.KeepAlive(machine)
}
