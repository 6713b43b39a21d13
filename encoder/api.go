package encoder

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
)

// ErrUnit is returned for a duration or an amount of memory without a known unit.
const ErrUnit = errors.ConstError("a number with unit is needed")

// Codes of the API that are not reasons of a decision.
const (
	CodeUnauthenticated  almondcross.Code = "unauthenticated" // CodeUnauthenticated means that the token is missing or unknown.
	CodeForbidden        almondcross.Code = "forbidden"       // CodeForbidden means that the role of the token does not allow the call.
	CodeNotFound         almondcross.Code = "not_found"       // CodeNotFound means that the path is not one of the API.
	CodeMethodNotAllowed almondcross.Code = "method_not_allowed"
	CodeTooLarge         almondcross.Code = "too_large"
	CodeUnavailable      almondcross.Code = "unavailable" // CodeUnavailable means that a query could not be answered.
)

// Duration is a time span that is written with its unit, such as "1.5s".
type Duration time.Duration

// String returns the span with its unit.
func (duration Duration) String() string { return parser.FormatDuration(time.Duration(duration)) }

// MarshalText writes the span with its unit, rounded to milliseconds.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(Duration(time.Duration(duration).Round(time.Millisecond)).String()), nil
}

// UnmarshalText reads a span with its unit.
func (duration *Duration) UnmarshalText(text []byte) error {
	value, ok := parser.ParseDuration(string(text))
	if !ok {
		return errors.Annotatef(ErrUnit, "found %.40q, allowed: a duration such as \"1.5s\"", text)
	}
	*duration = Duration(value)
	return nil
}

// Memory is an amount in megabytes that is written with its unit, such as "512MB".
type Memory int64

// MarshalText writes the amount with its unit.
func (memory Memory) MarshalText() ([]byte, error) {
	return []byte(parser.FormatMemory(int64(memory))), nil
}

// UnmarshalText reads an amount with its unit.
func (memory *Memory) UnmarshalText(text []byte) error {
	value, ok := parser.ParseMemory(string(text))
	if !ok {
		return errors.Annotatef(ErrUnit, "found %.40q, allowed: an amount such as \"512MB\"", text)
	}
	*memory = Memory(value)
	return nil
}

// ResourcesShape is the JSON shape of Resources.
type ResourcesShape struct {
	MilliCPU     int64  `json:"milli_cpu"`
	Memory       Memory `json:"memory"`
	Accelerators int64  `json:"accelerators"`
	Slots        int64  `json:"slots"`
}

// NewResourcesShape returns the shape of an amount.
func NewResourcesShape(resources almondcross.Resources) ResourcesShape {
	return ResourcesShape{
		MilliCPU: resources.MilliCPU(), Memory: Memory(resources.MemoryMB()),
		Accelerators: resources.Accelerators(), Slots: resources.Slots(),
	}
}

// Resources returns the amount.
func (resourcesshape ResourcesShape) Resources() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: resourcesshape.MilliCPU, MemoryMB: int64(resourcesshape.Memory), Accelerators: resourcesshape.Accelerators, Slots: resourcesshape.Slots,
	})
}

// EntryShape is the JSON shape of an Entry.
type EntryShape struct {
	Name        string             `json:"name"`
	Owner       string             `json:"owner"`
	Class       almondcross.Class  `json:"class"`
	Resources   ResourcesShape     `json:"resources"`
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

// NewEntryShape returns the shape of an entry.
func NewEntryShape(entry almondcross.Entry) EntryShape {
	return EntryShape{
		Name: entry.Name(), Owner: entry.Owner(), Class: entry.Class(), Resources: NewResourcesShape(entry.Resources()),
		Replicas: entry.Replicas(), Tasks: entry.Tasks(), MaxRunning: entry.MaxRunning(), MaxWaiting: entry.MaxWaiting(),
		Timeout: Duration(entry.Timeout()), MaxRun: Duration(entry.MaxRun()), ExpectedRun: Duration(entry.ExpectedRun()),
		Share: entry.Share(), Repeatable: entry.Repeatable(), Urgent: entry.Urgent(),
		DataCentres: append([]string{}, entry.DataCentres()...), Version: entry.Version(),
	}
}

// Entry returns the entry.
func (entryshape EntryShape) Entry() almondcross.Entry {
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: entryshape.Name, Owner: entryshape.Owner, Class: entryshape.Class, Resources: entryshape.Resources.Resources(),
		Replicas: entryshape.Replicas, Tasks: entryshape.Tasks, MaxRunning: entryshape.MaxRunning, MaxWaiting: entryshape.MaxWaiting,
		Timeout: time.Duration(entryshape.Timeout), MaxRun: time.Duration(entryshape.MaxRun), ExpectedRun: time.Duration(entryshape.ExpectedRun),
		Share: entryshape.Share, Repeatable: entryshape.Repeatable, Urgent: entryshape.Urgent, DataCentres: entryshape.DataCentres, Version: entryshape.Version,
	})
}

// CatalogueShape is the JSON shape of a Catalogue, ordered by name.
type CatalogueShape struct {
	Offset  almondcross.Offset `json:"offset"`
	Entries []EntryShape       `json:"entries"`
}

// RequestBody is the body of POST /v1/requests.
type RequestBody struct {
	Entry    string     `json:"entry"`
	Key      string     `json:"key"`
	Origin   string     `json:"origin"`
	Payload  []byte     `json:"payload"`
	IssuedAt *time.Time `json:"issued_at,omitempty"`
	Timeout  Duration   `json:"timeout"`
	Retry    bool       `json:"retry,omitempty"` // Retry tells that the key may have been sent before.
}

// OutcomeShape is the JSON shape of an Outcome.
type OutcomeShape struct {
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

// NewOutcomeShape returns the shape of an outcome; the caller in the key is the reader itself.
func NewOutcomeShape(outcome almondcross.Outcome) OutcomeShape {
	return OutcomeShape{
		Key: outcome.Key().Name(), Origin: outcome.Key().Origin(), Status: outcome.Status(), Answer: outcome.Answer(),
		Code: outcome.Code(), Message: outcome.Detail(), RetryAfter: optional(outcome.RetryAfter()),
		Target: outcome.Target(), Host: outcome.Host(),
	}
}

func optional(duration time.Duration) *Duration {
	if duration <= 0 {
		return nil
	}
	shape := Duration(max(duration, time.Millisecond))
	return &shape
}

// ErrorShape is the JSON shape of an error. Status is present only as "not_run", where it is
// certain that the request did not run and never will.
type ErrorShape struct {
	Status     almondcross.Status `json:"status,omitempty"`
	Code       almondcross.Code   `json:"code"`
	Message    string             `json:"message"`
	RetryAfter *Duration          `json:"retry_after,omitempty"`
}

// ChangeBody is the body of POST /v1/catalogue. Entry holds an entry unless Removed is set.
type ChangeBody struct {
	Name            string             `json:"name"`
	Entry           json.RawMessage    `json:"entry,omitempty"`
	Removed         bool               `json:"removed,omitempty"`
	ExpectedVersion almondcross.Offset `json:"expected_version"`
}

// ChangeOutcomeShape is the JSON shape of a ChangeOutcome.
type ChangeOutcomeShape struct {
	Name     string             `json:"name"`
	Accepted bool               `json:"accepted"`
	Certain  bool               `json:"certain"`
	Version  almondcross.Offset `json:"version"`
	Code     almondcross.Code   `json:"code,omitempty"`
	Message  string             `json:"message,omitempty"`
}

// NewChangeOutcomeShape returns the shape of the outcome of a change.
func NewChangeOutcomeShape(outcome almondcross.ChangeOutcome) ChangeOutcomeShape {
	return ChangeOutcomeShape{
		Name: outcome.Name(), Accepted: outcome.Accepted(), Certain: outcome.Certain(),
		Version: outcome.Version(), Code: outcome.Code(), Message: outcome.Detail(),
	}
}
