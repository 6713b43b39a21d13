package cataloguer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/cataloguer"
)

func newChange(name, operator string, expected almondcross.Offset) almondcross.CatalogueChange {
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: name, Owner: operator, Share: 1})
	return almondcross.NewCatalogueChange(almondcross.CatalogueChangeConfig{
		Name: name, Entry: entry, Expected: expected, Operator: operator,
	})
}

// Guards against reducers that diverge: one that reads each record once, one that reads overlapping
// batches, and one that starts late from a checkpoint must reach the same catalogue. Also guards against
// a repeated record that changes an entry again, and against a published catalogue that moves back to
// the lower offset of a peer's catalogue or a checkpoint.
func TestReducersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		sequential := cataloguer.NewMachine(cataloguer.MachineConfig{CheckpointRecords: 1})
		repeating := cataloguer.NewMachine(cataloguer.MachineConfig{})
		late := cataloguer.NewMachine(cataloguer.MachineConfig{})
		var log []almondcross.CatalogueChange
		var checkpoint almondcross.CatalogueCheckpoint
		seenIDs := map[string]bool{}
		checkpointAt := rapid.IntRange(1, 20).Draw(t, "checkpointed")
		startAt := rapid.IntRange(checkpointAt, 25).Draw(t, "started")
		for offset := almondcross.Offset(1); offset <= 30; offset++ {
			change := drawChange(t, sequential.Catalogue(), log, offset)
			log = append(log, change)
			before, existed := sequential.Catalogue().Entry(change.Name())
			sequential.Apply(recordsRead(log[len(log)-1:], offset+1), now)
			after, exists := sequential.Catalogue().Entry(change.Name())
			if seenIDs[change.ID()] {
				require.Equal(t, existed, exists, "a repeated record had an effect")
				require.Equal(t, before, after, "a repeated record had an effect")
			}
			if existed && exists && after.Version() != before.Version() {
				require.Equal(t, change.Expected(), before.Version(), "a change with another expected version was accepted")
			}
			seenIDs[change.ID()] = true
			repeating.Apply(recordsRead(log[rapid.IntRange(0, len(log)-1).Draw(t, "from"):], offset+1), now)
			require.Equal(t, sequential.Catalogue(), repeating.Catalogue())

			offsetBefore := late.Catalogue().Offset()
			if rapid.IntRange(0, 9).Draw(t, "peer") == 0 {
				late.Apply(almondcross.NewCatalogueLoaded(almondcross.CatalogueLoadedConfig{Catalogue: sequential.Catalogue()}), now)
			}
			if len(log) == checkpointAt {
				checkpoint = takeCheckpoint(t, sequential, now)
			}
			if len(log) == startAt {
				late.Apply(almondcross.NewCatalogueCheckpointRead(
					almondcross.CatalogueCheckpointReadConfig{Checkpoint: checkpoint},
				), now)
				require.GreaterOrEqual(t, late.Catalogue().Offset(), offsetBefore, "the catalogue moved to a lower offset")
			}
			if len(log) >= startAt {
				late.Apply(recordsRead(log, offset+1), now)
				require.Equal(t, sequential.Catalogue(), late.Catalogue())
			}
		}
	})
}

func recordsRead(changes []almondcross.CatalogueChange, next almondcross.Offset) almondcross.CataloguerMessage {
	return almondcross.NewCatalogueRecordsRead(almondcross.CatalogueRecordsReadConfig{Changes: changes, Next: next})
}

func takeCheckpoint(t *rapid.T, machine *cataloguer.Machine, now time.Time) almondcross.CatalogueCheckpoint {
	effects := machine.Apply(almondcross.NewCatalogueTick(almondcross.CatalogueTickConfig{Writer: true}), now)
	for _, effect := range effects {
		if effect, ok := effect.(cataloguer.AppendCheckpoint); ok {
			return effect.Checkpoint
		}
	}
	t.Fatal("no checkpoint was written")
	return almondcross.CatalogueCheckpoint{}
}

// drawChange returns a new change, or an earlier one at a new offset, as after a repeated append.
func drawChange(
	t *rapid.T, catalogue almondcross.Catalogue, log []almondcross.CatalogueChange, offset almondcross.Offset,
) almondcross.CatalogueChange {
	if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(log).Draw(t, "repeated").WithOffset(offset)
	}
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	entry, _ := catalogue.Entry(name)
	expected := rapid.SampledFrom([]almondcross.Offset{entry.Version(), entry.Version(), 0, offset / 2}).Draw(t, "expected")
	return newChange(name, "ann", expected).WithID(fmt.Sprint("r", offset)).WithOffset(offset).
		WithRemoved(rapid.Bool().Draw(t, "removed"))
}
