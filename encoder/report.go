package encoder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// ShareLineJSON is the JSON form of a ShareLine.
type ShareLineJSON struct {
	From           time.Time                  `json:"from"`
	To             time.Time                  `json:"to"`
	DataCentre     string                     `json:"data_centre"`
	Owner          string                     `json:"owner"`
	Entry          string                     `json:"entry"`
	Promised       float64                    `json:"promised"`
	Received       float64                    `json:"received"`
	MilliCPUSec    float64                    `json:"milli_cpu_sec"`
	MemoryMBSec    float64                    `json:"memory_mb_sec"`
	AcceleratorSec float64                    `json:"accelerator_sec"`
	SlotSec        float64                    `json:"slot_sec"`
	Started        int64                      `json:"started"`
	Finished       int64                      `json:"finished"`
	WaitedSec      float64                    `json:"waited_sec"`
	Reasons        map[almondcross.Code]int64 `json:"reasons"`
	Incomplete     bool                       `json:"incomplete"`
}

// AccountGapJSON is the JSON form of an AccountGap.
type AccountGapJSON struct {
	Host         string    `json:"host"`
	Incarnation  uint64    `json:"incarnation"`
	DataCentre   string    `json:"data_centre"`
	FromSequence uint64    `json:"from_sequence"`
	ToSequence   uint64    `json:"to_sequence"`
	After        time.Time `json:"after"`
}

// ShareReportJSON is the JSON form of a ShareReport.
type ShareReportJSON struct {
	Lines   []ShareLineJSON      `json:"lines"`
	Gaps    []AccountGapJSON     `json:"gaps"`
	FreshAt map[string]time.Time `json:"fresh_at"`
	Missing []string             `json:"missing"`
}

// NewShareReportJSON returns the JSON form of a report.
func NewShareReportJSON(report almondcross.ShareReport) ShareReportJSON {
	encoded := ShareReportJSON{
		Lines: make([]ShareLineJSON, 0, len(report.Lines())), Gaps: make([]AccountGapJSON, 0, len(report.Gaps())),
		FreshAt: maps.Clone(report.FreshAt()), Missing: append([]string{}, report.Missing()...),
	}
	for _, line := range report.Lines() {
		usage := line.Usage()
		encoded.Lines = append(encoded.Lines, ShareLineJSON{
			From: line.From(), To: line.To(), DataCentre: line.DataCentre(), Owner: usage.Owner(), Entry: usage.Entry(),
			Promised: usage.Promised(), Received: usage.Received(), MilliCPUSec: usage.MilliCPUSec(),
			MemoryMBSec: usage.MemoryMBSec(), AcceleratorSec: usage.AcceleratorSec(), SlotSec: usage.SlotSec(),
			Started: usage.Started(), Finished: usage.Finished(), WaitedSec: usage.WaitedSec(),
			Reasons: usage.Reasons(), Incomplete: line.Incomplete(),
		})
	}
	for _, gap := range report.Gaps() {
		encoded.Gaps = append(encoded.Gaps, AccountGapJSON{
			Host: gap.Member().Name(), Incarnation: gap.Member().Incarnation(), DataCentre: gap.DataCentre(),
			FromSequence: gap.FromSequence(), ToSequence: gap.ToSequence(), After: gap.After(),
		})
	}
	return encoded
}

// DecisionEventJSON is the JSON form of a DecisionEvent, one decision about a request.
type DecisionEventJSON struct {
	At     time.Time        `json:"at"`
	Caller string           `json:"caller"`
	Origin string           `json:"origin"`
	Key    string           `json:"key"`
	Entry  string           `json:"entry"`
	Event  string           `json:"event"`
	Code   almondcross.Code `json:"code,omitempty"`
	Host   string           `json:"host"`
	Target string           `json:"target,omitempty"`
	Detail string           `json:"detail,omitempty"`
}

// DecisionHistoryJSON is the JSON form of a DecisionHistory, the decisions about a key or an entry.
type DecisionHistoryJSON struct {
	Events    []DecisionEventJSON `json:"events"`
	Truncated bool                `json:"truncated"`
}

// NewDecisionHistoryJSON returns the JSON form of a decision history.
func NewDecisionHistoryJSON(history almondcross.DecisionHistory) DecisionHistoryJSON {
	encoded := DecisionHistoryJSON{Events: make([]DecisionEventJSON, 0, len(history.Events())), Truncated: history.Truncated()}
	for _, event := range history.Events() {
		encoded.Events = append(encoded.Events, DecisionEventJSON{
			At: event.At(), Caller: event.Key().Caller(), Origin: event.Key().Origin(), Key: event.Key().Name(),
			Entry: event.Entry(), Event: event.Event(), Code: event.Code(), Host: event.Host(),
			Target: event.Target(), Detail: event.Detail(),
		})
	}
	return encoded
}

// AuditLineJSON is the JSON form of an AuditLine.
type AuditLineJSON struct {
	At          time.Time          `json:"at"`
	Operator    string             `json:"operator"`
	Entry       string             `json:"entry"`
	Removed     bool               `json:"removed"`
	FromVersion almondcross.Offset `json:"from_version"`
	ToVersion   almondcross.Offset `json:"to_version"`
	Accepted    bool               `json:"accepted"`
	Code        almondcross.Code   `json:"code,omitempty"`
}

// AuditTrailJSON is the JSON form of an audit trail.
type AuditTrailJSON struct {
	Lines []AuditLineJSON `json:"lines"`
}

// NewAuditTrailJSON returns the JSON form of an audit trail.
func NewAuditTrailJSON(lines []almondcross.AuditLine) AuditTrailJSON {
	encoded := AuditTrailJSON{Lines: make([]AuditLineJSON, 0, len(lines))}
	for _, line := range lines {
		encoded.Lines = append(encoded.Lines, AuditLineJSON{
			At: line.At(), Operator: line.Operator(), Entry: line.Entry(), Removed: line.Removed(),
			FromVersion: line.FromVersion(), ToVersion: line.ToVersion(), Accepted: line.Accepted(), Code: line.Code(),
		})
	}
	return encoded
}

// NewCatalogueJSON returns the JSON form of a catalogue, with its entries ordered by name.
func NewCatalogueJSON(catalogue almondcross.Catalogue) CatalogueJSON {
	encoded := CatalogueJSON{Offset: catalogue.Offset(), Entries: make([]EntryJSON, 0, catalogue.Len())}
	for entry := range catalogue.Entries {
		encoded.Entries = append(encoded.Entries, NewEntryJSON(entry))
	}
	slices.SortFunc(encoded.Entries, func(a, b EntryJSON) int { return cmp.Compare(a.Name, b.Name) })
	return encoded
}

// Catalogue returns the value of the JSON form.
func (cataloguejson CatalogueJSON) Catalogue() almondcross.Catalogue {
	entries := make([]almondcross.Entry, len(cataloguejson.Entries))
	for index, entry := range cataloguejson.Entries {
		entries[index] = entry.Entry()
	}
	return almondcross.NewCatalogue().WithOffset(cataloguejson.Offset).WithEntries(entries)
}
