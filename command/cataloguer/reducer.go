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

func (state *reducer) checkpoint() almondcross.CatalogueCheckpoint {
	return almondcross.NewCatalogueCheckpoint(almondcross.CatalogueCheckpointConfig{
		Catalogue: state.catalogue,
		IDs:       append([]string(nil), state.ids...),
		Audit:     state.lines(),
	})
}

// lines returns a copy of the audit trail for another goroutine.
func (state *reducer) lines() []almondcross.AuditLine {
	return append([]almondcross.AuditLine(nil), state.audit...)
}

func (state *reducer) note(id string) {
	state.seen[id] = true
	state.ids = append(state.ids, id)
	if len(state.ids) > keptIDs {
		delete(state.seen, state.ids[0])
		state.ids = state.ids[1:]
	}
}

// reduce applies one change; it reports false for a record that was read before.
func (state *reducer) reduce(change almondcross.CatalogueChange) (almondcross.ChangeOutcome, bool) {
	if change.Offset() <= state.catalogue.Offset() {
		return almondcross.ChangeOutcome{}, false
	}
	state.catalogue = state.catalogue.WithOffset(change.Offset())
	if state.seen[change.ID()] {
		return almondcross.ChangeOutcome{}, false
	}
	state.note(change.ID())
	current, exists := state.catalogue.Entry(change.Name())
	code := check(change, current, exists)
	version := current.Version()
	if code == almondcross.CodeNone {
		version = change.Offset()
		if change.Removed() {
			state.catalogue = state.catalogue.WithoutEntry(change.Name())
		} else {
			state.catalogue = state.catalogue.WithEntry(change.Entry().WithVersion(version))
		}
	}
	state.record(change, current.Version(), code)
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

func (state *reducer) record(change almondcross.CatalogueChange, from almondcross.Offset, code almondcross.Code) {
	state.audit = append(state.audit, almondcross.NewAuditLine(almondcross.AuditLineConfig{
		At: change.Appended(), Operator: change.Operator(), Entry: change.Name(), Removed: change.Removed(),
		FromVersion: from, ToVersion: change.Offset(), Accepted: code == almondcross.CodeNone, Code: code,
	}))
	if len(state.audit) > keptAudit {
		state.audit = state.audit[1:]
	}
}

// skip covers records that hold no change, up to the offset to read from next.
func (state *reducer) skip(next almondcross.Offset) {
	if next-1 > state.catalogue.Offset() {
		state.catalogue = state.catalogue.WithOffset(next - 1)
	}
}
