package cataloguer

import "github.com/almondcross/almondcross"

// Bounds of what a reducer keeps beside the catalogue. Both are part of the checkpoint, which has to
// fit into one record of 1 MiB.
const (
	// keptIDs is the number of last ids by which a repeated record is recognised. A repeat follows
	// its first append within seconds, and an operator's change is far less frequent than that.
	keptIDs = 2048
	// keptAudit is the number of last audit lines.
	keptAudit = 2048
)

// reducer applies records of the catalogue stream in order.
type reducer struct {
	catalogue almondcross.Catalogue
	seen      map[string]bool
	ids       []string // the ids of seen, in log order
	audit     []almondcross.AuditLine
}

func newReducer() reducer {
	return reducer{catalogue: almondcross.NewCatalogue(), seen: map[string]bool{}}
}

func reducerFrom(checkpoint almondcross.CatalogueCheckpoint) reducer {
	state := reducer{catalogue: checkpoint.Catalogue(), seen: map[string]bool{}}
	state.audit = append(state.audit, checkpoint.Audit()...)
	for _, id := range checkpoint.IDs() {
		state.note(id)
	}
	return state
}

func (reducer *reducer) checkpoint() almondcross.CatalogueCheckpoint {
	return almondcross.NewCatalogueCheckpoint(almondcross.CatalogueCheckpointConfig{
		Catalogue: reducer.catalogue,
		IDs:       append([]string(nil), reducer.ids...),
		Audit:     reducer.lines(),
	})
}

// lines returns a copy of the audit trail for another goroutine.
func (reducer *reducer) lines() []almondcross.AuditLine {
	return append([]almondcross.AuditLine(nil), reducer.audit...)
}

func (reducer *reducer) note(id string) {
	reducer.seen[id] = true
	reducer.ids = append(reducer.ids, id)
	if len(reducer.ids) > keptIDs {
		delete(reducer.seen, reducer.ids[0])
		reducer.ids = reducer.ids[1:]
	}
}

// reduce applies one change; it reports false for a record that was read before.
func (reducer *reducer) reduce(change almondcross.CatalogueChange) (almondcross.ChangeOutcome, bool) {
	if change.Offset() <= reducer.catalogue.Offset() {
		return almondcross.ChangeOutcome{}, false
	}
	reducer.catalogue = reducer.catalogue.WithOffset(change.Offset())
	if reducer.seen[change.ID()] {
		return almondcross.ChangeOutcome{}, false
	}
	reducer.note(change.ID())
	current, exists := reducer.catalogue.Entry(change.Name())
	code := check(change, current, exists)
	version := current.Version()
	if code == almondcross.CodeNone {
		version = change.Offset()
		if change.Removed() {
			reducer.catalogue = reducer.catalogue.WithoutEntry(change.Name())
		} else {
			reducer.catalogue = reducer.catalogue.WithEntry(change.Entry().WithVersion(version))
		}
	}
	reducer.record(change, current.Version(), code)
	return almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: change.Name(), Accepted: code == almondcross.CodeNone, Certain: true, Version: version,
		Code: code, Detail: explain(code),
	}), true
}

// check decides a change. An entry that does not exist has version 0; no accepted entry has that
// version, since the first record of the stream is never a change.
func check(change almondcross.CatalogueChange, current almondcross.Entry, exists bool) almondcross.Code {
	switch {
	case change.Name() == "":
		return almondcross.CodeInvalid
	case change.Expected() != current.Version():
		return almondcross.CodeVersionConflict
	case change.Removed() && !exists:
		return almondcross.CodeUnknownEntry
	default:
		return almondcross.CodeNone
	}
}

func explain(code almondcross.Code) string {
	switch code {
	case almondcross.CodeVersionConflict:
		return "another change of the entry came first in the log"
	case almondcross.CodeUnknownEntry:
		return "the entry does not exist"
	case almondcross.CodeInvalid:
		return "the change names no entry"
	default:
		return ""
	}
}

func (reducer *reducer) record(change almondcross.CatalogueChange, from almondcross.Offset, code almondcross.Code) {
	reducer.audit = append(reducer.audit, almondcross.NewAuditLine(almondcross.AuditLineConfig{
		At: change.Appended(), Operator: change.Operator(), Entry: change.Name(), Removed: change.Removed(),
		FromVersion: from, ToVersion: change.Offset(), Accepted: code == almondcross.CodeNone, Code: code,
	}))
	if len(reducer.audit) > keptAudit {
		reducer.audit = reducer.audit[1:]
	}
}

// skip covers records that hold no change, up to the offset to read from next.
func (reducer *reducer) skip(next almondcross.Offset) {
	if next-1 > reducer.catalogue.Offset() {
		reducer.catalogue = reducer.catalogue.WithOffset(next - 1)
	}
}
