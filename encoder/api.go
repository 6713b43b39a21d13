package encoder

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// ErrUnit means that a duration or an amount of memory has no known unit.
const ErrUnit = errors.ConstError("a number with unit is needed")

// Error codes of the API that are not reason codes of scheduling decisions.
const (
	CodeUnauthenticated  almondcross.Code = "unauthenticated" // CodeUnauthenticated means that the token is missing or unknown.
	CodeForbidden        almondcross.Code = "forbidden"       // CodeForbidden means that the role of the token does not permit the call.
	CodeNotFound         almondcross.Code = "not_found"       // CodeNotFound means that the API has no such path.
	CodeMethodNotAllowed almondcross.Code = "method_not_allowed"
	CodeTooLarge         almondcross.Code = "too_large"
	CodeUnavailable      almondcross.Code = "unavailable" // CodeUnavailable means that the query could not be answered.
)

// Duration is a duration that is encoded as text with units, such as "1.5s".
type Duration time.Duration

// String returns the duration with its units.
func (duration Duration) String() string { return parser.FormatDuration(time.Duration(duration)) }

// MarshalText encodes the duration with its units, rounded to milliseconds.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(Duration(time.Duration(duration).Round(time.Millisecond)).String()), nil
}

// UnmarshalText decodes a duration with units. It returns ErrUnit for any other text.
func (duration *Duration) UnmarshalText(text []byte) error {
	value, ok := parser.ParseDuration(string(text))
	if !ok {
		return errors.Annotatef(ErrUnit, "found %.40q, allowed: a duration such as \"1.5s\"", text)
	}
	*duration = Duration(value)
	return nil
}

// Memory is an amount of memory in megabytes that is encoded as text with a unit, such as "512MB".
type Memory int64

// MarshalText encodes the amount with its unit.
func (memory Memory) MarshalText() ([]byte, error) {
	return []byte(parser.FormatMemory(int64(memory))), nil
}

// UnmarshalText decodes an amount with a unit. It returns ErrUnit for any other text.
func (memory *Memory) UnmarshalText(text []byte) error {
	value, ok := parser.ParseMemory(string(text))
	if !ok {
		return errors.Annotatef(ErrUnit, "found %.40q, allowed: an amount such as \"512MB\"", text)
	}
	*memory = Memory(value)
	return nil
}

// ResourcesJSON is the JSON form of Resources.
type ResourcesJSON struct {
	MilliCPU     int64  `json:"milli_cpu"`
	Memory       Memory `json:"memory"`
	Accelerators int64  `json:"accelerators"`
	Slots        int64  `json:"slots"`
}

// NewResourcesJSON returns the JSON form of resources.
func NewResourcesJSON(resources almondcross.Resources) ResourcesJSON {
	return ResourcesJSON{
		MilliCPU: resources.MilliCPU(), Memory: Memory(resources.MemoryMB()),
		Accelerators: resources.Accelerators(), Slots: resources.Slots(),
	}
}

// Resources returns the value of the JSON form.
func (resourcesjson ResourcesJSON) Resources() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: resourcesjson.MilliCPU, MemoryMB: int64(resourcesjson.Memory), Accelerators: resourcesjson.Accelerators, Slots: resourcesjson.Slots,
	})
}

// EntryJSON is the JSON form of an Entry.
type EntryJSON struct {
	Name        string             `json:"name"`
	Owner       string             `json:"owner"`
	Class       almondcross.Class  `json:"class"`
	Resources   ResourcesJSON      `json:"resources"`
	Replicas    int                `json:"replicas"`
	Tasks       int                `json:"tasks"`
	MaxRunning  int                `json:"max_running"`
	MaxWaiting  int                `json:"max_waiting"`
	Timeout     Duration           `json:"timeout"`
	MaxRun      Duration           `json:"max_run"`
	ExpectedRun Duration           `json:"expected_run"`
	Share       int64              `json:"share"`
	Repeatable  bool               `json:"repeatable"`
	Urgent      bool               `json:"urgent"`
	DataCentres []string           `json:"data_centres"`
	Version     almondcross.Offset `json:"version"`
}

// NewEntryJSON returns the JSON form of an entry.
func NewEntryJSON(entry almondcross.Entry) EntryJSON {
	return EntryJSON{
		Name: entry.Name(), Owner: entry.Owner(), Class: entry.Class(), Resources: NewResourcesJSON(entry.Resources()),
		Replicas: entry.Replicas(), Tasks: entry.Tasks(), MaxRunning: entry.MaxRunning(), MaxWaiting: entry.MaxWaiting(),
		Timeout: Duration(entry.Timeout()), MaxRun: Duration(entry.MaxRun()), ExpectedRun: Duration(entry.ExpectedRun()),
		Share: entry.Share(), Repeatable: entry.Repeatable(), Urgent: entry.Urgent(),
		DataCentres: append([]string{}, entry.DataCentres()...), Version: entry.Version(),
	}
}

// Entry returns the value of the JSON form.
func (entryjson EntryJSON) Entry() almondcross.Entry {
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: entryjson.Name, Owner: entryjson.Owner, Class: entryjson.Class, Resources: entryjson.Resources.Resources(),
		Replicas: entryjson.Replicas, Tasks: entryjson.Tasks, MaxRunning: entryjson.MaxRunning, MaxWaiting: entryjson.MaxWaiting,
		Timeout: time.Duration(entryjson.Timeout), MaxRun: time.Duration(entryjson.MaxRun), ExpectedRun: time.Duration(entryjson.ExpectedRun),
		Share: entryjson.Share, Repeatable: entryjson.Repeatable, Urgent: entryjson.Urgent, DataCentres: entryjson.DataCentres, Version: entryjson.Version,
	})
}

// CatalogueJSON is the JSON form of a Catalogue, with its entries ordered by name.
type CatalogueJSON struct {
	Offset  almondcross.Offset `json:"offset"`
	Entries []EntryJSON        `json:"entries"`
}

// RequestBody is the body of POST /v1/requests.
type RequestBody struct {
	Entry    string     `json:"entry"`
	Key      string     `json:"key"`
	Origin   string     `json:"origin"`
	Payload  []byte     `json:"payload"`
	IssuedAt *time.Time `json:"issued_at,omitempty"`
	Timeout  Duration   `json:"timeout"`
	Retry    bool       `json:"retry,omitempty"` // Retry is set if the key may have been sent before.
}

// OutcomeJSON is the JSON form of an Outcome.
type OutcomeJSON struct {
	Key        string             `json:"key"`
	Origin     string             `json:"origin"`
	Status     almondcross.Status `json:"status"`
	Answer     []byte             `json:"answer,omitempty"`
	Code       almondcross.Code   `json:"code,omitempty"`
	Message    string             `json:"message,omitempty"`
	RetryAfter *Duration          `json:"retry_after,omitempty"`
	Target     string             `json:"target,omitempty"`
	Host       string             `json:"host,omitempty"`
}

// NewOutcomeJSON returns the JSON form of an outcome. It omits the caller of the key, which is the client
// that receives the response.
func NewOutcomeJSON(outcome almondcross.Outcome) OutcomeJSON {
	return OutcomeJSON{
		Key: outcome.Key().Name(), Origin: outcome.Key().Origin(), Status: outcome.Status(), Answer: outcome.Answer(),
		Code: outcome.Code(), Message: outcome.Detail(), RetryAfter: optionalDuration(outcome.RetryAfter()),
		Target: outcome.Target(), Host: outcome.Host(),
	}
}

// optionalDuration returns nil for a duration that is not positive, and otherwise at least one millisecond,
// because Duration rounds to milliseconds.
func optionalDuration(duration time.Duration) *Duration {
	if duration <= 0 {
		return nil
	}
	rounded := Duration(max(duration, time.Millisecond))
	return &rounded
}

// ErrorJSON is the JSON form of an error. Status is either absent or "not_run", which means that the
// request certainly did not run and never will.
type ErrorJSON struct {
	Status     almondcross.Status `json:"status,omitempty"`
	Code       almondcross.Code   `json:"code"`
	Message    string             `json:"message"`
	RetryAfter *Duration          `json:"retry_after,omitempty"`
}

// ChangeBody is the body of POST /v1/catalogue. Entry is required unless Removed is set.
type ChangeBody struct {
	Name            string             `json:"name"`
	Entry           json.RawMessage    `json:"entry,omitempty"`
	Removed         bool               `json:"removed,omitempty"`
	ExpectedVersion almondcross.Offset `json:"expected_version"`
}

// ChangeOutcomeJSON is the JSON form of a ChangeOutcome.
type ChangeOutcomeJSON struct {
	Name     string             `json:"name"`
	Accepted bool               `json:"accepted"`
	Certain  bool               `json:"certain"`
	Version  almondcross.Offset `json:"version"`
	Code     almondcross.Code   `json:"code,omitempty"`
	Message  string             `json:"message,omitempty"`
}

// NewChangeOutcomeJSON returns the JSON form of the outcome of a catalogue change.
func NewChangeOutcomeJSON(outcome almondcross.ChangeOutcome) ChangeOutcomeJSON {
	return ChangeOutcomeJSON{
		Name: outcome.Name(), Accepted: outcome.Accepted(), Certain: outcome.Certain(),
		Version: outcome.Version(), Code: outcome.Code(), Message: outcome.Detail(),
	}
}
