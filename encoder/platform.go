package encoder

import (
	"time"

	"github.com/almondcross/almondcross"
)

// MaxPlatformBody is the maximum size of a body in the platform and worker protocols, in bytes.
const MaxPlatformBody = 1 << 20

// FirstPlatformOffset is the offset of the first record of a stream. It is 1 because the version of an
// entry is an offset and version 0 means a new entry.
const FirstPlatformOffset = 1

// PlatformCode is the stable error code of a rejected operation in the platform and worker protocols.
type PlatformCode string

// The error codes. A rejected operation had no effect.
const (
	PlatformDown         PlatformCode = "down"              // PlatformDown means that the service accepts no requests.
	PlatformInvalid      PlatformCode = "invalid"           // PlatformInvalid means that the request is malformed.
	PlatformTooLarge     PlatformCode = "too_large"         // PlatformTooLarge means that a body or record exceeds its size limit.
	PlatformTrimmed      PlatformCode = "trimmed"           // PlatformTrimmed means that the records at the offset were deleted.
	PlatformUnknownHost  PlatformCode = "unknown_host"      // PlatformUnknownHost means that the host is not on the live list.
	PlatformLeaseHeld    PlatformCode = "lease_held"        // PlatformLeaseHeld means that another host holds the lease.
	PlatformTermStale    PlatformCode = "term_stale"        // PlatformTermStale means that the term is not the current one.
	PlatformLeaving      PlatformCode = "target_leaving"    // PlatformLeaving means that the worker accepts no new work.
	PlatformOverCapacity PlatformCode = "capacity_exceeded" // PlatformOverCapacity means that the task exceeds the free capacity.
	PlatformTaskConflict PlatformCode = "task_conflict"     // PlatformTaskConflict means that another attempt of the task runs.
	PlatformTasksFull    PlatformCode = "tasks_full"        // PlatformTasksFull means that too many results are not acknowledged yet.
)

// PlatformError is the body of every error response.
type PlatformError struct {
	Code    PlatformCode `json:"code"`
	Message string       `json:"message"`
	Oldest  int64        `json:"oldest,omitempty"` // the oldest offset that is still stored, with PlatformTrimmed
}

// PlatformRecord is one record of a stream; the log sets the offset and the time.
type PlatformRecord struct {
	ID         string `json:"id"`
	Offset     int64  `json:"offset,omitempty"`
	AppendedUs int64  `json:"appended_us,omitempty"`
	Body       []byte `json:"body"`
}

// PlatformAppend is the request body of an append.
type PlatformAppend struct {
	Records []PlatformRecord `json:"records"`
}

// PlatformAppendResponse is the response to an append.
type PlatformAppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// PlatformBatch is the response to a read.
type PlatformBatch struct {
	Records []PlatformRecord `json:"records"`
	Next    int64            `json:"next"`
	End     int64            `json:"end"`
}

// PlatformStreamOffsets is the response to a query for the oldest offset and the end offset of a stream.
type PlatformStreamOffsets struct {
	Oldest int64 `json:"oldest"`
	End    int64 `json:"end"`
}

// PlatformAppendEntry is an append that the stand-in recorded.
type PlatformAppendEntry struct {
	Index        int      `json:"index"`
	AtUs         int64    `json:"at_us"`
	Stream       string   `json:"stream"`
	FirstOffset  int64    `json:"first_offset"`
	IDs          []string `json:"ids"`
	ResponseLost bool     `json:"answer_lost"`
}

// PlatformAppends is a page of the recorded appends.
type PlatformAppends struct {
	Appends []PlatformAppendEntry `json:"appends"`
	Next    int                   `json:"next"`
	Total   int                   `json:"total"`
	Dropped int                   `json:"dropped"` // the number of appends dropped because the list was full
}

// PlatformHost is a worker on the live list, and the request body of a registration or heartbeat.
type PlatformHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	State      string `json:"state"`
	TTLMs      int64  `json:"ttl_ms,omitempty"` // the time without a heartbeat after which the worker is removed, 0 for never
}

// PlatformHosts is the response to a query for the live list.
type PlatformHosts struct {
	Version uint64         `json:"version"`
	Hosts   []PlatformHost `json:"hosts"`
}

// PlatformHostState is the request body that sets the state of a host on the live list.
type PlatformHostState struct {
	State string `json:"state"` // live, leaving or gone
}

// PlatformFaults configures the faults that one service of the stand-in injects.
type PlatformFaults struct {
	DelayMs           int64 `json:"delay_ms"`     // the delay of each response
	Down              bool  `json:"down"`         // whether every operation is rejected
	DropResponses     int   `json:"lose_answers"` // the number of append responses to drop, negative for all
	WithholdResponses bool  `json:"hold_answers"` // whether responses are withheld until the field is cleared
	LagMs             int64 `json:"lag_ms"`       // the lag of the live list
}

// PlatformRecordsOf returns the wire form of records to append.
func PlatformRecordsOf(records []almondcross.Record) []PlatformRecord {
	encoded := make([]PlatformRecord, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, PlatformRecord{ID: record.ID(), Body: record.Body()})
	}
	return encoded
}

// Batch returns the value of the wire form.
func (platformbatch PlatformBatch) Batch() almondcross.Batch {
	records := make([]almondcross.Record, 0, len(platformbatch.Records))
	for _, record := range platformbatch.Records {
		records = append(records, almondcross.NewRecord(almondcross.RecordConfig{
			ID: record.ID, Offset: almondcross.Offset(record.Offset),
			Appended: time.UnixMicro(record.AppendedUs), Body: record.Body,
		}))
	}
	return almondcross.NewBatch(almondcross.BatchConfig{
		Records: records, Next: almondcross.Offset(platformbatch.Next), End: almondcross.Offset(platformbatch.End),
	})
}

// LiveHosts returns the value of the wire form; the targets are the workers on the live list.
func (platformhosts PlatformHosts) LiveHosts() almondcross.LiveHosts {
	targets := make([]almondcross.Target, 0, len(platformhosts.Hosts))
	for _, host := range platformhosts.Hosts {
		targets = append(targets, almondcross.NewTarget(almondcross.TargetConfig{
			Name: host.Name, DataCentre: host.DataCentre, Rack: host.Rack,
			Address: host.Address, State: almondcross.HostState(host.State),
		}))
	}
	return almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Version: platformhosts.Version, Targets: targets})
}
