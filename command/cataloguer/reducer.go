package cataloguer

import "github.com/almondcross/almondcross"

// Limits of the data that a reducer keeps besides the catalogue. Both lists are part of the checkpoint,
// which must fit into one record of 1 MiB.
const (
	// maxSeenIDs is the number of most recent record IDs that are kept to detect a repeated record. A
	// repeated append follows the first one within seconds, and operators make far fewer changes in
	// that time.
	maxSeenIDs = 2048
	// maxAuditLines is the number of most recent audit lines that are kept.
	maxAuditLines = 2048
)

// reducer applies records of the catalogue stream in order.
type reducer struct {
	catalogue almondcross.Catalogue
	seenIDs   map[string]bool
	idOrder   []string // the keys of seenIDs in log order
	audit     []almondcross.AuditLine
}

func newReducer() reducer {
	return reducer{catalogue: almondcross.NewCatalogue(), seenIDs: map[string]bool{}}
}

func restoreReducer(checkpoint almondcross.CatalogueCheckpoint) reducer {
	state := reducer{catalogue: checkpoint.Catalogue(), seenIDs: map[string]bool{}}
	state.audit = append(state.audit, checkpoint.Audit()...)
	for _, id := range checkpoint.IDs() {
		state.addSeenID(id)
	}
	return state
}

func (reducer *reducer) checkpoint() almondcross.CatalogueCheckpoint {
	return almondcross.NewCatalogueCheckpoint(almondcross.CatalogueCheckpointConfig{
		Catalogue: reducer.catalogue,
		IDs:       append([]string(nil), reducer.idOrder...),
		Audit:     reducer.auditLines(),
	})
}

// auditLines returns a copy of the audit trail that other goroutines may read.
func (reducer *reducer) auditLines() []almondcross.AuditLine {
	return append([]almondcross.AuditLine(nil), reducer.audit...)
}

func (reducer *reducer) addSeenID(id string) {
	reducer.seenIDs[id] = true
	reducer.idOrder = append(reducer.idOrder, id)
	if len(reducer.idOrder) > maxSeenIDs {
		delete(reducer.seenIDs, reducer.idOrder[0])
		reducer.idOrder = reducer.idOrder[1:]
	}
}

// reduce applies one change and returns its outcome, and false for a record that was read before.
func (reducer *reducer) reduce(change almondcross.CatalogueChange) (almondcross.ChangeOutcome, bool) {
	if change.Offset() <= reducer.catalogue.Offset() {
		return almondcross.ChangeOutcome{}, false
	}
	reducer.catalogue = reducer.catalogue.WithOffset(change.Offset())
	if reducer.seenIDs[change.ID()] {
		return almondcross.ChangeOutcome{}, false
	}
	reducer.addSeenID(change.ID())
	current, exists := reducer.catalogue.Entry(change.Name())
	code := checkChange(change, current, exists)
	version := current.Version()
	if code == almondcross.CodeNone {
		version = change.Offset()
		if change.Removed() {
			reducer.catalogue = reducer.catalogue.WithoutEntry(change.Name())
		} else {
			reducer.catalogue = reducer.catalogue.WithEntry(change.Entry().WithVersion(version))
		}
	}
	reducer.addAuditLine(change, current.Version(), code)
	return almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: change.Name(), Accepted: code == almondcross.CodeNone, Certain: true, Version: version,
		Code: code, Detail: codeDetail(code),
	}), true
}

// checkChange returns CodeNone if the change is accepted, else the reason for the refusal. An entry that
// does not exist has version 0; no accepted entry has that version, because the first record of the
// stream is never a change.
func checkChange(change almondcross.CatalogueChange, current almondcross.Entry, exists bool) almondcross.Code {
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

func codeDetail(code almondcross.Code) string {
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

func (reducer *reducer) addAuditLine(change almondcross.CatalogueChange, from almondcross.Offset, code almondcross.Code) {
	reducer.audit = append(reducer.audit, almondcross.NewAuditLine(almondcross.AuditLineConfig{
		At: change.Appended(), Operator: change.Operator(), Entry: change.Name(), Removed: change.Removed(),
		FromVersion: from, ToVersion: change.Offset(), Accepted: code == almondcross.CodeNone, Code: code,
	}))
	if len(reducer.audit) > maxAuditLines {
		reducer.audit = reducer.audit[1:]
	}
}

// advanceTo moves the offset past records without a change, up to the one before next.
func (reducer *reducer) advanceTo(next almondcross.Offset) {
	if next-1 > reducer.catalogue.Offset() {
		reducer.catalogue = reducer.catalogue.WithOffset(next - 1)
	}
}
