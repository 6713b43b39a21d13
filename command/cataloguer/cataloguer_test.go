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

func change(name, operator string, expected almondcross.Offset) almondcross.CatalogueChange {
	entry := almondcross.NewEntry(almondcross.EntryConfig{Name: name, Owner: operator, Share: 1})
	return almondcross.NewCatalogueChange(almondcross.CatalogueChangeConfig{
		Name: name, Entry: entry, Expected: expected, Operator: operator,
	})
}

// Guards against reducers that diverge: one that reads every record, one that reads repeated batches,
// and one that starts late from a checkpoint must agree. Also guards against a repeated record that
// changes an entry again, and against a catalogue that moves back to that of a peer or a checkpoint.
func TestReducersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		reader := cataloguer.NewMachine(cataloguer.MachineConfig{CheckpointRecords: 1})
		rereader := cataloguer.NewMachine(cataloguer.MachineConfig{})
		starter := cataloguer.NewMachine(cataloguer.MachineConfig{})
		var log []almondcross.CatalogueChange
		var checkpoint almondcross.CatalogueCheckpoint
		seen := map[string]bool{}
		checkpointed := rapid.IntRange(1, 20).Draw(t, "checkpointed")
		started := rapid.IntRange(checkpointed, 25).Draw(t, "started")
		for offset := almondcross.Offset(1); offset <= 30; offset++ {
			next := draw(t, reader.Catalogue(), log, offset)
			log = append(log, next)
			before, existed := reader.Catalogue().Entry(next.Name())
			reader.Apply(read(log[len(log)-1:], offset+1), now)
			after, exists := reader.Catalogue().Entry(next.Name())
			if seen[next.ID()] {
				require.Equal(t, existed, exists, "a repeated record had an effect")
				require.Equal(t, before, after, "a repeated record had an effect")
			}
			if existed && exists && after.Version() != before.Version() {
				require.Equal(t, next.Expected(), before.Version(), "an entry changed without its version being expected")
			}
			seen[next.ID()] = true
			rereader.Apply(read(log[rapid.IntRange(0, len(log)-1).Draw(t, "from"):], offset+1), now)
			require.Equal(t, reader.Catalogue(), rereader.Catalogue())

			reached := starter.Catalogue().Offset()
			if rapid.IntRange(0, 9).Draw(t, "peer") == 0 {
				starter.Apply(almondcross.NewCatalogueLoaded(almondcross.CatalogueLoadedConfig{Catalogue: reader.Catalogue()}), now)
			}
			if len(log) == checkpointed {
				checkpoint = taken(t, reader, now)
			}
			if len(log) == started {
				starter.Apply(almondcross.NewCatalogueCheckpointRead(
					almondcross.CatalogueCheckpointReadConfig{Checkpoint: checkpoint},
				), now)
				require.GreaterOrEqual(t, starter.Catalogue().Offset(), reached, "the catalogue moved back")
			}
			if len(log) >= started {
				starter.Apply(read(log, offset+1), now)
				require.Equal(t, reader.Catalogue(), starter.Catalogue())
			}
		}
	})
}

func read(changes []almondcross.CatalogueChange, next almondcross.Offset) almondcross.CataloguerMessage {
	return almondcross.NewCatalogueRecordsRead(almondcross.CatalogueRecordsReadConfig{Changes: changes, Next: next})
}

func taken(t *rapid.T, machine *cataloguer.Machine, now time.Time) almondcross.CatalogueCheckpoint {
	effects := machine.Apply(almondcross.NewCatalogueTick(almondcross.CatalogueTickConfig{Writer: true}), now)
	for _, effect := range effects {
		if effect, ok := effect.(cataloguer.AppendCheckpoint); ok {
			return effect.Checkpoint
		}
	}
	t.Fatal("no checkpoint was written")
	return almondcross.CatalogueCheckpoint{}
}

// draw returns a new change, or an earlier one as a repeated append leaves it in the log.
func draw(
	t *rapid.T, catalogue almondcross.Catalogue, log []almondcross.CatalogueChange, offset almondcross.Offset,
) almondcross.CatalogueChange {
	if len(log) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(log).Draw(t, "repeated").WithOffset(offset)
	}
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	entry, _ := catalogue.Entry(name)
	expected := rapid.SampledFrom([]almondcross.Offset{entry.Version(), entry.Version(), 0, offset / 2}).Draw(t, "expected")
	return change(name, "ann", expected).WithID(fmt.Sprint("r", offset)).WithOffset(offset).
		WithRemoved(rapid.Bool().Draw(t, "removed"))
}
