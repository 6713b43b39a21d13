package commander

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// step is one change that brings an entry of the catalogue to its form in the file.
type step struct {
	entry    almondcross.Entry
	expected almondcross.Offset
	lines    []string // lines describe the change, one for each field.
}

// plan compares the file with the catalogue. It returns no step for an entry that is equal, and
// an error when the file is based on a version that is no longer current.
func plan(file encoder.CatalogueFile, catalogue almondcross.Catalogue) ([]step, error) {
	var steps []step
	for _, wanted := range file.Entries() {
		current, exists := catalogue.Entry(wanted.Name())
		if wanted.Version() != 0 && wanted.Version() != current.Version() {
			return nil, errors.Errorf("%s: version_conflict: the file is based on version %d, the catalogue has %d",
				wanted.Name(), wanted.Version(), current.Version())
		}
		lines, err := difference(current, wanted, exists)
		if err != nil {
			return nil, err
		}
		if len(lines) > 0 {
			steps = append(steps, step{entry: wanted, expected: current.Version(), lines: lines})
		}
	}
	return steps, nil
}

// difference returns one line for the entry and one for each field that differs.
func difference(current, wanted almondcross.Entry, exists bool) ([]string, error) {
	if !exists {
		return []string{fmt.Sprintf("+ %s (new entry of %s, class %s)", wanted.Name(), wanted.Owner(), wanted.Class())}, nil
	}
	before, err := fields(current)
	if err != nil {
		return nil, err
	}
	after, err := fields(wanted)
	if err != nil {
		return nil, err
	}
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if string(before[key]) != string(after[key]) {
			lines = append(lines, fmt.Sprintf("    %s: %s -> %s", key, before[key], after[key]))
		}
	}
	if len(lines) == 0 {
		return nil, nil
	}
	return append([]string{fmt.Sprintf("~ %s (version %d)", wanted.Name(), current.Version())}, lines...), nil
}

// fields returns the JSON of each field but the version.
func fields(entry almondcross.Entry) (map[string]json.RawMessage, error) {
	body, err := json.Marshal(encoder.NewEntryShape(entry.WithVersion(0)))
	if err != nil {
		return nil, errors.Annotate(err, "encoding the entry")
	}
	var fields map[string]json.RawMessage
	return fields, errors.Trace(json.Unmarshal(body, &fields))
}
