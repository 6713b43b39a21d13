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

// entryChange is the change that makes an entry of the catalogue equal to the one in the file.
type entryChange struct {
	entry           almondcross.Entry
	expectedVersion almondcross.Offset
	lines           []string // lines describe the change: one for the entry and one for each changed field.
}

// planChanges compares the file with the catalogue. It returns no change for an entry that is equal, and
// an error if the file is based on a version of an entry that is not the current one.
func planChanges(file encoder.CatalogueFile, catalogue almondcross.Catalogue) ([]entryChange, error) {
	var changes []entryChange
	for _, desired := range file.Entries() {
		current, exists := catalogue.Entry(desired.Name())
		if desired.Version() != 0 && desired.Version() != current.Version() {
			return nil, errors.Errorf("%s: version_conflict: the file is based on version %d, the catalogue has %d",
				desired.Name(), desired.Version(), current.Version())
		}
		lines, err := diffEntries(current, desired, exists)
		if err != nil {
			return nil, err
		}
		if len(lines) > 0 {
			changes = append(changes, entryChange{entry: desired, expectedVersion: current.Version(), lines: lines})
		}
	}
	return changes, nil
}

// diffEntries returns one line for the entry and one for each field that differs, and none if the
// entries are equal. For a new entry it returns only the first line.
func diffEntries(current, desired almondcross.Entry, exists bool) ([]string, error) {
	if !exists {
		return []string{fmt.Sprintf("+ %s (new entry of %s, class %s)", desired.Name(), desired.Owner(), desired.Class())}, nil
	}
	before, err := entryFields(current)
	if err != nil {
		return nil, err
	}
	after, err := entryFields(desired)
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
	return append([]string{fmt.Sprintf("~ %s (version %d)", desired.Name(), current.Version())}, lines...), nil
}

// entryFields returns the JSON values of the fields of an entry, without its version.
func entryFields(entry almondcross.Entry) (map[string]json.RawMessage, error) {
	body, err := json.Marshal(encoder.NewEntryJSON(entry.WithVersion(0)))
	if err != nil {
		return nil, errors.Annotate(err, "encoding the entry")
	}
	var fields map[string]json.RawMessage
	return fields, errors.Trace(json.Unmarshal(body, &fields))
}
